//! Settings of the C library's allocator, and the release of what it keeps after a peak.

use super::MemoryBudget;

/// Size from which an allocation has pages of its own, in bytes, which are given back as soon as it
/// is freed. The allocator would otherwise raise this size to that of the largest freed buffer, and
/// a crowd's buffers would stay in the heap for good.
const MAP_THRESHOLD_BYTES: libc::c_int = 256 * 1024;
/// Free bytes at the end of the heap from which they are given back.
const TRIM_THRESHOLD_BYTES: libc::c_int = 4 * 1024 * 1024;

/// Makes the allocator give back large buffers. Called once, at the start of the process.
#[cfg(target_env = "gnu")]
pub(crate) fn return_large_buffers() {
    let settings = [
        (libc::M_MMAP_THRESHOLD, MAP_THRESHOLD_BYTES),
        (libc::M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES),
    ];
    for (parameter, value) in settings {
        #[expect(
            unsafe_code,
            reason = "the C library has no safe interface for this setting"
        )]
        // SAFETY: `mallopt` takes two numbers and may be called at any time.
        let accepted = unsafe { libc::mallopt(parameter, value) };
        if accepted == 0 {
            log::warn!(parameter, value; "allocator_setting_refused");
        }
    }
}

/// Does nothing: other C libraries have no such setting.
#[cfg(not(target_env = "gnu"))]
pub(crate) fn return_large_buffers() {}

/// Part of the budget that was held at a peak, as a divisor.
const PEAK_DIVISOR: usize = 2;
/// Part of the budget below which a peak is over, as a divisor.
const CALM_DIVISOR: usize = 4;

/// Gives back the memory that the allocator keeps after a peak of held bytes. Small allocations at
/// the end of the heap would otherwise keep all freed pages before them.
#[derive(Debug, Default)]
pub(crate) struct MemoryRelease {
    /// Whether there was a peak since memory was last given back.
    had_peak: bool,
}

impl MemoryRelease {
    /// Gives back memory if a peak is over. Called several times a second.
    pub(crate) fn poll(&mut self, budget: &MemoryBudget) {
        let held = budget.held_bytes();
        self.had_peak |= held >= budget.limit_bytes() / PEAK_DIVISOR;
        if self.had_peak && held < budget.limit_bytes() / CALM_DIVISOR {
            self.had_peak = false;
            trim_heap();
            log::info!(held_bytes = held; "memory_released");
        }
    }
}

#[cfg(target_env = "gnu")]
fn trim_heap() {
    #[expect(unsafe_code, reason = "the C library has no safe interface for this")]
    // SAFETY: `malloc_trim` takes a number and releases only pages without allocations.
    unsafe {
        libc::malloc_trim(0);
    }
}

#[cfg(not(target_env = "gnu"))]
fn trim_heap() {}
