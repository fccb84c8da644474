//! Counters of bytes and messages at the framing layer.

use std::sync::atomic::{AtomicU64, Ordering};

use kumquatlock_wire::MessageKind;

const KINDS: usize = MessageKind::ALL.len();
const SCOPES: usize = 2;

/// Whether a link crosses regions. Traffic between regions is billed by volume.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum LinkScope {
    /// Both ends are in the same region, or the region of the other end is not known yet.
    Region,
    /// The ends are in different regions.
    CrossRegion,
}

/// Direction of traffic as seen by this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::IntoStaticStr, strum::EnumIter)]
#[strum(serialize_all = "lowercase")]
pub enum TrafficDirection {
    /// Traffic that was queued for writing.
    Sent,
    /// Traffic that was read, counted by complete frames.
    Received,
}

/// Counters of bytes and messages by direction, scope and kind. Shared with the metrics endpoint.
#[derive(Debug, Default)]
pub struct TrafficCounters {
    bytes: [[[AtomicU64; KINDS]; SCOPES]; 2],
    messages: [[[AtomicU64; KINDS]; SCOPES]; 2],
}

impl TrafficCounters {
    /// Counts one frame of `bytes` bytes.
    pub fn record(
        &self,
        direction: TrafficDirection,
        scope: LinkScope,
        kind: MessageKind,
        bytes: usize,
    ) {
        let add = |table: &[[[AtomicU64; KINDS]; SCOPES]; 2], amount: u64| {
            table[direction as usize][scope as usize][kind.index()]
                .fetch_add(amount, Ordering::Relaxed);
        };
        add(&self.bytes, bytes as u64);
        add(&self.messages, 1);
    }

    /// Returns the number of bytes of one kind.
    pub fn bytes(&self, direction: TrafficDirection, scope: LinkScope, kind: MessageKind) -> u64 {
        self.bytes[direction as usize][scope as usize][kind.index()].load(Ordering::Relaxed)
    }

    /// Returns the number of messages of one kind.
    pub fn messages(
        &self,
        direction: TrafficDirection,
        scope: LinkScope,
        kind: MessageKind,
    ) -> u64 {
        self.messages[direction as usize][scope as usize][kind.index()].load(Ordering::Relaxed)
    }

    /// Returns the number of bytes of control traffic, in both scopes.
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
