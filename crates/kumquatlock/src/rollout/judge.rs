//! Whether a version on trial is worse than the version in force.
//!
//! Both versions serve the same requests over the same time, so what a bad day does to both shows in
//! the version in force, too. For each kind of request, and for all together, a cumulative sum test
//! runs for each upstream on trial: each answer adds the logarithm of how much likelier it is if the
//! version is worse than if it is not, and the sum never falls below zero, so that a fault that
//! begins late is found as fast as one that was always there. A version is worse if the sums of most
//! of its upstreams rise; a single upstream may be at fault itself.
//!
//! Upstreams that were lost, cut off or shed load don't count, because what did not reach an
//! upstream is no evidence.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use kumquatlock_wire::rollout::{EvidenceGroup, RolloutEvidence};

use super::LATENCY_BUCKETS;
use crate::core::{SharedName, Timestamp};

/// Key under which all kinds of request are counted together. Nodes use lower keys.
const ALL_KINDS: u32 = u32::MAX;
/// Maximum number of kinds of request that are judged separately.
const MAX_KINDS: usize = 32;
/// Maximum number of upstreams whose evidence is kept; further ones are not heard.
const MAX_UPSTREAMS: usize = 2_000;
/// Half-lives of the observations of the version in force, in seconds. The higher of both rates
/// counts: the short one shows a fault that has just begun, the long one a fault that comes and goes.
const BASELINE_HALF_LIVES: [f64; 2] = [0.7, 4.0];
/// Age at which answers of a version on trial are compared. By then the other nodes have reported on
/// the same time, so that a fault that begins at both versions shows in both.
const COMPARISON_DELAY: Duration = Duration::from_millis(700);
/// Maximum number of reports that wait to be compared; above it the oldest is compared early.
const MAX_WAITING: usize = 4_096;
/// Observations of the version in force below which all kinds of request together are the measure.
const MIN_BASELINE: f64 = 20.0;

/// Observations of a good version that are added to those of the version in force, so that none at
/// all isn't taken for a rate of zero.
const PRIOR_ANSWERS: f64 = 10.0;
const PRIOR_BAD: f64 = 0.1;

/// Sum of one upstream from which on it counts as worse. By Wald's bound a good upstream reaches it
/// in a given stretch with a probability of at most e^-7, one in a thousand.
const UPSTREAM_LIMIT: f64 = 7.0;
/// Share of the limit from which on an upstream counts as rising.
const RISING_SHARE: f64 = 1.0 / 3.0;
/// Limits that the sums must reach together: two upstreams fully, or a single one and a half more.
const TOTAL_LIMITS: f64 = 2.0;
const SINGLE_LIMITS: f64 = 1.5;
/// Time without an answer after which an upstream has no say. The upstreams that get requests change
/// while further ones start.
const ACTIVE_TIME: Duration = Duration::from_secs(3);
/// Answers of an upstream below which it has no say.
const MIN_ANSWERS: u64 = 3;

/// Buckets above the median of the version in force from which on an answer is slow: 2.8 times as
/// long.
const SLOW_BUCKETS: usize = 3;

/// How a version on trial is worse.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::IntoStaticStr, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum FaultKind {
    /// More of its answers are server errors.
    Failing,
    /// A little more of its answers are server errors, over many answers.
    SometimesFailing,
    /// More of its answers take several times as long.
    Slow,
}

/// An alternative that is tested against the version in force.
struct FaultTest {
    kind: FaultKind,
    /// Factor and addend that the rate of the version in force may grow by.
    tolerance: (f64, f64),
    /// Further growth that makes a version worse.
    effect: f64,
}

const FAULT_TESTS: [FaultTest; 3] = [
    FaultTest {
        kind: FaultKind::Failing,
        tolerance: (1.5, 0.02),
        effect: 0.2,
    },
    FaultTest {
        kind: FaultKind::SometimesFailing,
        tolerance: (1.5, 0.01),
        effect: 0.06,
    },
    FaultTest {
        kind: FaultKind::Slow,
        tolerance: (1.5, 0.05),
        effect: 0.3,
    },
];

/// The inputs of a verdict.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JudgeVerdict {
    /// How the version is worse.
    pub fault: FaultKind,
    /// Kind of request that shows it, as nodes number them.
    pub key: u32,
    /// What the test has seen of this kind of request.
    pub summary: TestSummary,
}

/// What one test sees over all kinds of request together, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TestSummary {
    /// Upstreams on trial that have a say.
    pub upstreams: usize,
    /// Upstreams whose sum was rising.
    pub rising: usize,
    /// Sum of all of them, each up to its cap.
    pub total: f64,
    /// Answers of these upstreams that are failures or slow.
    pub bad: u64,
    /// All answers of these upstreams.
    pub answers: u64,
    /// Rate of such answers of the version in force.
    pub baseline_rate: f64,
}

