//! `kumquatlock-control status`: prints the status of control instances.

use argh::FromArgs;

use super::{EXIT_SUCCESS, EXIT_UNKNOWN};

/// Print the status of each instance as one line of JSON. Exits with 0 if every instance answers,
/// and with 2 otherwise.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct StatusCommand {
    /// operator addresses of control instances, <ip>:<port>,... (entries 1..=64, default none,
    /// variable KUMQUATLOCK_CONTROL)
    #[argh(option)]
    control: Option<String>,
    /// time after which the command gives up (value 100..=600000 ms, default 15000, variable
    /// KUMQUATLOCK_TIMEOUT_MS)
    #[argh(option)]
    timeout_ms: Option<String>,
}

impl StatusCommand {
    pub(crate) fn exec(self) -> eyre::Result<u8> {
        let client = super::operator_client(self.control.as_deref(), self.timeout_ms.as_deref())?;
        let mut code = EXIT_SUCCESS;
        for (instance, answer) in client.show_status() {
            match answer {
                Ok(answer) => super::print_answer(&answer),
                Err(error) => {
                    eprintln!("error: {instance}: {error}");
                    code = EXIT_UNKNOWN;
                }
            }
        }
        Ok(code)
    }
}
