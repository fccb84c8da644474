//! Application of committed entries to the catalog.

use std::net::SocketAddr;

use kumquatlock_wire::distribution::{
    AccountItem, CatalogCommand, EndedRun, EndedStart, ManifestChange, RouteItem, RunEnd,
    ServiceItem, UpstreamIncarnation, UpstreamItem, UpstreamReport, WireState, catalog_command,
};
use kumquatlock_wire::quarantine::QuarantineChange;
use kumquatlock_wire::rollout::{RolloutChange, rollout_change};

use super::{
    AcceptedRecord, Catalog, MAX_ACCEPTED_MANIFESTS, MAX_SEEN_REGIONS, MAX_UPSTREAMS, ended_run,
    ended_start, store::CatalogItem,
};
use crate::core::{ConfigVersion, IncarnationId, SharedName, stable_hash};
use crate::manifest::{ManifestDocument, ManifestError, is_valid_name};
use crate::quarantine::MAX_QUARANTINED;
use crate::rollout::{AdvanceOutcome, OrderDecision, OrderFault, is_valid_version};

/// Outcome of applying a committed entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// A submitted manifest was accepted or rejected.
    Manifest(ManifestDecision),
    /// A report of an upstream was recorded or refused.
    Report(ReportDecision),
    /// The expired upstream was removed.
    Expired,
    /// The upstream had already been removed, or has another incarnation.
    NotExpired,
    /// The end of a run was recorded; `false` if nothing changed.
    RunEnd(bool),
    /// Requests were quarantined or released; `false` if nothing changed.
    Quarantine(bool),
    /// An operator's order of a rollout was decided.
    Order(OrderDecision),
    /// A rollout was moved on.
    Advance(AdvanceOutcome),
    /// The entry's index is not above the last applied index, so the entry has already taken
    /// effect.
    AlreadyApplied,
    /// The command is of a kind that this release does not know.
    UnknownCommand,
}

/// Answer to an operator that submitted a manifest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ManifestDecision {
    /// The manifest was accepted, either now or, for a resend, when it was first submitted.
    Accepted {
        /// Version that the operator gave.
        manifest_version: u64,
        /// Log index at which the manifest was accepted.
        config_version: ConfigVersion,
    },
    /// A manifest with the same version but different content was accepted before.
    Conflict {
        /// Version that the operator gave.
        manifest_version: u64,
        /// Digest of the accepted content.
        accepted_digest: u64,
    },
    /// The version is not above the newest accepted version, and is not remembered as accepted.
    Stale {
        /// Version that the operator gave.
        manifest_version: u64,
        /// Newest accepted version.
        accepted_version: u64,
    },
    /// The version that the manifest must follow is not the newest accepted version.
    OtherBase {
        /// Version that the operator gave.
        manifest_version: u64,
        /// Newest accepted version.
        accepted_version: u64,
    },
    /// Another manifest was accepted after the difference was computed. The difference must be
    /// computed again.
    Overtaken,
    /// The manifest is not valid.
    Invalid(ManifestError),
}

/// Outcome of a report of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReportDecision {
    /// The upstream was added, changed or removed.
    Recorded,
    /// The catalog already contains the reported state.
    Unchanged,
    /// The report was refused.
    Refused(ReportRefusal),
}

/// Why a report was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ReportRefusal {
    /// A later incarnation of the upstream is recorded.
    #[error("incarnation is lower than the recorded incarnation {recorded}")]
    LowerIncarnation {
        /// Incarnation that is recorded.
        recorded: IncarnationId,
    },
    /// The upstream left or expired under this incarnation. It needs a higher incarnation to serve
    /// again.
    #[error("incarnation has ended")]
    EndedIncarnation,
    /// The run of the upstream has announced that it drains or leaves. Another run may serve.
    #[error("run of the upstream has ended")]
    EndedRun,
    /// The upstream is draining, and cannot serve again under the same incarnation.
    #[error("upstream is draining")]
    AlreadyDraining,
    /// The report contains a value that nodes could not use.
    #[error("report contains an invalid value")]
    Invalid,
    /// The catalog already contains [`MAX_UPSTREAMS`] upstreams.
    #[error("catalog already contains {MAX_UPSTREAMS} upstreams, which is the limit")]
    Full,
}

