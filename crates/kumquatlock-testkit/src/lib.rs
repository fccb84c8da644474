//! Testkit.
