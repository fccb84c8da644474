//! Memory and descriptors that one process may use for what others send to it.

mod settings;

pub use settings::{MAX_DESCRIPTORS, MEMORY, ProcessLimits};
