//! Tests of control instances that run as separate processes.
//!
//! These tests are in this package because Cargo builds the package's binary before it runs them.

mod child;
mod decisions;
mod disks;
mod failover;
mod group;
mod leader_change;
mod operate;
mod pages;
mod partition;
mod replica;
mod settings;
mod stop;
mod stream;
mod submissions;
