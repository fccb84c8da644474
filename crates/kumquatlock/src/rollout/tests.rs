//! Tests of rollouts without a network.

mod judge;
mod orders;
mod share;
