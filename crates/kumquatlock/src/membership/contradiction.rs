//! Announcements that contradict what the node believes of its upstream.
//!
//! A late announcement of an earlier state and an announcement of the upstream itself look alike once
//! another writer has announced a higher number or a later start in its name. Only what goes on is told
//! apart: late announcements end, those of a running upstream don't.

use std::time::Duration;

use super::announcement::UpstreamAnnouncement;
use crate::core::Timestamp;

/// Number of contradicting announcements in a row after which they are believed.
const BELIEVED_AFTER: u32 = 3;
/// Time over which they must come. Late announcements that a partition held up arrive at once.
const MIN_SPAN: Duration = Duration::from_secs(1);

/// What to do with an announcement that contradicts the belief.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ContradictionStep {
    /// It may be a late one. Ignore it.
    Ignore,
    /// Its upstream goes on saying the same. Believe it.
    Believe,
}

/// Contradicting announcements in a row, all of one run and service.
#[derive(Debug)]
struct ContradictionRow {
    first_at: Timestamp,
    count: u32,
    last: UpstreamAnnouncement,
}

/// Counts contradicting announcements.
#[derive(Debug, Default)]
pub(super) struct Contradictions {
    /// `None` after an announcement that agrees with the belief.
    row: Option<ContradictionRow>,
}

impl Contradictions {
    /// Records an announcement that agrees with the belief.
    pub(super) fn clear(&mut self) {
        self.row = None;
    }

    /// Records an announcement that contradicts the belief.
    pub(super) fn observe(
        &mut self,
        now: Timestamp,
        announcement: &UpstreamAnnouncement,
    ) -> ContradictionStep {
        let row = self
            .row
            .take()
            .filter(|row| announcement.continues(&row.last));
        let row = ContradictionRow {
            first_at: row.as_ref().map_or(now, |row| row.first_at),
            count: row.as_ref().map_or(1, |row| row.count + 1),
            last: announcement.clone(),
        };
        if row.count >= BELIEVED_AFTER && now.since(row.first_at) >= MIN_SPAN {
            return ContradictionStep::Believe;
        }
        self.row = Some(row);
        ContradictionStep::Ignore
    }
}
