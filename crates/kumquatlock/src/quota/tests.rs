//! Tests of the quotas: the parts by themselves, and a whole mesh with faults.

mod mesh;
mod model;
mod parts;
mod slopes;
