//! What a node observes of the upstream beside it during a rollout.

use std::time::Duration;

use indexmap::IndexMap;
use kumquatlock_wire::rollout::{EvidenceGroup, RolloutEvidence};

use crate::core::{ConfigSnapshot, IncarnationId, SharedName, Timestamp, stable_hash};

/// Number of latency buckets; the last begins at 45 s.
pub const LATENCY_BUCKETS: usize = 32;
/// Maximum number of kinds of request that are counted separately; further ones share the last.
const MAX_KINDS: usize = 24;
/// Interval at which evidence is reported. Short against the time within which a bad version must
/// be gone, long against the time that a message takes.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// First status of a server error.
const SERVER_ERROR: u16 = 500;
/// Status with which an upstream gives up a request at its deadline.
const DEADLINE_STATUS: u16 = 504;

/// Kind of a request, as far as versions may treat it differently.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct EvidenceKind {
    /// Request class, as it stands in the message.
    pub class: i32,
    /// Rank of the request.
    pub rank: u32,
    /// Whether an upstream made the request while it was running another one.
    pub is_inner: bool,
}

impl EvidenceKind {
    fn key(self) -> u32 {
        let text = format!("{}/{}/{}", self.class, self.rank, self.is_inner);
        stable_hash(text.as_bytes()) as u32 & (u32::MAX >> 1)
    }
}

/// Returns the latency bucket of an answer.
pub fn latency_bucket(latency: Duration) -> usize {
    let millis = (latency.as_secs_f64() * 1_000.0).max(1.0);
    ((2.0 * millis.log2()) as usize).min(LATENCY_BUCKETS - 1)
}

/// Counts how the requests at the local upstream end while a rollout of its service runs.
#[derive(Clone, Debug, Default)]
pub struct EvidenceRecorder {
    /// Present while a rollout of the local service runs.
    subject: Option<EvidenceSubject>,
    /// At most [`MAX_KINDS`].
    groups: IndexMap<u32, EvidenceGroup>,
    has_changed: bool,
    reported_at: Option<Timestamp>,
    /// Until when the upstream is slow because it has just started.
    warm_at: Timestamp,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct EvidenceSubject {
    upstream: SharedName,
    service: SharedName,
    version: SharedName,
    order: u64,
    run: u64,
}

impl EvidenceRecorder {
    /// Follows the configuration: starts anew with each rollout and each run of the upstream.
    pub fn apply(&mut self, snapshot: &ConfigSnapshot, name: &str, incarnation: IncarnationId) {
        let subject = snapshot.upstreams.get(name).and_then(|upstream| {
            let versions = snapshot.versions.get(&upstream.service)?;
            versions.is_running().then(|| EvidenceSubject {
                upstream: upstream.name.clone(),
                service: upstream.service.clone(),
                version: upstream.version.clone(),
                order: versions.order,
                run: incarnation.0,
            })
        });
        if subject != self.subject {
            self.subject = subject;
            self.groups.clear();
            self.has_changed = false;
        }
    }

    /// Sets the time for which the upstream will still be slow after its start.
    pub fn set_warm_up(&mut self, now: Timestamp, left: Duration) {
        self.warm_at = now + left;
    }

    /// Counts a request that the upstream has answered with a status, or that has timed out there.
    pub fn record(
        &mut self,
        now: Timestamp,
        kind: EvidenceKind,
        sent_at: Timestamp,
        status: Option<u16>,
    ) {
        if self.subject.is_none() {
            return;
        }
        let is_late = status.is_none_or(|status| status == DEADLINE_STATUS);
        let is_warm = sent_at >= self.warm_at;
        if is_late && !is_warm {
            return;
        }
        let key = match self.groups.len() < MAX_KINDS || self.groups.contains_key(&kind.key()) {
            true => kind.key(),
            false => self.groups.last().map_or(0, |(key, _)| *key),
        };
        let group = self.groups.entry(key).or_insert_with(|| EvidenceGroup {
            key,
            ..EvidenceGroup::default()
        });
        let is_failed = status.is_none_or(|status| status >= SERVER_ERROR);
        group.answered += 1;
        group.failed += u64::from(is_failed);
        // A failed answer often comes early and says nothing about the latency.
        if is_warm && (!is_failed || is_late) {
            group.latencies.resize(LATENCY_BUCKETS, 0);
            group.latencies[latency_bucket(now.since(sent_at))] += 1;
        }
        self.has_changed = true;
    }

    /// Returns the report that is due.
    pub fn take_due(&mut self, now: Timestamp) -> Option<RolloutEvidence> {
        let is_due = |at: Timestamp| now.since(at) >= REPORT_INTERVAL;
        if !self.has_changed || !self.reported_at.is_none_or(is_due) {
            return None;
        }
        let subject = self.subject.as_ref()?;
        self.has_changed = false;
        self.reported_at = Some(now);
        Some(RolloutEvidence {
            upstream: subject.upstream.to_string(),
            run: subject.run,
            service: subject.service.to_string(),
            version: subject.version.to_string(),
            order: subject.order,
            groups: self.groups.values().cloned().collect(),
        })
    }
}
