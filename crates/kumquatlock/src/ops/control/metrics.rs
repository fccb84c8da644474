//! Metrics of a control instance.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use kumquatlock_wire::MessageKind;
use kumquatlock_wire::distribution::RetryReason;
use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeLabelSet, EncodeMetric, text};
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::counter::{ConstCounter, Counter};
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::{ConstGauge, Gauge};
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use strum::IntoEnumIterator;

use super::actor::ControlActor;
use super::quota_metrics::QuotaMetrics;
use super::submission_log::RefusalReason;
use crate::core::Timestamp;
use crate::http::{CloseReason, FinalStatus, HttpResponse, RefusalCounters, RequestRefusal};
use crate::memory::{MemoryBudget, ProcessLimits};
use crate::transport::{LinkScope, TrafficCounters, TrafficDirection};

/// Media type of the metrics text that the registry writes.
const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabel {
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabel {
    reason: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PhaseLabel {
    phase: &'static str,
}

/// Counters and gauges that the actor sets and the HTTP threads read.
pub(super) struct ControlMetrics {
    pub(super) traffic: Arc<TrafficCounters>,
    pub(super) refusals: Arc<RefusalCounters>,
    pub(super) budget: MemoryBudget,
    registry: Registry,
    config_version: Gauge,
    commit_index: Gauge,
    term: Gauge,
    is_leader: Gauge,
    children: Gauge,
    quota: QuotaMetrics,
    journal_sync: Histogram,
    submissions: Family<OutcomeLabel, Counter>,
    submission_refusals: Family<ReasonLabel, Counter>,
    submission_time: Histogram,
    snapshots: Counter,
    deltas: Counter,
    retry_after: Family<ReasonLabel, Counter>,
    running_rollouts: Gauge,
    rollouts: Family<PhaseLabel, Counter>,
}

impl ControlMetrics {
    pub(super) fn new(limits: ProcessLimits) -> Self {
        let mut metrics = ControlMetrics {
            traffic: Arc::default(),
            refusals: Arc::default(),
            budget: MemoryBudget::new(limits),
            registry: Registry::with_prefix("kumquatlock"),
            config_version: Gauge::default(),
            commit_index: Gauge::default(),
            term: Gauge::default(),
            is_leader: Gauge::default(),
            children: Gauge::default(),
            quota: QuotaMetrics::default(),
            // Buckets from 25 us to 50 ms.
            journal_sync: Histogram::new(exponential_buckets(0.000_025, 2.0, 12)),
            submissions: Family::default(),
            submission_refusals: Family::default(),
            // Buckets from 1 ms to 8.2 s; a request ends after 4 s.
            submission_time: Histogram::new(exponential_buckets(0.001, 2.0, 14)),
            snapshots: Counter::default(),
            deltas: Counter::default(),
            retry_after: Family::default(),
            running_rollouts: Gauge::default(),
            rollouts: Family::default(),
        };
        metrics.register();
        // Shown from the start, so that an alarm can tell zero from a missing metric.
        let label = PhaseLabel { phase: "canary" };
        metrics.rollouts.get_or_create(&label).inc_by(0);
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        self.quota.register(registry);
        let mut gauge = |name, help, gauge: &Gauge| registry.register(name, help, gauge.clone());
        gauge(
            "config_version",
            "Applied configuration version",
            &self.config_version,
        );
        gauge(
            "commit_index",
            "Highest committed log index",
            &self.commit_index,
        );
        gauge("term", "Current election term", &self.term);
        gauge(
            "is_leader",
            "Whether this instance leads its group",
            &self.is_leader,
        );
        gauge("children", "Admitted children", &self.children);
        gauge(
            "running_rollouts",
            "Rollouts that have not ended",
            &self.running_rollouts,
        );
        registry.register(
            "rollout_phases",
            "Phases that rollouts have entered, as this instance has applied them",
            self.rollouts.clone(),
        );
        registry.register(
            "journal_sync_seconds",
            "Time of one durable journal write",
            self.journal_sync.clone(),
        );
        registry.register(
            "submissions",
            "Answered submissions by outcome",
            self.submissions.clone(),
        );
        registry.register(
            "submission_refusals",
            "Submissions that were not accepted, by reason",
            self.submission_refusals.clone(),
        );
        registry.register(
            "submission_seconds",
            "Time from the receipt of a submission to its answer",
            self.submission_time.clone(),
        );
        registry.register(
            "snapshots_sent",
            "Snapshot transfers started",
            self.snapshots.clone(),
        );
        registry.register(
            "deltas_sent",
            "Deltas sent to children",
            self.deltas.clone(),
        );
        registry.register(
            "retry_after_sent",
            "Retry-after messages sent to children",
            self.retry_after.clone(),
        );
        registry.register_collector(Box::new(TrafficCollector(self.traffic.clone())));
        registry.register_collector(Box::new(HoldCollector {
            refusals: self.refusals.clone(),
            budget: self.budget.clone(),
        }));
    }

    /// Returns the metrics page as an HTTP response.
    pub(super) fn response(&self) -> HttpResponse {
        let mut body = String::new();
        match text::encode(&mut body, &self.registry) {
            Ok(()) => HttpResponse {
                status: FinalStatus::OK,
                headers: vec![("Content-Type".to_owned(), CONTENT_TYPE.to_owned())],
                body: body.into(),
            },
            Err(fmt::Error) => super::answer::bad_request(500, "metrics", "could not be encoded"),
        }
    }

    pub(super) fn observe_sync(&self, elapsed: Duration) {
        self.journal_sync.observe(elapsed.as_secs_f64());
    }

    /// Counts an answered submission by its HTTP status.
    pub(super) fn count_submission(&self, status: u16) {
        let outcome = match status {
            200 => "accepted",
            409 => "refused",
            422 => "invalid",
            503 => "not_run",
            _ => "unknown",
        };
        let outcome = OutcomeLabel { outcome };
        self.submissions.get_or_create(&outcome).inc();
    }

    /// Counts a submission that was not accepted.
    pub(super) fn count_refusal(&self, reason: RefusalReason) {
        let reason = reason.into();
        self.submission_refusals
            .get_or_create(&ReasonLabel { reason })
            .inc();
    }

    /// Counts a phase that a rollout has entered.
    pub(super) fn count_rollout(&self, phase: &'static str) {
        self.rollouts.get_or_create(&PhaseLabel { phase }).inc();
    }

    pub(super) fn observe_submission(&self, elapsed: Duration) {
        self.submission_time.observe(elapsed.as_secs_f64());
    }

    pub(super) fn count_snapshots(&self, children: usize) {
        self.snapshots.inc_by(children as u64);
    }

    pub(super) fn count_deltas(&self, children: usize) {
        self.deltas.inc_by(children as u64);
    }

    pub(super) fn count_retry_after(&self, reason: RetryReason, children: usize) {
        let reason = match reason {
            RetryReason::Busy => "busy",
            RetryReason::NotCurrent => "not_current",
            RetryReason::Leaving => "leaving",
            RetryReason::WrongGroup => "wrong_group",
        };
        let reason = ReasonLabel { reason };
        self.retry_after
            .get_or_create(&reason)
            .inc_by(children as u64);
    }
}

impl ControlActor {
    pub(super) fn update_metrics(&self, now: Timestamp) {
        let metrics = &self.metrics;
        let gauge_value = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        metrics
            .config_version
            .set(gauge_value(self.catalog.version().0));
        metrics
            .children
            .set(gauge_value(self.parent.child_count() as u64));
        let rollouts = self.catalog.rollouts().running().count();
        metrics.running_rollouts.set(gauge_value(rollouts as u64));
        metrics.is_leader.set(self.is_leader().into());
        metrics.quota.update(now, &self.quota);
        if let Some(voter) = &self.voter {
            let status = voter.agreement.status();
            metrics.commit_index.set(gauge_value(status.commit_index));
            metrics.term.set(gauge_value(status.term));
        }
    }
}

/// Collector that reads the traffic counters at each scrape.
#[derive(Debug)]
struct TrafficCollector(Arc<TrafficCounters>);

impl Collector for TrafficCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        let mut family = encoder.encode_descriptor(
            "control_bytes",
            "Bytes of control messages at the framing layer.",
            None,
            MetricType::Counter,
        )?;
        for direction in TrafficDirection::iter() {
            for (scope, scope_label) in [
                (LinkScope::Region, "region"),
                (LinkScope::CrossRegion, "cross_region"),
            ] {
                for kind in MessageKind::ALL
                    .into_iter()
                    .filter(|kind| kind.is_control())
                {
                    let labels = [
                        ("direction", <&str>::from(direction)),
                        ("kind", kind.label()),
                        ("scope", scope_label),
                    ];
                    let bytes = ConstCounter::new(self.0.bytes(direction, scope, kind));
                    bytes.encode(family.encode_family(&labels)?)?;
                }
            }
        }
        Ok(())
    }
}