/// Observations of the version in force. They fade as further ones come, and stay if none do: while
/// all requests go to the version on trial.
#[derive(Clone, Debug, Default)]
struct BaselineGroup {
    at: Timestamp,
    /// In the order of [`BASELINE_HALF_LIVES`].
    windows: [BaselineWindow; BASELINE_HALF_LIVES.len()],
}

#[derive(Clone, Debug, Default)]
struct BaselineWindow {
    answered: f64,
    failed: f64,
    latencies: Vec<f64>,
}

/// Answers of an upstream on trial that are not compared yet.
#[derive(Clone, Debug)]
struct WaitingAnswers {
    at: Timestamp,
    upstream: SharedName,
    key: u32,
    added: EvidenceGroup,
}

/// Observations of one upstream on trial for one kind of request.
#[derive(Clone, Debug, Default)]
struct TrialGroup {
    answered_at: Timestamp,
    answered: u64,
    failed: u64,
    slow: u64,
    /// Sums of the tests, in the order of [`FAULT_TESTS`].
    sums: [f64; FAULT_TESTS.len()],
}

/// What a node has reported last.
#[derive(Clone, Debug, Default)]
struct ReportedRun {
    run: u64,
    groups: IndexMap<u32, EvidenceGroup>,
}

/// Compares a version on trial with the version in force. It reads no clock and sends nothing.
#[derive(Clone, Debug)]
pub struct RolloutJudge {
    target: SharedName,
    trial_answers: u64,
    /// At most [`MAX_KINDS`] and [`ALL_KINDS`].
    baseline: IndexMap<u32, BaselineGroup>,
    /// By kind of request and upstream.
    trials: IndexMap<u32, IndexMap<SharedName, TrialGroup>>,
    /// Oldest first; at most [`MAX_WAITING`].
    waiting: VecDeque<WaitingAnswers>,
    /// At most [`MAX_UPSTREAMS`].
    reported: IndexMap<SharedName, ReportedRun>,
}

impl RolloutJudge {
    /// Creates a judge without evidence.
    pub fn new(target: SharedName) -> Self {
        RolloutJudge {
            target,
            trial_answers: 0,
            baseline: IndexMap::new(),
            trials: IndexMap::new(),
            waiting: VecDeque::new(),
            reported: IndexMap::new(),
        }
    }

    /// Returns the number of answers of the version on trial that were seen.
    pub fn trial_answers(&self) -> u64 {
        self.trial_answers
    }

    /// Takes in a report, which counts from the start of a run.
    pub fn observe(&mut self, now: Timestamp, report: &RolloutEvidence) {
        let name: SharedName = report.upstream.as_str().into();
        if self.reported.len() >= MAX_UPSTREAMS && !self.reported.contains_key(&name) {
            return;
        }
        let mut earlier = self.reported.swap_remove(&name).unwrap_or_default();
        if earlier.run != report.run {
            earlier = ReportedRun::default();
        }
        let mut total = EvidenceGroup::default();
        for group in report.groups.iter().take(MAX_KINDS) {
            let added = difference(group, earlier.groups.get(&group.key));
            add_group(&mut total, &added);
            self.observe_group(now, &name, &report.version, group.key, &added);
        }
        self.observe_group(now, &name, &report.version, ALL_KINDS, &total);
        if *report.version == *self.target {
            self.trial_answers += total.answered;
        }
        let groups = report.groups.iter().take(MAX_KINDS).cloned();
        let groups = groups.map(|group| (group.key, group)).collect();
        self.reported.insert(
            name,
            ReportedRun {
                run: report.run,
                groups,
            },
        );
    }

    fn observe_group(
        &mut self,
        now: Timestamp,
        name: &SharedName,
        version: &str,
        key: u32,
        added: &EvidenceGroup,
    ) {
        let is_known = self.baseline.contains_key(&key) || self.trials.contains_key(&key);
        if added.answered == 0 || !is_known && self.baseline.len() > MAX_KINDS {
            return;
        }
        if *version != *self.target {
            self.baseline.entry(key).or_default().add(now, added);
            return;
        }
        if self.waiting.len() >= MAX_WAITING
            && let Some(oldest) = self.waiting.pop_front()
        {
            self.compare(&oldest);
        }
        self.waiting.push_back(WaitingAnswers {
            at: now,
            upstream: name.clone(),
            key,
            added: added.clone(),
        });
    }

