//! Times after which callers whose calls did not run should try again.

use std::time::Duration;

use kumquatlock_wire::call::CallReason;
use rand::Rng;

use super::EntryCalls;
use crate::call::answer::CallerAnswer;
use crate::core::{SharedName, Timestamp};

/// Time in which a node that has started usually gets its first configuration.
const CONFIG_TIME: Duration = Duration::from_millis(1_500);
/// Minimum delay, and its jitter, for callers of a node without a configuration.
const MIN_CONFIG_DELAY: Duration = Duration::from_millis(300);
const CONFIG_JITTER: Duration = Duration::from_millis(400);
/// Delay for callers of a service without an upstream.
const NO_UPSTREAM_DELAY: std::ops::RangeInclusive<Duration> =
    Duration::from_millis(500)..=Duration::from_millis(1_000);

/// Delay for callers whose API keys can't be checked. A node that finds no current parent tries the
/// next one after about half a second.
const UNPROVED_DELAY: std::ops::RangeInclusive<Duration> =
    Duration::from_millis(500)..=Duration::from_millis(1_000);

/// Delay for callers of a request in quarantine, which lasts for minutes unless a node objects.
const QUARANTINE_DELAY: Duration = Duration::from_secs(60);

impl EntryCalls {
    /// Returns the time after which a caller whose call did not run should try again; it has `left`
    /// until its deadline. The time is jittered, so that callers that were refused together don't
    /// return together.
    pub(super) fn retry_after(
        &mut self,
        now: Timestamp,
        answer: &CallerAnswer,
        service: Option<&SharedName>,
        left: Duration,
    ) -> Option<Duration> {
        let CallerAnswer::NotRun(reason) = answer else {
            return None;
        };
        let pacing = service.and_then(|service| self.pacings.get(service));
        let pacing = pacing.copied().unwrap_or_default();
        Some(match reason {
            CallReason::ConfigUnavailable => {
                // A node that has just started gets its configuration soon.
                let uptime = Duration::from_micros(now.0);
                let soonest = CONFIG_TIME.saturating_sub(uptime).max(MIN_CONFIG_DELAY);
                self.random.random_range(soonest..=soonest + CONFIG_JITTER)
            }
            CallReason::ConfigUnproved => self.random.random_range(UNPROVED_DELAY),
            CallReason::NoUpstream => self.random.random_range(NO_UPSTREAM_DELAY),
            CallReason::Quarantined => QUARANTINE_DELAY,
            _ => pacing.delay(&mut self.random, left),
        })
    }
}
