//! Incremental parsing of message bodies.

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
    /// The content may not grow before [`BodyReader::grant`] allows more of it.
    NeedsRoom,
    Invalid(BodyError),
}

/// Content of a chunked body that is granted at first, in bytes. Each further grant doubles it.
const FIRST_GRANT_BYTES: u64 = 64 * 1024;

#[derive(Clone, Copy, Debug)]
enum BodyState {
    /// Number of body bytes that have not been read yet.
    Length(u64),
    ChunkSize,
    /// Number of bytes of the current chunk that have not been read yet.
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
            BodyState::Length(remaining) => self.body.len() as u64 + remaining,
            _ => FIRST_GRANT_BYTES.max(self.granted * 2),
        };
        wanted.min(self.limit)
    }

    /// Allows the content to grow to `granted` bytes.
    pub(super) fn grant(&mut self, granted: u64) {
        self.granted = granted.min(self.limit);
        let missing = self.granted.saturating_sub(self.body.len() as u64);
        self.body.reserve(usize::try_from(missing).unwrap_or(0));
    }

    /// Returns the length of the content read so far.
    pub(super) fn content_bytes(&self) -> usize {
        self.body.len()
    }

    /// Returns the number of bytes allocated for the content.
    pub(super) fn allocated_bytes(&self) -> usize {
        self.body.capacity()
    }

    fn room(&self) -> u64 {
        self.granted.saturating_sub(self.body.len() as u64)
    }

    /// Consumes the bytes of the body at the front of `read_buf`.
    pub(super) fn feed(&mut self, read_buf: &mut BytesMut) -> BodyProgress {
        loop {
            match self.state {
                BodyState::Done => return BodyProgress::Complete,
                BodyState::Length(remaining) => {
                    if remaining > self.limit {
                        return BodyProgress::Invalid(BodyError::TooLarge);
                    }
                    if self.room() < remaining {
                        return BodyProgress::NeedsRoom;
                    }
                    // Growing the buffer step by step would leave the steps in the heap.
                    if self.body.capacity() == 0 && !read_buf.is_empty() {
                        self.body.reserve(usize::try_from(remaining).unwrap_or(0));
                    }
                    let remaining = remaining - self.consume(read_buf, remaining);
                    if remaining > 0 {
                        self.state = BodyState::Length(remaining);
                        return BodyProgress::Partial;
                    }
                    self.state = BodyState::Done;
                }
                BodyState::UntilClose => {
                    if (self.body.len() + read_buf.len()) as u64 > self.limit {
                        return BodyProgress::Invalid(BodyError::TooLarge);
                    }
                    self.consume(read_buf, u64::MAX);
                    return BodyProgress::Partial;
                }
                BodyState::ChunkData(0) => self.state = BodyState::ChunkEnd,
                BodyState::ChunkData(remaining) => {
                    if self.body.len() as u64 + remaining > self.limit {
                        return BodyProgress::Invalid(BodyError::TooLarge);
                    }
                    if self.room() == 0 && !read_buf.is_empty() {
                        return BodyProgress::NeedsRoom;
                    }
                    let room = self.room();
                    let remaining = remaining - self.consume(read_buf, remaining.min(room));
                    self.state = BodyState::ChunkData(remaining);
                    if remaining > 0 && !read_buf.is_empty() {
                        return BodyProgress::NeedsRoom;
                    }
                    if remaining > 0 {
                        return BodyProgress::Partial;
                    }
                }
                BodyState::ChunkSize | BodyState::ChunkEnd | BodyState::Trailer => {
                    let end = match find_line_end(read_buf) {
                        Ok(Some(end)) => end,
                        Ok(None) => return BodyProgress::Partial,
                        Err(error) => return BodyProgress::Invalid(error),
                    };
                    if let Err(error) = self.process_line(&read_buf[..end]) {
                        return BodyProgress::Invalid(error);
                    }
                    read_buf.advance(end + LINE_BREAK.len());
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
        self.excess_bytes += match self.state {
            BodyState::Trailer => line.len(),
            _ => line.len().saturating_sub(CHUNK_FRAMING_BYTES),
        };
        if self.excess_bytes > MAX_EXCESS_BYTES {
            return Err(BodyError::Malformed);
        }
        self.state = match self.state {
            BodyState::ChunkEnd if line.is_empty() => BodyState::ChunkSize,
            BodyState::ChunkEnd => return Err(BodyError::Malformed),
            BodyState::Trailer if line.is_empty() => BodyState::Done,
            BodyState::ChunkSize => match parse_chunk_size(line)? {
                0 => BodyState::Trailer,
                size => BodyState::ChunkData(size),
            },
            state => state,
        };
        Ok(())
    }
}

/// Returns the length of the first line of `bytes`, without its line break.
fn find_line_end(bytes: &[u8]) -> Result<Option<usize>, BodyError> {
    let mut searched = 0;
    while let Some(offset) = bytes[searched..].iter().position(|byte| *byte == b'\n') {
        let line = &bytes[..searched + offset + 1];
        if line.ends_with(LINE_BREAK) {
            return Ok(Some(line.len() - LINE_BREAK.len()));
        }
        searched = line.len();
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
