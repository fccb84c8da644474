//! parts
