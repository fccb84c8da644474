//! What a stand-in upstream may be told to do.

use std::time::Duration;

/// How requests are answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ResponseFault {
    /// Normally.
    #[default]
    None,
    /// Started and never answered, not even after the deadline. Ends when the request is
    /// cancelled or the upstream is dropped.
    Hang,
    /// Run, then answered with a Content-Length that is `missing` bytes more than the body, after
    /// which the connection is closed.
    Truncate {
        /// Bytes that are announced and not sent.
        missing: usize,
    },
    /// Read but not started; the connection is closed without an answer.
    CloseBeforeRun,
    /// Run to the end; the connection is closed without an answer.
    CloseAfterRun,
    /// Run, then answered in `chunks` parts with a pause before each.
    Slow {
        /// Parts of the body.
        chunks: usize,
        /// Time before each part.
        pause: Duration,
    },
}

/// How the health and load endpoints report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReportMode {
    /// The state as it is.
    #[default]
    Actual,
    /// The state as it was this long ago.
    Delayed(Duration),
    /// Always the same, whatever the state is.
    Fixed {
        /// Whether `/health` answers 200.
        healthy: bool,
        /// Requests in flight that `/load` reports.
        in_flight: usize,
    },
}
