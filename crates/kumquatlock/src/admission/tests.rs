//! Tests of the admission decisions.
