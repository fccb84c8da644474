//! The judge on random streams: false verdicts are counted over seeds.

use std::time::Duration;

use kumquatlock_wire::rollout::{EvidenceGroup, RolloutEvidence};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::core::Timestamp;
use crate::rollout::{FaultKind, LATENCY_BUCKETS, RolloutJudge, latency_bucket};

/// Time between two reports.
const REPORT_MS: u64 = 500;
/// Length of a stream.
const STREAM_MS: u64 = 12_000;
/// Streams per case.
const SEEDS: u64 = 200;
/// Largest share of good versions that may be rolled back on a bad day.
const MAX_FALSE_ALARMS: f64 = 0.01;
/// Bad answers from which on a version must be gone in time, and the time for the verdict. Operators
/// are promised that no request is sent to it 5 s after them; the log and the nodes need the rest.
const BAD_ANSWERS: u64 = 50;
const MAX_VERDICT_MS: u64 = 2_000;

/// How the upstreams of one version answer one kind of request.
#[derive(Clone, Copy)]
struct Behaviour {
    /// Answers a second of one upstream.
    rate: f64,
    failure_rate: f64,
    slow_rate: f64,
    slow_factor: f64,
}

const GOOD: Behaviour = Behaviour {
    rate: 12.0,
    failure_rate: 0.01,
    slow_rate: 0.02,
    slow_factor: 4.0,
};

/// A day: the behaviour of the upstream of this number, of the version in force or on trial, for a
/// kind of request, at a time.
type Day = fn(is_trial: bool, upstream: u64, kind: u32, at_ms: u64) -> Behaviour;

#[derive(Default)]
struct StreamResult {
    verdict: Option<FaultKind>,
    bad_answers: u64,
    /// When [`BAD_ANSWERS`] had been given.
    bad_at_ms: Option<u64>,
    ended_at_ms: u64,
}

/// Plays a day with 12 upstreams in force and `trials` on trial; both serve two kinds of request.
fn play(seed: u64, trials: u64, day: Day) -> StreamResult {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut judge = RolloutJudge::new("v2".into());
    let mut reports: Vec<_> = (0..12 + trials)
        .map(|number| RolloutEvidence {
            upstream: format!("u-{number}"),
            run: 1,
            service: "s".into(),
            version: if number < 12 { "v1" } else { "v2" }.into(),
            order: 1,
            groups: vec![group(1), group(2)],
        })
        .collect();
    let mut result = StreamResult::default();
    for at_ms in (REPORT_MS..=STREAM_MS).step_by(REPORT_MS as usize) {
        for (number, report) in (0..).zip(&mut reports) {
            let is_trial = number >= 12;
            let upstream = if is_trial { number - 12 } else { number };
            for group in &mut report.groups {
                let behaviour = day(is_trial, upstream, group.key, at_ms);
                let bad = add_answers(&mut random, group, behaviour);
                result.bad_answers += if is_trial { bad } else { 0 };
            }
            judge.observe(Timestamp(at_ms * 1_000), report);
        }
        result.ended_at_ms = at_ms;
        if result.bad_answers >= BAD_ANSWERS {
            result.bad_at_ms.get_or_insert(at_ms);
        }
        if let Some(verdict) = judge.verdict(Timestamp(at_ms * 1_000)) {
            result.verdict = Some(verdict.fault);
            return result;
        }
    }
    result
}

fn group(key: u32) -> EvidenceGroup {
    EvidenceGroup {
        key,
        latencies: vec![0; LATENCY_BUCKETS],
        ..EvidenceGroup::default()
    }
}

/// Adds the answers of one interval. Returns how many of them are failures or slow.
fn add_answers(random: &mut SmallRng, group: &mut EvidenceGroup, behaviour: Behaviour) -> u64 {
    let expected = behaviour.rate * REPORT_MS as f64 / 1_000.0 / 2.0;
    let count = (0..20)
        .filter(|_| random.random_bool(expected / 20.0))
        .count();
    let mut bad = 0;
    for _ in 0..count {
        let is_failed = random.random_bool(behaviour.failure_rate);
        let is_slow = random.random_bool(behaviour.slow_rate);
        let factor = if is_slow { behaviour.slow_factor } else { 1.0 };
        let millis = 40.0 * random.random_range(0.6..1.6) * factor;
        group.answered += 1;
        group.failed += u64::from(is_failed);
        if !is_failed {
            let bucket = latency_bucket(Duration::from_secs_f64(millis / 1_000.0));
            group.latencies[bucket] += 1;
        }
        bad += u64::from(is_failed || is_slow && behaviour.slow_rate > 0.1);
    }
    bad
}

fn false_alarms(trials: u64, day: Day) -> f64 {
    let alarms = (0..SEEDS).filter(|seed| play(*seed, trials, day).verdict.is_some());
    alarms.count() as f64 / SEEDS as f64
}

