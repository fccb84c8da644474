//! Subcommands, one module each.

mod serve;

use argh::FromArgs;

/// Node beside one upstream: routes callers' requests and runs those for its upstream.
#[derive(Debug, FromArgs)]
pub(crate) struct CommandLine {
    #[argh(subcommand)]
    command: NodeCommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum NodeCommand {
    Serve(serve::ServeCommand),
}

impl CommandLine {
    pub(crate) fn exec(self) -> eyre::Result<()> {
        match self.command {
            NodeCommand::Serve(command) => command.exec(),
        }
    }
}

#[cfg(test)]
mod tests;
