//! View change of one shard at one holder.
//!
//! View changes work by fencing. A view is active at a holder once the holder knows every claim
//! that any earlier view can have granted. To get there the holder fences and reads a majority of
//! each view that can have been active: the latest active view that any holder reports, and every
//! later view that any holder has promised.

use std::time::Duration;

use indexmap::IndexMap;
use kumquatlock_wire::claim::{ShardChunk, ShardHolder, ShardView};

use super::placement::majority;
use crate::core::Timestamp;

/// Maximum number of views that a holder promises while none of them becomes active. Each promised
/// view is one more majority to read; further ones are refused until an activation clears the list.
pub const MAX_PROMISED_VIEWS: usize = 64;

/// Maximum number of holders of earlier configurations that a join asks in addition to the required
/// ones; enough for four views.
const MAX_EARLIER_HOLDERS: usize = 12;

/// Time after which a holder that has answered is asked again while the join cannot complete. The
/// holder may have become active since, and no configuration change announces that.
const REFETCH_INTERVAL: Duration = Duration::from_secs(5);

/// Time for which a holder without claims waits for one answer before it asks the next holder.
/// Asking one at a time lets the later holders leave out the records that the first one sent.
/// Longer than a round trip between regions, 60 ms.
const SEQUENTIAL_FETCH_TIMEOUT: Duration = Duration::from_millis(100);

/// A holder's position in the sequence of views.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct ViewReport {
    /// The last view in which the holder was active.
    pub(super) active: Option<ShardView>,
    /// Later views for which the holder has fenced `active`. A promised view stays listed until it
    /// or a later view becomes active here, because it may be active at other holders.
    pub(super) promised: Vec<ShardView>,
}

impl ViewReport {
    /// Returns the epoch at which this holder can become active in `view`. The view is named by the
    /// holder's configuration, which has version `version`.
    ///
    /// The epoch is never below that of a view that the holder has promised. If only a later
    /// configuration can determine such an epoch, the result is too low and [`ViewReport::allows`]
    /// prevents the activation.
    pub(super) fn epoch_for(&self, view: &ShardView, version: u64) -> u64 {
        let highest = self.highest_epoch();
        let mut promised = self.promised.iter();
        let same = promised
            .any(|promised| promised.view == view.view && promised.config_version == highest);
        if same || highest < view.config_version {
            highest.max(view.config_version)
        } else if version > highest {
            version
        } else {
            view.config_version
        }
    }

    fn active_epoch(&self) -> u64 {
        self.active.as_ref().map_or(0, |view| view.config_version)
    }

    /// Returns the epoch below which no view may become active or be promised here.
    fn highest_epoch(&self) -> u64 {
        let promised = self.promised.iter().map(|view| view.config_version);
        promised.fold(self.active_epoch(), u64::max)
    }

    /// Whether nothing later than the active view has been promised.
    pub(super) fn is_unfenced(&self) -> bool {
        self.active.is_some() && self.promised.is_empty()
    }

    pub(super) fn is_active_in(&self, view: u64) -> bool {
        self.active
            .as_ref()
            .is_some_and(|active| active.view == view)
    }

    /// Fences the active view in favour of `target`. Returns false if a later view was promised or
    /// became active here, or if too many views are promised.
    pub(super) fn promise(&mut self, target: &ShardView) -> bool {
        if self.promised.contains(target) {
            return self.highest_epoch() == target.config_version;
        }
        let later = target.config_version > self.active_epoch()
            && target.config_version >= self.highest_epoch();
        if !later || self.promised.len() >= MAX_PROMISED_VIEWS {
            return false;
        }
        self.promised.push(target.clone());
        true
    }

    /// Whether this holder may become active in `view`, because it has promised nothing later.
    fn allows(&self, view: &ShardView) -> bool {
        view.config_version >= self.highest_epoch()
    }

    /// Makes `view` the active view after [`JoiningView::decide`] allowed it.
    pub(super) fn activate(&mut self, view: ShardView) {
        self.promised
            .retain(|promised| promised.config_version > view.config_version);
        self.active = Some(view);
    }
}

