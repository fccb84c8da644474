//! The claims that one node stores for other nodes.

use std::ops::Range;
use std::sync::Arc;

use indexmap::IndexMap;
use kumquatlock_wire::Body;
use kumquatlock_wire::claim::{
    ClaimAction, ClaimOwner, ClaimReply, ClaimRequest, ClaimVerdict, ShardChunk, ShardFetch,
    ShardHolder, ShardId, ShardView,
};
use prost::Message;

use super::bootstrap::BootstrapTracker;
use super::handover::HandoverTracker;
use super::joining::{ChunkEffect, JoinContext, JoinDecision, JoiningView};
use super::placement::{PlacementTable, SHARDS_PER_SERVICE};
use super::record::{KeyRecord, ProcessInterner};
use super::shard::{ShardState, bucket_bit, bucket_digests, equal_buckets};
use super::{ClaimMessage, ClaimSettings, TRANSFER_HEADROOM_FACTOR};
use crate::core::{ConfigSnapshot, SharedName, Timestamp};

/// Maximum size of the records in one chunk, in bytes. Eight chunks fit into a frame, and a chunk
/// of this size does not noticeably delay a call on the same link.
pub const MAX_CHUNK_BYTES: usize = 256 * 1024;

/// Width, in bits, of the join counter in the request id of a fetch. The counter starts at zero in
/// each run of the process; the bits above it hold the incarnation.
const JOIN_COUNT_BITS: u32 = 20;

/// Progress of the handover of a leaving holder.
#[derive(Clone, Debug, PartialEq)]
pub enum HandoverStep {
    /// The other holders have every claim that they need from this one.
    Done,
    /// Other holders still have to become active; the messages ask whether they are.
    Waiting(Vec<ClaimMessage>),
}

/// The claim holder of one run of one node.
#[derive(Debug)]
pub struct ClaimHolder {
    own: ShardHolder,
    settings: ClaimSettings,
    placement: PlacementTable,
    /// Whether the configuration lists this run of the node.
    is_listed: bool,
    /// Services whose shards this node may hold or has held, its own service first.
    services: IndexMap<SharedName, BootstrapTracker>,
    /// Used while the node leaves.
    handover: HandoverTracker,
    /// Numbers of the shards that this holder takes part in: all of them, except in tests.
    shard_numbers: Range<u32>,
    shards: IndexMap<ShardId, ShardState>,
    next_request_id: u64,
    interner: ProcessInterner,
    /// Number of records in all shards.
    key_count: usize,
    /// Time of the last proof that the configuration lists this run of the node.
    confirmed_at: Option<Timestamp>,
}

impl ClaimHolder {
    /// Creates a holder without claims at the start of a node's run. It grants nothing before it
    /// has become active in a view.
    pub fn new(own: ShardHolder, settings: ClaimSettings) -> Self {
        // Request ids differ between runs of this node, so that this run ignores answers to an
        // earlier one.
        let next_request_id = own.incarnation << JOIN_COUNT_BITS;
        ClaimHolder {
            own,
            settings,
            placement: PlacementTable::default(),
            is_listed: false,
            services: IndexMap::new(),
            handover: HandoverTracker::default(),
            shard_numbers: 0..SHARDS_PER_SERVICE,
            shards: IndexMap::new(),
            next_request_id,
            interner: ProcessInterner::default(),
            key_count: 0,
            confirmed_at: None,
        }
    }

    /// Takes part in one shard only, to keep tests fast.
    #[cfg(test)]
    pub(super) fn restrict_to(&mut self, number: u32) {
        self.shard_numbers = number..number + 1;
    }

    /// Returns the number of stored keys.
    pub fn key_count(&self) -> usize {
        self.key_count
    }

    /// Returns the number of shards that are joining a view.
    pub fn joining_shards(&self) -> usize {
        let shards = self.shards.values();
        shards.filter(|shard| shard.joining.is_some()).count()
    }

