//! `kumquatlock-control show`: prints the state of a manifest.

use argh::FromArgs;
use kumquatlock::ops::operator_client::{OperatorError, ShowOutcome};
use kumquatlock::util::settings::{DurationMillis, ItemCount, ProcessEnvironment, SettingSpec};

use super::{EXIT_REFUSED, EXIT_SUCCESS, EXIT_UNKNOWN};

pub(super) const VERSION: SettingSpec<ItemCount> =
    SettingSpec::new("version", "manifest version; if not given, the newest").range(1, u64::MAX);
pub(super) const WAIT: SettingSpec<DurationMillis> = SettingSpec::new(
    "wait-in-force-ms",
    "maximum time to wait until the manifest is in force on every attached node",
)
.unit("ms");

/// Print the state of a manifest. Without --wait-in-force-ms, exits with 0 if the manifest is known
/// and with 2 if it is not. With it, exits with 0 once the manifest is in force, with 1 if a later
/// manifest superseded it, and with 2 if it is unknown or does not come into force in time. Exits
/// with 2 if no instance answers.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct ShowCommand {
    /// operator addresses of control instances, <ip>:<port>,... (entries 1..=64, default none,
    /// variable KUMQUATLOCK_CONTROL)
    #[argh(option)]
    control: Option<String>,
    /// manifest version; if not given, the newest (value 1..=18446744073709551615, default none,
    /// variable KUMQUATLOCK_VERSION)
    #[argh(option)]
    version: Option<String>,
    /// maximum time to wait until the manifest is in force on every attached node (value
    /// 1..=3600000 ms, default none, variable KUMQUATLOCK_WAIT_IN_FORCE_MS)
    #[argh(option)]
    wait_in_force_ms: Option<String>,
    /// time after which the command gives up (value 100..=600000 ms, default 15000, variable
    /// KUMQUATLOCK_TIMEOUT_MS)
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
            Ok(ShowOutcome::Reached(answer)) => (answer, EXIT_SUCCESS),
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
