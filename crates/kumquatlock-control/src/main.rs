//! Control instance of kumquatlock and the operators' commands.

mod commands;

use std::process::ExitCode;

fn main() -> ExitCode {
    argh::from_env::<commands::ControlCli>().exec()
}
