//! Tracks on the leader which upstreams are attached, and selects lost ones for removal.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use kumquatlock_wire::distribution::{Attachment, UpstreamIncarnation, UpstreamItem};

use super::{
    DOMAIN_REMOVAL_TIMEOUT, LEADER_GRACE_PERIOD, LOST_DOMAIN_REMOVAL_DIVISOR, MAX_REPORTERS,
    PROPOSAL_TIMEOUT, REMOVAL_DIVISOR, REMOVAL_WINDOW, UNATTACHED_PERCENT, UNATTACHED_TIMEOUT,
    WITHHOLD_TIMEOUT,
};
use crate::catalog::Catalog;
use crate::core::{SharedName, Timestamp};
use crate::distribution::REPORTER_TIMEOUT;

/// Result of recording an attachment message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordOutcome {
    /// The message was recorded.
    Recorded,
    /// The message was ignored, because a later one of the same reporter has been recorded.
    Late,
    /// The message was ignored, because [`MAX_REPORTERS`] reporters are tracked already.
    TooManyReporters,
}

/// Decision on the removal of unattached upstreams.
#[derive(Clone, Debug, PartialEq)]
pub enum ExpiryDecision {
    /// Propose the removal of these upstreams. The list may be empty.
    Propose(Vec<UpstreamIncarnation>),
    /// Remove nothing: the leader is new and may not know all attachments yet.
    GracePeriod,
    /// Remove nothing: the number of unattached upstreams in one zone or region indicates a network
    /// partition, which has lasted less than [`WITHHOLD_TIMEOUT`].
    Withheld {
        /// Name of the zone or region.
        domain: SharedName,
        /// Number of unattached upstreams in it.
        unattached: usize,
        /// Number of all upstreams in it.
        total: usize,
    },
}

/// Timeouts for the removal of lost upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpiryTiming {
    /// Time after which an unattached upstream is removed.
    pub unattached_timeout: Duration,
    /// Time after an election during which the leader removes nothing.
    pub leader_grace_period: Duration,
}

impl Default for ExpiryTiming {
    fn default() -> Self {
        ExpiryTiming {
            unattached_timeout: UNATTACHED_TIMEOUT,
            leader_grace_period: LEADER_GRACE_PERIOD,
        }
    }
}

/// Attachments of upstreams as seen by one leader. The state is not replicated; a new leader starts
/// with an empty tracker.
#[derive(Debug)]
pub struct AttachmentTracker {
    leader_since: Timestamp,
    timing: ExpiryTiming,
    /// At most [`MAX_REPORTERS`].
    reporters: IndexMap<SharedName, ReporterRecord>,
    /// Upstreams in the catalog that no current reporter lists, each with the time since when.
    unattached: IndexMap<SharedName, Timestamp>,
    /// Zones and regions that appear cut off, each with the time since when.
    lost_domains: IndexMap<FailureDomain, Timestamp>,
    /// Times of the removals within the last [`REMOVAL_WINDOW`], by zone. At most a tenth of the
    /// zone's upstreams, or one, each.
    recent_removals: IndexMap<SharedName, VecDeque<Timestamp>>,
    /// Proposed removals that the catalog has not applied yet, each with the time of the proposal.
    proposed: IndexMap<UpstreamIncarnation, Timestamp>,
}

#[derive(Debug)]
struct ReporterRecord {
    sequence: u64,
    heard_at: Timestamp,
    attached: IndexSet<UpstreamIncarnation>,
}

#[derive(Clone, Copy, Debug, Default)]
struct DomainCount {
    total: usize,
    unattached: usize,
}

/// A zone or region, whose upstreams may become unreachable together.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum FailureDomain {
    Zone(SharedName),
    Region(SharedName),
}

/// State of the zone and region of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DomainState {
    Present,
    /// The zone or region appears cut off, either for less than [`DOMAIN_REMOVAL_TIMEOUT`] or while
    /// most upstreams of the mesh are unattached.
    CutOff,
    /// The zone or region has appeared cut off for [`DOMAIN_REMOVAL_TIMEOUT`].
    Lost,
}

impl AttachmentTracker {
    /// Creates the tracker of a leader that was elected at `now`.
    pub fn new(now: Timestamp) -> Self {
        AttachmentTracker::with_timing(now, ExpiryTiming::default())
    }

