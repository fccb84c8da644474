//! Tests of claims over an in-memory message queue.

mod answers;
mod cluster;
mod failures;
mod golden;
mod joining;
mod measure;
mod parts;
mod property;
