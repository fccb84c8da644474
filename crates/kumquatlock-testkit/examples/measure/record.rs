//! Writes results as a table to standard output and as JSON lines to a file.

use std::fs::File;
use std::io::Write;
use std::path::Path;

use eyre::{Result, WrapErr};
use serde_json::{Value, json};

/// Prints results and appends them to the file of results.
pub(crate) struct ResultRecorder {
    file: File,
    /// Comparisons with bounds, one printed line each.
    bound_lines: Vec<String>,
}

impl ResultRecorder {
    pub(crate) fn create(path: &Path) -> Result<Self> {
        let file = File::create(path).wrap_err_with(|| format!("creating {}", path.display()))?;
        Ok(ResultRecorder {
            file,
            bound_lines: Vec::new(),
        })
    }

    /// Prints the heading of a group of results.
    pub(crate) fn print_heading(&self, text: &str) {
        println!("\n{text}");
    }

    /// Records a single value.
    pub(crate) fn record_value(
        &mut self,
        scope: &str,
        name: &str,
        value: f64,
        unit: &str,
    ) -> Result<()> {
        println!("  {scope:<26} {name:<58} {value:>14.3} {unit}");
        self.write(json!({"scope": scope, "name": name, "value": value, "unit": unit}))
    }

    /// Records the samples with their median, minimum and maximum. Returns the median, or NaN if
    /// there are no samples.
    pub(crate) fn record_samples(
        &mut self,
        scope: &str,
        name: &str,
        samples: &[f64],
        unit: &str,
    ) -> Result<f64> {
        let mut sorted = samples.to_vec();
        sorted.sort_by(f64::total_cmp);
        let Some((&min, &max)) = sorted.first().zip(sorted.last()) else {
            println!("  {scope:<26} {name:<58} no sample");
            self.write(json!({"scope": scope, "name": name, "samples": 0}))?;
            return Ok(f64::NAN);
        };
        let median = sorted[sorted.len() / 2];
        println!("  {scope:<26} {name:<58} {median:>14.3} {unit} ({min:.3} to {max:.3})");
        self.write(json!({
            "scope": scope, "name": name, "value": median, "unit": unit,
            "min": min, "max": max, "samples": samples,
        }))?;
        Ok(median)
    }

    /// Compares a value with its upper bound from the design target and records the result.
    pub(crate) fn record_bound(
        &mut self,
        name: &str,
        value: f64,
        limit: f64,
        unit: &str,
    ) -> Result<()> {
        // NaN compares as false, so it counts as missed.
        let verdict = if value <= limit { "met" } else { "MISSED" };
        self.bound_lines.push(format!(
            "  {verdict:<7} {name}: {value:.3} {unit}, bound {limit} {unit}"
        ));
        self.write(json!({
            "bound": name, "value": value, "limit": limit, "unit": unit, "verdict": verdict,
        }))
    }

    /// Prints all comparisons with bounds.
    pub(crate) fn print_bounds(self) {
        println!("\nbounds");
        for line in &self.bound_lines {
            println!("{line}");
        }
    }

    fn write(&mut self, value: Value) -> Result<()> {
        writeln!(self.file, "{value}").wrap_err("writing the results")
    }
}
