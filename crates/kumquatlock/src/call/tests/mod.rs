//! Tests of calls through an in-memory simulation of one entry node, several destination nodes and
//! their claim holders.

mod failures;
mod full;
mod hostile;
mod keyed;
mod leave;
mod load;
mod proof;
mod proof_model;
mod proofs;
mod quarantine;
mod rate_limit;
mod runs;
mod silence;
mod simulation;
mod stop;
