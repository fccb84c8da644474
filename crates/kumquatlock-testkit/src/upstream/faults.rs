//! Faults that a test can inject into a stand-in upstream.

use std::time::Duration;

/// Fault in the response to a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ResponseFault {
    /// No fault.
    #[default]
    None,
    /// The request starts and gets no response, not even after its deadline. It ends when it is
    /// cancelled or the upstream is dropped.
    Hang,
    /// The request runs. The `Content-Length` of its response is `missing` bytes more than the body
    /// that is sent, and the connection is closed after the body.
    Truncate {
        /// Number of bytes that the `Content-Length` includes but that are not sent.
        missing: usize,
    },
    /// The request is read but does not run; the connection is closed without a response.
    CloseBeforeRun,
    /// The request runs to its end; the connection is closed without a response.
    CloseAfterRun,
    /// The request runs. Its response has this status, of three digits, and no body, and the
    /// connection stays open.
    Status(u16),
    /// The request runs; its response body is sent in parts with a pause before each.
    Slow {
        /// Number of parts of the body.
        chunks: usize,
        /// Pause before each part.
        pause: Duration,
    },
}

/// State that the health and load endpoints report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReportMode {
    /// The current state.
    #[default]
    Actual,
    /// The state as it was this time ago.
    Delayed(Duration),
    /// The same values regardless of the state.
    Fixed {
        /// Whether `/health` responds with 200 instead of 503.
        healthy: bool,
        /// Number of requests in flight that `/load` reports.
        in_flight: usize,
    },
}
