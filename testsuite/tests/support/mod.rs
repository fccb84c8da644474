//! Support code of the session tests.

pub(crate) mod session;
