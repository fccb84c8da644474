//! Test doubles and helpers for the tests, the demo and the measurements of kumquatlock.
//!
//! [`upstream`] simulates the upstream of a client account behind a node, [`caller`] is an HTTP
//! client that sends requests to the mesh, and [`load`] runs many callers at once. [`relay`] is a
//! TCP relay that can simulate network faults. [`process`] starts the real binaries as child
//! processes and lays out a whole mesh of them on loopback; [`soak`] injects faults into such a
//! mesh. [`reference`] extracts flag and metric names, to compare them with the reference pages.
//! The binaries neither use nor ship this crate.

pub mod caller;
pub mod load;
pub mod process;
pub mod reference;
pub mod relay;
pub mod soak;
pub mod upstream;

#[cfg(test)]
mod tests;
