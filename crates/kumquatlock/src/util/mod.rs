//! Utilities shared by the binaries: settings, logging, cancellation, tracing and signals.
//!
//! None of them knows a duty. The settings are read once at start by `ops`, which passes the
//! checked values, a [`cancel::CancelToken`] and the identifiers down to the parts it starts.

pub mod cancel;
pub mod log_quota;
pub mod log_writer;
pub mod logging;
pub mod metrics;
pub mod settings;
pub mod signals;
pub mod trace;

#[cfg(test)]
mod tests;
