//! The help texts against the settings.

use argh::FromArgs;
use kumquatlock::ops::control::ControlSettings;

use super::{CONTROL, ControlCli, TIMEOUT, show};

fn check_help(command: &str, lines: &[String]) {
    let early = ControlCli::from_args(&["kumquatlock-control"], &[command, "--help"]);
    let help = early.err().map(|early| early.output).unwrap_or_default();
    let help = help.split_whitespace().collect::<Vec<_>>().join(" ");
    for line in lines {
        let expected = line.replacen(':', "", 1);
        assert!(help.contains(&expected), "help lacks `{expected}`:\n{help}");
    }
}

/// Guards against a help text that states another unit, range or default than the one that is
/// checked.
#[test]
fn help_states_every_setting_as_it_is_checked() {
    let common = [CONTROL.describe(), TIMEOUT.describe()];
    check_help("serve", &ControlSettings::describe());
    check_help("submit", &common);
    check_help("status", &common);
    check_help("show", &common);
    check_help("show", &[show::VERSION.describe(), show::WAIT.describe()]);
}
