//! One call from its caller to its upstream and back.
//!
//! [`EntryCalls`] holds the calls that entered at this node. It routes a call, chooses an
//! upstream, sends attempts, and answers the caller with one of three things: the whole answer,
//! proof that the request did not run, or that the outcome is unknown. [`DestinationCalls`]
//! holds the calls that run, or wait to run, on the upstream beside this node. It is the last
//! authority on what the upstream runs.
//!
//! An attempt that may have been sent is never replaced by another one unless the class allows
//! a repetition or the destination proves that the attempt never runs. After the loss of a link
//! the entry asks the same destination over a new link, which answers with the outcome or fences
//! the attempt; so a connection that went silent rarely ends in an unknown outcome.

mod answer;
mod destination;
mod entry;
mod names;
mod request;

pub use answer::{CallerAnswer, OUTCOME_HEADER, RejectReason, reason_label};
pub use destination::{CallSource, DestinationCalls, DestinationStep, RunId, UpstreamEndpoint};
pub use entry::{CallId, EntryCalls, EntryCounters, EntrySettings, EntryStep, PeerNode};
pub use names::HeaderNames;
pub use request::{
    ATTEMPT_HEADER, CallerRequest, DEPTH_HEADER, KEY_HEADER, MAX_TIMEOUT, TIMEOUT_HEADER,
};

/// Deepest chain of calls that is served. The users' deepest chain has 14 levels.
pub const MAX_DEPTH: u32 = 16;

#[cfg(test)]
mod tests;
