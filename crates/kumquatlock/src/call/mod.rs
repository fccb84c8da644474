//! Execution of a call, from its caller to an upstream and back.
//!
//! [`EntryCalls`] holds the calls that callers sent to this node, which is the entry node of these
//! calls. It finds the route, chooses an upstream, sends attempts to the node beside that upstream
//! (the destination node), and gives the caller one of three results: the complete answer, proof
//! that the request did not run, or the statement that the outcome is unknown. [`DestinationCalls`]
//! holds the calls that run, or wait to run, on the upstream beside this node, and decides which of
//! them the upstream runs.
//!
//! Once an attempt may have been sent, it is replaced by another one only if the request class
//! allows repetition or the destination node proves that the attempt never runs. After the loss of
//! a link, the entry node asks the same destination node over a new link. The destination node
//! replies with the outcome or fences the attempt, which then never runs. A lost connection
//! therefore rarely leads to an unknown outcome.

mod answer;
mod destination;
mod entry;
mod names;
mod request;

pub use answer::{CallerAnswer, OUTCOME_HEADER, RejectReason, reason_label};
pub use destination::{
    CallSource, DestinationCalls, DestinationCounters, DestinationStep, LocalRuns, RunId,
    UpstreamEndpoint,
};
pub use entry::{
    AttemptProof, CallId, EntryCalls, EntryCounters, EntrySettings, EntryStep, NestedEnd, PeerNode,
};
pub use names::HeaderNames;
pub use request::{
    ACCOUNT_HEADER, API_KEY_HEADER, ATTEMPT_HEADER, CallerRequest, DEPTH_HEADER, KEY_HEADER,
    LEAVING_HEADER, MAX_TIMEOUT, ParentRun, RATE_LIMIT_HEADER, TIMEOUT_HEADER,
};

/// Maximum depth of a chain of calls. The deepest chain in use has 14 levels.
pub const MAX_DEPTH: u32 = 16;

#[cfg(test)]
mod tests;
