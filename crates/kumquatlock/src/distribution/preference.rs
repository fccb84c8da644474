//! Failback: the return of an attached child to a parent that comes earlier in its list.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use super::child::LinkId;
use super::{INITIAL_FAILBACK_DELAY, MAX_FAILBACK_DELAY, PROBE_TIMEOUT};
use crate::core::Timestamp;

/// A connection that tests whether a parent answers.
#[derive(Clone, Copy, Debug)]
pub(super) struct ParentProbe {
    pub(super) link: LinkId,
    /// Position of the probed parent in the list.
    pub(super) position: usize,
    since: Timestamp,
}

/// Decides when a child that is attached to a parent other than its preferred one tries to return.
///
/// The child stays attached to its parent while it probes. It sends `Hello` to the preferred parent
/// only after that parent has answered a ping and the old link is closed, so the child is never
/// attached to two parents. The delays between probes are jittered and grow with each failure; a
/// `Hello` that is refused counts as a failure. This spreads the children that return to a
/// recovered parent over time.
#[derive(Debug, Default)]
pub(super) struct FailbackSearch {
    /// Earliest time of the next probe.
    next_probe_at: Timestamp,
    probe: Option<ParentProbe>,
    /// Position to probe next. It advances after a failed probe, so that an unreachable parent does
    /// not prevent probes of the parents after it.
    next_position: usize,
    /// Number of failed probes and failbacks since the child last attached to its preferred parent
    /// or to a probed one.
    failures: u32,
    /// Position of the probed parent to which the child is failing back.
    failback_target: Option<usize>,
}

impl FailbackSearch {
    /// Schedules the next probe after the parent at `position` has welcomed the child.
    pub(super) fn record_welcome(
        &mut self,
        now: Timestamp,
        position: usize,
        random: &mut SmallRng,
    ) {
        if position == 0 || self.failback_target == Some(position) {
            self.failures = 0;
        }
        self.failback_target = None;
        self.next_position = 0;
        self.schedule(now, random);
    }

    /// Returns the position to probe now, which is before `current`, if a probe is due.
    pub(super) fn due_position(&self, now: Timestamp, current: usize) -> Option<usize> {
        (current > 0 && self.probe.is_none() && now >= self.next_probe_at)
            .then(|| self.next_position % current)
    }

    pub(super) fn start(&mut self, now: Timestamp, link: LinkId, position: usize) {
        let since = now;
        self.probe = Some(ParentProbe {
            link,
            position,
            since,
        });
    }

    pub(super) fn is_probe(&self, link: LinkId) -> bool {
        self.probe.is_some_and(|probe| probe.link == link)
    }

    /// Returns the probe that has had no answer for [`PROBE_TIMEOUT`], if there is one.
    pub(super) fn timed_out_probe(&self, now: Timestamp) -> Option<LinkId> {
        let probe = self.probe?;
        (now.since(probe.since) >= PROBE_TIMEOUT).then_some(probe.link)
    }

    /// Schedules the next probe after one that failed or could not start.
    pub(super) fn record_failure(&mut self, now: Timestamp, random: &mut SmallRng) {
        self.probe = None;
        self.next_position += 1;
        self.failures = self.failures.saturating_add(1);
        self.schedule(now, random);
    }

    /// Removes and returns the probe in progress, which has been answered.
    pub(super) fn take_probe(&mut self) -> Option<ParentProbe> {
        self.probe.take()
    }

    /// Records that the child leaves its parent for the probed one at `position`. Counts as a
    /// failure until that parent welcomes the child.
    pub(super) fn record_failback(&mut self, position: usize) {
        self.failback_target = Some(position);
        self.failures = self.failures.saturating_add(1);
    }

    fn schedule(&mut self, now: Timestamp, random: &mut SmallRng) {
        let doubled = INITIAL_FAILBACK_DELAY * 2u32.saturating_pow(self.failures.min(16));
        let mean = doubled.min(MAX_FAILBACK_DELAY).as_micros() as u64;
        let wait = random.random_range(mean / 2..=mean + mean / 2);
        self.next_probe_at = now + Duration::from_micros(wait);
    }
}
