//! The process beside one upstream of a kumquatlock mesh.

mod commands;

use std::process::ExitCode;

fn main() -> ExitCode {
    let line: commands::CommandLine = argh::from_env();
    match line.exec() {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("error: {report:#}");
            ExitCode::FAILURE
        }
    }
}