/// Progress of the transfer from one holder.
#[derive(Debug, Default)]
pub(super) struct FetchProgress {
    /// Number of records received, which is the offset of the next chunk.
    pub(super) offset: u64,
    /// Generation of the holder's records to which `offset` refers.
    generation: u64,
    /// Buckets that the holder leaves out because both sides have the same records.
    skipped: u64,
    /// Set once all records have arrived. Only then does the holder's answer count.
    report: Option<ViewReport>,
    /// Whether all records had arrived once already. The holder has promised the target since then,
    /// so it grants nothing in an earlier view while it is asked again.
    has_promised: bool,
    /// When the fetch that is not answered yet was sent.
    outstanding_since: Option<Timestamp>,
    /// When the latest fetch was sent.
    last_fetch_at: Timestamp,
}

impl FetchProgress {
    /// Starts the transfer again from its first record.
    fn restart(&mut self) {
        *self = FetchProgress {
            has_promised: self.has_promised,
            ..FetchProgress::default()
        };
    }
}

/// A view that a holder is joining.
#[derive(Debug)]
pub(super) struct JoiningView {
    /// The view to become active in.
    pub(super) target: ShardView,
    /// Latest time at which the configuration still listed a holder that had never answered.
    /// Initially the time at which this holder learned the target's holders.
    unlisted_since: Timestamp,
    /// Only answers with this id count, so answers to an earlier target are ignored.
    pub(super) request_id: u64,
    fetches: IndexMap<ShardHolder, FetchProgress>,
    /// Holders that an earlier configuration named. They are asked so that a change of all holders
    /// at once is noticed; correctness does not depend on their answers.
    earlier_holders: Vec<ShardHolder>,
}

/// Inputs of a join that come from the configuration and the settings.
pub(super) struct JoinContext<'a> {
    /// The joining holder.
    pub(super) own: &'a ShardHolder,
    /// The first upstreams of the service, or `None` if one of them is gone.
    pub(super) bootstrap: Option<&'a [ShardHolder]>,
    /// Whether the configuration still lists a holder in this incarnation.
    pub(super) is_listed: &'a dyn Fn(&ShardHolder) -> bool,
    /// Time after which the claims of holders that are no longer listed can be ignored.
    pub(super) lost_view_timeout: Duration,
}

/// Next step of a join.
#[derive(Debug, PartialEq)]
pub(super) enum JoinDecision {
    /// Become active in the view: every claim that earlier views can have granted is known.
    Activate(ShardView),
    /// Fetch the missing answers from these holders.
    Fetch(Vec<ShardHolder>),
}

/// Effect of a chunk on the join.
#[derive(Debug, PartialEq)]
pub(super) enum ChunkEffect {
    /// The chunk does not answer this join, or is out of order.
    Ignored,
    /// More records follow.
    Continue,
    /// The holder's records are complete.
    Complete,
    /// The holder knows the same view at a later epoch; the target has been raised to that epoch.
    EpochRaised,
    /// The holder has promised a later view or is active in it. Contains the latest epoch that it
    /// reported.
    Refused(u64),
}

impl JoiningView {
    pub(super) fn new(target: ShardView, request_id: u64, now: Timestamp) -> Self {
        JoiningView {
            target,
            unlisted_since: now,
            request_id,
            fetches: IndexMap::new(),
            earlier_holders: Vec::new(),
        }
    }

    /// Adds holders of an earlier configuration, which the join asks as well.
    pub(super) fn add_earlier_holders(&mut self, holders: &[ShardHolder]) {
        for holder in holders {
            if self.earlier_holders.len() < MAX_EARLIER_HOLDERS
                && !self.earlier_holders.contains(holder)
            {
                self.earlier_holders.push(holder.clone());
            }
        }
    }

    /// Takes over the earlier holders known to an abandoned join.
    pub(super) fn inherit_earlier_holders(&mut self, earlier: &JoiningView) {
        self.add_earlier_holders(&earlier.target.holders);
        self.add_earlier_holders(&earlier.earlier_holders);
    }

    /// Raises the epoch of the target, because another holder computed the same view from a later
    /// configuration. Earlier answers promised the lower epoch and no longer count.
    pub(super) fn raise_epoch(&mut self, epoch: u64, request_id: u64) {
        self.target.config_version = epoch;
        self.request_id = request_id;
        self.fetches.clear();
    }

