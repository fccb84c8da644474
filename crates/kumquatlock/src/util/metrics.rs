//! The `/metrics` page in OpenMetrics text format.
//!
//! Components keep plain counters. The page is built from them for each scrape, so that the request
//! path does not use a metrics registry.

use std::fmt;
use std::sync::atomic::AtomicU64;

use indexmap::IndexMap;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Registry, Unit};
use strum::IntoEnumIterator;

use crate::http::{CloseReason, RefusalCounters, RequestRefusal};
use crate::memory::MemoryBudget;
use crate::transport::{LinkScope, TrafficCounters, TrafficDirection};
use kumquatlock_wire::MessageKind;

/// Prefix of every metric name.
const METRIC_PREFIX: &str = "kumquatlock";

/// Media type of the metrics page.
pub const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

type LabelSet = Vec<(&'static str, String)>;
type CounterFamily = Family<LabelSet, Counter>;
type GaugeFamily = Family<LabelSet, Gauge<u64, AtomicU64>>;

/// Metric families by name, each with its help text.
type FamilyMap<F> = IndexMap<&'static str, (&'static str, F)>;

/// The metrics page could not be encoded.
#[derive(Debug, thiserror::Error)]
#[error("failed to encode the metrics page: {0}")]
pub struct MetricsError(#[from] fmt::Error);

/// Metrics page of one scrape.
#[derive(Default)]
pub struct MetricsPage {
    counters: FamilyMap<CounterFamily>,
    gauges: FamilyMap<GaugeFamily>,
}

impl MetricsPage {
    /// Adds a counter.
    pub fn add_counter(
        &mut self,
        name: &'static str,
        help: &'static str,
        labels: &[(&'static str, &str)],
        value: u64,
    ) {
        let (_, family) = self
            .counters
            .entry(name)
            .or_insert_with(|| (help, Family::default()));
        family.get_or_create(&label_set(labels)).inc_by(value);
    }

    /// Adds a gauge.
    pub fn add_gauge(
        &mut self,
        name: &'static str,
        help: &'static str,
        labels: &[(&'static str, &str)],
        value: u64,
    ) {
        let (_, family) = self
            .gauges
            .entry(name)
            .or_insert_with(|| (help, Family::default()));
        family.get_or_create(&label_set(labels)).set(value);
    }

    /// Adds the counters of refused requests and closed connections.
    pub fn add_refusals(&mut self, counters: &RefusalCounters) {
        let help = "Requests refused before they were complete";
        for reason in RequestRefusal::iter() {
            let labels = [("reason", reason.into())];
            self.add_counter("requests_refused", help, &labels, counters.refused(reason));
        }
        let help = "Connections of callers that were closed before their end";
        for reason in CloseReason::iter() {
            let labels = [("reason", reason.into())];
            self.add_counter(
                "connections_dropped",
                help,
                &labels,
                counters.closed(reason),
            );
        }
    }

    /// Adds the gauges of the bytes held for others.
    pub fn add_memory(&mut self, budget: &MemoryBudget) {
        let held = "Bytes held for callers, upstreams and other processes";
        self.add_gauge("held_bytes", held, &[], budget.held_bytes() as u64);
        let limit = "Bytes that may be held for others";
        self.add_gauge("held_bytes_limit", limit, &[], budget.limit_bytes() as u64);
    }

    /// Adds the counters of bytes and messages exchanged with other processes.
    pub fn add_traffic(&mut self, counters: &TrafficCounters) {
        for direction in [TrafficDirection::Sent, TrafficDirection::Received] {
            for scope in [LinkScope::Region, LinkScope::CrossRegion] {
                for kind in MessageKind::ALL {
                    let labels: [(&'static str, &str); 3] = [
                        ("direction", direction.into()),
                        ("scope", scope.into()),
                        ("kind", kind.label()),
                    ];
                    let bytes = counters.bytes(direction, scope, kind);
                    self.add_counter(
                        "link_bytes",
                        "Bytes of frames exchanged with other processes",
                        &labels,
                        bytes,
                    );
                    let messages = counters.messages(direction, scope, kind);
                    let help = "Messages exchanged with other processes";
                    self.add_counter("link_messages", help, &labels, messages);
                }
            }
        }
    }

    /// Encodes the page as text.
    pub fn encode(self) -> Result<String, MetricsError> {
        let mut registry = Registry::with_prefix(METRIC_PREFIX);
        for (name, (help, family)) in self.counters {
            registry.register(name, help, family);
        }
        for (name, (help, family)) in self.gauges {
            let unit = name.strip_suffix("_bytes").map(|_| Unit::Bytes);
            match unit {
                Some(unit) => {
                    let stem = name.trim_end_matches("_bytes");
                    registry.register_with_unit(stem, help, unit, family);
                }
                None => registry.register(name, help, family),
            }
        }
        let mut text = String::new();
        encode(&mut text, &registry)?;
        Ok(text)
    }
}

fn label_set(labels: &[(&'static str, &str)]) -> LabelSet {
    labels
        .iter()
        .map(|(name, value)| (*name, (*value).to_owned()))
        .collect()
}
