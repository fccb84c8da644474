//! Names on the reference pages and in the programs, for tests that keep the two in step.

use std::collections::BTreeSet;

/// Flags that a help text lists, without `--help`.
pub fn flags_of(help: &str) -> BTreeSet<String> {
    help.lines()
        .filter_map(|line| line.strip_prefix("  --"))
        .filter_map(|line| line.split([' ', ',']).next())
        .filter(|flag| *flag != "help")
        .map(|flag| format!("--{flag}"))
        .collect()
}

/// Names of the series of a metrics page; those of counters end in `_total`.
pub fn metrics_of(text: &str) -> BTreeSet<String> {
    text.lines()
        .filter_map(|line| line.strip_prefix("# TYPE "))
        .map(|line| match line.strip_suffix(" counter") {
            Some(name) => format!("{name}_total"),
            None => line.split(' ').next().unwrap_or_default().to_owned(),
        })
        .collect()
}

/// First columns of the tables in one section of a page, if they are set as code. The section ends
/// at the next heading.
pub fn documented_names(page: &str, heading: &str) -> BTreeSet<String> {
    let section = page.lines().skip_while(|line| *line != heading).skip(1);
    section
        .take_while(|line| !line.starts_with('#'))
        .filter_map(|line| line.strip_prefix("| `"))
        .filter_map(|line| line.split('`').next())
        .map(str::to_owned)
        .collect()
}
