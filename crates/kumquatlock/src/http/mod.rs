//! HTTP servers for callers and operators, and the HTTP client for the local upstream.
//!
//! A node serves its callers ([`HttpTable`]) and sends requests to its upstream ([`ExchangeTable`])
//! on the event loop of its actor. Like the link table of `transport`, these tables only do I/O:
//! they take readiness events and return complete requests and responses. Operators of control
//! instances are few and are served by a thread pool ([`HttpServer`]).

mod accept_waker;
mod body;
mod connection;
mod encode;
mod exchange;
mod head;
mod listener;
mod message;
mod server;
mod table;

pub use accept_waker::AcceptWaker;
pub use connection::HttpLimits;
pub use exchange::{ExchangeReady, ExchangeTable, UpstreamFailure, UpstreamJob, UpstreamResult};
pub use message::{HttpRequest, HttpResponse, MAX_BODY_BYTES, MAX_HEADERS};
pub use server::{HttpServer, ReplySender, RequestHandler, ServerError};
pub use table::{CloseStep, HttpEvent, HttpReady, HttpTable, RequestId};

#[cfg(test)]
mod tests;
