//! Upstreams that can take one attempt, collected without allocation.

use rand::Rng;
use rand::rngs::SmallRng;

use super::choice::SpillBasis;
use super::subset::SUBSET_SIZE;

/// Indexes of the upstreams that are candidates for a random choice.
#[derive(Clone, Copy, Default)]
pub(super) struct CandidateSet {
    pub(super) indexes: [u8; SUBSET_SIZE],
    pub(super) len: usize,
}

impl CandidateSet {
    pub(super) fn push(&mut self, index: usize) {
        self.indexes[self.len] = index as u8;
        self.len += 1;
    }

    pub(super) fn extend(&mut self, other: &CandidateSet) {
        for index in &other.indexes[..other.len] {
            self.push(usize::from(*index));
        }
    }
}

/// What the upstreams of one tier can do for a call.
#[derive(Default)]
pub(super) struct TierScan {
    /// Upstreams that can take the call.
    pub(super) usable: CandidateSet,
    /// Those of them that are expected to start it at once.
    pub(super) with_room: CandidateSet,
    /// Number of upstreams that take new work.
    pub(super) serving: usize,
    /// Number of those that are ejected or silent.
    pub(super) ejected: usize,
}

impl TierScan {
    pub(super) fn is_failing(&self) -> bool {
        self.ejected * 2 > self.serving
    }

    /// Returns the upstreams among which the call is placed.
    pub(super) fn candidates(&self) -> &CandidateSet {
        match self.with_room.len {
            0 => &self.usable,
            _ => &self.with_room,
        }
    }
}

/// An upstream that may be chosen, and why it is not in the nearest tier.
#[derive(Clone, Copy)]
pub(super) struct Candidate {
    pub(super) index: usize,
    pub(super) spill: Option<SpillBasis>,
}

/// Draws a random index with a probability proportional to its weight.
pub(super) fn draw_index(rng: &mut SmallRng, weights: &[f32], total: f32) -> Option<usize> {
    let mut left = rng.random::<f32>() * total;
    let mut last = None;
    for (index, weight) in weights.iter().enumerate() {
        if *weight > 0.0 {
            last = Some(index);
            left -= weight;
            if left < 0.0 {
                break;
            }
        }
    }
    last
}
