//! The destination's side of a claim: asks the holders and decides whether the request may run.

use std::sync::Arc;
use std::time::Duration;

use kumquatlock_wire::claim::{
    ClaimAction, ClaimOwner, ClaimReply, ClaimVerdict, ShardId, ShardView,
};

use super::ClaimMessage;
use super::round::HolderRound;
use crate::core::Timestamp;

/// Time for which a release or a finish is repeated to holders that have not answered. A holder
/// that is out of reach for longer gets the fact with the next view, or keeps the key blocked.
pub const SETTLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Decision on one attempt. After any decision but `Run` the attempt never runs.
#[derive(Clone, Debug, PartialEq)]
pub enum AcquireDecision {
    /// A majority granted the claim: run the request.
    Run,
    /// The attempt was refused and the key was not run by it.
    Refuse(RefusalReason),
    /// Another attempt holds or may hold the claim.
    ClaimedElsewhere(ClaimOwner),
    /// Another attempt has run the request.
    Finished(ClaimOwner),
    /// The key was answered as not run.
    Fenced,
    /// The holders could not be asked in time. Whether an earlier attempt ran is unknown.
    Unknown,
}

/// Why an attempt was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RefusalReason {
    /// The holders keep as many keys as they may.
    ClaimCapacity,
    /// The key was used with another request.
    KeyReused,
    /// The attempt was released earlier.
    AttemptReleased,
    /// The service has no upstream that could hold claims.
    NoHolders,
}

/// Messages to send, and the decision once there is one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AcquireSteps {
    /// Messages to holders.
    pub messages: Vec<ClaimMessage>,
    /// Given exactly once per attempt.
    pub decision: Option<AcquireDecision>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AcquirePhase {
    Acquiring,
    /// Granted; the request runs.
    Holding,
    /// A release or a finish is on its way to the holders.
    Settling(Timestamp),
    Done,
}

/// One attempt's claim. A destination that is itself a holder sends to itself like to any other.
#[derive(Debug)]
pub struct ClaimAcquirer {
    round: HolderRound,
    deadline: Timestamp,
    phase: AcquirePhase,
}

impl ClaimAcquirer {
    /// `number` is unique among the calls of the process; it tells their replies apart.
    pub fn new(
        number: u64,
        owner: ClaimOwner,
        shard: ShardId,
        key: &str,
        deadline: Timestamp,
    ) -> Self {
        ClaimAcquirer {
            round: HolderRound::new(number, shard, key.to_owned(), owner),
            deadline,
            phase: AcquirePhase::Acquiring,
        }
    }

    /// Number in the request ids of this acquirer's messages.
    pub fn number_of(request_id: u64) -> u64 {
        request_id >> super::round::ACTION_BITS
    }

    /// Whether nothing is left to send.
    pub fn is_done(&self) -> bool {
        self.phase == AcquirePhase::Done
    }

    /// Whether the request may run and nothing is to be sent meanwhile.
    pub fn is_holding(&self) -> bool {
        self.phase == AcquirePhase::Holding
    }

    /// Shard of the key.
    pub fn shard(&self) -> &ShardId {
        self.round.shard()
    }

    /// Asks the holders; also called with the new view when the configuration changes.
    pub fn on_view(&mut self, now: Timestamp, view: Option<Arc<ShardView>>) -> AcquireSteps {
        self.round.set_view(view);
        self.proceed(now)
    }

    /// Takes a holder's answer. Late and doubled answers change nothing.
    pub fn on_reply(&mut self, now: Timestamp, from: &str, reply: &ClaimReply) -> AcquireSteps {
        if !self.round.accept(now, from, reply) {
            return AcquireSteps::default();
        }
        self.proceed(now)
    }

    /// Repeats what is unanswered and decides at the deadline.
    pub fn on_tick(&mut self, now: Timestamp) -> AcquireSteps {
        self.proceed(now)
    }

    /// Records that the request ran to its end.
    pub fn finish(&mut self, now: Timestamp) -> AcquireSteps {
        if self.phase == AcquirePhase::Holding {
            self.settle(now, ClaimAction::Finish);
        }
        self.proceed(now)
    }

    /// Gives the claim back. The caller has made sure that the attempt never runs. Has no effect
    /// on an attempt that was released already or has finished.
    pub fn abandon(&mut self, now: Timestamp) -> AcquireSteps {
        if matches!(self.phase, AcquirePhase::Acquiring | AcquirePhase::Holding) {
            self.settle(now, ClaimAction::Release);
        }
        self.proceed(now)
    }

    fn settle(&mut self, now: Timestamp, action: ClaimAction) {
        self.round.ask(action);
        self.phase = AcquirePhase::Settling(now + SETTLE_TIMEOUT);
    }

    fn proceed(&mut self, now: Timestamp) -> AcquireSteps {
        let mut decision = None;
        match self.phase {
            AcquirePhase::Acquiring => {
                decision = self.decide(now);
                match &decision {
                    None => {}
                    Some(AcquireDecision::Run) => self.phase = AcquirePhase::Holding,
                    // A holder may have granted, or may yet read a request that is on its way.
                    Some(_) => self.settle(now, ClaimAction::Release),
                }
            }
            AcquirePhase::Settling(until) if self.round.is_settled() || now >= until => {
                self.phase = AcquirePhase::Done;
            }
            _ => {}
        }
        let messages = match self.phase {
            AcquirePhase::Acquiring | AcquirePhase::Settling(_) => self.round.due_messages(now),
            AcquirePhase::Holding | AcquirePhase::Done => Vec::new(),
        };
        AcquireSteps { messages, decision }
    }

    fn decide(&self, now: Timestamp) -> Option<AcquireDecision> {
        let round = &self.round;
        if now >= self.deadline {
            return Some(AcquireDecision::Unknown);
        }
        if !round.has_view() {
            return Some(AcquireDecision::Refuse(RefusalReason::NoHolders));
        }
        if round.is_granted() {
            return Some(AcquireDecision::Run);
        }
        let other = |owner: &&ClaimOwner| *owner != round.owner();
        let finished = round.find(ClaimVerdict::Finished).flatten().filter(other);
        if let Some(owner) = finished {
            return Some(AcquireDecision::Finished(owner.clone()));
        }
        if !round.is_refused() {
            return None;
        }
        if round.find(ClaimVerdict::KeyReused).is_some() {
            return Some(AcquireDecision::Refuse(RefusalReason::KeyReused));
        }
        if let Some(owner) = round.find(ClaimVerdict::Taken).flatten().filter(other) {
            return Some(AcquireDecision::ClaimedElsewhere(owner.clone()));
        }
        if round.find(ClaimVerdict::Fenced).is_some() {
            return Some(AcquireDecision::Fenced);
        }
        if round.find(ClaimVerdict::Capacity).is_some() {
            return Some(AcquireDecision::Refuse(RefusalReason::ClaimCapacity));
        }
        Some(AcquireDecision::Refuse(RefusalReason::AttemptReleased))
    }
}
