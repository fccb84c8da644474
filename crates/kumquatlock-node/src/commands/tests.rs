//! Compares the help text with the settings.

use argh::FromArgs;

use super::CommandLine;
use super::serve::ServeCommand;

/// Guards against a help text whose unit, range or default differs from the one that is enforced.
#[test]
fn help_text_matches_every_setting() {
    let early_exit = CommandLine::from_args(&["kumquatlock-node"], &["serve", "--help"]);
    let help = early_exit.unwrap_err().output;
    let help = help.split_whitespace().collect::<Vec<_>>().join(" ");
    for line in ServeCommand::describe() {
        let expected = line.replacen(':', "", 1);
        assert!(help.contains(&expected), "help lacks `{expected}`:\n{help}");
    }
}
