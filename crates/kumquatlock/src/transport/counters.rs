//! Counts of bytes and messages at the framing layer.

use std::sync::atomic::{AtomicU64, Ordering};

use kumquatlock_wire::MessageKind;

const KINDS: usize = MessageKind::ALL.len();
const SCOPES: usize = 2;

/// Whether a link stays within the region. Links between regions are paid by volume.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum LinkScope {
    /// Both ends are in one region, or the region of the other end is not known yet.
    Region,
    /// The ends are in different regions.
    CrossRegion,
}

/// Direction of traffic as seen by this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::IntoStaticStr, strum::EnumIter)]
#[strum(serialize_all = "lowercase")]
pub enum TrafficDirection {
    /// Bytes that were queued for writing.
    Sent,
    /// Bytes of whole frames that were read.
    Received,
}

/// Byte and message counters by direction, scope and kind. Shared with the metrics endpoint.
#[derive(Debug, Default)]
pub struct TrafficCounters {
    bytes: [[[AtomicU64; KINDS]; SCOPES]; 2],
    messages: [[[AtomicU64; KINDS]; SCOPES]; 2],
}

impl TrafficCounters {
    /// Adds one frame.
    pub fn record(
        &self,
        direction: TrafficDirection,
        scope: LinkScope,
        kind: MessageKind,
        bytes: usize,
    ) {
        let cell = |table: &[[[AtomicU64; KINDS]; SCOPES]; 2], amount: u64| {
            table[direction as usize][scope as usize][kind.index()]
                .fetch_add(amount, Ordering::Relaxed);
        };
        cell(&self.bytes, bytes as u64);
        cell(&self.messages, 1);
    }

    /// Bytes of one kind.
    pub fn bytes(&self, direction: TrafficDirection, scope: LinkScope, kind: MessageKind) -> u64 {
        self.bytes[direction as usize][scope as usize][kind.index()].load(Ordering::Relaxed)
    }

    /// Messages of one kind.
    pub fn messages(
        &self,
        direction: TrafficDirection,
        scope: LinkScope,
        kind: MessageKind,
    ) -> u64 {
        self.messages[direction as usize][scope as usize][kind.index()].load(Ordering::Relaxed)
    }

    /// Bytes of every kind that counts as control traffic, in both scopes.
    pub fn control_bytes(&self, direction: TrafficDirection) -> u64 {
        MessageKind::ALL
            .into_iter()
            .filter(|kind| kind.is_control())
            .map(|kind| {
                self.bytes(direction, LinkScope::Region, kind)
                    + self.bytes(direction, LinkScope::CrossRegion, kind)
            })
            .sum()
    }
}
