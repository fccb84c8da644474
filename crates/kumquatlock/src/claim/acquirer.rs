//! Acquires a claim for the destination: asks the holders and decides whether the request may run.

use std::sync::Arc;
use std::time::Duration;

use kumquatlock_wire::claim::{
    ClaimAction, ClaimOwner, ClaimReply, ClaimVerdict, ShardId, ShardView,
};

use super::ClaimMessage;
use super::round::HolderRound;
use crate::core::Timestamp;

/// Time for which a release or a finish is repeated to holders that have not answered. A holder
/// that is unreachable for longer learns the fact with the next view; until then it keeps the key
/// blocked.
pub const SETTLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Decision on one attempt. After any decision but `Run` the attempt never runs.
#[derive(Clone, Debug, PartialEq)]
pub enum AcquireDecision {
    /// A majority granted the claim: run the request.
    Run,
    /// The attempt was refused and did not run.
    Refuse(RefusalReason),
    /// Another attempt holds or may hold the claim.
    ClaimedElsewhere(ClaimOwner),
    /// Another attempt has run the request.
    Finished(ClaimOwner),
    /// The key was fenced: it has been, or may be, answered as not run.
    Fenced,
    /// The holders did not decide in time. Whether an earlier attempt ran is unknown.
    Unknown,
}

/// Why an attempt was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RefusalReason {
    /// The holders already store their maximum number of keys, or of released attempts of this key.
    ClaimCapacity,
    /// The key was used with another request.
    KeyReused,
    /// The attempt was released earlier.
    AttemptReleased,
    /// The service has no upstream that could hold claims.
    NoHolders,
}

/// Messages to send, and the decision once it is made.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AcquireSteps {
    /// Messages to holders.
    pub messages: Vec<ClaimMessage>,
    /// Set exactly once per attempt.
    pub decision: Option<AcquireDecision>,
}

/// Phase of an acquirer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AcquirePhase {
    /// The holders are asked to grant the claim.
    Acquiring,
    /// The claim is granted and the request runs.
    Holding,
    /// A release or a finish is being sent to the holders until this time.
    Settling(Timestamp),
    Done,
}

/// Acquires the claim of one attempt. A destination that is itself a holder sends messages to
/// itself as to any other holder.
#[derive(Debug)]
pub struct ClaimAcquirer {
    round: HolderRound,
    deadline: Timestamp,
    phase: AcquirePhase,
}

impl ClaimAcquirer {
    /// Creates an acquirer. `number` must be unique among the calls of the process, because replies
    /// are matched by it.
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

    /// Returns the `number` of the acquirer or fencer that sent a message with this request id.
    pub fn number_of(request_id: u64) -> u64 {
        request_id >> super::round::ACTION_BITS
    }

    /// Whether nothing is left to send.
    pub fn is_done(&self) -> bool {
        self.phase == AcquirePhase::Done
    }

    /// Whether the request may run and nothing needs to be sent until it ends.
    pub fn is_holding(&self) -> bool {
        self.phase == AcquirePhase::Holding
    }

    /// Returns the shard of the key.
    pub fn shard(&self) -> &ShardId {
        self.round.shard()
    }

    /// Sends requests to the holders. Also called with the new view when the configuration changes.
    pub fn on_view(&mut self, now: Timestamp, view: Option<Arc<ShardView>>) -> AcquireSteps {
        self.round.set_view(view);
        self.proceed(now)
    }

    /// Handles a holder's answer. Late and duplicated answers have no effect.
    pub fn on_reply(&mut self, now: Timestamp, from: &str, reply: &ClaimReply) -> AcquireSteps {
        if !self.round.accept(now, from, reply) {
            return AcquireSteps::default();
        }
        self.proceed(now)
    }

    /// Repeats unanswered requests and decides at the deadline.
    pub fn on_tick(&mut self, now: Timestamp) -> AcquireSteps {
        self.proceed(now)
    }

    /// Records that the request has finished its run.
    pub fn finish(&mut self, now: Timestamp) -> AcquireSteps {
        if self.phase == AcquirePhase::Holding {
            self.settle(now, ClaimAction::Finish);
        }
        self.proceed(now)
    }

    /// Releases the claim. The caller must have made sure that the attempt never runs. Has no
    /// effect on an attempt that was already released or has finished.
    pub fn abandon(&mut self, now: Timestamp) -> AcquireSteps {
        if matches!(self.phase, AcquirePhase::Acquiring | AcquirePhase::Holding) {
            self.settle(now, ClaimAction::Release);
        }
        self.proceed(now)
    }

    /// Starts to send a release or a finish to the holders.
    fn settle(&mut self, now: Timestamp, action: ClaimAction) {
        self.round.start_action(action);
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
                    // A holder may have granted the claim, or may still receive a request that is
                    // in flight.
                    Some(_) => self.settle(now, ClaimAction::Release),
                }
            }
            AcquirePhase::Settling(until) if self.round.is_answered() || now >= until => {
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
        let finished = round
            .find_verdict(ClaimVerdict::Finished)
            .flatten()
            .filter(other);
        if let Some(owner) = finished {
            return Some(AcquireDecision::Finished(owner.clone()));
        }
        if !round.is_refused() {
            return None;
        }
        if round.find_verdict(ClaimVerdict::KeyReused).is_some() {
            return Some(AcquireDecision::Refuse(RefusalReason::KeyReused));
        }
        if let Some(owner) = round
            .find_verdict(ClaimVerdict::Taken)
            .flatten()
            .filter(other)
        {
            return Some(AcquireDecision::ClaimedElsewhere(owner.clone()));
        }
        if round.find_verdict(ClaimVerdict::Fenced).is_some() {
            return Some(AcquireDecision::Fenced);
        }
        if round.find_verdict(ClaimVerdict::Capacity).is_some() {
            return Some(AcquireDecision::Refuse(RefusalReason::ClaimCapacity));
        }
        Some(AcquireDecision::Refuse(RefusalReason::AttemptReleased))
    }
}
