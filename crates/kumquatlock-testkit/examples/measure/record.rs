//! Results: a table on standard output and a JSON-lines record.

use std::fs::File;
use std::io::Write;
use std::path::Path;

use eyre::{Result, WrapErr};
use serde_json::{Value, json};

/// Prints rows and appends them to the record.
pub(crate) struct ResultRecorder {
    file: File,
    bounds: Vec<String>,
}

impl ResultRecorder {
    pub(crate) fn create(path: &Path) -> Result<Self> {
        let file = File::create(path).wrap_err_with(|| format!("creating {}", path.display()))?;
        Ok(ResultRecorder {
            file,
            bounds: Vec::new(),
        })
    }

    /// Prints the heading of a group of rows.
    pub(crate) fn heading(&self, text: &str) {
        println!("\n{text}");
    }

    /// Records one figure.
    pub(crate) fn row(&mut self, scope: &str, name: &str, value: f64, unit: &str) -> Result<()> {
        println!("  {scope:<26} {name:<58} {value:>14.3} {unit}");
        self.write(json!({"scope": scope, "name": name, "value": value, "unit": unit}))
    }

    /// Records the median of repeated samples with their smallest and largest value.
    pub(crate) fn spread(
        &mut self,
        scope: &str,
        name: &str,
        samples: &[f64],
        unit: &str,
    ) -> Result<f64> {
        let mut sorted = samples.to_vec();
        sorted.sort_by(f64::total_cmp);
        let Some((&first, &last)) = sorted.first().zip(sorted.last()) else {
            println!("  {scope:<26} {name:<58} no sample");
            self.write(json!({"scope": scope, "name": name, "samples": 0}))?;
            return Ok(f64::NAN);
        };
        let median = sorted[sorted.len() / 2];
        println!("  {scope:<26} {name:<58} {median:>14.3} {unit} ({first:.3} to {last:.3})");
        self.write(json!({
            "scope": scope, "name": name, "value": median, "unit": unit,
            "min": first, "max": last, "samples": samples,
        }))?;
        Ok(median)
    }

    /// Compares a figure with its upper bound from the design target.
    pub(crate) fn bound(&mut self, name: &str, value: f64, limit: f64, unit: &str) -> Result<()> {
        // A figure that is not a number is missed.
        let verdict = if value <= limit { "met" } else { "MISSED" };
        self.bounds.push(format!(
            "  {verdict:<7} {name}: {value:.3} {unit}, bound {limit} {unit}"
        ));
        self.write(json!({
            "bound": name, "value": value, "limit": limit, "unit": unit, "verdict": verdict,
        }))
    }

    /// Prints all comparisons with bounds.
    pub(crate) fn finish(self) {
        println!("\nbounds");
        for line in &self.bounds {
            println!("{line}");
        }
    }

    fn write(&mut self, value: Value) -> Result<()> {
        writeln!(self.file, "{value}").wrap_err("writing the record")
    }
}
