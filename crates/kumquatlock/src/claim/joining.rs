//! View change of one shard at one holder.
//!
//! The rules are those of reconfiguration by fencing. A view is active at a holder when the holder
//! knows every claim that any earlier view can have granted. To get there it fences and reads a
//! majority of each view that can have been active: the latest active view that anybody reports
//! and every later view that anybody has promised.

use std::time::Duration;

use indexmap::IndexMap;
use kumquatlock_wire::claim::{ShardChunk, ShardHolder, ShardView};

use super::placement::majority;
use crate::core::Timestamp;

/// Views that a holder promises without any of them becoming active. Each is one more majority to
/// read; a further one is refused until an activation clears the list.
pub const MAX_PROMISED_VIEWS: usize = 64;

/// Holders of earlier configurations that a join asks besides those that it has to. Four views.
const MAX_HINTS: usize = 12;

/// Time after which a holder that has answered is asked again while the join cannot go on. It may
/// have become active since, and no change of the configuration tells of that.
const REPEAT_INTERVAL: Duration = Duration::from_secs(5);

/// Time that a holder without claims waits for one answer before it asks the next. The records of
/// the first are then left out by the others. Above a round trip between regions, 60 ms.
const NEWCOMER_WAIT: Duration = Duration::from_millis(100);

/// What a holder reports of its place in the sequence of views.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct ViewReport {
    /// The last view in which the holder was active.
    pub(super) active: Option<ShardView>,
    /// Later views that the holder has fenced `active` for. Once listed, a view stays until a view
    /// at or above it becomes active here: it may be active elsewhere.
    pub(super) promised: Vec<ShardView>,
}

impl ViewReport {
    /// Epoch at which this holder can enter `view`, which its configuration of `version` names:
    /// not below anything that it has promised. If only a later configuration can tell, the
    /// result is too low and [`ViewReport::allows`] holds the join back.
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

    /// Epoch below which no view may become active or be promised here.
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

    /// Fences the active view for `target`, or returns false because of a later promise.
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

    /// Whether this holder may itself become active in `view`: it has promised nothing later.
    fn allows(&self, view: &ShardView) -> bool {
        view.config_version >= self.highest_epoch()
    }

    /// Enters `view` after [`JoiningView::decide`] allowed it.
    pub(super) fn enter(&mut self, view: ShardView) {
        self.promised
            .retain(|promised| promised.config_version > view.config_version);
        self.active = Some(view);
    }
}

/// Progress of the transfer from one holder.
#[derive(Debug, Default)]
pub(super) struct FetchProgress {
    /// Records received; the offset of the next chunk.
    pub(super) offset: u64,
    generation: u64,
    /// Buckets of records that the holder leaves out, because both have the same.
    skipped: u64,
    /// Set when all records have arrived. Only then does the holder count.
    report: Option<ViewReport>,
    sent_at: Option<Timestamp>,
    /// When the latest question was sent.
    asked_at: Timestamp,
}

/// A holder on its way into a view.
#[derive(Debug)]
pub(super) struct JoiningView {
    /// The view to become active in.
    pub(super) target: ShardView,
    /// Since when no holder whose answer is missing has been listed; at the earliest when this
    /// holder first knew the target's holders.
    lost_since: Timestamp,
    /// Answers count only with this id, so an answer to an earlier target is dropped.
    pub(super) request_id: u64,
    fetches: IndexMap<ShardHolder, FetchProgress>,
    /// Holders that an earlier configuration named. They are asked so that a change of all holders
    /// at once is noticed; nothing depends on their answers.
    hints: Vec<ShardHolder>,
}

/// Surroundings of a join that come from the configuration.
pub(super) struct JoinContext<'a> {
    /// The holder itself.
    pub(super) own: &'a ShardHolder,
    /// The upstreams that started the service; none if one of them is gone.
    pub(super) genesis: Option<&'a [ShardHolder]>,
    /// Whether the configuration still lists a holder in this incarnation.
    pub(super) is_listed: &'a dyn Fn(&ShardHolder) -> bool,
    /// Time out of the configuration after which the claims of lost holders no longer matter.
    pub(super) lost_view_timeout: Duration,
}

