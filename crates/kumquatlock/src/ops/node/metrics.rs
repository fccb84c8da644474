//! The metrics page of a node.

use std::time::Duration;

use strum::IntoEnumIterator;

use super::actor::NodeActor;
use crate::call::{AttemptProof, CallerAnswer};
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
        page.add_traffic(&self.counters);
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
        let config = self.child.applied_config();
        let version = config.map_or(0, |config| config.version.0);
        page.add_gauge(
            "config_version",
            "Applied configuration version",
            &[],
            version,
        );
        let manifest = config.map_or(0, |config| config.manifest_version);
        page.add_gauge(
            "manifest_version",
            "Version of the manifest that this node has applied",
            &[],
            manifest,
        );
        let upstreams = config.map_or(0, |config| config.upstreams.len());
        page.add_gauge(
            "upstreams",
            "Upstreams in the configuration",
            &[],
            upstreams as u64,
        );
        let quarantined = config.map_or(0, |config| config.quarantined.len());
        page.add_gauge(
            "quarantined_requests",
            "Requests that are refused because they have ended upstreams",
            &[],
            quarantined as u64,
        );
        let attached = u64::from(self.child.is_attached());
        page.add_gauge(
            "parent_attached",
            "Whether this node is attached to a parent",
            &[],
            attached,
        );
        page.add_gauge(
            "peer_links",
            "Links opened to other nodes",
            &[],
            self.peers.len() as u64,
        );
        page.add_counter(
            "freezes",
            "Number of times that the process was suspended",
            &[],
            self.freezes,
        );
    }

    fn add_calls(&self, page: &mut MetricsPage) {
        let counters = self.entry.counters();
        let localities = self.entry.locality_counters();
        page.add_counter(
            "calls",
            "Calls from callers of this node",
            &[],
            counters.calls,
        );
        page.add_counter("attempts", "Attempts sent", &[], counters.attempts);
        page.add_counter(
            "retries",
            "Attempts after a failed one",
            &[],
            counters.retries,
        );
        page.add_counter(
            "hedges",
            "Second attempts for late lookups",
            &[],
            counters.hedges,
        );
        let help = "Answers that match no outstanding attempt";
        page.add_counter("stray_answers", help, &[], counters.stray_answers);
        let help = "Lost attempts whose outcome was queried";
        page.add_counter("resolutions", help, &[], counters.resolutions);
        page.add_counter(
            "fences",
            "Keys fenced before a not-run answer",
            &[],
            counters.fences,
        );
        for proof in AttemptProof::iter() {
            let labels = [("proof", proof.into())];
            let help =
                "Attempts without an answer for the caller, by the proof that they did not run";
            page.add_counter(
                "attempts_ended",
                help,
                &labels,
                counters.ended_attempts(proof),
            );
        }
        let help = "Attempts to another region";
        page.add_counter(
            "cross_region_attempts",
            help,
            &[],
            localities.cross_region(),
        );
        page.add_counter(
            "panic_choices",
            "Upstream selections that ignored ejection",
            &[],
            localities.panic,
        );
        for ((outcome, reason), count) in &self.answers.answers {
            let labels = [("outcome", *outcome), ("reason", *reason)];
            page.add_counter("answers", "Answers to callers", &labels, *count);
        }
        let mut cumulative = 0;
        for (index, count) in self.answers.durations.iter().enumerate() {
            cumulative += count;
            let bound = DURATION_BUCKETS_US.get(index);
            let bound = bound.map_or_else(|| "+Inf".to_owned(), ToString::to_string);
            let help = "Calls answered within this many microseconds";
            page.add_counter("call_duration_le_us", help, &[("le", &bound)], cumulative);
        }
    }

    fn add_dependencies(&self, page: &mut MetricsPage) {
        page.add_counter(
            "calls_held_back",
            "Calls refused because their runs would lose calls that they make",
            &[],
            self.destination.held_back(),
        );
        page.add_gauge(
            "routes_held_back",
            "Routes of which only a share of the calls starts",
            &[],
            self.destination.throttled_routes(self.now()) as u64,
        );
        page.add_counter(
            "nested_calls",
            "Calls that runs of the upstream beside this node have made",
            &[],
            self.destination.nested_calls(),
        );
        page.add_counter(
            "nested_calls_without_room",
            "Calls that runs of the upstream beside this node have made and that found no room",
            &[],
            self.destination.nested_calls_without_room(),
        );
    }

    fn add_destination(&self, page: &mut MetricsPage) {
        let load = self.destination.load();
        page.add_gauge(
            "running",
            "Calls running on the upstream",
            &[],
            load.running.into(),
        );
        page.add_gauge(
            "queued",
            "Calls waiting for a slot",
            &[],
            load.queued.into(),
        );
        page.add_gauge(
            "slots",
            "Calls that may run at once",
            &[],
            load.slots.into(),
        );
        let limit = self.destination.rate_limit();
        page.add_gauge(
            "upstream_rate_limited",
            "Whether the upstream states a limit on its requests per second",
            &[],
            limit.is_some().into(),
        );
        page.add_gauge(
            "upstream_rate_limit_millis",
            "Thousandths of a request per second that the upstream takes; 0 without a limit",
            &[],
            limit.map_or(0, |rate| rate.millis().into()),
        );
        page.add_counter(
            "upstream_crashes",
            "Number of times that the upstream ended while it was running requests",
            &[],
            self.destination.crashes(),
        );
        self.add_dependencies(page);
        self.add_fences(page);
        page.add_gauge(
            "claims_kept",
            "Keys for which this node holds claims",
            &[],
            self.holder.key_count() as u64,
        );
        let joining = self.holder.joining_shards() as u64;
        page.add_gauge(
            "claim_shards_joining",
            "Claim shards that are not active yet",
            &[],
            joining,
        );
    }

    fn add_fences(&self, page: &mut MetricsPage) {
        let counters = self.destination.counters();
        page.add_counter(
            "attempts_after_fence",
            "Attempts that arrived after they had been fenced, and were refused",
            &[],
            counters.attempts_after_fence,
        );
        page.add_counter(
            "query_fences",
            "Attempts that had not arrived and were fenced by a query for their outcome",
            &[],
            counters.query_fences,
        );
        page.add_counter(
            "other_incarnation_attempts",
            "Attempts accepted under another incarnation than they name",
            &[],
            counters.other_incarnation_attempts,
        );
    }
}
