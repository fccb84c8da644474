//! What the commands of the binaries do.

pub mod control;
pub mod node;
pub mod operate;
