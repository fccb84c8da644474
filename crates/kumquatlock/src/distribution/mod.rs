//! The configuration stream between a parent and its children.
//!
//! A parent is a voter or a replica; a child is a replica or a node. [`ParentState`] decides which
//! updates a parent sends to each child. [`ChildState`] decides which parent a child attaches to
//! and which configuration it applies. A replica runs both: a [`ChildStep::Apply`] updates its
//! catalog, and its `ParentState` then handles [`ParentEvent::CatalogAdvanced`].
//!
//! A child attaches as follows:
//!
//! 1. The child sends `Hello`, and the parent admits or refuses it ([`admission`]).
//! 2. The parent obtains a currency proof that begins after the `Hello` ([`proof`]): a quorum
//!    confirms that the parent's catalog contains everything committed before the proof began.
//! 3. The parent sends `Welcome` with the floor, the lowest version that the child may apply first.
//! 4. The parent sends updates one at a time: a snapshot in chunks ([`assembly`]) or merged deltas.
//!
//! The child builds each new configuration completely before it applies it, and never applies an
//! older version than it has. While it is attached to a parent other than its preferred one, it
//! tries to return to the preferred parent ([`preference`]).

mod admission;
mod assembly;
mod backoff;
mod child;
mod compression;
mod parent;
mod preference;
mod progress;
mod proof;
mod record;
mod run_ends;
mod serve;
mod timing;
mod transfer;
mod welcome;

use std::time::Duration;

pub use admission::AdmissionLimits;
pub use assembly::ChunkError;
pub use child::{
    AppliedSource, ChildEvent, ChildIdentity, ChildState, ChildStep, LinkId, UpdateRefusal,
};
pub use parent::{ChildId, ParentEvent, ParentState, ParentStep};
pub use progress::{InForceCount, ProgressTable};
pub use timing::StreamTiming;

/// Interval between `Tick` events of parents and children.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of children of one parent. The design target is 594 children.
pub const MAX_CHILDREN: usize = 2_000;
/// Maximum rate of `Hello` messages that a parent admits, per second.
pub const HELLO_RATE: u64 = 500;
/// Number of `Hello` messages admitted in a burst: a tenth of a second at [`HELLO_RATE`].
pub const HELLO_BURST: u64 = 50;
/// Maximum cost of the concurrent snapshot transfers of one parent, in units of a paced transfer.
/// Bounds the memory of the chunks in its output buffers to 8 MiB.
pub const MAX_SNAPSHOT_TRANSFERS: usize = 8 * 1024 * 1024 / PACED_WINDOW_BYTES;
/// Maximum cost of the transfers for which admitted children without a configuration wait.
pub const MAX_SNAPSHOT_QUEUE: usize = 2 * MAX_SNAPSHOT_TRANSFERS;
/// Maximum number of encoded deltas that a parent caches, one for each base version.
pub const MAX_DELTA_FRAMES: usize = 16;
/// Size of one snapshot chunk, in bytes.
pub const SNAPSHOT_CHUNK_BYTES: usize = 256 * 1024;
/// Maximum number of unacknowledged bytes of a paced update, and size of its chunks. They occupy a
/// link of 2.5 Mbit/s for 80 ms, which is less than the time after which nodes take a peer for
/// silent. With smaller chunks, a parent would spend more CPU time on each child.
pub const PACED_WINDOW_BYTES: usize = 24 * 1024;
/// Maximum size of a snapshot that a child assembles, in bytes.
pub const MAX_SNAPSHOT_BYTES: u64 = 64 * 1024 * 1024;
/// Maximum time for which a child without a configuration waits for a leader at one parent. Covers
/// most of an election, and is short for a child that has reached a parent on the minority side of a
/// partition.
pub const HELLO_HOLD_TIME: Duration = Duration::from_millis(1_300);
/// Timeout of a currency proof.
pub const PROOF_TIMEOUT: Duration = Duration::from_secs(2);
/// Age at which a parent renews the currency proof that it reports in its pongs. One proof serves
/// all children; claim holders need a proof that is at most a few seconds old.
pub const PROOF_RENEWAL: Duration = Duration::from_secs(5);
/// Minimum interval between the proofs that a parent obtains for the regular requests of its nodes
/// alone. One proof serves all nodes that have asked since the one before.
pub const CONFIRM_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout for applying an update, counted from the last byte sent. The parent then disconnects the
/// child, which attaches again.
pub const UPDATE_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between pings of an attached child.
pub const PING_INTERVAL: Duration = Duration::from_secs(2);
/// Time without a message from the parent after which a child disconnects.
pub const PARENT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time without a message from a child after which the parent disconnects it.
pub const CHILD_TIMEOUT: Duration = Duration::from_secs(6);
/// Time without an answer to a connection attempt or a `Hello` after which a child tries another
/// parent. More than twice [`PROOF_TIMEOUT`], because a `Hello` may have to wait for the end of a
/// proof in progress before its own proof begins.
pub const ATTACH_TIMEOUT: Duration = Duration::from_secs(5);
/// Minimum interval between progress messages, and between attachment messages, after a change.
pub const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between progress messages, and between attachment messages, without a change.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// Time without a message from a reporter after which its last report is ignored.
pub const REPORTER_TIMEOUT: Duration = Duration::from_secs(15);
/// Interval between complete attachment lists, which make up for lost messages.
pub const COMPLETE_LIST_INTERVAL: Duration = Duration::from_secs(20);
/// Maximum number of upstreams that one node may attach.
pub const MAX_UPSTREAMS_PER_NODE: usize = 4;
/// Initial bound of the jittered delay between connection attempts.
pub const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum bound of the jittered delay between connection attempts.
pub const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Initial mean delay before an attached child probes a preferred parent. The jittered delay is
/// between half and one and a half times the mean. After a short outage of their parent, 594
/// children return over a span of 10 s, at about 60 per second, well below [`HELLO_RATE`]; after a
/// longer outage they take up to 90 s.
pub const INITIAL_FAILBACK_DELAY: Duration = Duration::from_secs(10);
/// Maximum mean delay before a probe. The mean doubles with each failed probe or failback.
pub const MAX_FAILBACK_DELAY: Duration = Duration::from_secs(60);
/// Time after which a probed parent that has not answered counts as unreachable.
pub const PROBE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum retry delay that a parent sends to a child.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

#[cfg(test)]
mod tests;