    /// Records the progress of a transfer. The caller merges the chunk's records if the effect is
    /// `Continue` or `Complete`.
    pub(super) fn accept(&mut self, chunk: &ShardChunk, next_request_id: u64) -> ChunkEffect {
        if chunk.request_id != self.request_id {
            return ChunkEffect::Ignored;
        }
        if chunk.refused {
            let latest = chunk
                .promised
                .iter()
                .chain(&chunk.active)
                .max_by_key(|view| view.config_version);
            let epoch = latest.map_or(0, |view| view.config_version);
            let is_same_view = latest.is_some_and(|view| view.view == self.target.view);
            if is_same_view && epoch > self.target.config_version {
                self.raise_epoch(epoch, next_request_id);
                return ChunkEffect::EpochRaised;
            }
            return ChunkEffect::Refused(epoch);
        }
        let fetch = self.fetches.entry(chunk.holder.clone()).or_default();
        if fetch.report.is_some() || chunk.offset != fetch.offset {
            return ChunkEffect::Ignored;
        }
        let is_same_transfer =
            chunk.generation == fetch.generation && chunk.skipped == fetch.skipped;
        if chunk.offset > 0 && !is_same_transfer {
            fetch.restart();
            return ChunkEffect::Continue;
        }
        fetch.generation = chunk.generation;
        fetch.skipped = chunk.skipped;
        fetch.offset += chunk.records.len() as u64;
        fetch.outstanding_since = None;
        if fetch.offset < chunk.total {
            return ChunkEffect::Continue;
        }
        fetch.has_promised = true;
        fetch.report = Some(ViewReport {
            active: chunk.active.clone(),
            promised: chunk.promised.clone(),
        });
        ChunkEffect::Complete
    }

    /// Whether a fetch that is not answered yet was sent less than [`SEQUENTIAL_FETCH_TIMEOUT`]
    /// ago.
    pub(super) fn is_waiting(&self, now: Timestamp) -> bool {
        let mut sent = self
            .fetches
            .values()
            .filter_map(|fetch| fetch.outstanding_since);
        sent.any(|at| now.since(at) < SEQUENTIAL_FETCH_TIMEOUT)
    }

    /// Returns the offset of the next fetch from `holder` and the buckets to leave out, or `None`
    /// if no fetch is due.
    pub(super) fn next_fetch(
        &mut self,
        holder: &ShardHolder,
        now: Timestamp,
        interval: Duration,
    ) -> Option<(u64, u64)> {
        let fetch = self.fetches.entry(holder.clone()).or_default();
        let waiting = fetch
            .outstanding_since
            .is_some_and(|sent| now.since(sent) < interval);
        let is_answered = fetch.report.is_some();
        if waiting || (is_answered && now.since(fetch.last_fetch_at) < REFETCH_INTERVAL) {
            return None;
        }
        if is_answered {
            fetch.restart();
        }
        fetch.outstanding_since = Some(now);
        fetch.last_fetch_at = now;
        Some((fetch.offset, fetch.skipped))
    }

    /// Decides from all complete answers and the holder's own report.
    pub(super) fn decide(
        &mut self,
        own: &ViewReport,
        context: &JoinContext<'_>,
        now: Timestamp,
    ) -> JoinDecision {
        let (decision, any_missing_listed) = self.assess(own, context, now);
        if any_missing_listed {
            self.unlisted_since = now;
        }
        decision
    }