/// Bytes held for others, and the requests and connections that they did not suffice for.
#[derive(Debug)]
struct HoldCollector {
    refusals: Arc<RefusalCounters>,
    budget: MemoryBudget,
}

impl Collector for HoldCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        let help = "Requests refused before they were complete.";
        let kind = MetricType::Counter;
        let mut family = encoder.encode_descriptor("requests_refused", help, None, kind)?;
        for reason in RequestRefusal::iter() {
            let labels = [("reason", <&str>::from(reason))];
            let count = ConstCounter::new(self.refusals.refused(reason));
            count.encode(family.encode_family(&labels)?)?;
        }
        let help = "Connections of callers that were closed before their end.";
        let mut family = encoder.encode_descriptor("connections_dropped", help, None, kind)?;
        for reason in CloseReason::iter() {
            let labels = [("reason", <&str>::from(reason))];
            let count = ConstCounter::new(self.refusals.closed(reason));
            count.encode(family.encode_family(&labels)?)?;
        }
        for (name, help, bytes) in [
            (
                "held_bytes",
                "Bytes held for operators, nodes and other instances.",
                self.budget.held_bytes(),
            ),
            (
                "held_bytes_limit",
                "Bytes that may be held for others.",
                self.budget.limit_bytes(),
            ),
        ] {
            let gauge = ConstGauge::new(i64::try_from(bytes).unwrap_or(i64::MAX));
            gauge.encode(encoder.encode_descriptor(name, help, None, MetricType::Gauge)?)?;
        }
        Ok(())
    }
}
