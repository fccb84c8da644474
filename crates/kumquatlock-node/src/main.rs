//! Runs a kumquatlock node, the process beside one upstream of the mesh.

mod commands;

use std::process::ExitCode;

fn main() -> ExitCode {
    let command_line: commands::CommandLine = argh::from_env();
    match command_line.exec() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}
