//! Reports of crashes to the leader.

use std::collections::VecDeque;
use std::time::Duration;

use kumquatlock_wire::quarantine::CrashReport;

use crate::core::{RequestFingerprint, Timestamp};

/// Times after a crash at which its report is sent. Repeated because no one acknowledges it, and a
/// new leader knows nothing of earlier crashes.
const REPORT_TIMES: [Duration; 5] = [
    Duration::ZERO,
    Duration::from_millis(300),
    Duration::from_secs(1),
    Duration::from_secs(3),
    Duration::from_secs(10),
];
/// Maximum number of reports that are repeated; above it the oldest is dropped.
const MAX_REPORTS: usize = 16;

/// Sends each report several times.
#[derive(Clone, Debug, Default)]
pub struct CrashReporter {
    /// At most [`MAX_REPORTS`], oldest first.
    reports: VecDeque<RepeatedReport>,
}

#[derive(Clone, Debug)]
struct RepeatedReport {
    report: CrashReport,
    created_at: Timestamp,
    /// Number of times that it was sent; below the length of [`REPORT_TIMES`].
    sent: usize,
}

impl CrashReporter {
    /// Adds a report, to be sent at once.
    pub fn add(&mut self, now: Timestamp, report: CrashReport) {
        if self.reports.len() >= MAX_REPORTS {
            self.reports.pop_front();
        }
        self.reports.push_back(RepeatedReport {
            report,
            created_at: now,
            sent: 0,
        });
    }

    /// Returns the reports that are due.
    pub fn take_due(&mut self, now: Timestamp) -> Vec<CrashReport> {
        let mut due = Vec::new();
        self.reports.retain_mut(|repeated| {
            if now.since(repeated.created_at) >= REPORT_TIMES[repeated.sent] {
                due.push(repeated.report.clone());
                repeated.sent += 1;
            }
            repeated.sent < REPORT_TIMES.len()
        });
        due
    }
}

/// Converts fingerprints for a message.
pub fn fingerprints_to_wire(fingerprints: &[RequestFingerprint]) -> Vec<u64> {
    fingerprints
        .iter()
        .map(|fingerprint| fingerprint.0)
        .collect()
}

/// Converts fingerprints from a message; a sender may have made them up, so their number is limited.
pub fn fingerprints_from_wire(fingerprints: &[u64], max: usize) -> Vec<RequestFingerprint> {
    let valid = fingerprints.iter().take(max);
    valid
        .filter_map(|value| RequestFingerprint::from_wire(*value))
        .collect()
}
