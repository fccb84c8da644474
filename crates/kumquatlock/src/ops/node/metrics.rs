//! The metrics page of a node.

use std::time::Duration;

use strum::IntoEnumIterator;

use super::actor::NodeActor;
use crate::call::{AttemptProof, CallerAnswer};
use crate::http::{FinalStatus, HttpResponse};
use crate::retry::ExtraReason;
use crate::routing::{LocalityTier, SpillReason};
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
        page.add_refusals(&self.refusals);
        page.add_memory(&self.budget);
        self.add_configuration(&mut page);
        self.add_calls(&mut page);
        self.add_quota(&mut page);
        self.add_destination(&mut page);
        match page.encode() {
            Ok(text) => HttpResponse {
                status: FinalStatus::OK,
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
        let accounts = config.map_or(0, |config| config.client_accounts().count());
        page.add_gauge(
            "client_accounts",
            "Client accounts in the configuration",
            &[],
            accounts as u64,
        );
        let limit = self.settings.tuning.revocation_limit;
        page.add_gauge(
            "key_lease_age_ms",
            "Age of the proof by which this node accepts API keys; 0 without a revocation limit",
            &[],
            limit.map_or(0, |_| self.lease_age_ms(self.now())),
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
        page.add_counter(
            "canary_attempts",
            "Attempts sent to upstreams of a version on trial",
            &[],
            counters.canary_attempts,
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
        let extra = self.entry.extra_counters();
        for reason in ExtraReason::iter() {
            let labels = [("reason", reason.into())];
            let help = "Extra arrivals at upstreams that calls of this node caused, in thousandths";
            let taken = (extra.taken[reason as usize] * 1e3) as u64;
            page.add_counter("extra_arrivals_millis", help, &labels, taken);
            let help = "Further attempts that the retry budget refused";
            let refused = extra.refused[reason as usize];
            page.add_counter("extra_attempts_refused", help, &labels, refused);
        }
        for tier in [LocalityTier::Region, LocalityTier::CrossRegion] {
            for reason in SpillReason::iter() {
                let labels = [("tier", tier.into()), ("reason", reason.into())];
                let help =
                    "Attempts outside the zone (region) or the region (cross-region), by reason";
                let count = localities.spilled[tier as usize][reason as usize];
                page.add_counter("spilled_attempts", help, &labels, count);
            }
        }
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

    fn add_quota(&self, page: &mut MetricsPage) {
        let counters = self.entry.quota().counters();
        let sources = [
            ("allowance", counters.from_allowance),
            ("held", counters.from_held),
            ("waited", counters.after_wait),
        ];
        for (source, count) in sources {
            let help = "Requests of accounts with a quota that were admitted, by their token";
            page.add_counter("quota_admitted", help, &[("token", source)], count);
        }
        let help = "Requests refused because their account had used its quota";
        page.add_counter("quota_exceeded", help, &[], counters.over_quota);
        let help = "Requests refused because no token came in time or there was no parent";
        page.add_counter("quota_unavailable", help, &[], counters.without_token);
        let help = "Tokens given back because their requests did not run";
        page.add_counter("quota_refunded", help, &[], counters.refunded);
        let help = "Tokens that expired unused";
        page.add_counter("quota_expired", help, &[], counters.expired);
        let help = "Messages sent to the parent about quotas";
        page.add_counter("quota_asks", help, &[], counters.asks);
        let (accounts, held) = self.entry.quota().sizes();
        let help = "Accounts with a quota that are in use at this node";
        page.add_gauge("quota_accounts", help, &[], accounts as u64);
        page.add_gauge("quota_tokens_held", "Tokens that may be spent", &[], held);
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
        page.add_counter(
            "invalid_statuses",
            "Responses of the upstream with a status that no response has",
            &[],
            self.exchanges.invalid_statuses(),
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
