//! Tests of client accounts at an entry node.

mod decisions;
mod lease;
