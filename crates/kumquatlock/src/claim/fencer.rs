//! The entry's side: makes a "not run" answer final before it leaves.

use std::sync::Arc;

use kumquatlock_wire::claim::{
    ClaimAction, ClaimOwner, ClaimReply, ClaimVerdict, ShardId, ShardView,
};

use super::ClaimMessage;
use super::round::HolderRound;
use crate::core::Timestamp;

/// What may be answered for a keyed request that no attempt of this entry ran.
#[derive(Clone, Debug, PartialEq)]
pub enum FenceDecision {
    /// A majority fenced the key: no attempt ran it and none ever will.
    NotRun,
    /// An attempt holds or may hold the claim; its destination knows the outcome.
    OwnerExists {
        /// The attempt and its destination.
        owner: ClaimOwner,
        /// The holder knows that the attempt has finished.
        finished: bool,
    },
    /// The fence could not be recorded.
    Unknown,
}

/// Messages to send, and the decision once there is one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FenceSteps {
    /// Messages to holders.
    pub messages: Vec<ClaimMessage>,
    /// Given exactly once.
    pub decision: Option<FenceDecision>,
}

/// One fence of a key. Its owner is the entry's last attempt, which names the asking entry.
#[derive(Debug)]
pub struct ClaimFencer {
    round: HolderRound,
    deadline: Timestamp,
    decided: bool,
}

impl ClaimFencer {
    /// `number` is unique among the calls of the process; it tells their replies apart.
    pub fn new(
        number: u64,
        owner: ClaimOwner,
        shard: ShardId,
        key: &str,
        deadline: Timestamp,
    ) -> Self {
        let mut round = HolderRound::new(number, shard, key.to_owned(), owner);
        round.ask(ClaimAction::Fence);
        ClaimFencer {
            round,
            deadline,
            decided: false,
        }
    }

    /// Asks the holders; also called with the new view when the configuration changes.
    pub fn on_view(&mut self, now: Timestamp, view: Option<Arc<ShardView>>) -> FenceSteps {
        self.round.set_view(view);
        self.proceed(now)
    }

    /// Takes a holder's answer. Late and doubled answers change nothing.
    pub fn on_reply(&mut self, now: Timestamp, from: &str, reply: &ClaimReply) -> FenceSteps {
        if !self.round.accept(now, from, reply) {
            return FenceSteps::default();
        }
        self.proceed(now)
    }

    /// Repeats what is unanswered and decides at the deadline.
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
        if let Some(owner) = round.find(ClaimVerdict::Finished).flatten() {
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
        match round.find(ClaimVerdict::Taken).flatten() {
            Some(owner) => Some(FenceDecision::OwnerExists {
                owner: owner.clone(),
                finished: false,
            }),
            None => Some(FenceDecision::Unknown),
        }
    }
}
