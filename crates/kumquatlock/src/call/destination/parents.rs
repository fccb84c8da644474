//! Requests that the upstream is running, by the caller's identifier. A call that the upstream makes
//! for one of them is recognised by it.

use indexmap::IndexMap;

use super::run::{CallRun, RunPhase};
use super::{DestinationCalls, RunId};
use crate::call::HeaderNames;
use crate::call::request::ParentRun;
use crate::core::{SharedName, stable_hash};

/// Runs of the requests that the upstream is running, by the hash of the caller's identifier.
#[derive(Clone, Debug, Default)]
pub(super) struct RunningRequests {
    runs: IndexMap<u64, RunId>,
}

impl RunningRequests {
    /// Adds a request that is sent to the upstream. If it is running already, the later attempt
    /// stands for both.
    pub(super) fn insert(&mut self, request: &str, run: RunId) {
        self.runs.insert(stable_hash(request.as_bytes()), run);
    }

    /// Removes a request unless a later attempt stands for it.
    pub(super) fn remove(&mut self, request: &str, run: RunId) {
        let hash = stable_hash(request.as_bytes());
        if self.runs.get(&hash) == Some(&run) {
            self.runs.swap_remove(&hash);
        }
    }

    fn find(&self, request: &str) -> Option<RunId> {
        let hash = stable_hash(request.as_bytes());
        self.runs.get(&hash).copied()
    }
}

impl CallRun {
    /// Returns the caller's identifier of the request, if the platform has one.
    pub(super) fn request_id(&self, names: &HeaderNames) -> Option<&str> {
        let name = names.request_id?;
        let mut fields = self.request.headers.iter();
        let field = fields.find(|field| field.name.eq_ignore_ascii_case(name))?;
        Some(&field.value)
    }
}

impl DestinationCalls {
    /// Returns the run that makes the call with this identifier: the upstream is running a request
    /// whose identifier the call's extends. Callers can't state one of another request, since the
    /// upstream must be running it.
    pub fn parent_of(&self, request_id: &str) -> Option<ParentRun> {
        let separator = self.names.nested_id_separator?;
        let (parent, _) = request_id.rsplit_once(separator)?;
        let id = self.running.find(parent)?;
        let run = self.runs.get(&id)?;
        let service = self.endpoint.as_ref()?.service.clone();
        if run.phase != RunPhase::Running {
            return None;
        }
        let callers = run.request.callers.iter().map(|name| name.as_str().into());
        let callers: Vec<SharedName> = callers.chain([service]).collect();
        Some(ParentRun {
            run: id,
            depth: run.request.depth,
            rank: run.request.rank,
            deadline: run.deadline,
            callers,
        })
    }
}
