//! Implementation of the commands of the binaries.

pub mod control;
pub mod node;
pub mod operator_client;