    /// Checks whether other holders still need the claims of this one after it has left the
    /// configuration. They no longer do once a majority of the holders of each next view is active
    /// in that view; a shard without a next view needs no handover. Otherwise returns probes to the
    /// holders that are not known to be active.
    pub fn poll_handover(&mut self, now: Timestamp) -> HandoverStep {
        let mut waiting = Vec::new();
        for (shard, state) in &self.shards {
            let next = self.placement.view_of(&shard.service, shard.number);
            if let Some(view) = next
                && state.report.active.is_some()
                && !self.handover.has_active_majority(shard, &view)
            {
                waiting.push((shard.clone(), view));
            }
        }
        if waiting.is_empty() {
            return HandoverStep::Done;
        }
        let mut messages = Vec::new();
        if self.handover.is_due(now) {
            for (shard, view) in &waiting {
                self.handover.probe(shard, view, &mut messages);
            }
        }
        HandoverStep::Waiting(messages)
    }

    /// Handles another holder's answer to a probe of [`ClaimHolder::poll_handover`].
    pub fn on_claim_reply(&mut self, from: &str, reply: &ClaimReply) {
        self.handover.on_reply(from, reply);
    }

    /// Applies a new configuration and joins the views that name this node.
    pub fn on_snapshot(
        &mut self,
        now: Timestamp,
        snapshot: Arc<ConfigSnapshot>,
    ) -> Vec<ClaimMessage> {
        let own = snapshot.upstreams.get(self.own.name.as_str());
        let own = own.filter(|upstream| upstream.incarnation.0 == self.own.incarnation);
        let own_service = own.map(|upstream| upstream.service.clone());
        self.is_listed = own.is_some();
        let earlier: Vec<_> = self
            .services
            .keys()
            .map(|name| self.placement.computed_views(name))
            .collect();
        self.placement.update(snapshot.clone());
        let known = self.services.len();
        let is_own_service = |name: &SharedName| own_service.as_ref() == Some(name);
        for name in snapshot.services.keys() {
            if is_own_service(name) || self.placement.is_auxiliary(name, &self.own) {
                self.services.entry(name.clone()).or_default();
            }
        }
        let mut messages = Vec::new();
        let names: Vec<SharedName> = self.services.keys().cloned().collect();
        for (index, name) in names.into_iter().enumerate() {
            let is_unchanged = index < known && self.placement.is_computed(&name);
            if let (Some(service), Some(bootstrap)) =
                (snapshot.services.get(&name), self.services.get_mut(&name))
            {
                bootstrap.update(service);
            }
            let earlier = earlier.get(index).map_or(&[][..], Vec::as_slice);
            self.update_service_views(now, &name, is_unchanged, earlier, &mut messages);
        }
        messages
    }

    /// Updates the current views of the shards of one service.
    fn update_service_views(
        &mut self,
        now: Timestamp,
        name: &SharedName,
        is_unchanged: bool,
        earlier: &[Option<Arc<ShardView>>],
        messages: &mut Vec<ClaimMessage>,
    ) {
        for number in self.shard_numbers.clone() {
            let shard = ShardId {
                service: name.to_string(),
                number,
            };
            // While the members stay the same, only the epoch of a view can change, and only if the
            // view was fenced.
            let settled =
                |state: &ShardState| state.current_view == 0 || state.grants_in(state.current_view);
            if is_unchanged && self.shards.get(&shard).is_none_or(settled) {
                continue;
            }
            if self.update_current_view(now, &shard) {
                let joining = self.shards.get_mut(&shard);
                let joining = joining.and_then(|state| state.joining.as_mut());
                let view = earlier.get(number as usize).and_then(Option::as_ref);
                if let (Some(joining), Some(view)) = (joining, view) {
                    joining.add_earlier_holders(&view.holders);
                }
                self.advance_join(now, &shard, messages);
            }
        }
    }

