//! `kumquatlock-control rollout`: orders a rollout, or prints its state.

use argh::FromArgs;
use kumquatlock::ops::operator_client::{OperatorError, RolloutOutcome};
use kumquatlock::util::settings::{DurationMillis, ProcessEnvironment, SettingSpec};

use super::{EXIT_REFUSED, EXIT_SUCCESS, EXIT_UNKNOWN};

pub(super) const DURATION: SettingSpec<DurationMillis> =
    SettingSpec::new("duration-ms", "time within which the rollout shall end")
        .unit("ms")
        .range(1_000, 604_800_000)
        .default_value("600000");

/// Order that the requests of a service move to upstreams of another version, or print the state of
/// the latest rollout. Ordering the same again returns the same answer. Exits with 0 if the order is
/// accepted or the state is known, with 1 if the order is refused or the version was rolled back, and
/// with 2 if no rollout is known or no instance answers.
#[derive(FromArgs)]
#[argh(subcommand, name = "rollout")]
pub(crate) struct RolloutCommand {
    /// operator addresses of control instances, <ip>:<port>,... (entries 1..=64, default none,
    /// variable KUMQUATLOCK_CONTROL)
    #[argh(option)]
    control: Option<String>,
    /// name of the service (required, no variable)
    #[argh(option)]
    service: String,
    /// version to roll out; if not given, the state is printed (no variable)
    #[argh(option)]
    target_version: Option<String>,
    /// time within which the rollout shall end (value 1000..=604800000 ms, default 600000, variable
    /// KUMQUATLOCK_DURATION_MS)
    #[argh(option)]
    duration_ms: Option<String>,
    /// time after which the command gives up (value 100..=600000 ms, default 15000, variable
    /// KUMQUATLOCK_TIMEOUT_MS)
    #[argh(option)]
    timeout_ms: Option<String>,
}

impl RolloutCommand {
    pub(crate) fn exec(self) -> eyre::Result<u8> {
        let client = super::operator_client(self.control.as_deref(), self.timeout_ms.as_deref())?;
        let duration = DURATION.resolve(self.duration_ms.as_deref(), &ProcessEnvironment)?;
        let outcome = match &self.target_version {
            Some(version) => client.order_rollout(&self.service, version, duration.duration()),
            None => client.show_rollout(&self.service),
        };
        let (answer, code) = match outcome {
            Ok(RolloutOutcome::Accepted(answer)) => (answer, EXIT_SUCCESS),
            Ok(RolloutOutcome::Refused(answer)) => (answer, EXIT_REFUSED),
            Ok(RolloutOutcome::Unknown(answer)) => (answer, EXIT_UNKNOWN),
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
