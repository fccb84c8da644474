//! `kumquatlock-control show`

use argh::FromArgs;
use kumquatlock::ops::operate::{OperatorError, ShowOutcome};
use kumquatlock::util::settings::{DurationMillis, ItemCount, ProcessEnvironment, SettingSpec};

use super::{EXIT_DONE, EXIT_REFUSED, EXIT_UNKNOWN};

const VERSION: SettingSpec<ItemCount> =
    SettingSpec::new("version", "manifest version").range(1, u64::MAX);
const WAIT: SettingSpec<DurationMillis> =
    SettingSpec::new("wait-in-force-ms", "longest wait until in force").unit("ms");

/// Print the state of a manifest. Exits with 0 if it is accepted, or in force when waited for; 1 if
/// it was superseded while waiting; 2 if it is unknown, not in force in time or no instance answers.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct ShowCommand {
    /// operator addresses of control instances, <ip>:<port>,... (variable KUMQUATLOCK_CONTROL)
    #[argh(option)]
    control: Option<String>,
    /// manifest version; the newest if left out
    #[argh(option)]
    version: Option<String>,
    /// wait until the manifest is in force on every attached node, 1 to 3600000 ms
    #[argh(option)]
    wait_in_force_ms: Option<String>,
    /// time after which the command gives up on unreachable instances, 100 to 600000 ms, default
    /// 15000 (variable KUMQUATLOCK_TIMEOUT_MS)
    #[argh(option)]
    timeout_ms: Option<String>,
}

impl ShowCommand {
    pub(crate) fn exec(self) -> eyre::Result<u8> {
        let client = super::operator_client(self.control.as_deref(), self.timeout_ms.as_deref())?;
        let version = VERSION.resolve_optional(self.version.as_deref(), &ProcessEnvironment)?;
        let wait = WAIT.resolve_optional(self.wait_in_force_ms.as_deref(), &ProcessEnvironment)?;
        let version = version.map(|ItemCount(version)| version);
        let (answer, code) = match client.show_manifest(version, wait.map(DurationMillis::duration))
        {
            Ok(ShowOutcome::Reached(answer)) => (answer, EXIT_DONE),
            Ok(ShowOutcome::Superseded(answer)) => (answer, EXIT_REFUSED),
            Ok(ShowOutcome::NotReached(answer)) => (answer, EXIT_UNKNOWN),
            Err(error @ OperatorError::NoAnswer { .. }) => {
                eprintln!("error: {error}");
                return Ok(EXIT_UNKNOWN);
            }
            Err(error) => return Err(error.into()),
        };
        super::print_answer(&answer);
        Ok(code)
    }
}