    /// Creates a tracker with other timeouts than the default ones.
    pub fn with_timing(now: Timestamp, timing: ExpiryTiming) -> Self {
        AttachmentTracker {
            leader_since: now,
            timing,
            reporters: IndexMap::new(),
            unattached: IndexMap::new(),
            lost_domains: IndexMap::new(),
            recent_removals: IndexMap::new(),
            proposed: IndexMap::new(),
        }
    }

    /// Records the attachments that one parent reports for its children.
    pub fn record(&mut self, now: Timestamp, message: &Attachment) -> RecordOutcome {
        let name = message.reporter.as_str();
        if !self.reporters.contains_key(name) && self.reporters.len() >= MAX_REPORTERS {
            self.reporters.retain(|_, record| record.is_reporting(now));
            if self.reporters.len() >= MAX_REPORTERS {
                return RecordOutcome::TooManyReporters;
            }
        }
        let record = self
            .reporters
            .entry(name.into())
            .or_insert_with(|| ReporterRecord {
                sequence: 0,
                heard_at: now,
                attached: IndexSet::new(),
            });
        if message.sequence <= record.sequence {
            return RecordOutcome::Late;
        }
        record.sequence = message.sequence;
        record.heard_at = now;
        if message.complete {
            record.attached.clear();
        }
        for upstream in &message.detached {
            record.attached.swap_remove(upstream);
        }
        record.attached.extend(message.attached.iter().cloned());
        RecordOutcome::Recorded
    }

    /// Returns the number of upstreams in the catalog that are not attached to any parent.
    pub fn unattached_count(&self) -> usize {
        self.unattached.len()
    }

    /// Decides which upstreams to remove. Called about once per second; each call iterates over the
    /// whole catalog.
    pub fn expire(&mut self, now: Timestamp, catalog: &Catalog) -> ExpiryDecision {
        let (zones, regions) = self.count_unattached(now, catalog);
        if now.since(self.leader_since) < self.timing.leader_grace_period {
            return ExpiryDecision::GracePeriod;
        }
        if let Some(withheld) = self.update_lost_domains(now, &zones, &regions) {
            // When a partition ends, its nodes attach again over several seconds. Restarting the
            // timeout of all unattached upstreams prevents removal of those that attach last.
            for since in self.unattached.values_mut() {
                *since = now;
            }
            return withheld;
        }
        self.propose(now, catalog, &zones)
    }

    /// Updates the set of zones and regions that appear cut off. Returns
    /// [`ExpiryDecision::Withheld`] for the first one that has been cut off for less than
    /// [`WITHHOLD_TIMEOUT`], because it may be a partition.
    fn update_lost_domains(
        &mut self,
        now: Timestamp,
        zones: &IndexMap<SharedName, DomainCount>,
        regions: &IndexMap<SharedName, DomainCount>,
    ) -> Option<ExpiryDecision> {
        let zones = zones
            .iter()
            .filter(|(_, count)| count.unattached > 1.max(count.total * UNATTACHED_PERCENT / 100));
        let regions = regions
            .iter()
            .filter(|(_, count)| count.unattached == count.total);
        let zones = zones.map(|(name, count)| (FailureDomain::Zone(name.clone()), name, count));
        let regions =
            regions.map(|(name, count)| (FailureDomain::Region(name.clone()), name, count));
        let mut withheld = None;
        let mut lost_domains = IndexMap::new();
        for (domain, name, count) in zones.chain(regions) {
            let since = self.lost_domains.get(&domain).copied().unwrap_or(now);
            lost_domains.insert(domain, since);
            if now.since(since) < WITHHOLD_TIMEOUT {
                withheld.get_or_insert(ExpiryDecision::Withheld {
                    domain: name.clone(),
                    unattached: count.unattached,
                    total: count.total,
                });
            }
        }
        self.lost_domains = lost_domains;
        withheld
    }

