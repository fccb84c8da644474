//! Subcommands, one module each. Each command resolves its settings and calls the `ops` module of
//! the library.

mod rollout;
mod serve;
mod show;
mod status;
mod submit;

use std::process::ExitCode;

use argh::FromArgs;
use kumquatlock::ops::operator_client::{OperatorAnswer, OperatorClient};
use kumquatlock::util::settings::{
    AddressList, DurationMillis, ProcessEnvironment, SettingError, SettingSpec,
};

/// Exit status of a command that succeeded: the manifest is accepted or in force, every instance
/// answered, or the control instance stopped as requested.
const EXIT_SUCCESS: u8 = 0;
/// Exit status if the request was refused, the manifest was superseded, or the command failed, for
/// example because of an invalid setting.
const EXIT_REFUSED: u8 = 1;
/// Exit status if the outcome is unknown, the manifest is unknown or not in force in time, or an
/// instance cannot be reached.
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

/// Control instance of kumquatlock: stores the accepted configuration and distributes it.
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
    Rollout(rollout::RolloutCommand),
    Status(status::StatusCommand),
}

impl ControlCli {
    pub(crate) fn exec(self) -> ExitCode {
        let result = match self.command {
            ControlCommand::Serve(command) => command.exec(),
            ControlCommand::Submit(command) => command.exec(),
            ControlCommand::Show(command) => command.exec(),
            ControlCommand::Rollout(command) => command.exec(),
            ControlCommand::Status(command) => command.exec(),
        };
        match result {
            Ok(code) => code.into(),
            Err(error) => {
                eprintln!("error: {}", format_error_chain(&error));
                EXIT_REFUSED.into()
            }
        }
    }
}

/// Formats an error and its causes on one line. A cause that the preceding text already ends with
/// is not repeated.
fn format_error_chain(error: &eyre::Report) -> String {
    error.chain().fold(String::new(), |line, cause| {
        let cause = cause.to_string();
        match (line.is_empty(), line.ends_with(&cause)) {
            (true, _) => cause,
            (false, true) => line,
            (false, false) => format!("{line}: {cause}"),
        }
    })
}

/// Creates a client from the `--control` and `--timeout-ms` settings.
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
