//! Stand-ins and helpers for the tests, the demo and the measurements of kumquatlock.
//!
//! [`upstream`] stands for a customer's service behind a node and [`caller`] for the clients in
//! front of the mesh; [`load`] drives many callers. [`relay`] stands for a network path that can
//! fail. [`process`] starts the real binaries as child processes and lays out a whole mesh of
//! them on loopback, and [`soak`] plays faults on them. [`reference`] reads the names on the pages. Nothing here is shipped or used by the binaries.

pub mod caller;
pub mod load;
pub mod process;
pub mod reference;
pub mod relay;
pub mod soak;
pub mod upstream;

#[cfg(test)]
mod tests;
