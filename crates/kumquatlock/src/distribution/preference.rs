//! The search for a better parent while a child is attached.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use super::child::LinkId;
use super::{INITIAL_FAILBACK_DELAY, MAX_FAILBACK_DELAY, PROBE_TIMEOUT};
use crate::core::Timestamp;

/// A connection that only finds out whether a parent answers.
#[derive(Clone, Copy, Debug)]
pub(super) struct ParentProbe {
    pub(super) link: LinkId,
    /// Position of the probed parent.
    pub(super) position: usize,
    since: Timestamp,
}

/// When a child that is attached to another than its preferred parent tries to return.
///
/// The child keeps its parent while it probes, and greets the better one only after that one has
/// answered a ping and the old link is closed, so it never has two attachments. The waits are
/// jittered and grow with each failure, and a refused greeting counts as one: a parent that comes
/// back is met by its children one after another.
#[derive(Debug, Default)]
pub(super) struct PreferenceSearch {
    /// The next probe starts then.
    due: Timestamp,
    probe: Option<ParentProbe>,
    /// Position to probe next, so that a lost parent does not hide one between.
    cursor: usize,
    /// Failed probes and returns since the child was last attached to a probed parent.
    failures: u32,
    /// Position of the parent that the child greeted last because of a probe.
    target: Option<usize>,
}

impl PreferenceSearch {
    /// The child was welcomed by the parent at `position`.
    pub(super) fn record_welcome(
        &mut self,
        now: Timestamp,
        position: usize,
        random: &mut SmallRng,
    ) {
        if position == 0 || self.target == Some(position) {
            self.failures = 0;
        }
        self.target = None;
        self.cursor = 0;
        self.schedule(now, random);
    }

    /// Position to probe now, below the present one.
    pub(super) fn due(&self, now: Timestamp, present: usize) -> Option<usize> {
        (present > 0 && self.probe.is_none() && now >= self.due).then(|| self.cursor % present)
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

    /// The probe that has had no answer for too long, if there is one.
    pub(super) fn overdue(&self, now: Timestamp) -> Option<LinkId> {
        let probe = self.probe?;
        (now.since(probe.since) >= PROBE_TIMEOUT).then_some(probe.link)
    }

    /// The probe failed or could not start.
    pub(super) fn record_failure(&mut self, now: Timestamp, random: &mut SmallRng) {
        self.probe = None;
        self.cursor += 1;
        self.failures = self.failures.saturating_add(1);
        self.schedule(now, random);
    }

    /// Takes out the probe that was answered.
    pub(super) fn take_answered(&mut self) -> Option<ParentProbe> {
        self.probe.take()
    }

    /// The child leaves its parent for the probed one. Counts as a failure until the welcome.
    pub(super) fn record_return(&mut self, position: usize) {
        self.target = Some(position);
        self.failures = self.failures.saturating_add(1);
    }

    fn schedule(&mut self, now: Timestamp, random: &mut SmallRng) {
        let doubled = INITIAL_FAILBACK_DELAY * 2u32.saturating_pow(self.failures.min(16));
        let mean = doubled.min(MAX_FAILBACK_DELAY).as_micros() as u64;
        let wait = random.random_range(mean / 2..=mean + mean / 2);
        self.due = now + Duration::from_micros(wait);
    }
}
