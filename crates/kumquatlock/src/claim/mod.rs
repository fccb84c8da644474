//! At most one run for requests with an idempotency key.
//!
//! The claims of a key are kept by up to three *holders*, nodes that [`PlacementTable`] derives
//! from the configuration. The holders at one configuration form a *view*. Four parts work
//! together:
//!
//! - [`ClaimHolder`] keeps claims for others and hands them over when the view changes.
//! - [`ClaimAcquirer`] asks the holders for one attempt before the destination runs it.
//! - [`ClaimFencer`] makes a "not run" answer final before the entry sends it.
//! - [`OutcomeTable`] keeps what became of the attempts of one destination.
//!
//! A service with fewer than three upstreams gets the missing holders from other services of the
//! region. A node that leaves stays until the next views do without it (`handover.rs`).
//!
//! # Why a key runs at most once
//!
//! An attempt runs after a majority of one view's holders granted it, and a key is answered "not
//! run" after a majority of one view's holders fenced it. Call either a *win*. No key has two wins:
//!
//! 1. *One view.* Two majorities of a view share a holder. A holder gives a grant or a fence only
//!    if it has no other attempt and no fence on record, and it never forgets within the
//!    retention. A restarted process has another incarnation, so it belongs to other views, starts
//!    blank and grants nothing before it is active. Replies carry the view and its *epoch*, the
//!    configuration version that it was formed at, and only grants of one view and epoch add up:
//!    the same holders may form a view again after another one came between.
//! 2. *Fencing.* A holder grants only in the view that it is active in. Asked to hand over for a
//!    later view, it stops granting for good, and it refuses to hand over for a view below one it
//!    has promised. Views are ordered by epoch, and one configuration names one view.
//! 3. *Across views.* A holder becomes active in a view `T` when fenced answers cover a majority
//!    of the latest active view `A` that any answer reports, and of every view between `A` and
//!    `T` that any answer has promised. Let `U` be a view below `T` that ever becomes active
//!    anywhere, and suppose first that it was formed from `A`. Forming `U` fenced a majority of
//!    `A`, which shares a holder with the majority that `T` read. If that holder promised `U`
//!    first, it reported `U` to `T`, so `T` also read a majority of `U`. If it promised `T` first,
//!    it refused `U`. Chains of views follow by induction on the epoch. So the win of any earlier
//!    view is in the records that `T` read, and no earlier view can win after them.
//! 4. *Records.* A record is a set of facts, merged by union (`record.rs`). A grant that reached
//!    one holder only may survive beside the win; such a key grants nobody until one of the two is
//!    released, which only the destination that never runs it may do. A release or finish that a
//!    majority knows is therefore never undone by a holder that missed it. A holder that joins
//!    gets only the records of buckets in which it lacks a fact, by digests of 64 bits (`shard.rs`).
//! 5. *Adoption.* A holder may also join by reading one holder that is active, and not fenced, in
//!    the very same view. A holder that is active in a *later* view proves nothing about this one:
//!    the later view may have been formed without fencing it.
//! 6. *Reordering.* Answers are matched by request id, which differs for each action, each join
//!    target and each run of a process, and by view, epoch and the answering process. Doubled requests find their own grant.
//!    An acquire that arrives after its release is refused for good.
//!
//! The first views of a service are formed by reading the upstreams that the catalog marks as
//! `first_in_region`: each has known every shard since its start and reports the views that were
//! formed past it. This requires that the catalog clears the mark when the upstream restarts.
//!
//! After the loss of two of three holders no majority of the old view can be read, so nobody
//! becomes active. A joining holder starts with what is left when all that the configuration still
//! lists have answered, and it has not seen any of the others listed for
//! [`ClaimSettings::lost_view_timeout`]. By then their claims are past the retention, because a holder
//! grants nothing when the last proof that the configuration lists it and names its view is older
//! than `isolation_limit` ([`ClaimHolder::on_config_confirmed`]). The configuration never lists a run again that it
//! has dropped, so a holder that finds itself listed was listed all the time, and nobody has
//! started without it.

mod acquirer;
mod fencer;
mod genesis;
mod handover;
mod holder;
mod joining;
mod outcome;
mod placement;
mod record;
mod round;
mod shard;

use std::time::Duration;

use kumquatlock_wire::Body;

pub use acquirer::{AcquireDecision, AcquireSteps, ClaimAcquirer, RefusalReason, SETTLE_TIMEOUT};
pub use fencer::{ClaimFencer, FenceDecision, FenceSteps};
pub use holder::{ClaimHolder, HandoverStep, MAX_CHUNK_BYTES};
pub use joining::MAX_PROMISED_VIEWS;
pub use outcome::{
    AttemptAdmission, MAX_ANSWER_BYTES, MAX_QUERY_WAITERS, MAX_TOTAL_ANSWER_BYTES, OutcomeTable,
    QueryAnswer, QueryReply, StoredAnswer,
};
pub use placement::{
    HOLDERS_PER_SHARD, PlacementTable, REGION_GROUPS, SHARDS_PER_GROUP, SHARDS_PER_SERVICE,
    majority, shard_number, shard_of,
};
pub use record::MAX_RELEASED_PER_KEY;
pub use round::{INACTIVE_RETRY_DELAY, RESEND_INTERVAL};

use crate::core::SharedName;

/// Records that a transfer may bring, as a multiple of the bound on keys. A holder at its bound
/// still has to take over the claims of others.
pub const TRANSFER_HEADROOM_FACTOR: usize = 2;

/// Settings of the duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimSettings {
    /// Time for which a destination keeps an answer.
    pub retention: Duration,
    /// Time for which a holder keeps a key after its last change: the longest deadline, one hour,
    /// and the retention. An attempt that entered before the change may wait for its deadline
    /// before it asks for the claim, and must still find the key.
    pub key_retention: Duration,
    /// Time without proof that the configuration lists a holder after which it grants nothing.
    /// A longer outage of all control instances stops requests with a key.
    pub isolation_limit: Duration,
    /// Keys that a holder keeps.
    pub max_keys: usize,
    /// Time after which an unanswered fetch of a shard is repeated.
    pub fetch_interval: Duration,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        ClaimSettings {
            retention: Duration::from_secs(600),
            key_retention: Duration::from_secs(4_200),
            isolation_limit: Duration::from_secs(300),
            max_keys: 200_000,
            fetch_interval: Duration::from_millis(500),
        }
    }
}

impl ClaimSettings {
    /// Time that the holders of a lost view must have been out of the configuration before their
    /// claims no longer matter: they may have granted for the first part of it, and a claim that
    /// has not finished matters longest.
    pub fn lost_view_timeout(&self) -> Duration {
        self.isolation_limit + self.key_retention
    }
}

/// A message to the node beside an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimMessage {
    /// Name of the upstream.
    pub to: SharedName,
    /// The message.
    pub body: Body,
}

#[cfg(test)]
mod tests;
