//! Attribution of crashes to requests.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::SuspectCall;
use crate::core::{RequestFingerprint, SharedName, Timestamp};

/// Number of crashes that must have no other explanation before a request is quarantined. Two could
/// be a coincidence: a request that was lost in a crash is retried at the upstream that the deadly
/// request ends next.
const MIN_CRASHES: usize = 3;
/// Number of entry nodes that these calls must have come from. A caller that repeats a lost request
/// does so at its entry node, so calls from one entry node may be those of one caller.
const MIN_ENTRIES: usize = 2;
/// Number of calls from one entry node that are enough all the same: a caller gives up before.
const MIN_CALLS: usize = 4;
/// Time for which a crash is remembered. A request that ends upstreams at longer intervals does
/// little harm.
const CRASH_RETENTION: Duration = Duration::from_secs(600);
/// Maximum number of remembered crashes; with [`super::MAX_SUSPECTS`] suspects each, they take 6 MB.
const MAX_CRASHES: usize = 1_024;
/// Maximum number of requests that are known to be harmless.
const MAX_CLEARED: usize = 4_096;
/// Time for which a quarantine lasts. After it the request may show again whether it is harmless.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(600);

/// Identifies one crash. Reports of it may arrive several times.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CrashId {
    /// Name of the upstream.
    pub upstream: SharedName,
    /// Incarnation of the node that noticed the crash.
    pub incarnation: u64,
    /// Number of the crash within that incarnation.
    pub number: u64,
}

#[derive(Clone, Debug)]
struct CrashRecord {
    at: Timestamp,
    /// Requests that were running and have not been cleared.
    suspects: IndexMap<RequestFingerprint, SuspectCall>,
}

/// The crashes of all upstreams that no known request explains, and the running quarantines. Only
/// the leader has a tally; a new leader starts with an empty one, and nodes repeat their reports.
#[derive(Clone, Debug, Default)]
pub struct CrashTally {
    /// Oldest first. At most [`MAX_CRASHES`].
    crashes: IndexMap<CrashId, CrashRecord>,
    /// Requests that a node has seen completed. Never quarantined. At most [`MAX_CLEARED`].
    cleared: IndexSet<RequestFingerprint>,
    /// Quarantined requests, with the time since when this leader knows of them.
    quarantined: IndexMap<RequestFingerprint, Timestamp>,
}

impl CrashTally {
    /// Records a crash and the requests that were running. Returns the request to quarantine, if the
    /// crash leaves only one explanation.
    pub fn record_crash(
        &mut self,
        now: Timestamp,
        id: CrashId,
        suspects: &[SuspectCall],
    ) -> Option<RequestFingerprint> {
        self.drop_old(now);
        let is_quarantined =
            |suspect: &SuspectCall| self.quarantined.contains_key(&suspect.fingerprint);
        if self.crashes.contains_key(&id) || suspects.iter().any(is_quarantined) {
            return None;
        }
        let is_open = |suspect: &&SuspectCall| !self.cleared.contains(&suspect.fingerprint);
        let suspects = suspects.iter().filter(is_open);
        let suspects: IndexMap<_, _> = suspects
            .map(|suspect| (suspect.fingerprint, *suspect))
            .collect();
        let candidates: Vec<_> = suspects.keys().copied().collect();
        self.crashes.insert(id, CrashRecord { at: now, suspects });
        let mut candidates = candidates.into_iter();
        candidates.find(|fingerprint| self.is_sole_explanation(*fingerprint))
    }

    /// Records that a request was completed. Returns whether it was quarantined and must be
    /// released.
    pub fn clear(&mut self, fingerprint: RequestFingerprint) -> bool {
        if self.cleared.len() >= MAX_CLEARED {
            self.cleared.shift_remove_index(0);
        }
        self.cleared.insert(fingerprint);
        for record in self.crashes.values_mut() {
            record.suspects.swap_remove(&fingerprint);
        }
        self.quarantined.contains_key(&fingerprint)
    }

    /// Follows the quarantines of the replicated catalog. The crashes that a quarantined request
    /// explains say nothing about the requests that were running beside it.
    pub fn set_quarantined(&mut self, now: Timestamp, quarantined: &[RequestFingerprint]) {
        self.quarantined.retain(|f, _| quarantined.contains(f));
        for fingerprint in quarantined {
            self.quarantined.entry(*fingerprint).or_insert(now);
        }
        let quarantined = &self.quarantined;
        self.crashes
            .retain(|_, record| !record.suspects.keys().any(|f| quarantined.contains_key(f)));
    }

    /// Returns the quarantines that have lasted for [`QUARANTINE_TIME`].
    pub fn take_expired(&mut self, now: Timestamp) -> Vec<RequestFingerprint> {
        let expired = self.quarantined.iter();
        let expired = expired.filter(|(_, since)| now.since(**since) >= QUARANTINE_TIME);
        let expired: Vec<_> = expired.map(|(fingerprint, _)| *fingerprint).collect();
        for fingerprint in &expired {
            // Proposed once for each span, in case the proposal is lost.
            self.quarantined.insert(*fingerprint, now);
        }
        expired
    }

    /// Whether the request was running at enough crashes, in calls that no single caller makes, and
    /// no other request was running at all of these crashes. If another one was, only a further
    /// crash can tell which of the two is deadly.
    fn is_sole_explanation(&self, fingerprint: RequestFingerprint) -> bool {
        let records = self.crashes.values();
        let records: Vec<_> = records
            .filter(|record| record.suspects.contains_key(&fingerprint))
            .collect();
        let calls = records.iter().filter_map(|record| {
            let suspect = record.suspects.get(&fingerprint)?;
            Some((suspect.entry, suspect.call_id))
        });
        let calls: IndexSet<(u64, u64)> = calls.collect();
        let entries: IndexSet<u64> = calls.iter().map(|(entry, _)| *entry).collect();
        let is_one_caller = entries.len() < MIN_ENTRIES && calls.len() < MIN_CALLS;
        if records.len() < MIN_CRASHES || is_one_caller {
            return false;
        }
        let mut others = records[0].suspects.keys().filter(|f| **f != fingerprint);
        let is_always_there = |other: &&RequestFingerprint| {
            records
                .iter()
                .all(|record| record.suspects.contains_key(*other))
        };
        !others.any(|other| is_always_there(&other))
    }

    fn drop_old(&mut self, now: Timestamp) {
        while let Some((_, record)) = self.crashes.first()
            && (self.crashes.len() >= MAX_CRASHES || now.since(record.at) >= CRASH_RETENTION)
        {
            self.crashes.shift_remove_index(0);
        }
    }
}
