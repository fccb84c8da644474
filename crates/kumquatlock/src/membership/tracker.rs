//! The leader's view of attached upstreams and the removal of lost ones.

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

/// What became of an attachment message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordOutcome {
    /// Taken over.
    Recorded,
    /// A later message of the same reporter is known.
    Late,
    /// [`MAX_REPORTERS`] are known; the message was not taken over.
    TooManyReporters,
}

/// Which upstreams to remove now.
#[derive(Clone, Debug, PartialEq)]
pub enum ExpiryDecision {
    /// Propose the removal of these; possibly none.
    Propose(Vec<UpstreamIncarnation>),
    /// The leader is new and does not know every attachment yet.
    GracePeriod,
    /// So many are unattached in this zone or region, since less than [`WITHHOLD_TIMEOUT`], that
    /// it looks like a partition.
    Withheld {
        /// Zone or region.
        domain: SharedName,
        /// Unattached upstreams there.
        unattached: usize,
        /// All upstreams there.
        total: usize,
    },
}

/// Times of the removal of lost upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpiryTiming {
    /// An upstream that is unattached for this long is removed.
    pub unattached_timeout: Duration,
    /// A new leader removes nothing for this long.
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

/// Soft state of one leader; a new leader starts with an empty one.
#[derive(Debug)]
pub struct AttachmentTracker {
    leader_since: Timestamp,
    limits: ExpiryTiming,
    /// At most [`MAX_REPORTERS`].
    reporters: IndexMap<SharedName, ReporterRecord>,
    /// Catalog upstreams that no live reporter lists, and since when.
    unattached: IndexMap<SharedName, Timestamp>,
    /// Zones and regions that look cut off, and since when.
    lost_places: IndexMap<LostPlace, Timestamp>,
    /// Recent removals by zone. At most a tenth of the zone each.
    removals: IndexMap<SharedName, VecDeque<Timestamp>>,
    /// Proposed removals that the catalog does not show yet.
    proposed: IndexMap<UpstreamIncarnation, Timestamp>,
}

#[derive(Debug)]
struct ReporterRecord {
    sequence: u64,
    heard: Timestamp,
    attached: IndexSet<UpstreamIncarnation>,
}

#[derive(Clone, Copy, Debug, Default)]
struct PlaceCount {
    total: usize,
    unattached: usize,
}

/// A zone or region that looks cut off.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum LostPlace {
    Zone(SharedName),
    Region(SharedName),
}

/// What the loss of its zone or region means for an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PlaceState {
    Present,
    /// Cut off since less than [`DOMAIN_REMOVAL_TIMEOUT`], or together with most of the mesh.
    CutOff,
    Gone,
}

impl AttachmentTracker {
    /// The state of a leader that took office at `now`.
    pub fn new(now: Timestamp) -> Self {
        AttachmentTracker::with_timing(now, ExpiryTiming::default())
    }

    /// The same with other limits than the default ones.
    pub fn with_timing(now: Timestamp, limits: ExpiryTiming) -> Self {
        AttachmentTracker {
            leader_since: now,
            limits,
            reporters: IndexMap::new(),
            unattached: IndexMap::new(),
            lost_places: IndexMap::new(),
            removals: IndexMap::new(),
            proposed: IndexMap::new(),
        }
    }

    /// Takes over what one parent says of its children.
    pub fn record(&mut self, now: Timestamp, message: &Attachment) -> RecordOutcome {
        let name = message.reporter.as_str();
        if !self.reporters.contains_key(name) && self.reporters.len() >= MAX_REPORTERS {
            self.reporters.retain(|_, record| record.is_live(now));
            if self.reporters.len() >= MAX_REPORTERS {
                return RecordOutcome::TooManyReporters;
            }
        }
        let record = self
            .reporters
            .entry(name.into())
            .or_insert_with(|| ReporterRecord {
                sequence: 0,
                heard: now,
                attached: IndexSet::new(),
            });
        if message.sequence <= record.sequence {
            return RecordOutcome::Late;
        }
        record.sequence = message.sequence;
        record.heard = now;
        if message.complete {
            record.attached.clear();
        }
        for upstream in &message.detached {
            record.attached.swap_remove(upstream);
        }
        record.attached.extend(message.attached.iter().cloned());
        RecordOutcome::Recorded
    }

    /// Upstreams of the catalog that no parent has attached now.
    pub fn unattached_count(&self) -> usize {
        self.unattached.len()
    }

    /// Decides which upstreams to remove. Called about once per second; the cost is one pass
    /// over the catalog.
    pub fn expire(&mut self, now: Timestamp, catalog: &Catalog) -> ExpiryDecision {
        let (zones, regions) = self.observe(now, catalog);
        if now.since(self.leader_since) < self.limits.leader_grace_period {
            return ExpiryDecision::GracePeriod;
        }
        if let Some(withheld) = self.note_lost_places(now, &zones, &regions) {
            // When a partition ends, nodes attach again over some seconds. Counting starts anew,
            // so that the last of them are not removed meanwhile.
            for since in self.unattached.values_mut() {
                *since = now;
            }
            return withheld;
        }
        self.propose(now, catalog, &zones)
    }

