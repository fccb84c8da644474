//! One action that is requested from the holders of a shard until enough of them have answered.

use std::sync::Arc;
use std::time::Duration;

use kumquatlock_wire::Body;
use kumquatlock_wire::claim::{
    ClaimAction, ClaimOwner, ClaimReply, ClaimRequest, ClaimVerdict, ShardId, ShardView,
};

use super::ClaimMessage;
use super::placement::majority;
use crate::core::Timestamp;

/// Time after which a request is sent again to a holder that has not answered. Longer than a round
/// trip between regions, 60 ms, and short enough for several attempts within the default deadline
/// of 5 s.
pub const RESEND_INTERVAL: Duration = Duration::from_millis(200);

/// Time after which a request is sent again to a holder that answered that it is not active in the
/// view.
pub const INACTIVE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Number of low bits of a request id that hold the action, so that a late answer to one action of
/// a call is never mistaken for an answer to another.
pub(super) const ACTION_BITS: u32 = 2;

/// State of the request to one holder.
#[derive(Clone, Debug, PartialEq)]
enum HolderAnswer {
    Unsent,
    Sent(Timestamp),
    RetryAt(Timestamp),
    Verdict {
        verdict: ClaimVerdict,
        epoch: u64,
        owner: Option<ClaimOwner>,
    },
}

/// The requested action and the answers of the holders in the current view.
#[derive(Debug)]
pub(super) struct HolderRound {
    action: ClaimAction,
    /// Number of the acquirer or fencer, unique among the calls of the process.
    number: u64,
    shard: ShardId,
    key: String,
    owner: ClaimOwner,
    view: Option<Arc<ShardView>>,
    /// One answer per holder of `view`, in the same order.
    answers: Vec<HolderAnswer>,
    /// Highest epoch in the answers of the holders of `view`.
    latest_epoch: u64,
}

impl HolderRound {
    pub(super) fn new(number: u64, shard: ShardId, key: String, owner: ClaimOwner) -> Self {
        HolderRound {
            action: ClaimAction::Acquire,
            number,
            shard,
            key,
            owner,
            view: None,
            answers: Vec::new(),
            latest_epoch: 0,
        }
    }

    pub(super) fn owner(&self) -> &ClaimOwner {
        &self.owner
    }

    pub(super) fn has_view(&self) -> bool {
        self.view.is_some()
    }

    pub(super) fn shard(&self) -> &ShardId {
        &self.shard
    }

    /// Starts another action in the same view.
    pub(super) fn start_action(&mut self, action: ClaimAction) {
        self.action = action;
        self.answers.fill(HolderAnswer::Unsent);
    }

    /// Switches to another view. Answers from the old view no longer count.
    pub(super) fn set_view(&mut self, view: Option<Arc<ShardView>>) {
        let id = |view: &Option<Arc<ShardView>>| view.as_ref().map(|view| view.view);
        if id(&view) != id(&self.view) {
            let holders = view.as_ref().map_or(0, |view| view.holders.len());
            self.answers = vec![HolderAnswer::Unsent; holders];
            self.latest_epoch = 0;
        }
        self.view = view;
    }

    fn request_id(&self) -> u64 {
        (self.number << ACTION_BITS) | self.action as u64
    }

    /// Returns the requests that are due now and marks them as sent.
    pub(super) fn due_messages(&mut self, now: Timestamp) -> Vec<ClaimMessage> {
        let request_id = self.request_id();
        let epoch = self.latest_epoch;
        let Some(view) = &self.view else {
            return Vec::new();
        };
        let mut messages = Vec::new();
        for (holder, answer) in view.holders.iter().zip(&mut self.answers) {
            let due = match answer {
                HolderAnswer::Unsent => true,
                HolderAnswer::Sent(at) => now.since(*at) >= RESEND_INTERVAL,
                HolderAnswer::RetryAt(at) => now >= *at,
                HolderAnswer::Verdict { .. } => false,
            };
            if !due {
                continue;
            }
            *answer = HolderAnswer::Sent(now);
            messages.push(ClaimMessage {
                to: holder.name.as_str().into(),
                body: Body::Claim(ClaimRequest {
                    request_id,
                    shard: self.shard.clone(),
                    view: view.view,
                    key: self.key.clone(),
                    action: self.action as i32,
                    owner: self.owner.clone(),
                    epoch,
                }),
            });
        }
        messages
    }