/// Asserts that every stream ends with a verdict in time.
fn assert_found(trials: u64, day: Day) {
    for seed in 0..SEEDS {
        let result = play(seed, trials, day);
        assert!(result.verdict.is_some(), "seed {seed}: not found");
        let latest = result.bad_at_ms.map(|at_ms| at_ms + MAX_VERDICT_MS);
        let ended = result.ended_at_ms;
        assert!(
            latest.is_none_or(|latest| ended <= latest),
            "seed {seed}: found at {ended} ms"
        );
    }
}

#[test]
fn a_good_version_passes_on_a_quiet_day() {
    for trials in [1, 3, 6] {
        let alarms = false_alarms(trials, |_, _, _, _| GOOD);
        assert!(alarms <= MAX_FALSE_ALARMS, "{trials} on trial: {alarms}");
    }
}

// What hits both versions must not count against the new one.
#[test]
fn a_good_version_passes_when_both_fail_or_are_slow() {
    let day: Day = |_, _, _, at_ms| match at_ms > 4_000 {
        true => Behaviour {
            failure_rate: 0.3,
            slow_rate: 0.4,
            slow_factor: 6.0,
            ..GOOD
        },
        false => GOOD,
    };
    let alarms = false_alarms(3, day);
    assert!(alarms <= MAX_FALSE_ALARMS, "{alarms}");
}

// A single upstream may be at fault itself: its disk, its host, a grey failure.
#[test]
fn a_good_version_passes_with_one_bad_upstream() {
    let day: Day = |is_trial, upstream, _, _| match is_trial && upstream == 1 {
        true => Behaviour {
            failure_rate: 0.45,
            slow_rate: 0.5,
            slow_factor: 8.0,
            ..GOOD
        },
        false => GOOD,
    };
    let alarms = false_alarms(3, day);
    assert!(alarms <= MAX_FALSE_ALARMS, "{alarms}");
}

#[test]
fn a_failing_version_is_found() {
    for trials in [1, 3, 6] {
        assert_found(trials, |is_trial, _, _, _| match is_trial {
            true => Behaviour {
                failure_rate: 0.5,
                ..GOOD
            },
            false => GOOD,
        });
    }
}

#[test]
fn a_slow_version_is_found() {
    assert_found(3, |is_trial, _, _, _| match is_trial {
        true => Behaviour {
            slow_rate: 0.5,
            slow_factor: 8.0,
            ..GOOD
        },
        false => GOOD,
    });
}

// A judge that averages over the whole rollout would take long to notice.
#[test]
fn a_version_that_fails_late_is_found() {
    assert_found(3, |is_trial, _, _, at_ms| match is_trial && at_ms > 6_000 {
        true => Behaviour {
            failure_rate: 0.5,
            ..GOOD
        },
        false => GOOD,
    });
}

#[test]
fn a_version_that_fails_for_one_kind_of_request_is_found() {
    assert_found(3, |is_trial, _, kind, _| match is_trial && kind == 2 {
        true => Behaviour {
            failure_rate: 0.5,
            ..GOOD
        },
        false => GOOD,
    });
}

#[test]
fn a_failing_version_is_found_while_the_one_in_force_fails_at_times() {
    assert_found(3, |is_trial, _, _, _| Behaviour {
        failure_rate: if is_trial { 0.6 } else { 0.08 },
        ..GOOD
    });
}

// Reports count from the start of a run, so a repeated one must add nothing.
#[test]
fn a_repeated_report_adds_nothing() {
    let mut judge = RolloutJudge::new("v2".into());
    let report = RolloutEvidence {
        upstream: "u".into(),
        run: 1,
        version: "v2".into(),
        groups: vec![EvidenceGroup {
            key: 1,
            answered: 6,
            failed: 2,
            latencies: Vec::new(),
        }],
        ..RolloutEvidence::default()
    };
    for second in 0..50 {
        judge.observe(Timestamp(second * 1_000_000), &report);
    }
    assert_eq!(judge.trial_answers(), 6);
    assert_eq!(judge.verdict(Timestamp(50_000_000)), None);
}

// The upstreams on trial change while further ones start. Those that no longer get requests must not
// outvote the others.
#[test]
fn upstreams_that_get_no_more_requests_have_no_say() {
    assert_found(6, |is_trial, upstream, _, at_ms| {
        let is_idle = is_trial && (upstream < 3) != (at_ms <= 3_000);
        match is_trial && at_ms > 5_000 {
            _ if is_idle => Behaviour { rate: 0.0, ..GOOD },
            true => Behaviour {
                failure_rate: 0.5,
                ..GOOD
            },
            false => GOOD,
        }
    });
}
