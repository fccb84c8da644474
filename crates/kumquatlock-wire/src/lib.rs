//! Messages between kumquatlock processes and their framing.
//!
//! Every connection between two processes carries length-delimited frames, and every frame holds
//! one [`Envelope`]. The messages are grouped by the duty that owns them: [`agreement`] between
//! voters, [`distribution`] between a parent and its children, [`call`] and [`claim`] between
//! nodes. The structs carry handwritten `prost` derives, so the build needs no generator.
//! Field numbers are part of the protocol and are never reused.

pub mod agreement;
pub mod call;
pub mod claim;
pub mod codec;
pub mod distribution;
mod envelope;

pub use codec::{EncodedFrame, EnvelopeCodec, FrameError, MAX_FRAME_BYTES};
pub use envelope::{Envelope, MessageKind, body::Body};

#[cfg(test)]
mod tests;
