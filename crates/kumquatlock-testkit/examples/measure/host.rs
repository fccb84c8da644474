//! CPU and memory of processes, read from /proc.

use std::fs;
use std::time::Instant;

use eyre::{Result, WrapErr, eyre};

/// Length of a page in bytes.
const PAGE_BYTES: f64 = 4_096.0;
/// Clock ticks per second in /proc/<pid>/stat.
const TICKS_PER_SECOND: f64 = 100.0;

/// Resident bytes of a process; `self` names this one.
pub(crate) fn resident_bytes(process: &str) -> Result<f64> {
    let path = format!("/proc/{process}/statm");
    let text = fs::read_to_string(&path).wrap_err_with(|| format!("reading {path}"))?;
    let pages = text.split_whitespace().nth(1);
    let pages: f64 = pages.ok_or_else(|| eyre!("{path} is short"))?.parse()?;
    Ok(pages * PAGE_BYTES)
}

/// CPU seconds that a process has used.
pub(crate) fn cpu_seconds(process: u32) -> Result<f64> {
    let path = format!("/proc/{process}/stat");
    let text = fs::read_to_string(&path).wrap_err_with(|| format!("reading {path}"))?;
    // The name of the program may hold spaces, so fields count from its closing parenthesis.
    let (_, fields) = text
        .rsplit_once(')')
        .ok_or_else(|| eyre!("{path} has no name"))?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |index: usize| -> Result<f64> {
        let field = fields.get(index);
        Ok(field.ok_or_else(|| eyre!("{path} is short"))?.parse()?)
    };
    Ok((ticks(11)? + ticks(12)?) / TICKS_PER_SECOND)
}

/// Microseconds per round of `run`, in `repeats` samples of `rounds` rounds.
pub(crate) fn time_rounds(repeats: usize, rounds: usize, mut run: impl FnMut()) -> Vec<f64> {
    let sample = |_| {
        let started = Instant::now();
        for _ in 0..rounds {
            run();
        }
        started.elapsed().as_secs_f64() * 1e6 / rounds as f64
    };
    (0..repeats).map(sample).collect()
}
