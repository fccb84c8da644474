//! What the commands of the binaries do.

pub mod node;
pub mod control;
