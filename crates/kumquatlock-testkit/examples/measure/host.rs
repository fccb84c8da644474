//! CPU time and memory of processes, read from /proc, and a timer for functions.

use std::fs;
use std::time::Instant;

use eyre::{Result, WrapErr, eyre};

/// Size of a memory page.
const PAGE_BYTES: f64 = 4_096.0;
/// Number of clock ticks per second, the unit of CPU times in /proc/<pid>/stat.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

/// Returns the resident memory of a process in bytes; `self` stands for the current process.
pub(crate) fn resident_bytes(pid: &str) -> Result<f64> {
    let path = format!("/proc/{pid}/statm");
    let text = fs::read_to_string(&path).wrap_err_with(|| format!("reading {path}"))?;
    let pages = text.split_whitespace().nth(1);
    let pages: f64 = pages
        .ok_or_else(|| eyre!("{path} has too few fields"))?
        .parse()?;
    Ok(pages * PAGE_BYTES)
}

/// Returns the CPU time that a process has used, in seconds.
pub(crate) fn cpu_seconds(pid: u32) -> Result<f64> {
    let path = format!("/proc/{pid}/stat");
    let text = fs::read_to_string(&path).wrap_err_with(|| format!("reading {path}"))?;
    // The program name may contain spaces, so fields are counted from the closing parenthesis
    // after it.
    let (_, fields) = text
        .rsplit_once(')')
        .ok_or_else(|| eyre!("{path} contains no program name"))?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |index: usize| -> Result<f64> {
        let field = fields.get(index);
        Ok(field
            .ok_or_else(|| eyre!("{path} has too few fields"))?
            .parse()?)
    };
    Ok((ticks(11)? + ticks(12)?) / CLOCK_TICKS_PER_SECOND)
}

/// Takes `repeats` samples, each of which calls `run` `rounds` times. Returns the mean duration of
/// a call in each sample, in microseconds.
pub(crate) fn time_rounds(repeats: usize, rounds: usize, mut run: impl FnMut()) -> Vec<f64> {
    let measure_sample = |_| {
        let started = Instant::now();
        for _ in 0..rounds {
            run();
        }
        started.elapsed().as_secs_f64() * 1e6 / rounds as f64
    };
    (0..repeats).map(measure_sample).collect()
}
