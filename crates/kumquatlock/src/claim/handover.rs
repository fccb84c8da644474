//! Handover of the claims of a holder that leaves.
//!
//! A leaving holder stays until a majority of the holders of each next view have become active.
//! From then on nobody needs to read this holder, also when others leave at the same time: each of
//! them stays for the same reason. An empty shard is handed over like any other, because the next
//! holders have to learn that it is empty.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use kumquatlock_wire::Body;
use kumquatlock_wire::claim::{
    ClaimAction, ClaimOwner, ClaimReply, ClaimRequest, ClaimVerdict, ShardId, ShardView,
};

use super::ClaimMessage;
use super::placement::majority;
use crate::core::Timestamp;

/// Time after which a holder of a next view is asked again. A view change takes a few round trips.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Marks the request ids of probes. Numbers of acquirers and fencers stay far below.
const PROBE_MARK: u64 = 1 << 63;

/// What a leaving holder knows of the next views of its shards.
#[derive(Debug, Default)]
pub(super) struct HandoverWatch {
    /// Next view of each shard, and its holders that are active in it.
    entered: IndexMap<ShardId, (u64, IndexSet<String>)>,
    probed_at: Option<Timestamp>,
}

impl HandoverWatch {
    /// Whether the holders of `view` can do without the leaving one.
    pub(super) fn is_entered(&self, shard: &ShardId, view: &ShardView) -> bool {
        let entered = self.entered.get(shard);
        entered.is_some_and(|(id, holders)| {
            *id == view.view && holders.len() >= majority(view.holders.len())
        })
    }

    /// Whether it is time to ask again.
    pub(super) fn is_due(&mut self, now: Timestamp) -> bool {
        let due = self
            .probed_at
            .is_none_or(|at| now.since(at) >= PROBE_INTERVAL);
        if due {
            self.probed_at = Some(now);
        }
        due
    }

    /// Asks the holders of `view` that have not entered it.
    pub(super) fn probe(
        &mut self,
        shard: &ShardId,
        view: &ShardView,
        messages: &mut Vec<ClaimMessage>,
    ) {
        let known = self.entered.entry(shard.clone());
        let index = known.index() as u64;
        let known = known.or_default();
        if known.0 != view.view {
            *known = (view.view, IndexSet::new());
        }
        for holder in &view.holders {
            if known.1.contains(&holder.name) {
                continue;
            }
            let request = ClaimRequest {
                request_id: PROBE_MARK | index,
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

    /// Takes the answer to a probe.
    pub(super) fn on_reply(&mut self, from: &str, reply: &ClaimReply) {
        if reply.request_id & PROBE_MARK == 0 || reply.verdict != ClaimVerdict::Granted as i32 {
            return;
        }
        let index = (reply.request_id & !PROBE_MARK) as usize;
        if let Some((_, (view, holders))) = self.entered.get_index_mut(index)
            && *view == reply.view
        {
            holders.insert(from.to_owned());
        }
    }
}
