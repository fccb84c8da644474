//! Arbitrary values for tests with messages that no correct process sends.

use rand::Rng;
use rand::rngs::SmallRng;

/// Returns a number at the edge of its range, or a small one, which may be a real version, index or
/// term.
pub(crate) fn number(random: &mut SmallRng) -> u64 {
    match random.random_range(0..5) {
        0 => u64::MAX - random.random_range(0..2u64),
        1 => 1 << random.random_range(0..64),
        _ => random.random_range(0..8),
    }
}

pub(crate) fn flag(random: &mut SmallRng) -> bool {
    random.random_range(0..2) == 0
}
