//! Nodes as real processes: calls while processes and links fail.
//!
//! The upstreams are stand-ins in the test program that share one ledger of what really ran.
//! These tests belong to this package because cargo builds its binary before them.

mod booking;
mod drain;
mod freeze;
mod herd;
mod input;
mod kill;
mod links;
mod session;
mod source;
mod support;
mod upstream;
