//! failures
