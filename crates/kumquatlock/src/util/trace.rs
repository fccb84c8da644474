//! W3C trace context and span records.

use std::fmt;
use std::str::FromStr;

use rand::rngs::SmallRng;
use rand::{RngCore, SeedableRng};
use thiserror::Error;

/// Name of the header that carries the trace context.
pub const TRACEPARENT_HEADER: &str = "traceparent";

/// Length of a version 00 `traceparent` in bytes: 2 + 32 + 16 + 2 digits and 3 separators.
pub const TRACEPARENT_BYTES: usize = 55;

/// Maximum accepted length of a `traceparent` of a later version, in bytes.
pub const MAX_TRACEPARENT_BYTES: usize = 256;

const SAMPLED_FLAG: u8 = 0x01;

/// Error in a `traceparent` header.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum TraceError {
    /// The length is invalid for the version.
    #[error("traceparent has an invalid length of {0} bytes")]
    Length(usize),
    /// The fields are not separated by single dashes.
    #[error("traceparent fields are not separated by dashes")]
    Separator,
    /// A field contains a character that is not a lower-case hexadecimal digit.
    #[error("traceparent field `{0}` is not lower-case hexadecimal")]
    NotHex(&'static str),
    /// The version is ff, which the specification forbids.
    #[error("traceparent version ff is invalid")]
    Version,
    /// An identifier is zero, which the specification forbids.
    #[error("traceparent field `{0}` is zero")]
    ZeroId(&'static str),
}

/// Identifier of a trace. Never zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TraceId(u128);

impl fmt::Display for TraceId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

/// Identifier of one span of a trace. Never zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SpanId(u64);

impl fmt::Display for SpanId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Source of new identifiers.
pub trait IdSource {
    /// Returns the next number. It may be zero; callers skip zeroes.
    fn next_id(&mut self) -> u64;
}

/// Identifier source with a seeded random number generator.
#[derive(Clone, Debug)]
pub struct SeededIds(SmallRng);

impl SeededIds {
    /// Creates a source that returns the same identifiers for the same seed.
    pub fn new(seed: u64) -> Self {
        SeededIds(SmallRng::seed_from_u64(seed))
    }
}

impl IdSource for SeededIds {
    fn next_id(&mut self) -> u64 {
        self.0.next_u64()
    }
}

fn next_nonzero(ids: &mut impl IdSource) -> u64 {
    /// Maximum number of draws from a source until a nonzero number is found.
    const MAX_DRAWS: usize = 8;
    (0..MAX_DRAWS)
        .map(|_| ids.next_id())
        .find(|id| *id != 0)
        .unwrap_or(1)
}

/// Position of one hop in a trace, as carried by `traceparent`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TraceContext {
    /// Trace to which the hop belongs.
    pub trace_id: TraceId,
    /// Span of the hop itself.
    pub span_id: SpanId,
    /// Trace flags; bit 0 is "sampled".
    pub flags: u8,
}

impl TraceContext {
    /// Starts a new trace that is sampled.
    pub fn new_root(ids: &mut impl IdSource) -> Self {
        let high = u128::from(next_nonzero(ids));
        TraceContext {
            trace_id: TraceId(high << 64 | u128::from(ids.next_id())),
            span_id: SpanId(next_nonzero(ids)),
            flags: SAMPLED_FLAG,
        }
    }

    /// Creates a child span in the same trace, with the same flags.
    pub fn child(&self, ids: &mut impl IdSource) -> Self {
        TraceContext {
            span_id: SpanId(next_nonzero(ids)),
            ..*self
        }
    }

    /// Returns whether the trace is sampled.
    pub fn is_sampled(&self) -> bool {
        self.flags & SAMPLED_FLAG != 0
    }
}

/// Span of one hop, with the parent span.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HopSpan {
    /// Trace context of the hop, which it passes on to the next hop.
    pub context: TraceContext,
    /// Span of the previous hop.
    pub parent_id: SpanId,
}

impl HopSpan {
    /// Creates a child of the span that was received from the previous hop.
    pub fn child_of(received: &TraceContext, ids: &mut impl IdSource) -> Self {
        HopSpan {
            context: received.child(ids),
            parent_id: received.span_id,
        }
    }
}

impl fmt::Display for TraceContext {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "00-{}-{}-{:02x}",
            self.trace_id, self.span_id, self.flags
        )
    }
}

impl FromStr for TraceContext {
    type Err = TraceError;

    /// Parses a `traceparent`. As the specification requires, a later version is parsed like
    /// version 00 and may have more fields at the end.
    fn from_str(text: &str) -> Result<Self, TraceError> {
        let bytes = text.as_bytes();
        if bytes.len() < TRACEPARENT_BYTES || bytes.len() > MAX_TRACEPARENT_BYTES {
            return Err(TraceError::Length(bytes.len()));
        }
        if [2, 35, 52].iter().any(|index| bytes[*index] != b'-') {
            return Err(TraceError::Separator);
        }
        let version = hex_field("version", &bytes[0..2])?;
        let trace_id = hex_field("trace-id", &bytes[3..35])?;
        let span_id = hex_field("parent-id", &bytes[36..52])?;
        let flags = hex_field("trace-flags", &bytes[53..55])?;
        match (version, bytes.get(TRACEPARENT_BYTES)) {
            (0xff, _) => return Err(TraceError::Version),
            (0, Some(_)) => return Err(TraceError::Length(bytes.len())),
            (_, None | Some(b'-')) => {}
            (_, Some(_)) => return Err(TraceError::Separator),
        }
        if trace_id == 0 {
            return Err(TraceError::ZeroId("trace-id"));
        }
        if span_id == 0 {
            return Err(TraceError::ZeroId("parent-id"));
        }
        Ok(TraceContext {
            trace_id: TraceId(trace_id),
            span_id: SpanId(span_id as u64),
            flags: flags as u8,
        })
    }
}

/// Parses up to 32 lower-case hexadecimal digits.
fn hex_field(field: &'static str, digits: &[u8]) -> Result<u128, TraceError> {
    digits.iter().try_fold(0, |value, digit| {
        let digit = match digit {
            b'0'..=b'9' => digit - b'0',
            b'a'..=b'f' => digit - b'a' + 10,
            _ => return Err(TraceError::NotHex(field)),
        };
        Ok(value << 4 | u128::from(digit))
    })
}

/// Record of one hop of a traced request. Written as one log line with `event="span"`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SpanRecord<'a> {
    /// Trace context of this hop.
    pub context: TraceContext,
    /// Span of the previous hop; `None` at the start of a trace.
    pub parent_id: Option<SpanId>,
    /// Role of the hop, such as `entry` or `destination`.
    pub hop: &'a str,
    /// Start of the hop in microseconds since the Unix epoch, so that the records of several
    /// processes can be compared.
    pub start_us: u64,
    /// Duration of the hop in microseconds.
    pub duration_us: u64,
    /// Outcome of the hop, as a fixed string.
    pub outcome: &'a str,
}

impl SpanRecord<'_> {
    /// Writes the record to the log at level `info`.
    pub fn write(&self) {
        let parent_id = self.parent_id.map(|id| id.to_string()).unwrap_or_default();
        log::info!(
            trace_id:% = self.context.trace_id,
            span_id:% = self.context.span_id,
            parent_id = parent_id.as_str(),
            hop = self.hop,
            start_us = self.start_us,
            duration_us = self.duration_us,
            outcome = self.outcome;
            "span"
        );
    }
}
