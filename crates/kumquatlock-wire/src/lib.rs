//! Messages between kumquatlock processes, and their framing.
//!
//! Every connection between two processes carries length-delimited frames, and every frame holds
//! one [`Envelope`]. The messages are grouped by the component that uses them: [`agreement`]
//! between voters, [`distribution`] between a parent and its children, and [`call`] and [`claim`]
//! between nodes, and [`quarantine`] and [`quota`] from nodes to the leader and back. The structs derive `prost::Message` with handwritten attributes, so the build
//! needs no code generator. Field numbers are part of the protocol and are never reused.

mod account;
pub mod agreement;
pub mod call;
pub mod claim;
pub mod codec;
pub mod distribution;
mod envelope;
mod history;
pub mod quarantine;
pub mod quota;
pub mod rollout;
mod run_end;

pub use codec::{
    EncodedFrame, EnvelopeCodec, FrameError, MAX_CONTROL_FRAME_BYTES, MAX_FRAME_BYTES,
    MAX_NODE_FRAME_BYTES,
};
pub use envelope::{Envelope, MessageKind, body::Body};

#[cfg(test)]
mod tests;
