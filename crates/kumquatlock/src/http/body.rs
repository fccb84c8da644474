//! Bodies, as they arrive.

use bytes::{Buf, Bytes, BytesMut};

use super::head::BodyFraming;

/// Longest line of a chunk size or trailer, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 4 * 1024;

/// Why a body cannot be read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyFault {
    TooLarge,
    Malformed,
}

/// What follows from the bytes that have arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyStep {
    /// More bytes are needed, or the end of the connection.
    More,
    Done,
    Invalid(BodyFault),
}

#[derive(Clone, Copy, Debug)]
enum BodyState {
    /// Bytes that are left.
    Length(u64),
    ChunkSize,
    /// Bytes that are left of the chunk.
    ChunkData(u64),
    ChunkEnd,
    Trailer,
    UntilClose,
    Done,
}

/// Collects one body.
#[derive(Debug)]
pub(super) struct BodyReader {
    state: BodyState,
    /// At most `limit` bytes.
    body: BytesMut,
    limit: u64,
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
        }
    }

    /// Takes bytes of the body from the front of `inbox`.
    pub(super) fn feed(&mut self, inbox: &mut BytesMut) -> BodyStep {
        loop {
            match self.state {
                BodyState::Done => return BodyStep::Done,
                BodyState::Length(left) => {
                    if left > self.limit {
                        return BodyStep::Invalid(BodyFault::TooLarge);
                    }
                    let left = left - self.take(inbox, left);
                    if left > 0 {
                        self.state = BodyState::Length(left);
                        return BodyStep::More;
                    }
                    self.state = BodyState::Done;
                }
                BodyState::UntilClose => {
                    if (self.body.len() + inbox.len()) as u64 > self.limit {
                        return BodyStep::Invalid(BodyFault::TooLarge);
                    }
                    self.take(inbox, u64::MAX);
                    return BodyStep::More;
                }
                BodyState::ChunkData(0) => self.state = BodyState::ChunkEnd,
                BodyState::ChunkData(left) => {
                    if self.body.len() as u64 + left > self.limit {
                        return BodyStep::Invalid(BodyFault::TooLarge);
                    }
                    let left = left - self.take(inbox, left);
                    self.state = BodyState::ChunkData(left);
                    if left > 0 {
                        return BodyStep::More;
                    }
                }
                BodyState::ChunkSize | BodyState::ChunkEnd | BodyState::Trailer => {
                    match take_line(inbox) {
                        Ok(Some(line)) => {
                            if let Err(fault) = self.read_line(&line) {
                                return BodyStep::Invalid(fault);
                            }
                        }
                        Ok(None) => return BodyStep::More,
                        Err(fault) => return BodyStep::Invalid(fault),
                    }
                }
            }
        }
    }

    /// Whether a body that ends with its connection may be whole when the connection ends.
    pub(super) fn ends_with_connection(&self) -> bool {
        matches!(self.state, BodyState::UntilClose)
    }

    pub(super) fn into_body(self) -> Bytes {
        self.body.freeze()
    }

    fn take(&mut self, inbox: &mut BytesMut, most: u64) -> u64 {
        let count = inbox.len().min(usize::try_from(most).unwrap_or(usize::MAX));
        self.body.extend_from_slice(&inbox[..count]);
        inbox.advance(count);
        count as u64
    }

    fn read_line(&mut self, line: &[u8]) -> Result<(), BodyFault> {
        self.state = match self.state {
            BodyState::ChunkEnd if line.is_empty() => BodyState::ChunkSize,
            BodyState::ChunkEnd => return Err(BodyFault::Malformed),
            BodyState::Trailer if line.is_empty() => BodyState::Done,
            BodyState::ChunkSize => match chunk_size(line)? {
                0 => BodyState::Trailer,
                size => BodyState::ChunkData(size),
            },
            state => state,
        };
        Ok(())
    }
}

/// Takes a whole line without its end.
fn take_line(inbox: &mut BytesMut) -> Result<Option<BytesMut>, BodyFault> {
    let end = inbox.windows(2).position(|pair| pair == b"\r\n");
    match end {
        Some(end) => {
            let mut line = inbox.split_to(end + 2);
            line.truncate(end);
            Ok(Some(line))
        }
        None if inbox.len() > MAX_CHUNK_LINE_BYTES => Err(BodyFault::Malformed),
        None => Ok(None),
    }
}

fn chunk_size(line: &[u8]) -> Result<u64, BodyFault> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let text = std::str::from_utf8(digits).map_err(|_| BodyFault::Malformed)?;
    let text = text.trim();
    let is_hex = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    let size = u64::from_str_radix(text, 16).ok().filter(|_| is_hex);
    size.ok_or(BodyFault::Malformed)
}
