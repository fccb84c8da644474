//! Tests of nodes that run as separate processes: calls while processes and links fail.
//!
//! The upstreams are stand-ins in the test program. They share one ledger, which records the
//! requests that actually ran. These tests are in this package because Cargo builds the package's
//! binary before it runs them.
//!
//! The tests verify these guarantees:
//!
//! - P1: a node never applies an older configuration than before, and refuses calls without one.
//! - P4: an answer belongs to the request of its caller.
//! - P5: a request that was answered `not_run` or refused never runs.
//! - P6: a request runs at most once.
//! - P7: an upstream that leaves gets no new work after 3 s.
//! - P8: planned stops and changes interrupt no call.

mod booking;
mod deadly;
mod drain;
mod freeze;
mod herd;
mod input;
mod kill;
mod links;
mod revoke;
mod session;
mod source;
mod support;
mod upstream;
