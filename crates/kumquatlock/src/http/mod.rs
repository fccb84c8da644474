//! HTTP servers for callers and operators, and the HTTP client for the local upstream.
//!
//! A node serves its callers, and a control instance its operators ([`HttpTable`]), and a node sends
//! requests to its upstream ([`ExchangeTable`]), on the event loop of the actor. Like the link table
//! of `transport`, these tables only do I/O: they take readiness events and return complete requests
//! and responses.

mod body;
mod buffer;
mod carried;
mod connection;
mod counters;
mod encode;
mod exchange;
mod head;
mod listener;
mod message;
mod refusal;
mod relief;
mod response;
mod status;
mod table;
mod upstream;

pub use connection::HttpLimits;
pub use counters::{CloseReason, RefusalCounters};
pub use exchange::{
    EchoedHeader, ExchangeReady, ExchangeTable, UpstreamFailure, UpstreamJob, UpstreamResult,
};
pub use message::{HttpRequest, HttpResponse, MAX_BODY_BYTES, MAX_CALL_BODY_BYTES, MAX_HEADERS};
pub use refusal::RequestRefusal;
pub use status::{FinalStatus, InvalidStatus};
pub use table::{CloseStep, HttpEvent, HttpReady, HttpTable, RequestId};

#[cfg(test)]
mod tests;
