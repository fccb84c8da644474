//! State of one shard at one holder.

use indexmap::IndexMap;

use super::joining::{JoiningView, ViewReport};
use super::record::KeyRecord;
use crate::core::{Timestamp, stable_hash};

/// Buckets of the records of a shard; the bits of a `u64` name them. A holder that joins tells the
/// digest of each, and only the records of buckets that differ are sent to it.
const BUCKETS: u64 = 64;

/// Records from which on the digests, 512 bytes, are worth their bytes.
const MIN_DIGESTED_RECORDS: usize = 16;

/// One shard at one holder.
#[derive(Debug, Default)]
pub(super) struct ShardState {
    /// Id of the view that the configuration names; zero if it does not name this node.
    pub(super) current: u64,
    pub(super) report: ViewReport,
    /// Set while the holder is not active in `current`. No claim is granted meanwhile: the holder
    /// counts as fenced in its own read of the earlier views.
    pub(super) joining: Option<JoiningView>,
    /// Last proof that the configuration named the view that the holder is active in, once it
    /// names another one.
    pub(super) unnamed_since: Option<Timestamp>,
    pub(super) records: IndexMap<Box<str>, KeyRecord>,
    /// Counts removals of records, which shift the offsets of a transfer.
    pub(super) generation: u64,
}

impl ShardState {
    pub(super) fn grants_in(&self, view: u64) -> bool {
        self.joining.is_none() && self.report.is_unfenced() && self.report.is_active_in(view)
    }

    /// Sets the view that the configuration names, and the last proof of the one before.
    pub(super) fn name_view(&mut self, view: u64, confirmed_at: Option<Timestamp>) {
        self.current = view;
        if self.report.is_active_in(view) {
            self.unnamed_since = None;
        } else {
            self.unnamed_since = self.unnamed_since.or(confirmed_at);
        }
    }

    pub(super) fn epoch(&self) -> u64 {
        let active = self.report.active.as_ref();
        active.map_or(0, |view| view.config_version)
    }
}

/// Bit of the bucket of a key.
pub(super) fn bucket_bit(key: &str) -> u64 {
    1 << bucket_of(key)
}

fn bucket_of(key: &str) -> u64 {
    // The low bits choose the shard.
    (stable_hash(key.as_bytes()) >> 32) % BUCKETS
}

/// Digest of each bucket; empty for a shard with few records.
pub(super) fn bucket_digests(records: &IndexMap<Box<str>, KeyRecord>) -> Vec<u64> {
    if records.len() < MIN_DIGESTED_RECORDS {
        return Vec::new();
    }
    let mut digests = vec![0u64; BUCKETS as usize];
    for (key, record) in records {
        let digest = &mut digests[bucket_of(key) as usize];
        *digest = digest.wrapping_add(record.digest(key));
    }
    digests
}

/// Buckets of which another holder has exactly the same facts.
pub(super) fn equal_buckets(known: &[u64], records: &IndexMap<Box<str>, KeyRecord>) -> u64 {
    if known.len() as u64 != BUCKETS {
        return 0;
    }
    let own = bucket_digests(records);
    let pairs = own.iter().zip(known).enumerate();
    let equal = pairs.filter(|(_, (own, known))| own == known);
    equal.fold(0, |bits, (bucket, _)| bits | 1 << bucket)
}
