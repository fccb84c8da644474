//! The configuration stream between a parent and its children.
//!
//! [`ParentState`] decides for a voter or replica what each of its children gets, and
//! [`ChildState`] decides for a replica or node which parent it follows and what it applies. A
//! replica runs both: a [`ChildStep::Apply`] updates its catalog, and its `ParentState` is then
//! told of [`ParentEvent::CatalogAdvanced`].
//!
//! A child's way: `Hello`, admission ([`admission`]), a currency proof that began after the
//! `Hello` ([`proof`]), `Welcome` with the floor, then a snapshot in chunks ([`assembly`]) or
//! merged deltas, one at a time. The child makes each new configuration whole before it swaps it
//! in, and never swaps in an older one. Away from its preferred parent it looks for a way back
//! ([`preference`]).

mod admission;
mod assembly;
mod backoff;
mod child;
mod parent;
mod preference;
mod progress;
mod proof;
mod record;
mod serve;
mod timing;

use std::time::Duration;

pub use admission::AdmissionLimits;
pub use assembly::ChunkError;
pub use child::{
    AppliedSource, ChildEvent, ChildIdentity, ChildState, ChildStep, LinkId, UpdateRefusal,
};
pub use parent::{ChildId, ParentEvent, ParentState, ParentStep};
pub use progress::{InForceCount, ProgressTable};
pub use timing::StreamTiming;

/// Interval between `Tick` events for both sides.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Most children of one parent; the target is 594.
pub const MAX_CHILDREN: usize = 2_000;
/// `Hello` messages that a parent admits per second.
pub const HELLO_RATE: u64 = 200;
/// `Hello` messages admitted at once; a tenth of a second at the full rate.
pub const HELLO_BURST: u64 = 20;
/// Snapshots in transfer at once.
pub const MAX_SNAPSHOT_TRANSFERS: usize = 32;
/// Children without a configuration that wait, attached, for a snapshot transfer.
pub const MAX_SNAPSHOT_QUEUE: usize = 64;
/// Encoded deltas that a parent keeps for the children that are at the same version.
pub const MAX_DELTA_FRAMES: usize = 16;
/// Bytes of one snapshot chunk.
pub const SNAPSHOT_CHUNK_BYTES: usize = 256 * 1024;
/// Largest snapshot that a child assembles, in bytes.
pub const MAX_SNAPSHOT_BYTES: u64 = 64 * 1024 * 1024;
/// A currency proof that takes longer counts as failed.
pub const PROOF_TIMEOUT: Duration = Duration::from_secs(2);
/// Age at which a parent with children renews its currency proof for their pongs. One round serves
/// all children, and a claim holder needs a proof that is not older than some seconds.
pub const PROOF_RENEWAL: Duration = Duration::from_secs(5);
/// A child that has not applied an update for this long after its last byte was sent is
/// disconnected and starts over.
pub const UPDATE_TIMEOUT: Duration = Duration::from_secs(10);
/// A child pings its parent this often.
pub const PING_INTERVAL: Duration = Duration::from_secs(2);
/// A child leaves a parent that has been silent for this long.
pub const PARENT_TIMEOUT: Duration = Duration::from_secs(5);
/// A parent closes a child that has been silent for this long.
pub const CHILD_TIMEOUT: Duration = Duration::from_secs(6);
/// A child goes to another parent when a connection or `Hello` has no answer for this long.
/// Above twice [`PROOF_TIMEOUT`], because a `Hello` may have to wait for a proof under way to end
/// before its own begins.
pub const ATTACH_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval between progress and attachment messages when something changed.
pub const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between progress and attachment messages when nothing changed.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// A reporter that has been silent for this long is no longer counted.
pub const REPORTER_TIMEOUT: Duration = Duration::from_secs(15);
/// Interval between complete attachment lists, which repair lost messages.
pub const COMPLETE_LIST_INTERVAL: Duration = Duration::from_secs(20);
/// Upstreams that one node may attach.
pub const MAX_UPSTREAMS_PER_NODE: usize = 4;
/// First bound of the jittered delay between connection attempts.
pub const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Last bound of the jittered delay between connection attempts.
pub const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Mean wait of an attached child before it probes a parent that it prefers; the wait is half to
/// one and a half times that. 594 children that missed their parent for a moment return over 10 s,
/// at about 60 per second, well below [`HELLO_RATE`]; after a longer loss they take up to 90 s.
pub const INITIAL_FAILBACK_DELAY: Duration = Duration::from_secs(10);
/// Last mean wait; it doubles with each failed probe or refused return.
pub const MAX_FAILBACK_DELAY: Duration = Duration::from_secs(60);
/// A probed parent that has not answered for this long is not reachable.
pub const PROBE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest delay that a parent asks of a child.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

#[cfg(test)]
mod tests;
