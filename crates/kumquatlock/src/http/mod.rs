//! HTTP towards callers, upstreams and operators.
//!
//! A node serves its callers ([`HttpTable`]) and asks its upstream ([`ExchangeTable`]) on the event
//! loop of its actor. Like the links between processes, the tables hold no decisions: readiness
//! goes in, whole requests and answers come out. Operators of control instances are few and are
//! served by threads ([`HttpServer`]).

mod accept_waker;
mod body;
mod connection;
mod encode;
mod exchange;
mod head;
mod message;
mod server;
mod table;

pub use accept_waker::AcceptWaker;
pub use connection::HttpLimits;
pub use exchange::{ExchangeReady, ExchangeTable, UpstreamFailure, UpstreamJob, UpstreamResult};
pub use message::{HttpRequest, HttpResponse, MAX_BODY_BYTES, MAX_HEADERS};
pub use server::{HttpServer, ReplySender, RequestHandler, ServerError};
pub use table::{HttpEvent, HttpReady, HttpTable, RequestId};

#[cfg(test)]
mod tests;