    /// Compares the answers that are old enough.
    fn compare_due(&mut self, now: Timestamp) {
        while let Some(oldest) = self.waiting.front()
            && now.since(oldest.at) >= COMPARISON_DELAY
            && let Some(oldest) = self.waiting.pop_front()
        {
            self.compare(&oldest);
        }
    }

    fn compare(&mut self, answers: &WaitingAnswers) {
        let WaitingAnswers {
            at,
            upstream,
            key,
            added,
        } = answers;
        let rates = self.rates(*key);
        let slow = count_slow(added, rates.slow_from);
        let timed: u32 = added.latencies.iter().sum();
        let group = self.trials.entry(*key).or_default();
        let group = group.entry(upstream.clone()).or_default();
        group.answered_at = *at;
        group.answered += added.answered;
        group.failed += added.failed;
        group.slow += slow;
        for ((sum, test), rate) in group.sums.iter_mut().zip(&FAULT_TESTS).zip(rates.of_tests) {
            let (bad, all) = match test.kind {
                FaultKind::Slow => (slow, u64::from(timed)),
                _ => (added.failed, added.answered),
            };
            *sum = test.advance(*sum, rate, bad, all);
        }
    }

    /// Returns the rates of the version in force that the tests compare with.
    fn rates(&self, key: u32) -> BaselineRates {
        let empty = BaselineWindow::default();
        let own = self.baseline.get(&key);
        let own = own.filter(|group| group.windows[1].answered >= MIN_BASELINE);
        let group = own.or_else(|| self.baseline.get(&ALL_KINDS));
        let long = group.map_or(&empty, |group| &group.windows[1]);
        // Latencies are compared with those of the long window, in which the median moves slowly.
        let slow_from = long.median_bucket().map(|median| median + SLOW_BUCKETS);
        let windows = group.into_iter().flat_map(|group| &group.windows);
        let highest = |rate: fn(&BaselineWindow, Option<usize>) -> f64| {
            let rates = windows.clone().map(|window| rate(window, slow_from));
            rates.fold(PRIOR_BAD / PRIOR_ANSWERS, f64::max)
        };
        BaselineRates {
            slow_from,
            of_tests: FAULT_TESTS.map(|test| match test.kind {
                FaultKind::Slow => highest(BaselineWindow::slow_rate),
                _ => highest(|window, _| window.failure_rate()),
            }),
        }
    }

    /// Returns why the version on trial is worse, if it is.
    pub fn verdict(&mut self, now: Timestamp) -> Option<JudgeVerdict> {
        self.compare_due(now);
        self.trials.iter().find_map(|(key, upstreams)| {
            let mut tests = 0..FAULT_TESTS.len();
            tests.find_map(|index| self.verdict_of(*key, upstreams, index))
        })
    }

    /// Returns what a test sees over all kinds of request together.
    pub fn summary(&self, fault: FaultKind) -> TestSummary {
        let index = FAULT_TESTS.iter().position(|test| test.kind == fault);
        let upstreams = self.trials.get(&ALL_KINDS);
        let summary = upstreams
            .zip(index)
            .map(|(upstreams, index)| self.summary_of(ALL_KINDS, upstreams, index));
        summary.unwrap_or_default()
    }

    fn summary_of(
        &self,
        key: u32,
        upstreams: &IndexMap<SharedName, TrialGroup>,
        index: usize,
    ) -> TestSummary {
        let latest = upstreams.values().map(|group| group.answered_at).max();
        let is_active = |group: &&TrialGroup| {
            let idle = latest.unwrap_or_default().since(group.answered_at);
            group.answered >= MIN_ANSWERS && idle < ACTIVE_TIME
        };
        let active: Vec<_> = upstreams.values().filter(is_active).collect();
        // One upstream alone must not make up for the others.
        let cap = match active.len() {
            1 => UPSTREAM_LIMIT * SINGLE_LIMITS,
            _ => UPSTREAM_LIMIT,
        };
        let sums = active.iter().map(|group| group.sums[index]);
        let is_rising = |sum: &f64| *sum >= UPSTREAM_LIMIT * RISING_SHARE;
        let bad = active.iter().map(|group| match FAULT_TESTS[index].kind {
            FaultKind::Slow => group.slow,
            _ => group.failed,
        });
        TestSummary {
            upstreams: active.len(),
            rising: sums.clone().filter(is_rising).count(),
            total: sums.map(|sum| sum.min(cap)).sum(),
            bad: bad.sum(),
            answers: active.iter().map(|group| group.answered).sum(),
            baseline_rate: self.rates(key).of_tests[index],
        }
    }

