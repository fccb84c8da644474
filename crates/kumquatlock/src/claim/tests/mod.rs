//! Tests of the claim duty over a queue of messages in memory.

mod cluster;
mod failures;
mod golden;
mod measure;
mod parts;
mod property;
