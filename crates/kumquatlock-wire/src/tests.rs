//! Tests of the framing.

use bytes::BytesMut;
use prost::Message;
use tokio_util::codec::{Decoder, Encoder};

use crate::agreement::{Forward, PeerMessage};
use crate::distribution::{Applied, CatalogChange, CatalogCommand, Ping};
use crate::{Body, EncodedFrame, Envelope, EnvelopeCodec, FrameError, MessageKind};

fn encode(envelopes: &[Envelope]) -> BytesMut {
    let mut codec = EnvelopeCodec::default();
    let mut buffer = BytesMut::new();
    for envelope in envelopes {
        codec.encode(envelope, &mut buffer).unwrap();
    }
    buffer
}

/// Guards against frames that are lost or merged when the bytes arrive one at a time.
#[test]
fn frames_are_decoded_from_single_bytes() {
    let sent: Vec<Envelope> = (0..3)
        .map(|version| Body::Applied(Applied { version }).into())
        .collect();
    let mut codec = EnvelopeCodec::default();
    let mut buffer = BytesMut::new();
    let mut received = Vec::new();
    for byte in encode(&sent) {
        buffer.extend_from_slice(&[byte]);
        while let Some(envelope) = codec.decode(&mut buffer).unwrap() {
            received.push(envelope);
        }
    }
    assert_eq!(received, sent);
}

/// Guards against an [`EncodedFrame`] that differs from what the codec writes or that is counted
/// under a different kind.
#[test]
fn an_encoded_frame_equals_the_output_of_the_codec() {
    let body = Body::Applied(Applied { version: 300 });
    let frame = EncodedFrame::new(body.clone()).unwrap();
    assert_eq!(frame.bytes()[..], encode(&[body.into()])[..]);
    assert_eq!(frame.kind(), MessageKind::Progress);
}

/// Guards against decoding invalid input as a message, and against reserving memory for the length
/// that an oversized frame announces.
#[test]
fn invalid_frames_are_rejected_with_typed_errors() {
    let mut oversized = BytesMut::from(&[0xff, 0xff, 0xff, 0xff][..]);
    assert!(matches!(
        EnvelopeCodec::default().decode(&mut oversized),
        Err(FrameError::TooLarge)
    ));

    let mut malformed = BytesMut::from(&[0, 0, 0, 2, 0x0a, 0x7f][..]);
    assert!(matches!(
        EnvelopeCodec::default().decode(&mut malformed),
        Err(FrameError::Malformed(_))
    ));

    let mut unknown = BytesMut::from(&[0, 0, 0, 0][..]);
    assert!(matches!(
        EnvelopeCodec::default().decode(&mut unknown),
        Err(FrameError::UnknownMessage)
    ));
}

/// Guards against decoding a truncated frame as a message.
#[test]
fn a_truncated_frame_is_not_a_message() {
    let whole = encode(&[Body::Ping(Ping {
        number: 1 << 40,
        prove: false,
    })
    .into()]);
    for len in 0..whole.len() {
        let mut part = BytesMut::from(&whole[..len]);
        assert!(
            EnvelopeCodec::default()
                .decode(&mut part)
                .unwrap()
                .is_none()
        );
    }
}

/// Decodes a message that consists of one field, for each tag and each wire type, with several
/// payloads. Any result but a panic is right.
fn decode_single_fields<M: Message + Default>() {
    let payloads: [&[u8]; 4] = [&[], &[0], &[2, 8, 1], &[0xff; 12]];
    for tag in 1..=64u64 {
        for wire_type in 0..8 {
            for payload in payloads {
                let mut bytes = BytesMut::new();
                prost::encoding::encode_varint(tag << 3 | wire_type, &mut bytes);
                bytes.extend_from_slice(payload);
                let _ = M::decode(bytes);
            }
        }
    }
}

/// Guards against a message that lists a tag which none of its variants has: a peer that sends a
/// field with that tag ends the process.
#[test]
fn no_tag_of_any_message_ends_the_process() {
    decode_single_fields::<Envelope>();
    decode_single_fields::<PeerMessage>();
    decode_single_fields::<Forward>();
    decode_single_fields::<CatalogCommand>();
    decode_single_fields::<CatalogChange>();
}
