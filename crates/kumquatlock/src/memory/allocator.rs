//! Settings of the C library's allocator.

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