    /// Returns the state of the zone and region of an upstream.
    fn domain_state(
        &self,
        now: Timestamp,
        item: &UpstreamItem,
        has_attached_majority: bool,
    ) -> DomainState {
        let domains = [
            FailureDomain::Zone(item.zone.as_str().into()),
            FailureDomain::Region(item.region.as_str().into()),
        ];
        let since = domains
            .iter()
            .filter_map(|domain| self.lost_domains.get(domain));
        match since.min() {
            None => DomainState::Present,
            Some(since) if has_attached_majority && now.since(*since) >= DOMAIN_REMOVAL_TIMEOUT => {
                DomainState::Lost
            }
            Some(_) => DomainState::CutOff,
        }
    }

    /// Updates since when each upstream has been unattached. Returns the numbers of upstreams per
    /// zone and per region.
    fn count_unattached(
        &mut self,
        now: Timestamp,
        catalog: &Catalog,
    ) -> (
        IndexMap<SharedName, DomainCount>,
        IndexMap<SharedName, DomainCount>,
    ) {
        let mut attached: IndexMap<&str, u64> = IndexMap::new();
        for record in self
            .reporters
            .values()
            .filter(|record| record.is_reporting(now))
        {
            for upstream in &record.attached {
                let incarnation = attached.entry(&upstream.name).or_default();
                *incarnation = upstream.incarnation.max(*incarnation);
            }
        }
        let mut zones: IndexMap<SharedName, DomainCount> = IndexMap::new();
        let mut regions: IndexMap<SharedName, DomainCount> = IndexMap::new();
        let mut unattached = IndexMap::new();
        for item in catalog.upstreams() {
            // An attached upstream with a later incarnation is about to replace the one in the
            // catalog.
            let reported = attached.get(item.name.as_str());
            let is_attached = reported.is_some_and(|&reported| reported >= item.incarnation);
            for (counts, domain) in [(&mut zones, &item.zone), (&mut regions, &item.region)] {
                let count = counts.entry(domain.as_str().into()).or_default();
                count.total += 1;
                count.unattached += usize::from(!is_attached);
            }
            if !is_attached {
                let known = self.unattached.get_key_value(item.name.as_str());
                let (name, since) = match known {
                    Some((name, &since)) => (name.clone(), since),
                    None => (item.name.as_str().into(), now),
                };
                unattached.insert(name, since);
            }
        }
        self.unattached = unattached;
        (zones, regions)
    }

    fn propose(
        &mut self,
        now: Timestamp,
        catalog: &Catalog,
        zones: &IndexMap<SharedName, DomainCount>,
    ) -> ExpiryDecision {
        self.proposed
            .retain(|_, since| now.since(*since) < PROPOSAL_TIMEOUT);
        let total: usize = zones.values().map(|count| count.total).sum();
        let has_attached_majority = self.unattached.len() * 2 < total;
        let mut proposals = Vec::new();
        let mut restarted = Vec::new();
        for (name, &since) in &self.unattached {
            let Some(item) = catalog.upstream(name) else {
                continue;
            };
            let expiry = UpstreamIncarnation {
                name: item.name.clone(),
                incarnation: item.incarnation,
            };
            let divisor = match self.domain_state(now, item, has_attached_majority) {
                DomainState::Present => REMOVAL_DIVISOR,
                DomainState::CutOff => {
                    // Restarts the timeout of the upstream, so that it begins only when this state
                    // ends. All timeouts are restarted in the same way while removals are withheld.
                    restarted.push(name.clone());
                    continue;
                }
                DomainState::Lost => LOST_DOMAIN_REMOVAL_DIVISOR,
            };
            if now.since(since) < self.timing.unattached_timeout {
                continue;
            }
            if self.proposed.contains_key(&expiry) {
                continue;
            }
            let total = zones.get(item.zone.as_str()).map_or(0, |count| count.total);
            let zone: SharedName = item.zone.as_str().into();
            let window = self.recent_removals.entry(zone).or_default();
            while window
                .front()
                .is_some_and(|&at| now.since(at) >= REMOVAL_WINDOW)
            {
                window.pop_front();
            }
            if window.len() < (total / divisor).max(1) {
                window.push_back(now);
                self.proposed.insert(expiry.clone(), now);
                proposals.push(expiry);
            }
        }
        for name in restarted {
            self.unattached.insert(name, now);
        }
        ExpiryDecision::Propose(proposals)
    }
}

impl ReporterRecord {
    fn is_reporting(&self, now: Timestamp) -> bool {
        now.since(self.heard_at) < REPORTER_TIMEOUT
    }
}
