//! Tests of the retry decisions.
