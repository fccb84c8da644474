//! What the sessions share.

pub(crate) mod session;
