//! The real binaries as child processes of a test or example.
//!
//! [`flags`] holds the command lines, [`child`] one process with its signals and its log,
//! [`wait`] the polling of conditions and [`ports`] the addresses. [`layout`] places a whole mesh
//! and [`mesh`] runs it. Only the test program starts processes; the binaries start none.

pub mod child;
pub mod flags;
pub mod layout;
pub mod mesh;
pub mod ports;
pub mod wait;

use std::io;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::time::Duration;

use thiserror::Error;

use crate::caller::{CallFailure, HttpResponse};
use crate::upstream::UpstreamError;

pub use child::{ManagedProcess, ProcessPlan, ProgramName};
pub use flags::{ControlFlags, ControlRole, NodeFlags};
pub use layout::{ControlPlan, MeshBuilder, MeshPlan, NodePlan, ServicePlan};
pub use mesh::{ControlInstance, Mesh, NodeInstance};
pub use ports::free_address;
pub use wait::{WaitError, wait_for, wait_until};

/// A process or a mesh of them did not do what the test program asked.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// A binary is missing.
    #[error("{program} is not at {}; build it with `{command}`", path.display())]
    NotBuilt {
        /// Name of the binary.
        program: ProgramName,
        /// Where it was expected.
        path: PathBuf,
        /// Command that builds it.
        command: String,
    },
    /// A file, folder or address could not be prepared.
    #[error("failed to prepare {what}")]
    Prepare {
        /// What was prepared.
        what: String,
        /// What went wrong.
        source: io::Error,
    },
    /// The process could not be started.
    #[error("failed to start {name}")]
    Start {
        /// Name of the process.
        name: String,
        /// What went wrong.
        source: io::Error,
    },
    /// A signal could not be sent, or the end of the process could not be read.
    #[error("failed to signal or wait for {name}")]
    Signal {
        /// Name of the process.
        name: String,
        /// What went wrong.
        source: io::Error,
    },
    /// The process ended when it should run, or with a failure.
    #[error("{name} ended with {status}; end of its log:\n{log_tail}")]
    Ended {
        /// Name of the process.
        name: String,
        /// How it ended.
        status: ExitStatus,
        /// Last lines of its log.
        log_tail: String,
    },
    /// The process runs although it was asked to stop.
    #[error("{name} still runs {after:?} after SIGTERM; end of its log:\n{log_tail}")]
    StillRunning {
        /// Name of the process.
        name: String,
        /// Time that was waited.
        after: Duration,
        /// Last lines of its log.
        log_tail: String,
    },
    /// A condition was not reached in time.
    #[error(transparent)]
    Wait(#[from] WaitError),
    /// A stand-in upstream failed.
    #[error(transparent)]
    Upstream(#[from] UpstreamError),
    /// A request to a process failed.
    #[error(transparent)]
    Call(#[from] CallFailure),
    /// A process answered something else than expected.
    #[error("{name} answered {} to {request}: {}", response.status, response.text())]
    UnexpectedResponse {
        /// Name of the process.
        name: String,
        /// Method and path of the request.
        request: String,
        /// The answer.
        response: Box<HttpResponse>,
    },
}

impl ProcessError {
    pub(crate) fn prepare(what: impl Into<String>) -> impl FnOnce(io::Error) -> ProcessError {
        let what = what.into();
        |source| ProcessError::Prepare { what, source }
    }
}

#[cfg(test)]
mod tests;