/// What a join does next.
#[derive(Debug, PartialEq)]
pub(super) enum JoinDecision {
    /// Everything that earlier views can have granted is known.
    Activate(ShardView),
    /// Answers of these holders are missing.
    Fetch(Vec<ShardHolder>),
}

/// Effect of a chunk on the join.
#[derive(Debug, PartialEq)]
pub(super) enum ChunkEffect {
    /// Not an answer to this join, or out of order.
    Ignored,
    /// More records follow.
    Continue,
    /// The holder's records are complete.
    Complete,
    /// The holder has gone further; the target has been raised to its epoch.
    Raised,
    /// The holder has promised or entered a later view, up to this epoch.
    Refused(u64),
}

impl JoiningView {
    pub(super) fn new(target: ShardView, request_id: u64, now: Timestamp) -> Self {
        JoiningView {
            target,
            lost_since: now,
            request_id,
            fetches: IndexMap::new(),
            hints: Vec::new(),
        }
    }

    /// Also asks the holders of an earlier configuration.
    pub(super) fn add_hints(&mut self, holders: &[ShardHolder]) {
        for holder in holders {
            if self.hints.len() < MAX_HINTS && !self.hints.contains(holder) {
                self.hints.push(holder.clone());
            }
        }
    }

    /// Takes over what an abandoned join knew of earlier configurations.
    pub(super) fn inherit_hints(&mut self, earlier: &JoiningView) {
        self.add_hints(&earlier.target.holders);
        self.add_hints(&earlier.hints);
    }

    /// Takes the target's holders to a later epoch, because another one computed the same view
    /// from a later configuration. Earlier answers promised the lower epoch and no longer count.
    pub(super) fn raise(&mut self, epoch: u64, request_id: u64) {
        self.target.config_version = epoch;
        self.request_id = request_id;
        self.fetches.clear();
    }