    /// Sets the current view of a shard. Returns true if a join has started or its target has
    /// changed.
    fn update_current_view(&mut self, now: Timestamp, id: &ShardId) -> bool {
        let view = self
            .placement
            .view_of(&id.service, id.number)
            .filter(|view| self.is_listed && view.holders.contains(&self.own));
        let Some(view) = view else {
            if let Some(shard) = self.shards.get_mut(id) {
                shard.set_current_view(0, self.confirmed_at);
                shard.joining = None;
            }
            return false;
        };
        let shard = self.shards.entry(id.clone()).or_default();
        shard.set_current_view(view.view, self.confirmed_at);
        if shard.report.is_unfenced() && shard.report.is_active_in(view.view) {
            shard.joining = None;
            return false;
        }
        let version = self.placement.snapshot().version.0;
        let epoch = shard.report.epoch_for(&view, version);
        let request_id = self.next_request_id;
        match &mut shard.joining {
            Some(joining) if joining.target.view == view.view => {
                if epoch <= joining.target.config_version {
                    return false;
                }
                joining.raise_epoch(epoch, request_id);
            }
            joining => {
                let target = ShardView {
                    config_version: epoch,
                    ..(*view).clone()
                };
                let mut next = JoiningView::new(target, request_id, now);
                if let Some(earlier) = joining {
                    next.inherit_earlier_holders(earlier);
                }
                *joining = Some(next);
            }
        }
        self.next_request_id += 1;
        true
    }

