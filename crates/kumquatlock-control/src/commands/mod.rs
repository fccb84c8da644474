//! One file per command. Each command reads its settings and calls an op of the library.

mod serve;

use std::process::ExitCode;

use argh::FromArgs;

/// Control instance of kumquatlock: keeps the accepted configuration and distributes it.
#[derive(FromArgs)]
pub(crate) struct ControlCli {
    #[argh(subcommand)]
    command: ControlCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum ControlCommand {
    Serve(serve::ServeCommand),
}

impl ControlCli {
    pub(crate) fn exec(self) -> ExitCode {
        match self.command {
            ControlCommand::Serve(command) => command.exec(),
        }
    }
}

/// Prints an error and its causes on one line.
fn report(error: &eyre::Report) {
    let causes: Vec<String> = error.chain().map(ToString::to_string).collect();
    eprintln!("error: {}", causes.join(": "));
}