    /// Notes which zones and regions look cut off. Returns the first one that is lost since too
    /// short a time to be told from a partition.
    fn note_lost_places(
        &mut self,
        now: Timestamp,
        zones: &IndexMap<SharedName, PlaceCount>,
        regions: &IndexMap<SharedName, PlaceCount>,
    ) -> Option<ExpiryDecision> {
        let zones = zones
            .iter()
            .filter(|(_, count)| count.unattached > 1.max(count.total * UNATTACHED_PERCENT / 100));
        let regions = regions
            .iter()
            .filter(|(_, count)| count.unattached == count.total);
        let zones = zones.map(|(name, count)| (LostPlace::Zone(name.clone()), name, count));
        let regions = regions.map(|(name, count)| (LostPlace::Region(name.clone()), name, count));
        let mut withheld = None;
        let mut lost_places = IndexMap::new();
        for (place, name, count) in zones.chain(regions) {
            let since = self.lost_places.get(&place).copied().unwrap_or(now);
            lost_places.insert(place, since);
            if now.since(since) < WITHHOLD_TIMEOUT {
                withheld.get_or_insert(ExpiryDecision::Withheld {
                    domain: name.clone(),
                    unattached: count.unattached,
                    total: count.total,
                });
            }
        }
        self.lost_places = lost_places;
        withheld
    }

    /// State of the zone and region of an upstream.
    fn place_state(&self, now: Timestamp, item: &UpstreamItem, is_majority: bool) -> PlaceState {
        let places = [
            LostPlace::Zone(item.zone.as_str().into()),
            LostPlace::Region(item.region.as_str().into()),
        ];
        let since = places
            .iter()
            .filter_map(|place| self.lost_places.get(place));
        match since.min() {
            None => PlaceState::Present,
            Some(since) if is_majority && now.since(*since) >= DOMAIN_REMOVAL_TIMEOUT => {
                PlaceState::Gone
            }
            Some(_) => PlaceState::CutOff,
        }
    }

    /// Updates since when each upstream has been unattached, and counts per zone and region.
    fn observe(
        &mut self,
        now: Timestamp,
        catalog: &Catalog,
    ) -> (
        IndexMap<SharedName, PlaceCount>,
        IndexMap<SharedName, PlaceCount>,
    ) {
        let mut attached: IndexMap<&str, u64> = IndexMap::new();
        for record in self.reporters.values().filter(|record| record.is_live(now)) {
            for upstream in &record.attached {
                let incarnation = attached.entry(&upstream.name).or_default();
                *incarnation = upstream.incarnation.max(*incarnation);
            }
        }
        let mut zones: IndexMap<SharedName, PlaceCount> = IndexMap::new();
        let mut regions: IndexMap<SharedName, PlaceCount> = IndexMap::new();
        let mut unattached = IndexMap::new();
        for item in catalog.upstreams() {
            // A later run that is attached already is about to replace the recorded one.
            let held = attached.get(item.name.as_str());
            let is_attached = held.is_some_and(|&held| held >= item.incarnation);
            for (counts, place) in [(&mut zones, &item.zone), (&mut regions, &item.region)] {
                let count = counts.entry(place.as_str().into()).or_default();
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
        zones: &IndexMap<SharedName, PlaceCount>,
    ) -> ExpiryDecision {
        self.proposed
            .retain(|_, since| now.since(*since) < PROPOSAL_TIMEOUT);
        let total: usize = zones.values().map(|count| count.total).sum();
        let is_majority = self.unattached.len() * 2 < total;
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
            let divisor = match self.place_state(now, item, is_majority) {
                PlaceState::Present => REMOVAL_DIVISOR,
                PlaceState::CutOff => {
                    // As while everything is withheld: counting starts when the loss ends.
                    restarted.push(name.clone());
                    continue;
                }
                PlaceState::Gone => LOST_DOMAIN_REMOVAL_DIVISOR,
            };
            if now.since(since) < self.limits.unattached_timeout {
                continue;
            }
            if self.proposed.contains_key(&expiry) {
                continue;
            }
            let total = zones.get(item.zone.as_str()).map_or(0, |count| count.total);
            let zone: SharedName = item.zone.as_str().into();
            let recent = self.removals.entry(zone).or_default();
            while recent
                .front()
                .is_some_and(|&at| now.since(at) >= REMOVAL_WINDOW)
            {
                recent.pop_front();
            }
            if recent.len() < (total / divisor).max(1) {
                recent.push_back(now);
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
    fn is_live(&self, now: Timestamp) -> bool {
        now.since(self.heard) < REPORTER_TIMEOUT
    }
}
