//! Extracts names from the reference pages, help texts and metrics, for tests that compare them.

use std::collections::BTreeSet;

/// Returns the flags that a help text lists, except `--help`.
pub fn flags_of(help: &str) -> BTreeSet<String> {
    help.lines()
        .filter_map(|line| line.strip_prefix("  --"))
        .filter_map(|line| line.split([' ', ',']).next())
        .filter(|flag| *flag != "help")
        .map(|flag| format!("--{flag}"))
        .collect()
}

/// Returns the metric names in the text of a `/metrics` page. `_total` is appended to the names of
/// counters.
pub fn metrics_of(text: &str) -> BTreeSet<String> {
    text.lines()
        .filter_map(|line| line.strip_prefix("# TYPE "))
        .map(|line| match line.strip_suffix(" counter") {
            Some(name) => format!("{name}_total"),
            None => line.split(' ').next().unwrap_or_default().to_owned(),
        })
        .collect()
}

/// Returns the names in the first column of the tables in one section of a Markdown page. Rows
/// whose first column does not start with code in backticks are ignored. The section ends at the
/// next heading.
pub fn documented_names(page: &str, heading: &str) -> BTreeSet<String> {
    let section = page.lines().skip_while(|line| *line != heading).skip(1);
    section
        .take_while(|line| !line.starts_with('#'))
        .filter_map(|line| line.strip_prefix("| `"))
        .filter_map(|line| line.split('`').next())
        .map(str::to_owned)
        .collect()
}
