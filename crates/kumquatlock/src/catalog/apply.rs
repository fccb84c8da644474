//! Decisions on committed entries.

use std::net::SocketAddr;

use kumquatlock_wire::distribution::{
    CatalogCommand, ManifestChange, RouteItem, ServiceItem, UpstreamIncarnation, UpstreamItem,
    UpstreamReport, WireState, catalog_command,
};

use super::{
    AcceptedRecord, Catalog, MAX_ACCEPTED_MANIFESTS, MAX_SEEN_REGIONS, MAX_UPSTREAMS,
    store::CatalogItem,
};
use crate::core::{ConfigVersion, IncarnationId, SharedName};
use crate::manifest::{ManifestDocument, ManifestError, is_valid_name};

/// What became of a committed entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// A submitted manifest was decided.
    Manifest(ManifestDecision),
    /// A report of an upstream was decided.
    Report(ReportDecision),
    /// The upstream was removed.
    Expired,
    /// The upstream was gone already or has another incarnation.
    NotExpired,
    /// The entry is not above the last applied one; it had its effect before.
    AlreadyApplied,
    /// The command holds nothing that this release knows.
    UnknownCommand,
}

/// Answer to the operator who submitted a manifest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ManifestDecision {
    /// Accepted now or, for a resend, at first.
    Accepted {
        /// Version that the operator gave.
        manifest_version: u64,
        /// Log index of the acceptance.
        config_version: ConfigVersion,
    },
    /// The version was accepted with other content.
    Conflict {
        /// Version that the operator gave.
        manifest_version: u64,
        /// Digest of the accepted content.
        accepted_digest: u64,
    },
    /// The version is below the accepted one and not remembered.
    Stale {
        /// Version that the operator gave.
        manifest_version: u64,
        /// Newest accepted version.
        accepted_version: u64,
    },
    /// The manifest follows another version than the accepted one.
    OtherBase {
        /// Version that the operator gave.
        manifest_version: u64,
        /// Newest accepted version.
        accepted_version: u64,
    },
    /// Another manifest was accepted since the difference was taken; it has to be taken anew.
    Overtaken,
    /// The manifest fails a check.
    Invalid(ManifestError),
}

/// What became of a report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReportDecision {
    /// The upstream was added, changed or removed.
    Recorded,
    /// The catalog says the same already.
    Unchanged,
    /// The report was refused.
    Refused(ReportRefusal),
}

/// Why a report was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ReportRefusal {
    /// A later run of the upstream is known.
    #[error("incarnation is below {recorded}")]
    LowerIncarnation {
        /// Incarnation that is known.
        recorded: IncarnationId,
    },
    /// This run has left or was expired. It needs a higher incarnation to come back.
    #[error("incarnation has ended")]
    EndedIncarnation,
    /// A draining upstream does not serve again under the same incarnation.
    #[error("upstream is draining")]
    AlreadyDraining,
    /// Proxies could not use the item.
    #[error("report holds an invalid value")]
    Invalid,
    /// The catalog holds [`MAX_UPSTREAMS`].
    #[error("catalog holds {MAX_UPSTREAMS} upstreams")]
    Full,
}

impl Catalog {
    /// Applies the command of a committed entry. Deterministic: depends on nothing but the
    /// entries applied before.
    pub fn apply(&mut self, index: u64, command: &CatalogCommand) -> ApplyOutcome {
        use catalog_command::Kind;
        if index <= self.applied_index {
            return ApplyOutcome::AlreadyApplied;
        }
        self.applied_index = index;
        match &command.kind {
            Some(Kind::Manifest(text)) => ApplyOutcome::Manifest(self.apply_manifest(index, text)),
            Some(Kind::Report(report)) => ApplyOutcome::Report(self.apply_report(index, report)),
            Some(Kind::Change(change)) => ApplyOutcome::Manifest(self.apply_change(index, change)),
            Some(Kind::Expire(expiry)) => self.apply_expiry(index, expiry),
            None => ApplyOutcome::UnknownCommand,
        }
    }

    /// What a manifest would be answered if it were applied now, without applying it. `None`
    /// means that it would be accepted.
    pub fn preview_manifest(&self, document: &ManifestDocument) -> Option<ManifestDecision> {
        let manifest_version = document.version;
        match self.accepted.get(&manifest_version) {
            Some(record) if record.digest == document.digest => Some(ManifestDecision::Accepted {
                manifest_version,
                config_version: record.config_version,
            }),
            Some(record) => Some(ManifestDecision::Conflict {
                manifest_version,
                accepted_digest: record.digest,
            }),
            None if document
                .follows
                .is_some_and(|base| base != self.manifest_version) =>
            {
                Some(ManifestDecision::OtherBase {
                    manifest_version,
                    accepted_version: self.manifest_version,
                })
            }
            None if manifest_version <= self.manifest_version => Some(ManifestDecision::Stale {
                manifest_version,
                accepted_version: self.manifest_version,
            }),
            None => None,
        }
    }

