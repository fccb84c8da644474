//! Runs a control instance of kumquatlock and the commands for its operators.

mod commands;

use std::process::ExitCode;

fn main() -> ExitCode {
    argh::from_env::<commands::ControlCli>().exec()
}
