//! Compares the help texts with the settings.

use argh::FromArgs;
use kumquatlock::ops::control::ControlSettings;

use super::{CONTROL, ControlCli, TIMEOUT, rollout, show};

fn check_help(command: &str, lines: &[String]) {
    let early_exit = ControlCli::from_args(&["kumquatlock-control"], &[command, "--help"]);
    let help = early_exit
        .err()
        .map(|early_exit| early_exit.output)
        .unwrap_or_default();
    let help = help.split_whitespace().collect::<Vec<_>>().join(" ");
    for line in lines {
        let expected = line.replacen(':', "", 1);
        assert!(help.contains(&expected), "help lacks `{expected}`:\n{help}");
    }
}

/// Guards against a help text whose unit, range or default differs from the one that is enforced.
#[test]
fn help_text_matches_every_setting() {
    let common = [CONTROL.describe(), TIMEOUT.describe()];
    check_help("serve", &ControlSettings::describe());
    check_help("submit", &common);
    check_help("status", &common);
    check_help("show", &common);
    check_help("rollout", &common);
    check_help("rollout", &[rollout::DURATION.describe()]);
    check_help("show", &[show::VERSION.describe(), show::WAIT.describe()]);
}