    /// Whether the catalog would change if the report were applied now. One that would not need
    /// not be proposed; nodes repeat reports until they see the result.
    pub fn is_changed_by(&self, report: &UpstreamReport) -> bool {
        let effect = self.decide_report(&report.upstream);
        matches!(effect, Ok(ReportEffect::Upsert(_) | ReportEffect::Remove))
    }

    fn apply_manifest(&mut self, index: u64, text: &[u8]) -> ManifestDecision {
        let document = match ManifestDocument::parse(text) {
            Ok(document) => document,
            Err(error) => return ManifestDecision::Invalid(error),
        };
        if let Some(decision) = self.preview_manifest(&document) {
            return decision;
        }
        let accepted = self.accept(index, document.version, document.digest);
        self.limits = document.limits;
        self.manifest_source = document.source;
        self.replace_items::<RouteItem>(document.routes, index);
        self.replace_items::<ServiceItem>(document.services, index);
        self.flag_admitted(index);
        accepted
    }

    fn accept(&mut self, index: u64, manifest_version: u64, digest: u64) -> ManifestDecision {
        let config_version = ConfigVersion(index);
        let record = AcceptedRecord {
            digest,
            config_version,
        };
        self.accepted.insert(manifest_version, record);
        if self.accepted.len() > MAX_ACCEPTED_MANIFESTS {
            self.accepted.shift_remove_index(0);
        }
        self.version = config_version;
        self.manifest_version = manifest_version;
        self.manifest_changed_at = config_version;
        ManifestDecision::Accepted {
            manifest_version,
            config_version,
        }
    }

    /// What a manifest changes in the accepted one.
    pub fn diff_manifest(&self, document: ManifestDocument) -> ManifestChange {
        let (services, removed_services) = self.difference(document.services);
        let (routes, removed_routes) = self.difference(document.routes);
        ManifestChange {
            manifest_version: document.version,
            from_version: self.manifest_version,
            digest: document.digest,
            services,
            routes,
            removed_services,
            removed_routes,
            limits: document.limits,
            source: document.source,
        }
    }

    /// Items that are new or differ, and names of those that are gone.
    fn difference<I: CatalogItem>(&self, items: Vec<I>) -> (Vec<I>, Vec<String>) {
        let held = I::map(&self.store);
        let mut removed: std::collections::BTreeSet<SharedName> = held.keys().cloned().collect();
        let mut changed = Vec::new();
        for item in items {
            removed.remove(item.name());
            if held
                .get(item.name())
                .is_none_or(|stored| stored.item != item)
            {
                changed.push(item);
            }
        }
        let removed = removed.iter().map(ToString::to_string).collect();
        (changed, removed)
    }

    fn apply_change(&mut self, index: u64, change: &ManifestChange) -> ManifestDecision {
        let manifest_version = change.manifest_version;
        if let Some(record) = self.accepted.get(&manifest_version)
            && record.digest == change.digest
        {
            return ManifestDecision::Accepted {
                manifest_version,
                config_version: record.config_version,
            };
        }
        if change.from_version != self.manifest_version || manifest_version <= self.manifest_version
        {
            return ManifestDecision::Overtaken;
        }
        let accepted = self.accept(index, manifest_version, change.digest);
        self.limits = change.limits;
        self.manifest_source = change.source.clone();
        for name in &change.removed_routes {
            self.store.remove::<RouteItem>(name, index);
        }
        for name in &change.removed_services {
            self.store.remove::<ServiceItem>(name, index);
        }
        for service in &change.services {
            self.store.upsert(service.clone(), index);
        }
        for route in &change.routes {
            self.store.upsert(route.clone(), index);
        }
        self.flag_admitted(index);
        accepted
    }

    /// Items that the new manifest repeats unchanged keep their version and are not sent again.
    fn replace_items<I: CatalogItem>(&mut self, items: Vec<I>, index: u64) {
        let mut removed: std::collections::BTreeSet<SharedName> =
            I::map(&self.store).keys().cloned().collect();
        for item in items {
            removed.remove(item.name());
            self.store.upsert(item, index);
        }
        for name in removed {
            self.store.remove::<I>(&name, index);
        }
    }

    /// Flags the first upstream of each (service, region) that a new manifest admits. Of those
    /// admitted at the same entry the lowest name is the first.
    fn flag_admitted(&mut self, index: u64) {
        let candidates: Vec<UpstreamItem> = self
            .upstreams()
            .filter(|item| item.state == WireState::Serving as i32)
            .cloned()
            .collect();
        for mut item in candidates {
            if self.claim_first(&item) {
                item.first_in_region = true;
                self.store.upsert(item, index);
            }
        }
    }

