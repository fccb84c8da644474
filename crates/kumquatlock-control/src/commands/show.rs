//! `kumquatlock-control show`

use argh::FromArgs;
use kumquatlock::ops::operate::{OperatorError, ShowOutcome};
use kumquatlock::util::settings::{DurationMillis, ItemCount, ProcessEnvironment, SettingSpec};

use super::{EXIT_DONE, EXIT_REFUSED, EXIT_UNKNOWN};

pub(super) const VERSION: SettingSpec<ItemCount> =
    SettingSpec::new("version", "manifest version; the newest if left out").range(1, u64::MAX);
pub(super) const WAIT: SettingSpec<DurationMillis> = SettingSpec::new(
    "wait-in-force-ms",
    "wait until the manifest is in force on every attached node, at most this long",
)
.unit("ms");

/// Print the state of a manifest. Exits with 0 if it is accepted, or in force when waited for; 1 if
/// it was superseded while waiting; 2 if it is unknown, not in force in time or no instance answers.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct ShowCommand {
    /// operator addresses of control instances, <ip>:<port>,... (entries 1..=64, default none,
    /// variable KUMQUATLOCK_CONTROL)
    #[argh(option)]
    control: Option<String>,
    /// manifest version; the newest if left out (value 1..=18446744073709551615, default none,
    /// variable KUMQUATLOCK_VERSION)
    #[argh(option)]
    version: Option<String>,
    /// wait until the manifest is in force on every attached node, at most this long (value
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
