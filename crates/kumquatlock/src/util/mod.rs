//! Utilities shared by the binaries: settings, logging, metrics, cancellation, tracing and signals.
//!
//! They do not depend on the components of a process. `ops` resolves the settings once at startup
//! and passes the validated values, a [`cancel::CancelToken`] and the identifiers to the components
//! that it starts.

pub mod boot_clock;
pub mod cancel;
pub mod log_quota;
pub mod log_writer;
pub mod logging;
pub mod metrics;
pub mod settings;
pub mod signals;
pub mod trace;

#[cfg(test)]
pub(crate) mod tests;
