//! HTTP towards callers, upstreams and operators.
//!
//! Threads of `tiny_http` and `ureq` block on sockets; they hand events to the process actor
//! and carry answers out. They hold no decisions.

mod client;
mod message;
mod nudge;
mod server;

pub use client::{UpstreamFailure, UpstreamJob, UpstreamPool, UpstreamResult};
pub use message::{HttpRequest, HttpResponse, MAX_BODY_BYTES, MAX_HEADERS};
pub use nudge::AcceptNudge;
pub use server::{HttpServer, ReplySlot, RequestHandler, ServerError};

#[cfg(test)]
mod tests;
