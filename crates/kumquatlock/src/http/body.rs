//! Incremental parsing of message bodies.

#![warn(
    clippy::arithmetic_side_effects,
    reason = "lengths come from peers and may be any number"
)]

use bytes::{Buf, Bytes, BytesMut};

use super::head::BodyFraming;

/// End of a line.
const LINE_BREAK: &[u8] = b"\r\n";
/// Maximum length of a chunk size line or trailer line, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 4 * 1024;
/// Length of the lines around each chunk that does not count as excess: the digits of its size and
/// two line breaks.
const CHUNK_FRAMING_BYTES: usize = 20;
/// Maximum number of excess bytes of one body, which are neither content nor the framing of chunks:
/// chunk extensions and trailers. Both are ignored, and a peer could send them without end.
const MAX_EXCESS_BYTES: usize = 16 * 1024;

/// Reason why a body cannot be read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyError {
    TooLarge,
    Malformed,
}

/// Result of parsing the bytes of a body that have arrived so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyProgress {
    /// The body needs more bytes, or ends when the connection is closed.
    Partial,
    Complete,
    /// The content may not grow before [`BodyReader::grant`] allows more of it. The grant is below
    /// the limit, so each further grant lets the body go on.
    NeedsRoom,
    Invalid(BodyError),
}

/// Content of a chunked body that is granted at first, in bytes. Each further grant doubles it.
const FIRST_GRANT_BYTES: u64 = 64 * 1024;

#[derive(Clone, Copy, Debug)]
enum BodyState {
    /// Number of body bytes that have not been read yet. May exceed the limit until the first bytes
    /// are fed.
    Length(u64),
    ChunkSize,
    /// Number of bytes of the current chunk that have not been read yet. They fit into the limit
    /// together with the content.
    ChunkData(u64),
    ChunkEnd,
    Trailer,
    UntilClose,
    Done,
}

/// Parses one body and collects its content.
#[derive(Debug)]
pub(super) struct BodyReader {
    state: BodyState,
    /// Never longer than `limit` bytes.
    body: BytesMut,
    limit: u64,
    /// Maximum length of the content at present, at most `limit`.
    granted: u64,
    /// Number of excess bytes read so far, at most [`MAX_EXCESS_BYTES`].
    excess_bytes: usize,
}

impl BodyReader {
    pub(super) fn new(framing: BodyFraming, limit: u64) -> Self {
        let state = match framing {
            BodyFraming::Empty => BodyState::Done,
            BodyFraming::Length(length) => BodyState::Length(length),
            BodyFraming::Chunked => BodyState::ChunkSize,
            BodyFraming::UntilClose => BodyState::UntilClose,
        };
        BodyReader {
            state,
            body: BytesMut::new(),
            limit,
            granted: limit,
            excess_bytes: 0,
        }
    }

    /// Reads no content before it is granted.
    pub(super) fn without_grant(mut self) -> Self {
        self.granted = 0;
        self
    }

    /// Returns the length up to which the content should be granted next: the whole length if it
    /// is known.
    pub(super) fn wanted_bytes(&self) -> u64 {
        let wanted = match self.state {
            BodyState::Length(remaining) => self.content_length().saturating_add(remaining),
            _ => FIRST_GRANT_BYTES.max(self.granted.saturating_mul(2)),
        };
        wanted.min(self.limit)
    }

    /// Allows the content to grow to `granted` bytes.
    pub(super) fn grant(&mut self, granted: u64) {
        self.granted = granted.min(self.limit);
        self.body.reserve(usize::try_from(self.room()).unwrap_or(0));
    }

    /// Returns the length of the content read so far.
    pub(super) fn content_bytes(&self) -> usize {
        self.body.len()
    }

    /// Returns the number of bytes allocated for the content.
    pub(super) fn allocated_bytes(&self) -> usize {
        self.body.capacity()
    }

    fn content_length(&self) -> u64 {
        self.body.len() as u64
    }

    /// Returns by how many bytes the content may grow at present.
    fn room(&self) -> u64 {
        self.granted.saturating_sub(self.content_length())
    }

    /// Whether content of a length that a peer has stated fits into the limit. The length may be
    /// any number, so nothing is added to it.
    fn admits(&self, length: u64) -> bool {
        length <= self.limit.saturating_sub(self.content_length())
    }

    /// Returns the result for content that is longer than the grant.
    fn out_of_room(&self) -> BodyProgress {
        match self.granted < self.limit {
            true => BodyProgress::NeedsRoom,
            false => BodyProgress::Invalid(BodyError::TooLarge),
        }
    }

