//! Tests of a view change at one holder, without other holders behind it.

use std::time::Duration;

use kumquatlock_wire::claim::{ShardChunk, ShardHolder, ShardId, ShardView};

use crate::claim::joining::{JoinContext, JoinDecision, JoiningView, ViewReport};
use crate::core::Timestamp;

/// Time for which the claims of lost holders are retained in these tests.
const RETENTION: Duration = Duration::from_secs(17);

/// Interval at which the holder reconsiders its join, longer than a round trip.
const TICK: Duration = Duration::from_millis(100);

fn holder(name: &str) -> ShardHolder {
    ShardHolder {
        name: name.into(),
        incarnation: 1,
    }
}

fn view(number: u64, names: [&str; 3]) -> ShardView {
    ShardView {
        view: number,
        holders: names.map(holder).to_vec(),
        config_version: number,
    }
}

/// The only chunk of an answer of `from`, which has no records.
fn chunk(request_id: u64, from: &ShardHolder) -> ShardChunk {
    ShardChunk {
        request_id,
        shard: ShardId::default(),
        active: None,
        refused: false,
        offset: 0,
        total: 0,
        records: Vec::new(),
        holder: from.clone(),
        promised: Vec::new(),
        generation: 0,
        skipped: 0,
    }
}

/// Plays the join of a holder `new` after two of the earlier view's holders were lost one after the
/// other, so that `other` has promised a view between the two. Holders
/// are asked one at a time, and one tick passes before each answer. `is_listed` says which lost holders are still listed at
/// a time since the start. Returns when the holder became active.
fn join_after_two_losses(is_listed: impl Fn(&ShardHolder, Duration) -> bool) -> Option<Duration> {
    let start = Timestamp::from_millis(1_000);
    let earlier = view(1, ["left", "lost-1", "lost-2"]);
    let between = view(2, ["left", "other", "lost-2"]);
    let own = holder("new");
    let mut joining = JoiningView::new(view(3, ["left", "new", "other"]), 7, start);
    let mut elapsed = Duration::ZERO;
    let mut asked: Option<ShardHolder> = None;
    while elapsed < RETENTION * 3 {
        let now = start + elapsed;
        let listed = |holder: &ShardHolder| is_listed(holder, elapsed);
        let context = JoinContext {
            own: &own,
            bootstrap: None,
            is_listed: &listed,
            lost_view_timeout: RETENTION,
        };
        let missing = match joining.decide(&ViewReport::default(), &context, now) {
            JoinDecision::Activate(_) => return Some(elapsed),
            JoinDecision::Fetch(missing) => missing,
        };
        if let Some(from) = asked.take() {
            let mut answer = chunk(7, &from);
            match from.name.as_str() {
                "left" => answer.active = Some(earlier.clone()),
                _ => answer.promised = vec![between.clone()],
            }
            joining.accept(&answer, 8);
        }
        let due = missing
            .into_iter()
            .find(|target| joining.next_fetch(target, now, TICK * 2).is_some());
        asked = due.filter(|target| !is_lost(target));
        elapsed += TICK;
    }
    None
}

fn is_lost(holder: &ShardHolder) -> bool {
    holder.name.starts_with("lost")
}

/// Guards against a join that never completes because each repeated question to a remaining holder
/// restarts the wait for the lost ones.
#[test]
fn asking_a_holder_again_does_not_restart_the_retention() {
    let activated = join_after_two_losses(|holder, _| !is_lost(holder)).unwrap();
    assert!(activated >= RETENTION, "active after {activated:?}");
    assert!(
        activated <= RETENTION + TICK * 4,
        "active after {activated:?}"
    );
}

/// Guards against claims that are ignored too early: the retention starts when the last of the lost
/// holders, which never answered, leaves the list.
#[test]
fn the_retention_starts_when_the_lost_holders_leave_the_list() {
    let unlisted_at = Duration::from_secs(9);
    let activated = join_after_two_losses(|holder, elapsed| {
        !is_lost(holder) || (holder.name == "lost-2" && elapsed < unlisted_at)
    })
    .unwrap();
    assert!(
        activated >= unlisted_at + RETENTION - TICK,
        "active after {activated:?}"
    );
    assert!(
        activated <= unlisted_at + RETENTION + TICK * 4,
        "active after {activated:?}"
    );
}