    /// Takes note of a chunk; its records are merged by the caller unless it is ignored.
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
            let is_same = latest.is_some_and(|view| view.view == self.target.view);
            if is_same && epoch > self.target.config_version {
                self.raise(epoch, next_request_id);
                return ChunkEffect::Raised;
            }
            return ChunkEffect::Refused(epoch);
        }
        let fetch = self.fetches.entry(chunk.holder.clone()).or_default();
        if fetch.report.is_some() || chunk.offset != fetch.offset {
            return ChunkEffect::Ignored;
        }
        let is_same = chunk.generation == fetch.generation && chunk.skipped == fetch.skipped;
        if chunk.offset > 0 && !is_same {
            *fetch = FetchProgress::default();
            return ChunkEffect::Continue;
        }
        fetch.generation = chunk.generation;
        fetch.skipped = chunk.skipped;
        fetch.offset += chunk.records.len() as u64;
        fetch.sent_at = None;
        if fetch.offset < chunk.total {
            return ChunkEffect::Continue;
        }
        fetch.report = Some(ViewReport {
            active: chunk.active.clone(),
            promised: chunk.promised.clone(),
        });
        ChunkEffect::Complete
    }

    /// Whether a question is outstanding that may soon be answered.
    pub(super) fn is_waiting(&self, now: Timestamp) -> bool {
        let mut sent = self.fetches.values().filter_map(|fetch| fetch.sent_at);
        sent.any(|at| now.since(at) < NEWCOMER_WAIT)
    }

    /// Offset to ask `holder` for and the buckets that it leaves out, if no question is
    /// outstanding.
    pub(super) fn next_fetch(
        &mut self,
        holder: &ShardHolder,
        now: Timestamp,
        interval: Duration,
    ) -> Option<(u64, u64)> {
        let fetch = self.fetches.entry(holder.clone()).or_default();
        let waiting = fetch.sent_at.is_some_and(|sent| now.since(sent) < interval);
        let is_answered = fetch.report.is_some();
        if waiting || (is_answered && now.since(fetch.asked_at) < REPEAT_INTERVAL) {
            return None;
        }
        if is_answered {
            *fetch = FetchProgress::default();
        }
        fetch.sent_at = Some(now);
        fetch.asked_at = now;
        Some((fetch.offset, fetch.skipped))
    }

    /// Decides from all complete answers and the holder's own report.
    pub(super) fn decide(
        &mut self,
        own: &ViewReport,
        context: &JoinContext<'_>,
        now: Timestamp,
    ) -> JoinDecision {
        let (decision, any_listed) = self.assess(own, context, now);
        if any_listed {
            self.lost_since = now;
        }
        decision
    }

    /// Also tells whether a holder is listed whose answer is missing.
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
        if let Some(view) = self.adoptable(own, &reports) {
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
        let genesis = context.genesis.unwrap_or_default();
        let has_base = knows_active || (context.genesis.is_some() && genesis.iter().all(answered));
        let complete = has_base && required.iter().all(|view| has_majority(view));
        if own.allows(&self.target) {
            if complete {
                return (JoinDecision::Activate(self.target.clone()), false);
            }
            if self.may_start_blank(&required, genesis, &answered, context, now) {
                return (JoinDecision::Activate(self.target.clone()), false);
            }
        }
        let mut lost = required.iter().flat_map(|view| &view.holders);
        let any_listed = lost.any(|holder| !answered(holder) && (context.is_listed)(holder));
        let mut missing: Vec<ShardHolder> = Vec::new();
        let bases = required.iter().flat_map(|view| &view.holders);
        // A blank start, to which it may come once nobody of the missing is listed, also waits for
        // the upstreams that started the service.
        let genesis = genesis.iter().filter(|_| !knows_active || !any_listed);
        let hints = self.hints.iter();
        for holder in self
            .target
            .holders
            .iter()
            .chain(bases)
            .chain(genesis)
            .chain(hints)
        {
            if !answered(holder) && !missing.contains(holder) {
                missing.push(holder.clone());
            }
        }
        // A holder of the target that answered before it became active can be adopted from later.
        let target = self.target.holders.iter();
        missing.extend(
            target
                .filter(|holder| *holder != context.own && answered(holder))
                .cloned(),
        );
        // A newcomer asks one at a time. The one asked longest ago goes first, so that those who
        // never answer don't keep it from the others.
        missing.sort_by_key(|holder| self.fetches.get(holder).map(|fetch| fetch.asked_at));
        (JoinDecision::Fetch(missing), any_listed)
    }

    /// A view with the target's holders in which another holder is active and unfenced. Only the
    /// very same view counts: a holder active in a later view of other holders proves nothing
    /// about this one, which nobody may have fenced.
    fn adoptable(
        &self,
        own: &ViewReport,
        reports: &IndexMap<&ShardHolder, &ViewReport>,
    ) -> Option<ShardView> {
        let mut same = reports
            .values()
            .filter(|report| report.is_unfenced() && report.is_active_in(self.target.view));
        same.find_map(|report| report.active.clone())
            .filter(|view| own.allows(view))
    }

    /// Views that can have granted a claim that is in no record of an earlier one.
    fn required_views<'a>(
        &self,
        reports: &IndexMap<&ShardHolder, &'a ViewReport>,
    ) -> Vec<&'a ShardView> {
        let latest = reports
            .values()
            .filter_map(|report| report.active.as_ref())
            .max_by_key(|view| view.config_version);
        let floor = latest.map_or(0, |view| view.config_version);
        let mut required: Vec<&ShardView> = latest.into_iter().collect();
        for view in reports.values().flat_map(|report| &report.promised) {
            if view.config_version > floor && *view != self.target && !required.contains(&view) {
                required.push(view);
            }
        }
        required
    }

    /// Whether the claims that were lost are past their retention: everyone who is left has been
    /// read and fenced, and those who are missing have been out of the configuration for so long
    /// that they have fenced themselves.
    fn may_start_blank(
        &self,
        required: &[&ShardView],
        genesis: &[ShardHolder],
        answered: &impl Fn(&ShardHolder) -> bool,
        context: &JoinContext<'_>,
        now: Timestamp,
    ) -> bool {
        let read_or_gone = |holder: &ShardHolder| answered(holder) || !(context.is_listed)(holder);
        now.since(self.lost_since) >= context.lost_view_timeout
            && self.target.holders.iter().all(answered)
            && genesis.iter().all(answered)
            && required
                .iter()
                .flat_map(|view| &view.holders)
                .all(read_or_gone)
    }
}
