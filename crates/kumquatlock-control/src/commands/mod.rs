//! One file per command. Each command reads its settings and calls an op of the library.

mod serve;
mod show;
mod status;
mod submit;

use std::process::ExitCode;

use argh::FromArgs;
use kumquatlock::ops::operate::{OperatorAnswer, OperatorClient};
use kumquatlock::util::settings::{
    AddressList, DurationMillis, ProcessEnvironment, SettingError, SettingSpec,
};

/// Accepted, in force, or asked state reached.
const EXIT_DONE: u8 = 0;
/// Refused, or the command could not be carried out as given.
const EXIT_REFUSED: u8 = 1;
/// Unknown or unreachable.
const EXIT_UNKNOWN: u8 = 2;

const CONTROL: SettingSpec<AddressList> = SettingSpec::new(
    "control",
    "operator addresses of control instances, <ip>:<port>,...",
);
const TIMEOUT: SettingSpec<DurationMillis> =
    SettingSpec::new("timeout-ms", "time after which the command gives up")
        .unit("ms")
        .range(100, 600_000)
        .default_value("15000");

/// Control instance of kumquatlock: keeps the accepted configuration and distributes it.
#[derive(FromArgs)]
pub(crate) struct ControlCli {
    #[argh(subcommand)]
    command: ControlCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
#[expect(clippy::large_enum_variant, reason = "parsed once at start")]
enum ControlCommand {
    Serve(serve::ServeCommand),
    Submit(submit::SubmitCommand),
    Show(show::ShowCommand),
    Status(status::StatusCommand),
}

impl ControlCli {
    pub(crate) fn exec(self) -> ExitCode {
        let result = match self.command {
            ControlCommand::Serve(command) => command.exec(),
            ControlCommand::Submit(command) => command.exec(),
            ControlCommand::Show(command) => command.exec(),
            ControlCommand::Status(command) => command.exec(),
        };
        match result {
            Ok(code) => code.into(),
            Err(error) => {
                eprintln!("error: {}", describe(&error));
                EXIT_REFUSED.into()
            }
        }
    }
}

/// The error and its causes on one line. Some errors name their cause themselves; it is not
/// repeated.
fn describe(error: &eyre::Report) -> String {
    error.chain().fold(String::new(), |line, cause| {
        let cause = cause.to_string();
        match (line.is_empty(), line.ends_with(&cause)) {
            (true, _) => cause,
            (false, true) => line,
            (false, false) => format!("{line}: {cause}"),
        }
    })
}

fn operator_client(
    control: Option<&str>,
    timeout: Option<&str>,
) -> Result<OperatorClient, SettingError> {
    let AddressList(instances) = CONTROL.resolve(control, &ProcessEnvironment)?;
    let timeout = TIMEOUT.resolve(timeout, &ProcessEnvironment)?;
    Ok(OperatorClient::new(instances, timeout.duration()))
}

fn print_answer(answer: &OperatorAnswer) {
    println!("{}", answer.json);
}

#[cfg(test)]
mod tests;