    /// Records a holder's answer. Returns false if the answer has no effect because it is late, has
    /// an unknown verdict, does not come from a holder, or belongs to another action or view.
    pub(super) fn accept(&mut self, now: Timestamp, from: &str, reply: &ClaimReply) -> bool {
        let Some(view) = &self.view else {
            return false;
        };
        if reply.request_id != self.request_id() || reply.view != view.view {
            return false;
        }
        let position = view.holders.iter().position(|holder| holder.name == from);
        let Some(position) = position else {
            return false;
        };
        let verdict = ClaimVerdict::try_from(reply.verdict).unwrap_or(ClaimVerdict::Unspecified);
        let answer = &mut self.answers[position];
        match verdict {
            ClaimVerdict::Unspecified => return false,
            ClaimVerdict::WrongView | ClaimVerdict::NotActive => {
                if !matches!(answer, HolderAnswer::Sent(_)) {
                    return false;
                }
                *answer = HolderAnswer::RetryAt(now + INACTIVE_RETRY_DELAY);
                return true;
            }
            _ => {}
        }
        if let HolderAnswer::Verdict { epoch, .. } = answer
            && *epoch >= reply.epoch
        {
            return false;
        }
        *answer = HolderAnswer::Verdict {
            verdict,
            epoch: reply.epoch,
            owner: reply.owner.clone(),
        };
        self.discard_older_epochs(now);
        true
    }

    /// Schedules new requests to holders that answered at an older epoch, before the view was
    /// formed again. Answers to a release or a finish stay valid, because these are facts in any
    /// epoch.
    fn discard_older_epochs(&mut self, now: Timestamp) {
        let epochs = self.verdicts().map(|(_, epoch, _)| epoch);
        self.latest_epoch = epochs.max().unwrap_or(0).max(self.latest_epoch);
        if !matches!(self.action, ClaimAction::Acquire | ClaimAction::Fence) {
            return;
        }
        for answer in &mut self.answers {
            if matches!(answer, HolderAnswer::Verdict { epoch, .. } if *epoch < self.latest_epoch) {
                *answer = HolderAnswer::RetryAt(now + INACTIVE_RETRY_DELAY);
            }
        }
    }

    fn verdicts(&self) -> impl Iterator<Item = (ClaimVerdict, u64, Option<&ClaimOwner>)> {
        self.answers.iter().filter_map(|answer| match answer {
            HolderAnswer::Verdict {
                verdict,
                epoch,
                owner,
            } => Some((*verdict, *epoch, owner.as_ref())),
            _ => None,
        })
    }

    /// Whether a majority granted the action. The counted answers to an acquire or a fence are all
    /// of one view and one epoch.
    pub(super) fn is_granted(&self) -> bool {
        let granted = self
            .verdicts()
            .filter(|(verdict, ..)| *verdict == ClaimVerdict::Granted);
        self.view.is_some() && granted.count() >= majority(self.answers.len())
    }

    /// Whether so many holders refused that a majority is no longer possible.
    pub(super) fn is_refused(&self) -> bool {
        let refused = self
            .verdicts()
            .filter(|(verdict, ..)| *verdict != ClaimVerdict::Granted);
        self.answers.len() - refused.count() < majority(self.answers.len())
    }

    /// Whether every holder has answered with any verdict.
    pub(super) fn is_answered(&self) -> bool {
        self.verdicts().count() == self.answers.len()
    }

    /// Returns the first answer with this verdict, and the owner that it names.
    pub(super) fn find_verdict(&self, wanted: ClaimVerdict) -> Option<Option<&ClaimOwner>> {
        self.verdicts()
            .find(|(verdict, ..)| *verdict == wanted)
            .map(|(_, _, owner)| owner)
    }
}