    /// Records that the configuration of this node was proved current at `at`. Without newer proof
    /// that it lists this run, the holder stops granting after [`ClaimSettings::isolation_limit`].
    pub fn on_config_confirmed(&mut self, at: Timestamp) {
        if self.is_listed {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
    }

    /// Whether the configuration may have dropped this run, or named other holders for the shard,
    /// for so long that other holders no longer wait for its claims.
    fn is_isolated(&self, now: Timestamp, id: &ShardId) -> bool {
        let limit = self.settings.isolation_limit;
        let superseded_since = self.shards.get(id).and_then(|shard| shard.superseded_since);
        let named_at = superseded_since.or(self.confirmed_at);
        named_at.is_none_or(|at| now.since(at) >= limit)
    }

    /// Answers a request for one key.
    pub fn on_request(&mut self, now: Timestamp, request: &ClaimRequest) -> ClaimReply {
        let (verdict, owner, epoch) = self.decide_request(now, request);
        ClaimReply {
            request_id: request.request_id,
            verdict: verdict as i32,
            owner,
            view: request.view,
            epoch,
        }
    }

    fn decide_request(
        &mut self,
        now: Timestamp,
        request: &ClaimRequest,
    ) -> (ClaimVerdict, Option<ClaimOwner>, u64) {
        self.join_newer_epoch(now, request);
        let isolated = self.is_isolated(now, &request.shard);
        let Some(shard) = self.shards.get_mut(&request.shard) else {
            return (ClaimVerdict::WrongView, None, 0);
        };
        if isolated || !shard.grants_in(request.view) {
            let verdict = if shard.current_view == request.view {
                ClaimVerdict::NotActive
            } else {
                ClaimVerdict::WrongView
            };
            return (verdict, None, 0);
        }
        let Ok(action) = ClaimAction::try_from(request.action) else {
            return (ClaimVerdict::Unspecified, None, 0);
        };
        let epoch = shard.epoch();
        if action == ClaimAction::Probe {
            return (ClaimVerdict::Granted, None, epoch);
        }
        let is_new = !shard.records.contains_key(request.key.as_str());
        if is_new && self.key_count >= self.settings.max_keys {
            return (ClaimVerdict::Capacity, None, epoch);
        }
        if is_new {
            self.key_count += 1;
        }
        let record = shard
            .records
            .entry(request.key.as_str().into())
            .or_default();
        let interner = &mut self.interner;
        let (verdict, owner) = match action {
            ClaimAction::Acquire => record.acquire(&request.owner, interner),
            ClaimAction::Fence => record.fence(),
            ClaimAction::Release if record.release(&request.owner.attempt) => {
                (ClaimVerdict::Granted, None)
            }
            ClaimAction::Release => (ClaimVerdict::Capacity, None),
            ClaimAction::Finish => {
                record.finish(&request.owner, interner);
                (ClaimVerdict::Granted, None)
            }
            ClaimAction::Probe => (ClaimVerdict::Granted, None),
        };
        if verdict == ClaimVerdict::Granted {
            record.changed_at = now;
        }
        (verdict, owner, epoch)
    }

    /// If the request shows that other holders have formed the active view again at a newer epoch,
    /// fences the active view and starts to join it at that epoch. The join continues on the next
    /// tick.
    fn join_newer_epoch(&mut self, now: Timestamp, request: &ClaimRequest) {
        let Some(shard) = self.shards.get_mut(&request.shard) else {
            return;
        };
        if request.epoch <= shard.epoch() || !shard.grants_in(request.view) {
            return;
        }
        let Some(mut target) = shard.report.active.clone() else {
            return;
        };
        target.config_version = request.epoch;
        if shard.report.promise(&target) {
            self.update_current_view(now, &request.shard);
        }
    }

    /// Fences the active view in favour of the sender's target view and returns the claims.
    pub fn on_fetch(
        &mut self,
        now: Timestamp,
        from: &SharedName,
        fetch: &ShardFetch,
    ) -> Vec<ClaimMessage> {
        let id = &fetch.shard;
        let is_known = self.services.contains_key(id.service.as_str())
            || self.placement.has_service(&id.service);
        if !is_known || id.number >= SHARDS_PER_SERVICE {
            return Vec::new();
        }
        let target = &fetch.target;
        let is_outdated = self.is_outdated(id, target);
        let shard = self.shards.entry(id.clone()).or_default();
        // A holder that is active and unfenced in the same view lets the sender join that view.
        let same_view = shard.report.is_unfenced() && shard.report.is_active_in(target.view);
        let accepted = same_view || (!is_outdated && shard.report.promise(target));
        let mut chunk = ShardChunk {
            request_id: fetch.request_id,
            shard: fetch.shard.clone(),
            active: shard.report.active.clone(),
            refused: !accepted,
            offset: fetch.offset,
            total: 0,
            records: Vec::new(),
            holder: self.own.clone(),
            promised: shard.report.promised.clone(),
            generation: shard.generation,
            skipped: 0,
        };
        if accepted {
            chunk.promised.retain(|view| view != target);
            chunk.skipped = match fetch.offset {
                0 => equal_buckets(&fetch.known, &shard.records),
                _ => fetch.skipped,
            };
            let is_missing = |key: &str| chunk.skipped & bucket_bit(key) == 0;
            let missing = shard.records.iter().filter(|(key, _)| is_missing(key));
            chunk.total = missing.clone().count() as u64;
            let mut bytes = 0;
            let offset = usize::try_from(fetch.offset).unwrap_or(usize::MAX);
            for (key, record) in missing.skip(offset) {
                let record = record.to_wire(key, now);
                bytes += record.encoded_len();
                if bytes > MAX_CHUNK_BYTES && !chunk.records.is_empty() {
                    break;
                }
                chunk.records.push(record);
            }
        }
        let mut messages = vec![ClaimMessage {
            to: from.clone(),
            body: Body::ShardChunk(chunk),
        }];
        // The promise may have fenced the view that this node is active in or is joining.
        if accepted && !same_view && self.update_current_view(now, id) {
            self.advance_join(now, id, &mut messages);
        }
        messages
    }

    /// Whether this node's configuration is at or past the target's version and names other
    /// holders. The sender will learn of that configuration too, so nothing is fenced for its
    /// target.
    fn is_outdated(&mut self, id: &ShardId, target: &ShardView) -> bool {
        if !self.is_listed {
            return false;
        }
        let view = self.placement.view_of(&id.service, id.number);
        target.config_version <= self.placement.snapshot().version.0
            && view.is_some_and(|view| view.view != target.view)
    }

    /// Stores the claims that another holder handed over.
    pub fn on_chunk(&mut self, now: Timestamp, chunk: ShardChunk) -> Vec<ClaimMessage> {
        let id = chunk.shard.clone();
        let mut messages = Vec::new();
        let limit = self
            .settings
            .max_keys
            .saturating_mul(TRANSFER_HEADROOM_FACTOR);
        let Some(shard) = self.shards.get_mut(&id) else {
            return messages;
        };
        let Some(joining) = &mut shard.joining else {
            return messages;
        };
        // If a transfer exceeds the limit, the holder stays inactive, because dropping a claim
        // would be worse.
        if self.key_count.saturating_add(chunk.records.len()) > limit {
            return messages;
        }
        match joining.accept(&chunk, self.next_request_id) {
            ChunkEffect::Ignored => return messages,
            ChunkEffect::Refused(epoch) => {
                let version = self.placement.snapshot().version.0;
                let target = &joining.target;
                if version <= epoch.max(target.config_version) || epoch < target.config_version {
                    return messages;
                }
                joining.raise_epoch(version, self.next_request_id);
                self.next_request_id += 1;
            }
            ChunkEffect::EpochRaised => self.next_request_id += 1,
            ChunkEffect::Continue | ChunkEffect::Complete => {
                for record in chunk.records {
                    let (key, facts) = KeyRecord::from_wire(record, now, &mut self.interner);
                    match shard.records.get_mut(key.as_str()) {
                        Some(known) => known.merge(facts),
                        None => {
                            self.key_count += 1;
                            shard.records.insert(key.into(), facts);
                        }
                    }
                }
            }
        }
        self.advance_join(now, &id, &mut messages);
        messages
    }

    /// Repeats unanswered fetches, becomes active in views that may now start without the records
    /// of lost holders, and drops records past their retention.
    pub fn on_tick(&mut self, now: Timestamp) -> Vec<ClaimMessage> {
        let mut messages = Vec::new();
        let settings = &self.settings;
        let key_count = self.key_count;
        let mut waiting = Vec::new();
        for (id, shard) in &mut self.shards {
            let before = shard.records.len();
            shard
                .records
                .retain(|_, record| now.since(record.changed_at) < settings.key_retention);
            if shard.records.len() < before {
                self.key_count -= before - shard.records.len();
                shard.generation += 1;
            }
            if shard.joining.is_some() {
                waiting.push(id.clone());
            }
        }
        if self.key_count < key_count {
            self.interner.drop_unused();
        }
        for id in waiting {
            self.advance_join(now, &id, &mut messages);
        }
        messages
    }

    /// Makes this holder active in the view that it is joining, or fetches the missing answers.
    fn advance_join(&mut self, now: Timestamp, id: &ShardId, messages: &mut Vec<ClaimMessage>) {
        let snapshot = self.placement.snapshot().clone();
        let bootstrap = self.services.get(id.service.as_str());
        let bootstrap = bootstrap.and_then(BootstrapTracker::holders);
        let Some(shard) = self.shards.get_mut(id) else {
            return;
        };
        let Some(joining) = &mut shard.joining else {
            return;
        };
        let is_listed = |holder: &ShardHolder| {
            let upstream = snapshot.upstreams.get(holder.name.as_str());
            upstream.is_some_and(|upstream| upstream.incarnation.0 == holder.incarnation)
        };
        let context = JoinContext {
            own: &self.own,
            bootstrap: bootstrap.as_deref(),
            is_listed: &is_listed,
            lost_view_timeout: self.settings.lost_view_timeout(),
        };
        match joining.decide(&shard.report, &context, now) {
            JoinDecision::Activate(view) => {
                shard.report.activate(view);
                shard.joining = None;
                shard.superseded_since = None;
                // Records that were already sent may have been merged with others since then. The
                // new generation makes their receivers restart the transfer.
                shard.generation += 1;
            }
            JoinDecision::Fetch(holders) => {
                let was_never_active = shard.report.active.is_none();
                for holder in holders {
                    if was_never_active && joining.is_waiting(now) {
                        break;
                    }
                    let interval = self.settings.fetch_interval;
                    let Some((offset, skipped)) = joining.next_fetch(&holder, now, interval) else {
                        continue;
                    };
                    let known = match offset {
                        0 => bucket_digests(&shard.records),
                        _ => Vec::new(),
                    };
                    let fetch = ShardFetch {
                        request_id: joining.request_id,
                        shard: id.clone(),
                        target: joining.target.clone(),
                        offset,
                        known,
                        skipped,
                    };
                    messages.push(ClaimMessage {
                        to: holder.name.as_str().into(),
                        body: Body::ShardFetch(fetch),
                    });
                }
            }
        }
    }
}
