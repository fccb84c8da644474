//! `kumquatlock-control submit`: submits a manifest.

use std::fs;
use std::path::PathBuf;

use argh::FromArgs;
use eyre::WrapErr;
use kumquatlock::ops::operator_client::{OperatorError, SubmitOutcome};

use super::{EXIT_REFUSED, EXIT_SUCCESS, EXIT_UNKNOWN};

/// Submit a manifest and print the answer. Tries the instances in turn; submitting the same
/// manifest again returns the first answer. Exits with 0 if the manifest is accepted, 1 if it is
/// refused and 2 if the outcome is unknown.
#[derive(FromArgs)]
#[argh(subcommand, name = "submit")]
pub(crate) struct SubmitCommand {
    /// operator addresses of control instances, <ip>:<port>,... (entries 1..=64, default none,
    /// variable KUMQUATLOCK_CONTROL)
    #[argh(option)]
    control: Option<String>,
    /// manifest file, JSON of at most 1048576 bytes (required, no variable)
    #[argh(option)]
    file: PathBuf,
    /// time after which the command gives up (value 100..=600000 ms, default 15000, variable
    /// KUMQUATLOCK_TIMEOUT_MS)
    #[argh(option)]
    timeout_ms: Option<String>,
}

impl SubmitCommand {
    pub(crate) fn exec(self) -> eyre::Result<u8> {
        let client = super::operator_client(self.control.as_deref(), self.timeout_ms.as_deref())?;
        let text = fs::read(&self.file)
            .wrap_err_with(|| format!("failed to read {}", self.file.display()))?;
        match client.submit_manifest(&text) {
            Ok(SubmitOutcome::Accepted(answer)) => {
                super::print_answer(&answer);
                Ok(EXIT_SUCCESS)
            }
            Ok(SubmitOutcome::Refused(answer)) => {
                super::print_answer(&answer);
                Ok(EXIT_REFUSED)
            }
            Err(error @ OperatorError::NoAnswer { .. }) => {
                eprintln!("error: {error}");
                Ok(EXIT_UNKNOWN)
            }
            Err(error) => Err(error.into()),
        }
    }
}
