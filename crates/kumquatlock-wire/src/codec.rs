//! Length-delimited framing of envelopes.

use bytes::{BufMut, Bytes, BytesMut};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::{Body, Envelope, MessageKind};

/// Maximum size of a frame on a link between a node and a control instance, in bytes. A delta is at
/// most 1.5 MiB and a snapshot chunk 256 KiB.
pub const MAX_FRAME_BYTES: usize = 2 * 1024 * 1024;

/// Maximum size of a frame on a link of a node, in bytes. A call body is at most 16 MiB; the
/// remainder leaves room for headers.
pub const MAX_NODE_FRAME_BYTES: usize = 18 * 1024 * 1024;

/// Maximum size of a frame on a link between control instances, in bytes. Room for the largest log
/// entry, which holds a manifest of 8 MiB and the names of the items that it removes.
pub const MAX_CONTROL_FRAME_BYTES: usize = 12 * 1024 * 1024;

/// Size of the length prefix of each frame, in bytes.
pub const FRAME_HEADER_BYTES: usize = 4;

/// Why a frame could not be read or written. The connection is closed after any of these errors,
/// because the position of the next frame in the byte stream is unknown.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The length prefix or the message to send exceeds the maximum size of the link.
    #[error("frame exceeds the maximum size of the link")]
    TooLarge,
    /// The payload is not a valid envelope.
    #[error("frame payload is not a valid message: {0}")]
    Malformed(#[from] prost::DecodeError),
    /// The envelope holds no message that this version of the protocol knows.
    #[error("frame holds no known message")]
    UnknownMessage,
    /// The codec reported an I/O error.
    #[error("frame could not be encoded or decoded: {0}")]
    Io(#[from] std::io::Error),
}

/// Encodes and decodes one [`Envelope`] per frame.
#[derive(Debug)]
pub struct EnvelopeCodec {
    frames: LengthDelimitedCodec,
    max_frame_bytes: usize,
}

impl Default for EnvelopeCodec {
    fn default() -> Self {
        EnvelopeCodec::with_limit(MAX_FRAME_BYTES)
    }
}

impl EnvelopeCodec {
    /// Returns a codec for frames of at most `max_frame_bytes`.
    pub fn with_limit(max_frame_bytes: usize) -> Self {
        let frames = LengthDelimitedCodec::builder()
            .length_field_length(FRAME_HEADER_BYTES)
            .max_frame_length(max_frame_bytes)
            .new_codec();
        EnvelopeCodec {
            frames,
            max_frame_bytes,
        }
    }
}

impl Decoder for EnvelopeCodec {
    type Item = Envelope;
    type Error = FrameError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Envelope>, FrameError> {
        let frame = self.frames.decode(buffer).map_err(frame_error)?;
        let Some(frame) = frame else {
            return Ok(None);
        };
        let envelope = Envelope::decode(frame.freeze())?;
        if envelope.body.is_none() {
            return Err(FrameError::UnknownMessage);
        }
        Ok(Some(envelope))
    }
}

impl Encoder<&Envelope> for EnvelopeCodec {
    type Error = FrameError;

    fn encode(&mut self, envelope: &Envelope, buffer: &mut BytesMut) -> Result<(), FrameError> {
        // Encoded in place: a second copy of a large body would double its memory.
        let length = envelope.encoded_len();
        let prefix = u32::try_from(length).map_err(|_| FrameError::TooLarge)?;
        if length > self.max_frame_bytes {
            return Err(FrameError::TooLarge);
        }
        buffer.reserve(FRAME_HEADER_BYTES + length);
        buffer.put_u32(prefix);
        envelope.encode_raw(buffer);
        Ok(())
    }
}

/// A message that is encoded once, so that the same bytes can be sent on several connections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedFrame {
    kind: MessageKind,
    /// Length prefix and payload.
    bytes: Bytes,
}

impl EncodedFrame {
    /// Encodes `body` into a frame.
    pub fn new(body: Body) -> Result<Self, FrameError> {
        let kind = body.kind();
        let mut buffer = BytesMut::new();
        EnvelopeCodec::default().encode(&Envelope::from(body), &mut buffer)?;
        let bytes = buffer.freeze();
        Ok(EncodedFrame { kind, bytes })
    }

    /// Decodes the message, for receivers in the same process.
    pub fn decode(&self) -> Result<Body, FrameError> {
        let mut buffer = BytesMut::from(&self.bytes[..]);
        let envelope = EnvelopeCodec::default().decode(&mut buffer)?;
        let body = envelope.and_then(|envelope| envelope.body);
        body.ok_or(FrameError::UnknownMessage)
    }

    /// Returns the kind under which the bytes are counted.
    pub fn kind(&self) -> MessageKind {
        self.kind
    }

    /// Returns the length prefix and payload.
    pub fn bytes(&self) -> &Bytes {
        &self.bytes
    }
}

fn frame_error(error: std::io::Error) -> FrameError {
    match error.kind() {
        std::io::ErrorKind::InvalidData | std::io::ErrorKind::InvalidInput => FrameError::TooLarge,
        _ => FrameError::Io(error),
    }
}
