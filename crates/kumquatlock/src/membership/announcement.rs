//! Announcements of an upstream, and the answers to them.

use std::net::SocketAddr;

use super::run_ends::instance_digest;
use crate::core::{IncarnationId, SharedName, stable_hash};

/// Announcement that an upstream sends to its node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamAnnouncement {
    /// Name of the upstream, unique in the mesh; the name of its node.
    pub name: SharedName,
    /// Name of the service that the upstream runs.
    pub service: SharedName,
    /// Address at which the node reaches the upstream. Not part of the catalog.
    pub address: SocketAddr,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Maximum number of concurrent connections.
    pub connections: u32,
    /// Identifier of the process run, as the upstream states it; empty if it states none.
    pub instance: SharedName,
    /// Start of the process run as the upstream states it, in milliseconds since the Unix epoch
    /// (1970). Orders the runs; zero if the upstream states none.
    pub run_started_ms: u64,
    /// Sequence number that orders the announcements of one run; zero if they are not numbered.
    pub sequence: u64,
    /// Version of the upstream's software; empty if it states none.
    pub version: SharedName,
    /// Whether the run accepts no new requests. Final for the run.
    pub is_draining: bool,
}

impl UpstreamAnnouncement {
    pub(super) fn is_same_run(&self, other: &UpstreamAnnouncement) -> bool {
        self.instance == other.instance && self.run_started_ms == other.run_started_ms
    }

    /// Returns a digest that identifies the run in the whole mesh; zero if the upstream does not
    /// name its runs.
    pub(super) fn run_digest(&self) -> u64 {
        if self.instance.is_empty() {
            return 0;
        }
        let run = format!("{}/{}/{}", self.name, self.run_started_ms, self.instance);
        stable_hash(run.as_bytes())
    }

    pub(super) fn instance_digest(&self) -> u64 {
        instance_digest(&self.name, &self.instance)
    }

    /// Whether this announcement may have been delayed, because it was made before `other` by their
    /// numbers, or says of a run what can't be true beside `other`.
    pub(super) fn contradicts(&self, other: &UpstreamAnnouncement) -> bool {
        match self.is_same_run(other) {
            true if !self.instance.is_empty() && self.service != other.service => true,
            true => self.sequence > 0 && self.sequence <= other.sequence,
            false => self.run_started_ms < other.run_started_ms,
        }
    }

    /// Whether the same run says the same service again after `earlier`.
    pub(super) fn continues(&self, earlier: &UpstreamAnnouncement) -> bool {
        let is_later = self.sequence > earlier.sequence || self.sequence == 0;
        self.is_same_run(earlier) && self.service == earlier.service && is_later
    }

    /// Whether both say the same of the upstream.
    pub(super) fn has_content_of(&self, other: &UpstreamAnnouncement) -> bool {
        self.service == other.service && self.slots == other.slots && self.version == other.version
    }
}

/// Answer to a request of the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum AnnounceAnswer {
    /// The upstream is serving under this incarnation.
    Serving { incarnation: IncarnationId },
    /// The upstream is draining. It can serve again only after it has left and announced itself
    /// again.
    Draining,
    /// The upstream has left, or has never announced itself.
    Left,
    /// The announcement was ignored, because it contradicts a later one that has been handled, or
    /// because the process run that sent it has already announced that it leaves.
    Late,
    /// The announcement was ignored, because the configuration has no such service, while the
    /// upstream that is registered serves another.
    UnknownService,
    /// The end of a run is refused, because too many ends of unknown runs were announced.
    TooManyEnds,
    /// The node already has another upstream, which must leave first.
    OtherUpstream,
    /// A node at another address has registered the name with a later incarnation.
    NameTaken,
    /// A name in the announcement is not valid, or the number of slots is zero.
    Invalid,
}
