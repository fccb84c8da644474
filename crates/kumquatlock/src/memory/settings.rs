//! Settings of the memory and the descriptors of a process.

use crate::util::settings::{ItemCount, SettingError, SettingSpec, VariableSource};

/// Bytes of one megabyte, the unit of the memory setting.
const MEGABYTE_BYTES: usize = 1_000_000;

/// Setting of the memory of the process.
pub const MEMORY: SettingSpec<ItemCount> = SettingSpec::new(
    "memory-mb",
    "memory that the process may use; bounds the bytes held for others",
)
.unit("MB")
.range(64, 1_048_576)
.default_value("512");

/// Setting of the descriptors of the process.
pub const MAX_DESCRIPTORS: SettingSpec<ItemCount> = SettingSpec::new(
    "max-descriptors",
    "descriptors that the process may open; bounds the connections of callers",
)
.unit("descriptors")
.range(64, 1_048_576)
.default_value("4096");

/// Memory and descriptors that a process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Memory of the process, in bytes.
    pub memory_bytes: usize,
    /// Number of descriptors that the process may open.
    pub descriptors: usize,
}

impl ProcessLimits {
    /// Returns the limits for a memory in megabytes and a number of descriptors.
    pub fn new(memory_mb: usize, descriptors: usize) -> Self {
        ProcessLimits {
            memory_bytes: memory_mb.saturating_mul(MEGABYTE_BYTES),
            descriptors,
        }
    }

    /// Resolves the settings [`MEMORY`] and [`MAX_DESCRIPTORS`].
    pub fn resolve(
        memory_mb: Option<&str>,
        descriptors: Option<&str>,
        variables: &impl VariableSource,
    ) -> Result<Self, SettingError> {
        let memory = MEMORY.resolve(memory_mb, variables)?;
        let descriptors = MAX_DESCRIPTORS.resolve(descriptors, variables)?;
        Ok(ProcessLimits::new(
            memory.0 as usize,
            descriptors.0 as usize,
        ))
    }
}

impl Default for ProcessLimits {
    fn default() -> Self {
        ProcessLimits::new(512, 4_096)
    }
}
