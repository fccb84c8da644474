//! Repetition of reports until their effect is known.

use super::{INITIAL_REPORT_INTERVAL, MAX_REPORT_INTERVAL};
use crate::core::Timestamp;

/// When one report was sent, and when it is due again. The interval doubles with each repetition,
/// from [`INITIAL_REPORT_INTERVAL`] up to [`MAX_REPORT_INTERVAL`].
#[derive(Debug, Default)]
pub(super) struct ReportSchedule {
    sent_at: Option<Timestamp>,
    /// Number of times that the report was sent while attached.
    count: u32,
}

impl ReportSchedule {
    /// Makes the report due at once, because the node has another parent.
    pub(super) fn expedite(&mut self) {
        self.sent_at = None;
    }

    pub(super) fn count(&self) -> u32 {
        self.count
    }

    pub(super) fn is_due(&self, now: Timestamp) -> bool {
        let doubled = INITIAL_REPORT_INTERVAL * 2u32.pow(self.count.saturating_sub(1).min(8));
        let interval = doubled.min(MAX_REPORT_INTERVAL);
        self.sent_at
            .is_none_or(|sent_at| now.since(sent_at) >= interval)
    }

    pub(super) fn record(&mut self, now: Timestamp) {
        self.sent_at = Some(now);
        self.count += 1;
    }
}
