//! Upstreams that come, drain, leave and are lost.
//!
//! The node's [`UpstreamAnnouncer`] turns the announcements of the upstream beside it into
//! reports, and repeats each until it sees the result in its own configuration. The leader's
//! [`AttachmentTracker`] knows which upstreams are attached to any parent and names those to
//! remove. It prefers keeping a lost upstream over removing many that are only cut off: callers
//! avoid a lost one by their own observation, but a removal costs every proxy a change.

mod announcer;
mod tracker;

use std::time::Duration;

pub use announcer::{
    AnnounceAnswer, AnnouncerEvent, AnnouncerStep, NodeLocation, UpstreamAnnouncement,
    UpstreamAnnouncer,
};
pub use tracker::{AttachmentTracker, ExpiryDecision, ExpiryTiming, RecordOutcome};

/// An upstream that is unattached for this long is removed.
pub const UNATTACHED_TIMEOUT: Duration = Duration::from_secs(30);
/// A new leader removes nothing for this long. Three complete attachment lists of every parent
/// arrive in that time.
pub const LEADER_GRACE_PERIOD: Duration = Duration::from_secs(60);
/// Window of the limit on removals per zone.
pub const REMOVAL_WINDOW: Duration = Duration::from_secs(10);
/// One in this many of a zone's upstreams is removed per window, and at least one.
pub const REMOVAL_DIVISOR: usize = 10;
/// Percentage of a zone that may be unattached while upstreams are removed. One upstream always
/// may, because in a zone of three it would be more.
pub const UNATTACHED_PERCENT: usize = 30;
/// A zone or region that has looked cut off for this long no longer holds up removals elsewhere.
/// Regions lose their links for minutes; a longer loss is rarely a partition.
pub const WITHHOLD_TIMEOUT: Duration = Duration::from_secs(600);
/// A zone or region that has looked cut off for this long is taken to be gone, and its upstreams
/// are removed as well.
pub const DOMAIN_REMOVAL_TIMEOUT: Duration = Duration::from_secs(3_600);
/// One in this many of a gone zone's upstreams is removed per window, and at least one. A place
/// that comes back after all then finds most of its upstreams still known.
pub const LOST_DOMAIN_REMOVAL_DIVISOR: usize = 100;
/// A removal that has not been applied after this long is proposed again.
pub const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(5);
/// Most parents that report attachments; the target is 37.
pub const MAX_REPORTERS: usize = 256;
/// Interval at which an upstream repeats its announcement.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(2);
/// An upstream that has not announced itself for this long, three intervals, is draining.
pub const ANNOUNCE_LEASE: Duration = Duration::from_secs(6);
/// An upstream that has not announced itself for this long has left.
pub const LEAVE_TIMEOUT: Duration = Duration::from_secs(12);
/// First interval between repetitions of an unconfirmed report; doubles up to
/// [`MAX_REPORT_INTERVAL`].
pub const INITIAL_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Last interval between repetitions of an unconfirmed report.
pub const MAX_REPORT_INTERVAL: Duration = Duration::from_secs(5);
/// After this many reports without effect the incarnation is taken to be one that has ended,
/// for instance because the wall clock was behind at the start.
pub const REPORTS_BEFORE_RAISE: u32 = 6;

#[cfg(test)]
mod tests;
