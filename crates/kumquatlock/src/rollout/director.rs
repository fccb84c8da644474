//! The leader's decisions on running rollouts.

use std::time::Duration;

use indexmap::IndexMap;
use kumquatlock_wire::rollout::{RolloutAdvance, RolloutEvidence, RolloutItem, RolloutPhase};

use super::judge::{FaultKind, JudgeVerdict, RolloutJudge, TestSummary};
use crate::core::{SharedName, Timestamp};

/// Interval at which the time since an order is recorded in the log, for the next leader.
const RECORD_INTERVAL: Duration = Duration::from_secs(1);
/// Time before the deadline at which all requests move to the new version, as a share of the
/// duration, and its limits. All nodes have to learn of it, and what runs has to finish.
const PROMOTION_SHARE: u32 = 4;
const MIN_PROMOTION: Duration = Duration::from_millis(3_500);
const MAX_PROMOTION: Duration = Duration::from_secs(60);
/// Time for which the earlier version may finish what it runs before a rollout is completed, because
/// its upstreams may then be stopped at once.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// The same for a leader that took over shortly before the deadline.
const MIN_SETTLE_TIME: Duration = Duration::from_millis(800);
/// Time before the deadline at which a rollout is completed although nodes haven't confirmed the
/// configuration. A node that is cut off must not keep a good version from completing.
const COMPLETION_MARGIN: Duration = Duration::from_millis(700);
/// Time for which a leader watches a version before it promotes it, also when it took over late.
const MIN_WATCH: Duration = Duration::from_millis(1_500);
/// Share of the slots of the version in force that the new one needs before it is promoted.
const MIN_SLOTS_SHARE: f64 = 0.5;
/// Longest time that a new leader adds to the recorded time by the wall clock, which may jump.
const MAX_OUTAGE: Duration = Duration::from_secs(10);
/// Time after a roll-back for which the same order counts as a repetition of the first one.
const REPETITION_TIME: Duration = Duration::from_secs(30);

/// What the leader knows besides the evidence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DirectorInput {
    /// Slots of the serving upstreams of the version in force.
    pub slots_in_force: u64,
    /// Slots of the serving upstreams of the target version.
    pub target_slots: u64,
    /// Whether all nodes that are attached have applied the latest phase.
    pub is_applied: bool,
    /// Wall clock, in milliseconds since 1970.
    pub wall_ms: u64,
}

/// A step of a rollout with the inputs that decided it.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutDecision {
    /// The change to propose.
    pub advance: RolloutAdvance,
    /// Why a version is rolled back; `None` if it isn't, or has no upstreams.
    pub verdict: Option<JudgeVerdict>,
    /// Answers of the version on trial that were seen.
    pub answers: u64,
    /// What the test for failures sees.
    pub failing: TestSummary,
    /// What the test for slow answers sees.
    pub slow: TestSummary,
}

/// One running rollout, as the leader follows it.
#[derive(Clone, Debug)]
struct WatchedRollout {
    order: u64,
    judge: RolloutJudge,
    watched_since: Timestamp,
    /// Time since the order when this leader began to watch.
    elapsed_before: Duration,
    recorded_at: Timestamp,
    /// Phase that was proposed, and when. Repeated in case the proposal is lost.
    proposed: Option<(RolloutPhase, Timestamp)>,
    promoting_since: Option<Timestamp>,
}

/// Follows the running rollouts. Only the leader has one; a new leader starts without evidence, and
/// nodes report their counts from the start of the rollout.
#[derive(Clone, Debug, Default)]
pub struct RolloutDirector {
    /// By service; only running rollouts.
    watched: IndexMap<String, WatchedRollout>,
    /// When the rollouts that have ended under this leader did so, by service.
    ended: IndexMap<String, (u64, Timestamp)>,
}

/// Interval after which a proposal is repeated.
const PROPOSAL_INTERVAL: Duration = Duration::from_millis(500);

impl RolloutDirector {
    /// Takes in a report of a node.
    pub fn observe(&mut self, now: Timestamp, report: &RolloutEvidence) {
        if let Some(watched) = self.watched.get_mut(&report.service)
            && watched.order == report.order
        {
            watched.judge.observe(now, report);
        }
    }

    /// Returns the rolled-back rollout after which an equal order is a new one and no repetition.
    pub fn repeats_after(&self, now: Timestamp, item: Option<&RolloutItem>) -> u64 {
        let Some(item) = item.filter(|item| item.phase() == RolloutPhase::RolledBack) else {
            return 0;
        };
        let ended = self.ended.get(&item.service);
        let ended = ended.filter(|(order, _)| *order == item.order);
        let is_old = ended.is_some_and(|(_, at)| now.since(*at) >= REPETITION_TIME);
        if is_old { item.order } else { 0 }
    }