impl Catalog {
    /// Applies the command of a committed entry. The result is deterministic: it depends only on
    /// the entries applied so far.
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
            Some(Kind::Quarantine(change)) => {
                ApplyOutcome::Quarantine(self.apply_quarantine(index, change))
            }
            Some(Kind::Rollout(change)) => self.apply_rollout(index, change),
            Some(Kind::RunEnd(end)) => ApplyOutcome::RunEnd(self.apply_run_end(index, end)),
            None => ApplyOutcome::UnknownCommand,
        }
    }

    /// Whether the report would change the catalog if it were applied now. A report that would not
    /// change it need not be proposed. Nodes repeat a report until they see its result.
    pub fn is_changed_by(&self, report: &UpstreamReport) -> bool {
        let effect = self.decide_report(report);
        matches!(effect, Ok(ReportEffect::Upsert(_) | ReportEffect::Remove))
            || self.is_run_ended_by(report)
    }

    fn apply_manifest(&mut self, index: u64, text: &[u8]) -> ManifestDecision {
        let document = match ManifestDocument::parse(text) {
            Ok(document) => document,
            Err(error) => return ManifestDecision::Invalid(error),
        };
        if let Some(decision) = self.decide_manifest(&document) {
            return decision;
        }
        let accepted = self.record_accepted(index, document.version, document.digest);
        self.limits = document.limits;
        self.manifest_source = document.source;
        self.replace_items::<RouteItem>(document.routes, index);
        self.replace_items::<ServiceItem>(document.services, index);
        self.replace_items::<AccountItem>(document.accounts, index);
        self.flag_first_admitted(index);
        accepted
    }

    fn record_accepted(
        &mut self,
        index: u64,
        manifest_version: u64,
        digest: u64,
    ) -> ManifestDecision {
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

    /// Returns the difference between the accepted manifest and a new one.
    pub fn diff_manifest(&self, document: &ManifestDocument) -> ManifestChange {
        let (services, removed_services) = self.diff_items(&document.services);
        let (routes, removed_routes) = self.diff_items(&document.routes);
        let (accounts, removed_accounts) = self.diff_items(&document.accounts);
        ManifestChange {
            manifest_version: document.version,
            from_version: self.manifest_version,
            digest: document.digest,
            services,
            routes,
            removed_services,
            removed_routes,
            limits: document.limits,
            source: document.source.clone(),
            accounts,
            removed_accounts,
        }
    }

    /// Returns the items that are new or different, and the names of the items that are removed.
    fn diff_items<I: CatalogItem>(&self, items: &[I]) -> (Vec<I>, Vec<String>) {
        let current_items = I::map(&self.store);
        let mut removed: std::collections::BTreeSet<SharedName> =
            current_items.keys().cloned().collect();
        let mut changed = Vec::new();
        for item in items {
            removed.remove(item.name());
            if current_items
                .get(item.name())
                .is_none_or(|stored| stored.item != *item)
            {
                changed.push(item.clone());
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
        let accepted = self.record_accepted(index, manifest_version, change.digest);
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
        for name in &change.removed_accounts {
            self.store.remove::<AccountItem>(name, index);
        }
        for account in &change.accounts {
            self.store.upsert(account.clone(), index);
        }
        self.flag_first_admitted(index);
        accepted
    }

    /// Replaces all items of one kind. Items that the new manifest contains unchanged keep their
    /// version and are not sent to children again.
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

    /// Flags the first upstream of each (service, region) pair whose first upstream a new manifest
    /// admits. Of the upstreams that the same entry admits, the one with the lowest name is the
    /// first.
    fn flag_first_admitted(&mut self, index: u64) {
        let candidates: Vec<UpstreamItem> = self
            .upstreams()
            .filter(|item| item.state == WireState::Serving as i32)
            .cloned()
            .collect();
        for mut item in candidates {
            if self.record_first_in_region(&item) {
                item.first_in_region = true;
                self.store.upsert(item, index);
            }
        }
    }

    /// Returns whether the upstream is the first admitted one of its service and region, and
    /// records that the pair now has a first upstream.
    fn record_first_in_region(&mut self, item: &UpstreamItem) -> bool {
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

    /// Whether the report is refused because the run that it names has ended.
    pub fn excludes_run_of(&self, report: &UpstreamReport) -> bool {
        self.decide_report(report) == Err(ReportRefusal::EndedRun)
    }

    /// Whether the report shows, for the first time, that a run of an upstream ends.
    fn is_run_ended_by(&self, report: &UpstreamReport) -> bool {
        ended_run(report).is_some_and(|run| !self.records_run(&run))
    }

    /// Whether the end of a run is recorded, in this state or a later one.
    pub fn records_run(&self, run: &EndedRun) -> bool {
        let state = WireState::try_from(run.state);
        state.is_ok_and(|state| !self.ended_runs.is_changed_by(run.run, state))
    }

    /// Whether it is recorded that these runs have ended.
    pub fn records_start(&self, start: &EndedStart) -> bool {
        self.ended_starts.excludes(start)
    }

    /// Whether a node's report of the end of runs without announcements would change the catalog.
    pub fn is_changed_by_end(&self, end: &RunEnd) -> bool {
        is_valid_end(end) && (!self.records_start(&ended_start(end)) || self.removes_entry(end))
    }

    /// Whether an earlier process of the node has registered the upstream.
    fn removes_entry(&self, end: &RunEnd) -> bool {
        let recorded = self.upstream(&end.name);
        recorded.is_some_and(|item| item.incarnation < end.remove_below)
    }

    fn apply_run_end(&mut self, index: u64, end: &RunEnd) -> bool {
        let is_changed = self.is_changed_by_end(end);
        if !is_changed {
            return false;
        }
        self.ended_starts.record(ended_start(end));
        if self.removes_entry(end) {
            self.store.remove::<UpstreamItem>(&end.name, index);
            self.version = ConfigVersion(index);
        }
        true
    }

    fn apply_report(&mut self, index: u64, report: &UpstreamReport) -> ReportDecision {
        let decision = self.apply_report_state(index, report);
        if let Some(run) = ended_run(report)
            && let Ok(state) = WireState::try_from(run.state)
        {
            self.ended_runs.record(run.run, state);
        }
        decision
    }

    fn apply_report_state(&mut self, index: u64, report: &UpstreamReport) -> ReportDecision {
        match self.decide_report(report) {
            Ok(ReportEffect::Unchanged) => ReportDecision::Unchanged,
            Ok(ReportEffect::Remove) => {
                let name = &report.upstream.name;
                if !self.store.remove::<UpstreamItem>(name, index) {
                    return ReportDecision::Unchanged;
                }
                // The report may be of a later incarnation than the recorded one.
                let incarnation = report.upstream.incarnation;
                self.store
                    .insert_tombstone(UpstreamItem::KIND, name, index, incarnation);
                self.version = ConfigVersion(index);
                ReportDecision::Recorded
            }
            Ok(ReportEffect::Upsert(mut item)) => {
                if item.state == WireState::Serving as i32 && !item.first_in_region {
                    item.first_in_region = self.record_first_in_region(&item);
                }
                self.rollouts
                    .note_version(index, &item.service, &item.version);
                self.store.upsert(item, index);
                self.version = ConfigVersion(index);
                ReportDecision::Recorded
            }
            Err(refusal) => ReportDecision::Refused(refusal),
        }
    }

    /// Whether the report brings back a run that is known to have ended by its start.
    fn has_started_early(&self, report: &UpstreamReport, state: WireState) -> bool {
        let start = EndedStart {
            upstream: stable_hash(report.upstream.name.as_bytes()),
            instance: report.instance,
            latest_start_ms: report.run_started_ms,
        };
        report.instance != 0 && state != WireState::Left && self.records_start(&start)
    }

    fn decide_report(&self, report: &UpstreamReport) -> Result<ReportEffect, ReportRefusal> {
        let item = &report.upstream;
        let state = WireState::try_from(item.state).map_err(|_| ReportRefusal::Invalid)?;
        if !is_usable(item) {
            return Err(ReportRefusal::Invalid);
        }
        if self.ended_runs.excludes(report.run, state) || self.has_started_early(report, state) {
            return Err(ReportRefusal::EndedRun);
        }
        let Some(recorded) = self.upstream(&item.name) else {
            return self.decide_new_upstream(item, state);
        };
        if item.incarnation < recorded.incarnation {
            return Err(ReportRefusal::LowerIncarnation {
                recorded: IncarnationId(recorded.incarnation),
            });
        }
        let mut next = item.clone();
        next.first_in_region = false;
        if item.incarnation > recorded.incarnation {
            // A new incarnation starts without the claims of the old one, so it is not marked as
            // the first upstream of its region.
            return Ok(match state {
                WireState::Left => ReportEffect::Remove,
                _ => ReportEffect::Upsert(next),
            });
        }
        match (WireState::try_from(recorded.state), state) {
            (_, WireState::Left) => Ok(ReportEffect::Remove),
            (Ok(WireState::Serving), WireState::Draining) => {
                // Within one incarnation only the state may change.
                let mut next = recorded.clone();
                next.state = WireState::Draining as i32;
                Ok(ReportEffect::Upsert(next))
            }
            (Ok(WireState::Draining), WireState::Serving) => Err(ReportRefusal::AlreadyDraining),
            _ => Ok(ReportEffect::Unchanged),
        }
    }

    fn decide_new_upstream(
        &self,
        item: &UpstreamItem,
        state: WireState,
    ) -> Result<ReportEffect, ReportRefusal> {
        if let Some(ended) = self.store.tombstone_incarnation(&item.name) {
            if state == WireState::Left && item.incarnation == ended {
                return Ok(ReportEffect::Unchanged);
            }
            if item.incarnation < ended {
                return Err(ReportRefusal::LowerIncarnation {
                    recorded: IncarnationId(ended),
                });
            }
            // A delayed duplicate of a report must not bring back an upstream that has left.
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
        let recorded = self.upstream(&expiry.name);
        if recorded.is_none_or(|item| item.incarnation != expiry.incarnation) {
            return ApplyOutcome::NotExpired;
        }
        self.store.remove::<UpstreamItem>(&expiry.name, index);
        self.version = ConfigVersion(index);
        ApplyOutcome::Expired
    }
}

impl Catalog {
    fn apply_rollout(&mut self, index: u64, change: &RolloutChange) -> ApplyOutcome {
        match &change.kind {
            Some(rollout_change::Kind::Start(start)) => {
                let decision = match self.store.services.contains_key(&*start.order.service) {
                    true => self.rollouts.start(index, start),
                    false => OrderDecision::Refused(OrderFault::UnknownService),
                };
                if matches!(&decision, OrderDecision::Accepted(item) if item.order == index) {
                    self.version = ConfigVersion(index);
                }
                ApplyOutcome::Order(decision)
            }
            Some(rollout_change::Kind::Advance(advance)) => {
                let outcome = self.rollouts.advance(index, advance);
                // A recorded time means nothing to nodes, and causes no new version.
                if matches!(outcome, AdvanceOutcome::Advanced(_)) {
                    self.version = ConfigVersion(index);
                }
                ApplyOutcome::Advance(outcome)
            }
            None => ApplyOutcome::UnknownCommand,
        }
    }

    fn apply_quarantine(&mut self, index: u64, change: &QuarantineChange) -> bool {
        let mut is_changed = false;
        for fingerprint in &change.removed {
            is_changed |= self.quarantined.shift_remove(fingerprint);
        }
        for fingerprint in &change.added {
            is_changed |= self.quarantined.insert(*fingerprint);
        }
        while self.quarantined.len() > MAX_QUARANTINED {
            self.quarantined.shift_remove_index(0);
        }
        if is_changed {
            self.version = ConfigVersion(index);
            self.quarantine_changed_at = self.version;
        }
        is_changed
    }
}

/// Effect of a report on the catalog.
#[derive(PartialEq)]
enum ReportEffect {
    Unchanged,
    Upsert(UpstreamItem),
    Remove,
}

/// Whether the report names an upstream and a run.
fn is_valid_end(end: &RunEnd) -> bool {
    is_valid_name(&end.name) && end.instance != 0
}

/// Whether every node can build a routing entry from the item. An item that nodes cannot use would
/// make all of them reject the whole configuration version.
fn is_usable(item: &UpstreamItem) -> bool {
    [&item.name, &item.service, &item.zone, &item.region]
        .into_iter()
        .all(|name| is_valid_name(name))
        && item.node_address.parse::<SocketAddr>().is_ok()
        && item.incarnation > 0
        && item.slots > 0
        && (item.version.is_empty() || is_valid_version(&item.version))
}

/// Whether the service's patterns admit an upstream of this name.
fn admits(service: &ServiceItem, upstream: &str) -> bool {
    service
        .patterns
        .iter()
        .any(|pattern| match pattern.strip_suffix('*') {
            Some(prefix) => upstream.starts_with(prefix),
            None => pattern == upstream,
        })
}
