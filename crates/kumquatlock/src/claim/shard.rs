//! State of one shard at one holder.

use indexmap::IndexMap;

use super::joining::{JoiningView, ViewReport};
use super::record::KeyRecord;
use crate::core::{Timestamp, stable_hash};

/// Number of buckets into which the records of a shard are divided by the hash of their keys, one
/// per bit of a `u64`. A joining holder sends a digest of each bucket and receives only the records
/// of buckets that differ.
const BUCKETS_PER_SHARD: u64 = 64;

/// Minimum number of records for which the digests, 512 bytes, save more than they cost.
const MIN_DIGESTED_RECORDS: usize = 16;

/// One shard at one holder.
#[derive(Debug, Default)]
pub(super) struct ShardState {
    /// Id of the view that the configuration names; zero if it does not name this node.
    pub(super) current_view: u64,
    pub(super) report: ViewReport,
    /// Set while the holder is joining `current_view`. It grants no claims then, because it counts
    /// itself as fenced when it reads the earlier views.
    pub(super) joining: Option<JoiningView>,
    /// Time of the last proof that the configuration named the active view. Set once the
    /// configuration names another view.
    pub(super) superseded_since: Option<Timestamp>,
    pub(super) records: IndexMap<Box<str>, KeyRecord>,
    /// Number of changes that may shift the offsets of a transfer: removals of records, and
    /// activations.
    pub(super) generation: u64,
}

impl ShardState {
    pub(super) fn grants_in(&self, view: u64) -> bool {
        self.joining.is_none() && self.report.is_unfenced() && self.report.is_active_in(view)
    }

    /// Sets the view that the configuration names. If it is not the active view, stores in
    /// `superseded_since` when the configuration was last proved to name the active view.
    pub(super) fn set_current_view(&mut self, view: u64, confirmed_at: Option<Timestamp>) {
        self.current_view = view;
        if self.report.is_active_in(view) {
            self.superseded_since = None;
        } else {
            self.superseded_since = self.superseded_since.or(confirmed_at);
        }
    }

    pub(super) fn epoch(&self) -> u64 {
        let active = self.report.active.as_ref();
        active.map_or(0, |view| view.config_version)
    }
}

/// Returns the bit of the bucket of a key.
pub(super) fn bucket_bit(key: &str) -> u64 {
    1 << bucket_of(key)
}

fn bucket_of(key: &str) -> u64 {
    // The low bits of the hash select the shard, so the bucket uses higher ones.
    (stable_hash(key.as_bytes()) >> 32) % BUCKETS_PER_SHARD
}

/// Returns the digest of each bucket, or nothing for a shard with few records.
pub(super) fn bucket_digests(records: &IndexMap<Box<str>, KeyRecord>) -> Vec<u64> {
    if records.len() < MIN_DIGESTED_RECORDS {
        return Vec::new();
    }
    let mut digests = vec![0u64; BUCKETS_PER_SHARD as usize];
    for (key, record) in records {
        let digest = &mut digests[bucket_of(key) as usize];
        *digest = digest.wrapping_add(record.digest(key));
    }
    digests
}

/// Returns the buckets in which another holder has exactly the same facts, as a bit set.
pub(super) fn equal_buckets(known: &[u64], records: &IndexMap<Box<str>, KeyRecord>) -> u64 {
    if known.len() as u64 != BUCKETS_PER_SHARD {
        return 0;
    }
    let own = bucket_digests(records);
    let pairs = own.iter().zip(known).enumerate();
    let equal = pairs.filter(|(_, (own, known))| own == known);
    equal.fold(0, |bits, (bucket, _)| bits | 1 << bucket)
}
