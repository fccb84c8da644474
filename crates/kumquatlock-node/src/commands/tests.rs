//! The help text against the settings.

use argh::FromArgs;

use super::CommandLine;
use super::serve::ServeCommand;

/// Guards against a help text that states another unit, range or default than the one that is
/// checked.
#[test]
fn help_states_every_setting_as_it_is_checked() {
    let early = CommandLine::from_args(&["kumquatlock-node"], &["serve", "--help"]);
    let help = early.unwrap_err().output;
    let help = help.split_whitespace().collect::<Vec<_>>().join(" ");
    for line in ServeCommand::describe() {
        let expected = line.replacen(':', "", 1);
        assert!(help.contains(&expected), "help lacks `{expected}`:\n{help}");
    }
}
