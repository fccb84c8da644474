//! Handover of claims by a leaving holder.
//!
//! A leaving holder stays up until a majority of the holders of each next view has become active.
//! From then on, other holders can read the claims from that majority and no longer need the
//! leaving holder. This is also true if several holders leave at the same time, because each of
//! them waits until such a majority is active. An empty shard is handed over like any other,
//! because the next holders have to learn that it is empty.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use kumquatlock_wire::Body;
use kumquatlock_wire::claim::{
    ClaimAction, ClaimOwner, ClaimReply, ClaimRequest, ClaimVerdict, ShardId, ShardView,
};

use super::ClaimMessage;
use super::placement::majority;
use crate::core::Timestamp;

/// Time after which the holders of a next view are probed again. A view change takes a few round
/// trips.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Flag in the request ids of probes. The call numbers of acquirers and fencers stay far below it.
const PROBE_FLAG: u64 = 1 << 63;

/// Which holders of the next views are known to be active, for each shard of a leaving holder.
#[derive(Debug, Default)]
pub(super) struct HandoverTracker {
    /// Id of the next view of each shard, and the holders that are active in it.
    active_holders: IndexMap<ShardId, (u64, IndexSet<String>)>,
    probed_at: Option<Timestamp>,
}

impl HandoverTracker {
    /// Whether a majority of the holders of `view` is known to be active in it, so that the leaving
    /// holder is no longer needed for this shard.
    pub(super) fn has_active_majority(&self, shard: &ShardId, view: &ShardView) -> bool {
        let active_holders = self.active_holders.get(shard);
        active_holders.is_some_and(|(id, holders)| {
            *id == view.view && holders.len() >= majority(view.holders.len())
        })
    }

    /// Whether the next probe is due. If so, the interval starts again.
    pub(super) fn is_due(&mut self, now: Timestamp) -> bool {
        let due = self
            .probed_at
            .is_none_or(|at| now.since(at) >= PROBE_INTERVAL);
        if due {
            self.probed_at = Some(now);
        }
        due
    }

    /// Adds probes to the holders of `view` that are not known to be active in it.
    pub(super) fn probe(
        &mut self,
        shard: &ShardId,
        view: &ShardView,
        messages: &mut Vec<ClaimMessage>,
    ) {
        let entry = self.active_holders.entry(shard.clone());
        let index = entry.index() as u64;
        let entry = entry.or_default();
        if entry.0 != view.view {
            *entry = (view.view, IndexSet::new());
        }
        for holder in &view.holders {
            if entry.1.contains(&holder.name) {
                continue;
            }
            let request = ClaimRequest {
                request_id: PROBE_FLAG | index,
                shard: shard.clone(),
                view: view.view,
                action: ClaimAction::Probe as i32,
                key: String::new(),
                owner: ClaimOwner::default(),
                epoch: 0,
            };
            messages.push(ClaimMessage {
                to: holder.name.as_str().into(),
                body: Body::Claim(request),
            });
        }
    }

    /// Records the answer to a probe.
    pub(super) fn on_reply(&mut self, from: &str, reply: &ClaimReply) {
        if reply.request_id & PROBE_FLAG == 0 || reply.verdict != ClaimVerdict::Granted as i32 {
            return;
        }
        let index = (reply.request_id & !PROBE_FLAG) as usize;
        if let Some((_, (view, holders))) = self.active_holders.get_index_mut(index)
            && *view == reply.view
        {
            holders.insert(from.to_owned());
        }
    }
}
