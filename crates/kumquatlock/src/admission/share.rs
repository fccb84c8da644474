//! Fair shares of client accounts in an upstream's slots and queue.

use indexmap::IndexMap;

use super::lanes::AccountHash;

/// Whether an account holds its share of the places or more. `held` names the account of each place
/// in use, and the accounts that hold any have equal shares.
///
/// The shares are those of the moment: what an account has used before does not count against it,
/// and a place that others don't ask for may be used by anyone.
pub(super) fn holds_share(
    account: AccountHash,
    held: impl Iterator<Item = AccountHash>,
    places: usize,
) -> bool {
    let mut counts = IndexMap::from([(account, 0)]);
    for account in held {
        *counts.entry(account).or_insert(0) += 1;
    }
    let share = (places / counts.len()).max(1);
    counts[&account] >= share
}