    fn verdict_of(
        &self,
        key: u32,
        upstreams: &IndexMap<SharedName, TrialGroup>,
        index: usize,
    ) -> Option<JudgeVerdict> {
        let summary = self.summary_of(key, upstreams, index);
        let limit = match summary.upstreams {
            1 => SINGLE_LIMITS,
            _ => TOTAL_LIMITS,
        };
        let is_common = summary.rising * 2 > summary.upstreams;
        let is_worse = is_common && summary.total >= UPSTREAM_LIMIT * limit;
        is_worse.then(|| JudgeVerdict {
            fault: FAULT_TESTS[index].kind,
            key,
            summary,
        })
    }
}

struct BaselineRates {
    /// Bucket from which on an answer is slow; `None` without observations.
    slow_from: Option<usize>,
    of_tests: [f64; FAULT_TESTS.len()],
}

impl FaultTest {
    /// Returns the sum after further answers, `bad` of which are of the kind that is tested.
    fn advance(&self, sum: f64, rate: f64, bad: u64, all: u64) -> f64 {
        let (factor, addend) = self.tolerance;
        let good = (rate * factor + addend).min(0.9);
        let worse = (good + self.effect).min(0.98);
        let gain = (worse / good).ln();
        let loss = ((1.0 - worse) / (1.0 - good)).ln();
        let others = all.saturating_sub(bad);
        let change = bad as f64 * gain + others as f64 * loss;
        (sum + change).clamp(0.0, UPSTREAM_LIMIT * TOTAL_LIMITS)
    }
}

impl BaselineGroup {
    fn add(&mut self, now: Timestamp, added: &EvidenceGroup) {
        let age = now.since(self.at).as_secs_f64();
        self.at = now;
        for (window, half_life) in self.windows.iter_mut().zip(BASELINE_HALF_LIVES) {
            window.fade(0.5f64.powf(age / half_life));
            window.add(added);
        }
    }
}

impl BaselineWindow {
    fn fade(&mut self, factor: f64) {
        self.answered *= factor;
        self.failed *= factor;
        for count in &mut self.latencies {
            *count *= factor;
        }
    }

    fn add(&mut self, added: &EvidenceGroup) {
        self.answered += added.answered as f64;
        self.failed += added.failed as f64;
        self.latencies.resize(LATENCY_BUCKETS, 0.0);
        for (sum, count) in self.latencies.iter_mut().zip(&added.latencies) {
            *sum += f64::from(*count);
        }
    }

    fn failure_rate(&self) -> f64 {
        (self.failed + PRIOR_BAD) / (self.answered + PRIOR_ANSWERS)
    }

    fn slow_rate(&self, slow_from: Option<usize>) -> f64 {
        let timed: f64 = self.latencies.iter().sum();
        let slow = slow_from.map_or(0.0, |from| self.latencies.iter().skip(from).sum());
        (slow + PRIOR_BAD) / (timed + PRIOR_ANSWERS)
    }

    fn median_bucket(&self) -> Option<usize> {
        let total: f64 = self.latencies.iter().sum();
        let mut below = 0.0;
        let is_median = |count: &f64| {
            below += count;
            below * 2.0 >= total
        };
        let found = self.latencies.iter().position(is_median);
        found.filter(|_| total > 0.0)
    }
}

/// Returns what a group counts more than an earlier report of the same run.
fn difference(group: &EvidenceGroup, earlier: Option<&EvidenceGroup>) -> EvidenceGroup {
    let Some(earlier) = earlier else {
        let mut added = group.clone();
        added.failed = added.failed.min(added.answered);
        added.latencies.truncate(LATENCY_BUCKETS);
        return added;
    };
    let answered = group.answered.saturating_sub(earlier.answered);
    let latencies = group.latencies.iter().take(LATENCY_BUCKETS).enumerate();
    EvidenceGroup {
        key: group.key,
        answered,
        failed: group.failed.saturating_sub(earlier.failed).min(answered),
        latencies: latencies
            .map(|(bucket, count)| {
                let before = earlier.latencies.get(bucket).copied().unwrap_or_default();
                count.saturating_sub(before)
            })
            .collect(),
    }
}

fn add_group(total: &mut EvidenceGroup, added: &EvidenceGroup) {
    total.answered = total.answered.saturating_add(added.answered);
    total.failed = total.failed.saturating_add(added.failed);
    total.latencies.resize(LATENCY_BUCKETS, 0);
    for (sum, count) in total.latencies.iter_mut().zip(&added.latencies) {
        *sum = sum.saturating_add(*count);
    }
}

fn count_slow(group: &EvidenceGroup, from: Option<usize>) -> u64 {
    let Some(from) = from else { return 0 };
    let counts = group.latencies.iter().skip(from);
    counts.map(|count| u64::from(*count)).sum()
}
