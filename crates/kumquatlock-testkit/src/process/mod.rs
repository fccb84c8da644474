//! Runs the real binaries as child processes of a test or example.
//!
//! [`flags`] builds the command lines, [`child`] starts and signals one process and reads its log,
//! [`wait`] polls conditions and [`ports`] selects free addresses. [`layout`] plans the processes
//! of a whole mesh and [`mesh`] runs them. Only the test program starts processes; the binaries
//! start none.

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

/// Error of a child process or of a mesh of child processes.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// A binary has not been built.
    #[error("{program} is not at {}; build it with `{command}`", path.display())]
    NotBuilt {
        /// Name of the binary.
        program: ProgramName,
        /// Path at which the binary was expected.
        path: PathBuf,
        /// Command that builds it.
        command: String,
    },
    /// A file, folder or address that a process needs could not be prepared.
    #[error("failed to prepare {what}")]
    Prepare {
        /// Description of the file, folder or address.
        what: String,
        /// Cause of the failure.
        source: io::Error,
    },
    /// The process could not be started.
    #[error("failed to start {name}")]
    Start {
        /// Name of the process.
        name: String,
        /// Cause of the failure.
        source: io::Error,
    },
    /// A signal could not be sent, or the exit status of the process could not be read.
    #[error("failed to signal or wait for {name}")]
    Signal {
        /// Name of the process.
        name: String,
        /// Cause of the failure.
        source: io::Error,
    },
    /// The process ended while it should be running, or ended with a status other than 0.
    #[error("{name} ended with {status}; end of its log:\n{log_tail}")]
    Ended {
        /// Name of the process.
        name: String,
        /// Exit status of the process.
        status: ExitStatus,
        /// Last lines of its log.
        log_tail: String,
    },
    /// The process has not ended in time.
    #[error("{name} still runs after a wait of {after:?}; end of its log:\n{log_tail}")]
    StillRunning {
        /// Name of the process.
        name: String,
        /// Time that was waited.
        after: Duration,
        /// Last lines of its log.
        log_tail: String,
    },
    /// A condition was not met in time.
    #[error(transparent)]
    Wait(#[from] WaitError),
    /// A stand-in upstream failed.
    #[error(transparent)]
    Upstream(#[from] UpstreamError),
    /// A request to a process failed.
    #[error(transparent)]
    Call(#[from] CallFailure),
    /// A process sent another response than expected.
    #[error("{name} responded to {request} with status {}: {}", response.status, response.text())]
    UnexpectedResponse {
        /// Name of the process.
        name: String,
        /// Method and path of the request.
        request: String,
        /// Response of the process.
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