    /// Like [`JoiningView::decide`], and also returns whether a holder that has never answered is
    /// still listed.
    fn assess(
        &self,
        own: &ViewReport,
        context: &JoinContext<'_>,
        now: Timestamp,
    ) -> (JoinDecision, bool) {
        let mut reports: IndexMap<&ShardHolder, &ViewReport> = self
            .fetches
            .iter()
            .filter_map(|(holder, fetch)| Some((holder, fetch.report.as_ref()?)))
            .collect();
        if let Some(view) = self.find_adoptable_view(own, &reports) {
            return (JoinDecision::Activate(view), false);
        }
        reports.insert(context.own, own);
        let required = self.required_views(&reports);
        let knows_active = reports.values().any(|report| report.active.is_some());
        let answered = |holder: &ShardHolder| reports.contains_key(holder);
        let has_majority = |view: &ShardView| {
            let count = view
                .holders
                .iter()
                .filter(|holder| answered(holder))
                .count();
            count >= majority(view.holders.len())
        };
        let bootstrap = context.bootstrap.unwrap_or_default();
        let has_starting_point =
            knows_active || (context.bootstrap.is_some() && bootstrap.iter().all(answered));
        let complete = has_starting_point && required.iter().all(|view| has_majority(view));
        if own.allows(&self.target) {
            if complete {
                return (JoinDecision::Activate(self.target.clone()), false);
            }
            if self.may_ignore_lost_holders(&required, bootstrap, &answered, context, now) {
                return (JoinDecision::Activate(self.target.clone()), false);
            }
        }
        let mut holders = required.iter().flat_map(|view| &view.holders);
        let any_missing_listed = holders.any(|holder| {
            !answered(holder) && !self.has_promised(holder) && (context.is_listed)(holder)
        });
        let mut missing: Vec<ShardHolder> = Vec::new();
        let required_holders = required.iter().flat_map(|view| &view.holders);
        // Starting without the records of lost holders, which becomes possible once no missing
        // holder is listed, also requires the answers of the first upstreams.
        let bootstrap = bootstrap
            .iter()
            .filter(|_| !knows_active || !any_missing_listed);
        let earlier_holders = self.earlier_holders.iter();
        for holder in self
            .target
            .holders
            .iter()
            .chain(required_holders)
            .chain(bootstrap)
            .chain(earlier_holders)
        {
            if !answered(holder) && !missing.contains(holder) {
                missing.push(holder.clone());
            }
        }
        // A holder of the target view that answered before it became active may since have become
        // active. It is asked again, so that its view can be adopted.
        let target = self.target.holders.iter();
        missing.extend(
            target
                .filter(|holder| *holder != context.own && answered(holder))
                .cloned(),
        );
        // A holder without claims asks one holder at a time. The holder asked longest ago comes
        // first, so that holders that never answer don't block the others.
        missing.sort_by_key(|holder| self.fetches.get(holder).map(|fetch| fetch.last_fetch_at));
        (JoinDecision::Fetch(missing), any_missing_listed)
    }

    /// Whether `holder` has answered this join at least once, even if it is being asked again.
    fn has_promised(&self, holder: &ShardHolder) -> bool {
        self.fetches
            .get(holder)
            .is_some_and(|fetch| fetch.has_promised)
    }

    /// Returns a view with the target's holders in which another holder is active and unfenced.
    /// Only the very same view counts: a holder that is active in a later view of other holders
    /// proves nothing about this view, which may never have been fenced.
    fn find_adoptable_view(
        &self,
        own: &ViewReport,
        reports: &IndexMap<&ShardHolder, &ViewReport>,
    ) -> Option<ShardView> {
        let mut candidates = reports
            .values()
            .filter(|report| report.is_unfenced() && report.is_active_in(self.target.view));
        candidates
            .find_map(|report| report.active.clone())
            .filter(|view| own.allows(view))
    }

    /// Returns the views of which a majority must have answered: the latest active view that is
    /// reported, and the later views other than the target that are promised. Their grants may be
    /// missing from the records of all earlier views.
    fn required_views<'a>(
        &self,
        reports: &IndexMap<&ShardHolder, &'a ViewReport>,
    ) -> Vec<&'a ShardView> {
        let latest = reports
            .values()
            .filter_map(|report| report.active.as_ref())
            .max_by_key(|view| view.config_version);
        let latest_epoch = latest.map_or(0, |view| view.config_version);
        let mut required: Vec<&ShardView> = latest.into_iter().collect();
        for view in reports.values().flat_map(|report| &report.promised) {
            if view.config_version > latest_epoch
                && *view != self.target
                && !required.contains(&view)
            {
                required.push(view);
            }
        }
        required
    }

    /// Whether the lost claims are past their retention: all remaining holders have been read and
    /// fenced, and the missing ones have been unlisted for so long that they have stopped granting.
    fn may_ignore_lost_holders(
        &self,
        required: &[&ShardView],
        bootstrap: &[ShardHolder],
        answered: &impl Fn(&ShardHolder) -> bool,
        context: &JoinContext<'_>,
        now: Timestamp,
    ) -> bool {
        let answered_or_unlisted =
            |holder: &ShardHolder| answered(holder) || !(context.is_listed)(holder);
        now.since(self.unlisted_since) >= context.lost_view_timeout
            && self.target.holders.iter().all(answered)
            && bootstrap.iter().all(answered)
            && required
                .iter()
                .flat_map(|view| &view.holders)
                .all(answered_or_unlisted)
    }
}
