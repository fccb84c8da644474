//! Fences a key for the entry, so that a "not run" answer is final before it is sent.

use std::sync::Arc;

use kumquatlock_wire::claim::{
    ClaimAction, ClaimOwner, ClaimReply, ClaimVerdict, ShardId, ShardView,
};

use super::ClaimMessage;
use super::round::HolderRound;
use crate::core::Timestamp;

/// What the entry may answer to a keyed request that none of its own attempts ran.
#[derive(Clone, Debug, PartialEq)]
pub enum FenceDecision {
    /// A majority fenced the key: no attempt ran it and none ever will.
    NotRun,
    /// An attempt holds or may hold the claim. Only its destination can tell the outcome.
    OwnerExists {
        /// The attempt and its destination.
        owner: ClaimOwner,
        /// Whether the holder knows that the attempt has finished.
        finished: bool,
    },
    /// No majority fenced the key, and no attempt is known to hold the claim. Whether an attempt
    /// ran is unknown.
    Unknown,
}

/// Messages to send, and the decision once it is made.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FenceSteps {
    /// Messages to holders.
    pub messages: Vec<ClaimMessage>,
    /// Set exactly once.
    pub decision: Option<FenceDecision>,
}

/// One fence of a key. Its owner is the entry's last attempt, which identifies the entry.
#[derive(Debug)]
pub struct ClaimFencer {
    round: HolderRound,
    deadline: Timestamp,
    decided: bool,
}

impl ClaimFencer {
    /// Creates a fencer. `number` must be unique among the calls of the process, because replies
    /// are matched by it.
    pub fn new(
        number: u64,
        owner: ClaimOwner,
        shard: ShardId,
        key: &str,
        deadline: Timestamp,
    ) -> Self {
        let mut round = HolderRound::new(number, shard, key.to_owned(), owner);
        round.start_action(ClaimAction::Fence);
        ClaimFencer {
            round,
            deadline,
            decided: false,
        }
    }

    /// Sends requests to the holders. Also called with the new view when the configuration changes.
    pub fn on_view(&mut self, now: Timestamp, view: Option<Arc<ShardView>>) -> FenceSteps {
        self.round.set_view(view);
        self.proceed(now)
    }

    /// Handles a holder's answer. Late and duplicated answers have no effect.
    pub fn on_reply(&mut self, now: Timestamp, from: &str, reply: &ClaimReply) -> FenceSteps {
        if !self.round.accept(now, from, reply) {
            return FenceSteps::default();
        }
        self.proceed(now)
    }

    /// Repeats unanswered requests and decides at the deadline.
    pub fn on_tick(&mut self, now: Timestamp) -> FenceSteps {
        self.proceed(now)
    }

    fn proceed(&mut self, now: Timestamp) -> FenceSteps {
        if self.decided {
            return FenceSteps::default();
        }
        let decision = self.decide(now);
        self.decided = decision.is_some();
        let messages = match decision {
            Some(_) => Vec::new(),
            None => self.round.due_messages(now),
        };
        FenceSteps { messages, decision }
    }

    fn decide(&self, now: Timestamp) -> Option<FenceDecision> {
        let round = &self.round;
        if round.is_granted() {
            return Some(FenceDecision::NotRun);
        }
        if let Some(owner) = round.find_verdict(ClaimVerdict::Finished).flatten() {
            return Some(FenceDecision::OwnerExists {
                owner: owner.clone(),
                finished: true,
            });
        }
        if now >= self.deadline || !round.has_view() {
            return Some(FenceDecision::Unknown);
        }
        if !round.is_refused() {
            return None;
        }
        match round.find_verdict(ClaimVerdict::Taken).flatten() {
            Some(owner) => Some(FenceDecision::OwnerExists {
                owner: owner.clone(),
                finished: false,
            }),
            None => Some(FenceDecision::Unknown),
        }
    }
}