    /// Consumes the bytes of the body at the front of `read_buf`.
    pub(super) fn feed(&mut self, read_buf: &mut BytesMut) -> BodyProgress {
        loop {
            match self.state {
                BodyState::Done => return BodyProgress::Complete,
                BodyState::Length(remaining) => {
                    if !self.admits(remaining) {
                        return BodyProgress::Invalid(BodyError::TooLarge);
                    }
                    if self.room() < remaining {
                        return self.out_of_room();
                    }
                    // Growing the buffer step by step would leave the steps in the heap.
                    if self.body.capacity() == 0 && !read_buf.is_empty() {
                        self.body.reserve(usize::try_from(remaining).unwrap_or(0));
                    }
                    let consumed = self.consume(read_buf, remaining);
                    let remaining = remaining.saturating_sub(consumed);
                    if remaining > 0 {
                        self.state = BodyState::Length(remaining);
                        return BodyProgress::Partial;
                    }
                    self.state = BodyState::Done;
                }
                BodyState::UntilClose => {
                    if !self.admits(read_buf.len() as u64) {
                        return BodyProgress::Invalid(BodyError::TooLarge);
                    }
                    self.consume(read_buf, u64::MAX);
                    return BodyProgress::Partial;
                }
                BodyState::ChunkData(0) => self.state = BodyState::ChunkEnd,
                BodyState::ChunkData(remaining) => {
                    let room = self.room();
                    let consumed = self.consume(read_buf, remaining.min(room));
                    let remaining = remaining.saturating_sub(consumed);
                    self.state = BodyState::ChunkData(remaining);
                    if remaining > 0 && !read_buf.is_empty() {
                        return self.out_of_room();
                    }
                    if remaining > 0 {
                        return BodyProgress::Partial;
                    }
                }
                BodyState::ChunkSize | BodyState::ChunkEnd | BodyState::Trailer => {
                    let line = match find_line(read_buf) {
                        Ok(Some(line)) => line,
                        Ok(None) => return BodyProgress::Partial,
                        Err(error) => return BodyProgress::Invalid(error),
                    };
                    let consumed = line.len();
                    let line = line.strip_suffix(LINE_BREAK).unwrap_or(line);
                    if let Err(error) = self.process_line(line) {
                        return BodyProgress::Invalid(error);
                    }
                    read_buf.advance(consumed);
                }
            }
        }
    }

    /// Whether the end of the connection delimits the body.
    pub(super) fn ends_with_connection(&self) -> bool {
        matches!(self.state, BodyState::UntilClose)
    }

    pub(super) fn into_body(self) -> Bytes {
        self.body.freeze()
    }

    fn consume(&mut self, read_buf: &mut BytesMut, max_bytes: u64) -> u64 {
        let count = read_buf
            .len()
            .min(usize::try_from(max_bytes).unwrap_or(usize::MAX));
        self.body.extend_from_slice(&read_buf[..count]);
        read_buf.advance(count);
        count as u64
    }

    fn process_line(&mut self, line: &[u8]) -> Result<(), BodyError> {
        let excess = match self.state {
            BodyState::Trailer => line.len(),
            _ => line.len().saturating_sub(CHUNK_FRAMING_BYTES),
        };
        self.excess_bytes = self.excess_bytes.saturating_add(excess);
        if self.excess_bytes > MAX_EXCESS_BYTES {
            return Err(BodyError::Malformed);
        }
        self.state = match self.state {
            BodyState::ChunkEnd if line.is_empty() => BodyState::ChunkSize,
            BodyState::ChunkEnd => return Err(BodyError::Malformed),
            BodyState::Trailer if line.is_empty() => BodyState::Done,
            BodyState::ChunkSize => match parse_chunk_size(line)? {
                0 => BodyState::Trailer,
                size if self.admits(size) => BodyState::ChunkData(size),
                _ => return Err(BodyError::TooLarge),
            },
            state => state,
        };
        Ok(())
    }
}

/// Returns the first line of `bytes`, with its line break.
fn find_line(bytes: &[u8]) -> Result<Option<&[u8]>, BodyError> {
    let mut searched: usize = 0;
    for part in bytes.split_inclusive(|byte| *byte == b'\n') {
        searched = searched.saturating_add(part.len());
        let line = &bytes[..searched];
        if line.ends_with(LINE_BREAK) {
            return Ok(Some(line));
        }
    }
    match bytes.len() > MAX_CHUNK_LINE_BYTES {
        true => Err(BodyError::Malformed),
        false => Ok(None),
    }
}

fn parse_chunk_size(line: &[u8]) -> Result<u64, BodyError> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let text = std::str::from_utf8(digits).map_err(|_| BodyError::Malformed)?;
    let text = text.trim();
    let is_hex = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    let size = u64::from_str_radix(text, 16).ok().filter(|_| is_hex);
    size.ok_or(BodyError::Malformed)
}