    /// Whether the upstream is the first admitted one of its service and region, and from now
    /// on recorded as such.
    fn claim_first(&mut self, item: &UpstreamItem) -> bool {
        let admitted = self
            .store
            .services
            .get(item.service.as_str())
            .is_some_and(|service| admits(&service.item, &item.name));
        if !admitted || self.seen_regions.len() >= MAX_SEEN_REGIONS {
            return false;
        }
        let pair = (item.service.as_str().into(), item.region.as_str().into());
        self.seen_regions.insert(pair)
    }

    fn apply_report(&mut self, index: u64, report: &UpstreamReport) -> ReportDecision {
        match self.decide_report(&report.upstream) {
            Ok(ReportEffect::Unchanged) => ReportDecision::Unchanged,
            Ok(ReportEffect::Remove) => {
                let name = &report.upstream.name;
                if !self.store.remove::<UpstreamItem>(name, index) {
                    return ReportDecision::Unchanged;
                }
                // The leave may belong to a later run than the recorded one.
                let incarnation = report.upstream.incarnation;
                self.store
                    .bury(UpstreamItem::KIND, name, index, incarnation);
                self.version = ConfigVersion(index);
                ReportDecision::Recorded
            }
            Ok(ReportEffect::Upsert(mut item)) => {
                if item.state == WireState::Serving as i32 && !item.first_in_region {
                    item.first_in_region = self.claim_first(&item);
                }
                self.store.upsert(item, index);
                self.version = ConfigVersion(index);
                ReportDecision::Recorded
            }
            Err(refusal) => ReportDecision::Refused(refusal),
        }
    }

    fn decide_report(&self, item: &UpstreamItem) -> Result<ReportEffect, ReportRefusal> {
        let state = WireState::try_from(item.state).map_err(|_| ReportRefusal::Invalid)?;
        if !is_usable(item) {
            return Err(ReportRefusal::Invalid);
        }
        let Some(held) = self.upstream(&item.name) else {
            return self.decide_new(item, state);
        };
        if item.incarnation < held.incarnation {
            return Err(ReportRefusal::LowerIncarnation {
                recorded: IncarnationId(held.incarnation),
            });
        }
        let mut next = item.clone();
        next.first_in_region = false;
        if item.incarnation > held.incarnation {
            // A new run starts without the claims of the old one, so it is not the first.
            return Ok(match state {
                WireState::Left => ReportEffect::Remove,
                _ => ReportEffect::Upsert(next),
            });
        }
        match (WireState::try_from(held.state), state) {
            (_, WireState::Left) => Ok(ReportEffect::Remove),
            (Ok(WireState::Serving), WireState::Draining) => {
                // Only the state changes under one incarnation.
                let mut next = held.clone();
                next.state = WireState::Draining as i32;
                Ok(ReportEffect::Upsert(next))
            }
            (Ok(WireState::Draining), WireState::Serving) => Err(ReportRefusal::AlreadyDraining),
            _ => Ok(ReportEffect::Unchanged),
        }
    }

    fn decide_new(
        &self,
        item: &UpstreamItem,
        state: WireState,
    ) -> Result<ReportEffect, ReportRefusal> {
        if let Some(ended) = self.store.buried_incarnation(&item.name) {
            if state == WireState::Left && item.incarnation == ended {
                return Ok(ReportEffect::Unchanged);
            }
            if item.incarnation < ended {
                return Err(ReportRefusal::LowerIncarnation {
                    recorded: IncarnationId(ended),
                });
            }
            // A delayed copy of a report must not bring back an upstream that left.
            if item.incarnation == ended {
                return Err(ReportRefusal::EndedIncarnation);
            }
        }
        if state == WireState::Left {
            return Ok(ReportEffect::Unchanged);
        }
        if self.store.upstreams.len() >= MAX_UPSTREAMS {
            return Err(ReportRefusal::Full);
        }
        let mut next = item.clone();
        next.first_in_region = false;
        Ok(ReportEffect::Upsert(next))
    }

    fn apply_expiry(&mut self, index: u64, expiry: &UpstreamIncarnation) -> ApplyOutcome {
        let held = self.upstream(&expiry.name);
        if held.is_none_or(|item| item.incarnation != expiry.incarnation) {
            return ApplyOutcome::NotExpired;
        }
        self.store.remove::<UpstreamItem>(&expiry.name, index);
        self.version = ConfigVersion(index);
        ApplyOutcome::Expired
    }
}

enum ReportEffect {
    Unchanged,
    Upsert(UpstreamItem),
    Remove,
}

/// Whether every proxy can build an entry from the item. An item that none can use would make
/// all of them reject the version.
fn is_usable(item: &UpstreamItem) -> bool {
    [&item.name, &item.service, &item.zone, &item.region]
        .into_iter()
        .all(|name| is_valid_name(name))
        && item.node_address.parse::<SocketAddr>().is_ok()
        && item.incarnation > 0
        && item.slots > 0
}

fn admits(service: &ServiceItem, upstream: &str) -> bool {
    service
        .patterns
        .iter()
        .any(|pattern| match pattern.strip_suffix('*') {
            Some(prefix) => upstream.starts_with(prefix),
            None => pattern == upstream,
        })
}
