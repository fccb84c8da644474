//! Logging as JSON lines.
//!
//! Records are written with the macros of the `log` crate. The message is the name of the event, a
//! fixed string in snake case. Everything that varies is a key-value pair:
//!
//! ```
//! log::info!(version = 7, instance = "control-1"; "manifest_accepted");
//! ```

use std::io::{self, Write};
use std::time::{SystemTime, UNIX_EPOCH};

use log::kv::{self, Key, Value, VisitSource};
use log::{LevelFilter, Record};
use serde::ser::{SerializeMap, Serializer};
use thiserror::Error;

use super::log_writer::LineQueue;
pub use super::log_writer::LogGuard;

/// Maximum length of one text field in bytes. Longer fields are truncated, so that a value from a
/// request cannot flood the log.
pub const MAX_FIELD_BYTES: usize = 4_096;

/// Fields of every line. A key-value pair with one of these keys is written as `kv_<key>`.
const FIXED_FIELDS: [&str; 4] = ["ts", "level", "target", "event"];

/// Error in the setup of the log.
#[derive(Debug, Error)]
pub enum LoggingError {
    /// A directive is neither a level nor `target=level`.
    #[error("log filter directive `{0}` is neither `<level>` nor `<target>=<level>`")]
    BadDirective(String),
    /// The thread that writes the log could not be started.
    #[error("failed to start the log writer thread")]
    SpawnThread(#[source] io::Error),
    /// Another logger is already installed.
    #[error("a logger is already installed")]
    AlreadyInstalled(#[from] log::SetLoggerError),
}

/// Log levels by target, such as `info` or `warn,kumquatlock::agreement=debug`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogFilter {
    directives: Vec<(Option<String>, LevelFilter)>,
}

impl std::str::FromStr for LogFilter {
    type Err = LoggingError;

    fn from_str(text: &str) -> Result<Self, LoggingError> {
        let directives = text.split(',').map(|directive| {
            let error = || LoggingError::BadDirective(directive.to_owned());
            let (target, level) = match directive.split_once('=') {
                Some(("", _)) => return Err(error()),
                Some((target, level)) => (Some(target.to_owned()), level),
                None => (None, directive),
            };
            Ok((target, level.parse().map_err(|_| error())?))
        });
        Ok(LogFilter {
            directives: directives.collect::<Result<_, _>>()?,
        })
    }
}

/// Installs a logger that writes JSON lines to standard output. A slow reader of the output does
/// not block the process.
pub fn init_logging(filter: &LogFilter) -> Result<LogGuard, LoggingError> {
    let mut builder = env_logger::Builder::new();
    for (target, level) in &filter.directives {
        builder.filter(target.as_deref(), *level);
    }
    let (queue, guard) = LineQueue::start(io::stdout()).map_err(LoggingError::SpawnThread)?;
    builder.target(env_logger::Target::Pipe(Box::new(queue)));
    builder.format(|buffer, record| write_record(buffer, record, SystemTime::now()));
    builder.try_init()?;
    Ok(guard)
}

/// Writes `record` as one JSON line.
pub fn write_record(
    writer: &mut impl Write,
    record: &Record<'_>,
    now: SystemTime,
) -> io::Result<()> {
    // The line is built first, so that the writer gets it in one call.
    let mut line = Vec::with_capacity(256);
    write_fields(&mut line, record, now).map_err(io::Error::from)?;
    line.push(b'\n');
    writer.write_all(&line)
}

fn write_fields(
    line: &mut Vec<u8>,
    record: &Record<'_>,
    now: SystemTime,
) -> Result<(), serde_json::Error> {
    let mut serializer = serde_json::Serializer::new(line);
    let mut map = serializer.serialize_map(None)?;
    map.serialize_entry("ts", &format_utc(now))?;
    map.serialize_entry("level", record.level().as_str())?;
    map.serialize_entry("target", record.target())?;
    match record.args().as_str() {
        Some(event) => map.serialize_entry("event", truncate_field(event))?,
        None => map.serialize_entry("event", truncate_field(&record.args().to_string()))?,
    }
    let mut pairs = PairWriter {
        map: &mut map,
        result: Ok(()),
    };
    // The visitor fails only if the map does, and keeps that error in `result`.
    let _ = record.key_values().visit(&mut pairs);
    pairs.result?;
    map.end()
}

struct PairWriter<'a, M> {
    map: &'a mut M,
    result: Result<(), serde_json::Error>,
}

impl<'kvs, M> VisitSource<'kvs> for PairWriter<'_, M>
where
    M: SerializeMap<Error = serde_json::Error>,
{
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let prefixed;
        let key = if FIXED_FIELDS.contains(&key.as_str()) {
            prefixed = format!("kv_{key}");
            prefixed.as_str()
        } else {
            key.as_str()
        };
        self.result = write_pair(self.map, key, &value);
        match self.result {
            Ok(()) => Ok(()),
            Err(_) => Err(kv::Error::msg("log line not written")),
        }
    }
}

fn write_pair<M>(map: &mut M, key: &str, value: &Value<'_>) -> Result<(), M::Error>
where
    M: SerializeMap,
{
    if let Some(text) = value.to_borrowed_str() {
        map.serialize_entry(key, truncate_field(text))
    } else if let Some(flag) = value.to_bool() {
        map.serialize_entry(key, &flag)
    } else if let Some(number) = value.to_u64() {
        map.serialize_entry(key, &number)
    } else if let Some(number) = value.to_i64() {
        map.serialize_entry(key, &number)
    } else if let Some(number) = value.to_f64() {
        map.serialize_entry(key, &number)
    } else {
        map.serialize_entry(key, truncate_field(&value.to_string()))
    }
}

/// Returns the longest prefix of `text` within [`MAX_FIELD_BYTES`].
fn truncate_field(text: &str) -> &str {
    &text[..text.floor_char_boundary(MAX_FIELD_BYTES)]
}

/// Formats a time as RFC 3339 in UTC with microseconds. Times before 1970 are written as the start
/// of 1970.
fn format_utc(time: SystemTime) -> String {
    let since_epoch = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    let seconds = since_epoch.as_secs();
    let (year, month, day) = civil_date(seconds / 86_400);
    let (hour, minute, second) = (seconds / 3_600 % 24, seconds / 60 % 60, seconds % 60);
    let micros = since_epoch.subsec_micros();
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}.{micros:06}Z")
}

/// Converts a number of days since 1970-01-01 into year, month and day.
fn civil_date(days: u64) -> (u64, u64, u64) {
    // Days are counted from 0000-03-01, so that a leap day is the last day of its year. An era is
    // the cycle of 400 years (146,097 days) after which the calendar repeats.
    let days = days + 719_468;
    let (era, day_of_era) = (days / 146_097, days % 146_097);
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let shifted_month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * shifted_month + 2) / 5 + 1;
    let month = if shifted_month < 10 {
        shifted_month + 3
    } else {
        shifted_month - 9
    };
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    (year, month, day)
}
