//! At-most-once execution of requests with an idempotency key.
//!
//! The *entry* of a call is the node that received it from the caller. The entry sends *attempts*,
//! each of them to a *destination*, which is the node beside an upstream. Before a destination
//! passes an attempt with a key on to its upstream, it acquires the *claim* of that key.
//!
//! Each key belongs to a *shard*. The claims of a shard are stored at up to three nodes, its
//! *holders*, which [`PlacementTable`] derives from the configuration. The holders that one
//! configuration names for a shard form a *view*. Four types work together:
//!
//! - [`ClaimHolder`] stores claims for other nodes and hands them over when the view changes.
//! - [`ClaimAcquirer`] asks the holders to grant an attempt before the destination runs it.
//! - [`ClaimFencer`] makes a "not run" answer final before the entry sends it.
//! - [`OutcomeTable`] stores the outcomes of the attempts at one destination.
//!
//! If a service has fewer than three upstreams, nodes of other services in the region act as the
//! missing holders. A node that leaves stays up until the holders of the next views have its claims
//! (`handover.rs`).
//!
//! # Why a key runs at most once
//!
//! An attempt runs only after a majority of the holders of one view granted it, and a key is
//! answered "not run" only after a majority of the holders of one view fenced it. Call either event
//! a *win*. No key has two wins:
//!
//! 1. *One view.* Two majorities of a view share a holder. A holder gives a grant or a fence only
//!    if it has no other attempt and no fence on record, and it forgets nothing within the
//!    retention. A restarted process has a new incarnation, so it belongs to other views, starts
//!    without records and grants nothing before it is active. Replies carry the view and its
//!    *epoch*, the configuration version at which the view was formed. Only grants of the same view
//!    and epoch count towards a majority, because the same holders may form a view again after
//!    another view came in between.
//! 2. *Fencing of views.* A holder grants only in the view that it is active in. When it hands its
//!    records over for a later view, it *promises* that view. From then on it is *fenced*: it never
//!    grants in the current view again, and it refuses to hand over for a view below one that it
//!    has promised. Views are ordered by epoch, and one configuration names one view of a shard.
//! 3. *Across views.* A holder becomes active in a view `T` when the answers of fenced holders
//!    cover a majority of the latest active view `A` that any answer reports, and of every view
//!    between `A` and `T` that any answer reports as promised. Let `U` be a view below `T` that ever
//!    becomes active at any holder, and suppose first that it was formed from `A`. Forming `U`
//!    fenced a majority of `A`. This majority shares a holder `H` with the majority of `A` that `T`
//!    read. If `H` promised `U` first, it reported `U` to `T`, so `T` also read a majority of `U`.
//!    If `H` promised `T` first, it refused `U`. For a `U` that was formed from `A` through other
//!    views, the same follows by induction on the epoch. Therefore the win of any earlier view is
//!    in the records that `T` read, and no earlier view can win after they were read.
//! 4. *Records.* A record is a set of facts, merged by union (`record.rs`). A grant that reached
//!    only one holder may survive next to the win. Such a key is not granted until one of the two
//!    attempts is released. An attempt is released only by its destination, which has then made
//!    sure that the attempt never runs. Therefore a holder that missed a release or a finish never
//!    undoes it once a majority knows it. A joining holder is sent only the records of buckets in
//!    which it lacks a fact; 64-bit digests show which these are (`shard.rs`).
//! 5. *Adoption.* A holder may also join by reading one holder that is active, and not fenced, in
//!    the very same view. A holder that is active in a *later* view proves nothing about this view:
//!    the later view may have been formed without fencing it.
//! 6. *Reordering.* Answers are matched by view, epoch, answering process and request id, which
//!    differs for each action, each join target and each run of a process. A duplicated request
//!    finds its own grant. An acquire that arrives after its release is always refused.
//!
//! The first views of a service are formed by reading the upstreams that the catalog marks as
//! `first_in_region`: each has known every shard since its start and reports the views that were
//! formed after reading it. This requires that the catalog clears the mark when the upstream
//! restarts.
//!
//! After the loss of two of three holders no majority of the old view can be read, so at first no
//! holder becomes active. A joining holder then starts with the remaining records once all holders
//! that the configuration still lists have answered and none of the others has been listed for
//! [`ClaimSettings::lost_view_timeout`]. By then the claims of the lost holders are past the
//! retention, because a holder grants nothing when the last proof that the configuration lists it
//! and names its view is older than `isolation_limit` ([`ClaimHolder::on_config_confirmed`]). The
//! configuration never lists a run of a process again after dropping it. Therefore a holder that
//! finds itself listed was listed all the time, and no other holder has started without it.

mod acquirer;
mod answer_room;
mod bootstrap;
mod fencer;
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
pub use answer_room::SMALL_ANSWER_BYTES;
pub use fencer::{ClaimFencer, FenceDecision, FenceSteps};
pub use holder::{ClaimHolder, HandoverStep, MAX_CHUNK_BYTES};
pub use joining::MAX_PROMISED_VIEWS;
pub use outcome::{
    AttemptAdmission, MAX_QUERY_WAITERS, OutcomeTable, QueryAnswer, QueryReply, StoredAnswer,
};
pub use placement::{
    HOLDERS_PER_SHARD, PlacementTable, REGION_GROUPS, SHARDS_PER_GROUP, SHARDS_PER_SERVICE,
    majority, shard_number, shard_of,
};
pub use record::MAX_RELEASED_PER_KEY;
pub use round::{INACTIVE_RETRY_DELAY, RESEND_INTERVAL};

use crate::core::SharedName;

/// Maximum number of records that a holder stores during a transfer, as a multiple of
/// [`ClaimSettings::max_keys`]. A holder that has reached `max_keys` must still be able to take
/// over the claims of other holders.
pub const TRANSFER_HEADROOM_FACTOR: usize = 2;

/// Settings of claims.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimSettings {
    /// Time for which a destination stores an answer. One to a request without a key is stored only
    /// until its call ends.
    pub retention: Duration,
    /// Maximum size of all answers that a destination stores, in bytes; the oldest are dropped first.
    pub max_answer_bytes: usize,
    /// Time for which a holder stores a key after its last change: the longest deadline, one hour,
    /// plus the retention. An attempt that entered before the change may wait until its deadline
    /// before it asks for the claim, and must still find the key.
    pub key_retention: Duration,
    /// A holder stops granting when its last proof that the configuration lists it is older than
    /// this. If all control instances are down for longer, requests with a key fail.
    pub isolation_limit: Duration,
    /// Maximum number of keys that a holder stores.
    pub max_keys: usize,
    /// Time after which an unanswered fetch of a shard is repeated.
    pub fetch_interval: Duration,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        ClaimSettings {
            retention: Duration::from_secs(600),
            max_answer_bytes: 64 * 1024 * 1024,
            key_retention: Duration::from_secs(4_200),
            isolation_limit: Duration::from_secs(300),
            max_keys: 200_000,
            fetch_interval: Duration::from_millis(500),
        }
    }
}

impl ClaimSettings {
    /// Returns the time for which the holders of a lost view must have been unlisted before their
    /// claims can be ignored: they may have granted until the end of the isolation limit, and an
    /// unfinished claim matters for the whole key retention after that.
    pub fn lost_view_timeout(&self) -> Duration {
        self.isolation_limit + self.key_retention
    }
}

/// A message to the node of an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimMessage {
    /// Name of the upstream.
    pub to: SharedName,
    /// The message.
    pub body: Body,
}

#[cfg(test)]
mod tests;
