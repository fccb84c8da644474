//! Control instances as real processes.
//!
//! These tests belong to this package because cargo builds its binary before them.

mod child;
mod decisions;
mod disks;
mod failover;
mod group;
mod operate;
mod pages;
mod partition;
mod replica;
mod settings;
mod stop;
mod stream;