    /// Forgets rollouts that are not running any more. The ones that this leader finds ended count
    /// as ended now.
    pub fn follow<'a>(&mut self, now: Timestamp, items: impl Iterator<Item = &'a RolloutItem>) {
        let mut running: IndexMap<&str, u64> = IndexMap::new();
        for item in items {
            if super::table::is_running(item) {
                running.insert(&item.service, item.order);
            } else if item.phase() == RolloutPhase::RolledBack {
                let ended = self.ended.entry(item.service.clone());
                let ended = ended.or_insert((item.order, now));
                if ended.0 != item.order {
                    *ended = (item.order, now);
                }
            }
        }
        let is_running = |service: &str, order| running.get(service) == Some(&order);
        self.watched
            .retain(|service, watched| is_running(service, watched.order));
    }

    /// Decides on the next step of a running rollout.
    pub fn step(
        &mut self,
        now: Timestamp,
        item: &RolloutItem,
        input: DirectorInput,
    ) -> Option<RolloutDecision> {
        let watched = self.watched.entry(item.service.clone());
        let watched = watched.or_insert_with(|| WatchedRollout::new(now, item, input.wall_ms));
        let elapsed = watched.elapsed(now);
        let phase = item.phase();
        if phase == RolloutPhase::Promoting && watched.promoting_since.is_none() {
            watched.promoting_since = Some(now);
        }
        let verdict = watched.judge.verdict(now);
        let next = watched.next_phase(now, item, input, verdict.is_some());
        let is_repeated =
            |(to, at): (RolloutPhase, Timestamp)| to == next && now.since(at) < PROPOSAL_INTERVAL;
        let is_record_due = now.since(watched.recorded_at) >= RECORD_INTERVAL;
        if next == phase && !is_record_due
            || next != phase && watched.proposed.is_some_and(is_repeated)
        {
            return None;
        }
        watched.recorded_at = now;
        watched.proposed = Some((next, now));
        Some(RolloutDecision {
            advance: RolloutAdvance {
                service: item.service.clone(),
                order: item.order,
                from: phase as i32,
                to: next as i32,
                elapsed_ms: u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
                recorded_at_ms: input.wall_ms,
            },
            verdict: verdict.filter(|_| next == RolloutPhase::RolledBack),
            answers: watched.judge.trial_answers(),
            failing: watched.judge.summary(FaultKind::Failing),
            slow: watched.judge.summary(FaultKind::Slow),
        })
    }
}

impl WatchedRollout {
    fn new(now: Timestamp, item: &RolloutItem, wall_ms: u64) -> Self {
        let outage = Duration::from_millis(wall_ms.saturating_sub(item.recorded_at_ms));
        let target: SharedName = item.target.as_str().into();
        WatchedRollout {
            order: item.order,
            judge: RolloutJudge::new(target),
            watched_since: now,
            elapsed_before: Duration::from_millis(item.elapsed_ms) + outage.min(MAX_OUTAGE),
            recorded_at: now,
            proposed: None,
            promoting_since: None,
        }
    }

    fn elapsed(&self, now: Timestamp) -> Duration {
        self.elapsed_before + now.since(self.watched_since)
    }

    fn next_phase(
        &self,
        now: Timestamp,
        item: &RolloutItem,
        input: DirectorInput,
        is_worse: bool,
    ) -> RolloutPhase {
        let phase = item.phase();
        let duration = Duration::from_millis(item.duration_ms);
        let left = duration.saturating_sub(self.elapsed(now));
        let needed = input.slots_in_force as f64 * MIN_SLOTS_SHARE;
        let has_room = input.target_slots > 0 && input.target_slots as f64 >= needed;
        let promotion = (duration / PROMOTION_SHARE).clamp(MIN_PROMOTION, MAX_PROMOTION);
        let promotion = promotion.min(duration / 2);
        let is_watched = now.since(self.watched_since) >= MIN_WATCH.min(duration / 4);
        match phase {
            _ if is_worse => RolloutPhase::RolledBack,
            RolloutPhase::Canary if left <= promotion && has_room && is_watched => {
                RolloutPhase::Promoting
            }
            RolloutPhase::Canary if left.is_zero() && is_watched => RolloutPhase::RolledBack,
            RolloutPhase::Promoting => {
                let since = self.promoting_since.map(|since| now.since(since));
                let has_settled = |time: Duration| since.is_some_and(|since| since >= time);
                let is_last_moment = left <= COMPLETION_MARGIN;
                match has_settled(SETTLE_TIME) && input.is_applied
                    || is_last_moment && has_settled(MIN_SETTLE_TIME)
                {
                    true => RolloutPhase::Completed,
                    false => phase,
                }
            }
            _ => phase,
        }
    }
}
