//! Tests of calls over one entry, several destinations and their claim holders in memory.

mod failures;
mod keyed;
mod world;
