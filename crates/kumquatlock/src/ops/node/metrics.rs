//! The metrics page of a node.

use std::time::Duration;

use super::actor::NodeActor;
use crate::call::CallerAnswer;
use crate::http::HttpResponse;
use crate::util::metrics::{METRICS_CONTENT_TYPE, MetricsPage};

/// Upper bounds of the histogram buckets of the call duration, in microseconds.
const DURATION_BUCKETS_US: [u64; 8] = [
    500, 1_000, 2_500, 10_000, 50_000, 250_000, 1_000_000, 5_000_000,
];

/// Counters of the answers to callers.
#[derive(Debug, Default)]
pub(super) struct AnswerCounters {
    /// Number of answers by outcome and reason.
    answers: indexmap::IndexMap<(&'static str, &'static str), u64>,
    /// Number of answers per bucket; the last bucket has no upper bound. Not cumulative; the counts
    /// are summed up when the page is built.
    durations: [u64; DURATION_BUCKETS_US.len() + 1],
}

impl AnswerCounters {
    fn record(&mut self, answer: &CallerAnswer, duration: Duration) {
        *self
            .answers
            .entry((answer.outcome(), answer.reason()))
            .or_default() += 1;
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        let bucket = DURATION_BUCKETS_US
            .iter()
            .position(|bound| micros <= *bound);
        self.durations[bucket.unwrap_or(DURATION_BUCKETS_US.len())] += 1;
    }
}

impl NodeActor {
    pub(super) fn count_answer(&mut self, answer: &CallerAnswer, duration: Duration) {
        self.answers.record(answer, duration);
    }

    pub(super) fn metrics_response(&self) -> HttpResponse {
        let mut page = MetricsPage::default();
        page.traffic(&self.counters);
        self.add_configuration(&mut page);
        self.add_calls(&mut page);
        self.add_destination(&mut page);
        match page.encode() {
            Ok(text) => HttpResponse {
                status: 200,
                headers: vec![("Content-Type".to_owned(), METRICS_CONTENT_TYPE.to_owned())],
                body: text.into(),
            },
            Err(error) => HttpResponse::json(500, &error.to_string()),
        }
    }

    fn add_configuration(&self, page: &mut MetricsPage) {
        let held = self.child.held();
        let version = held.map_or(0, |held| held.version.0);
        page.gauge(
            "config_version",
            "Applied configuration version",
            &[],
            version,
        );
        let manifest = held.map_or(0, |held| held.manifest_version);
        page.gauge(
            "manifest_version",
            "Version of the manifest that this node has applied",
            &[],
            manifest,
        );
        let upstreams = held.map_or(0, |held| held.upstreams.len());
        page.gauge(
            "upstreams",
            "Upstreams in the configuration",
            &[],
            upstreams as u64,
        );
        let attached = u64::from(self.child.is_attached());
        page.gauge(
            "parent_attached",
            "Whether this node is attached to a parent",
            &[],
            attached,
        );
        page.gauge(
            "peer_links",
            "Links opened to other nodes",
            &[],
            self.peers.len() as u64,
        );
        page.counter(
            "freezes",
            "Number of times that the process was suspended",
            &[],
            self.freezes,
        );
    }

    fn add_calls(&self, page: &mut MetricsPage) {
        let counters = self.entry.counters();
        let rings = self.entry.locality_counters();
        page.counter(
            "calls",
            "Calls from callers of this node",
            &[],
            counters.calls,
        );
        page.counter("attempts", "Attempts sent", &[], counters.attempts);
        page.counter(
            "retries",
            "Attempts after a failed one",
            &[],
            counters.retries,
        );
        page.counter(
            "hedges",
            "Second attempts for late lookups",
            &[],
            counters.hedges,
        );
        let help = "Answers that match no outstanding attempt";
        page.counter("stray_answers", help, &[], counters.stray_answers);
        let help = "Lost attempts whose outcome was queried";
        page.counter("resolutions", help, &[], counters.resolutions);
        page.counter(
            "fences",
            "Keys fenced before a not-run answer",
            &[],
            counters.fences,
        );
        let help = "Attempts to another region";
        page.counter("cross_region_attempts", help, &[], rings.cross_region());
        page.counter(
            "panic_choices",
            "Upstream selections that ignored ejection",
            &[],
            rings.panic,
        );
        for ((outcome, reason), count) in &self.answers.answers {
            let labels = [("outcome", *outcome), ("reason", *reason)];
            page.counter("answers", "Answers to callers", &labels, *count);
        }
        let mut cumulative = 0;
        for (index, count) in self.answers.durations.iter().enumerate() {
            cumulative += count;
            let bound = DURATION_BUCKETS_US.get(index);
            let bound = bound.map_or_else(|| "+Inf".to_owned(), ToString::to_string);
            let help = "Calls answered within this many microseconds";
            page.counter("call_duration_le_us", help, &[("le", &bound)], cumulative);
        }
    }

    fn add_destination(&self, page: &mut MetricsPage) {
        let load = self.destination.load();
        page.gauge(
            "running",
            "Calls running on the upstream",
            &[],
            load.running.into(),
        );
        page.gauge(
            "queued",
            "Calls waiting for a slot",
            &[],
            load.queued.into(),
        );
        page.gauge(
            "slots",
            "Calls that may run at once",
            &[],
            load.slots.into(),
        );
        page.gauge(
            "claims_kept",
            "Keys for which this node holds claims",
            &[],
            self.holder.key_count() as u64,
        );
        let joining = self.holder.joining_shards() as u64;
        page.gauge(
            "claim_shards_joining",
            "Claim shards that are not active yet",
            &[],
            joining,
        );
    }
}
