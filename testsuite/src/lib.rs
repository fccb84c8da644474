//! Shared helpers of the test suite.
