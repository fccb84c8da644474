//! Membership of upstreams: announcement, draining, leaving, and removal after a loss.
//!
//! On each node, the [`UpstreamAnnouncer`] turns the announcements of the upstream beside the node
//! (its local upstream) into reports, and repeats each report until its effect appears in the
//! node's configuration. On the leader, the [`AttachmentTracker`] records which upstreams are
//! attached to any parent and selects those to remove. Keeping a lost upstream does less harm than
//! removing many that are only cut off: callers detect and avoid a lost upstream themselves, but
//! every removal is a configuration change for all nodes.

mod announcement;
mod announcer;
mod contradiction;
mod run_ends;
mod schedule;
mod tracker;
mod upstream;

use std::time::Duration;

pub use announcement::{AnnounceAnswer, UpstreamAnnouncement};
pub use announcer::{AnnouncerEvent, AnnouncerStep, EndProgress, NodeLocation, UpstreamAnnouncer};
pub use run_ends::{MAX_RUN_ENDS, RUN_END_RETENTION};
pub use tracker::{AttachmentTracker, ExpiryDecision, ExpiryTiming, RecordOutcome};

/// Time after which an unattached upstream is removed.
pub const UNATTACHED_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after an election during which the leader removes nothing. Each parent sends three complete
/// attachment lists in that time.
pub const LEADER_GRACE_PERIOD: Duration = Duration::from_secs(60);
/// Window of the rate limit on removals per zone.
pub const REMOVAL_WINDOW: Duration = Duration::from_secs(10);
/// Divisor of the rate limit on removals: one in this many of a zone's upstreams is removed per
/// [`REMOVAL_WINDOW`], but at least one.
pub const REMOVAL_DIVISOR: usize = 10;
/// A zone counts as cut off if more than this percentage of its upstreams are unattached, and at
/// least two. The minimum of two is for small zones: in a zone of three, a single unattached
/// upstream exceeds the percentage.
pub const UNATTACHED_PERCENT: usize = 30;
/// Time after which a zone or region that appears cut off no longer blocks removals elsewhere.
/// Regions lose their links for minutes; a longer loss is rarely a partition.
pub const WITHHOLD_TIMEOUT: Duration = Duration::from_secs(600);
/// Time after which a zone or region that appears cut off counts as lost, and its own upstreams are
/// removed as well.
pub const DOMAIN_REMOVAL_TIMEOUT: Duration = Duration::from_secs(3_600);
/// Divisor of the rate limit on removals in a lost zone or region: one in this many of a zone's
/// upstreams is removed per [`REMOVAL_WINDOW`], but at least one. If the zone or region recovers
/// after all, most of its upstreams are still in the catalog.
pub const LOST_DOMAIN_REMOVAL_DIVISOR: usize = 100;
/// Time after which a removal that has not been applied is proposed again.
pub const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of parents that report attachments. The design target is 37.
pub const MAX_REPORTERS: usize = 256;
/// Interval between announcements of an upstream.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(2);
/// Time without an announcement, three intervals, after which an upstream is drained.
pub const ANNOUNCE_LEASE: Duration = Duration::from_secs(6);
/// Time without an announcement after which an upstream counts as having left.
pub const LEAVE_TIMEOUT: Duration = Duration::from_secs(12);
/// Initial interval between repetitions of an unconfirmed report. It doubles with each repetition
/// up to [`MAX_REPORT_INTERVAL`].
pub const INITIAL_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum interval between repetitions of an unconfirmed report.
pub const MAX_REPORT_INTERVAL: Duration = Duration::from_secs(5);
/// Number of reports without effect after which the incarnation is raised. The incarnation is then
/// assumed to be one that has already ended, for example because the wall clock was behind when the
/// node started.
pub const REPORTS_BEFORE_RAISE: u32 = 6;

#[cfg(test)]
mod tests;
