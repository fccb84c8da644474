//! The `/metrics` page in Prometheus text format.
//!
//! Duties keep plain counters. A page is built from them for each scrape, so nothing on the
//! request path touches a registry.

use std::fmt;
use std::sync::atomic::AtomicU64;

use indexmap::IndexMap;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Registry, Unit};

use crate::transport::{LinkScope, TrafficCounters, TrafficDirection};
use kumquatlock_wire::MessageKind;

/// Start of every metric name.
const PREFIX: &str = "kumquatlock";

/// Media type of the page.
pub const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

type LabelSet = Vec<(&'static str, String)>;
type CounterFamily = Family<LabelSet, Counter>;
type GaugeFamily = Family<LabelSet, Gauge<u64, AtomicU64>>;

/// Families by name, each with its help text.
type FamilyMap<F> = IndexMap<&'static str, (&'static str, F)>;

/// The page could not be encoded.
#[derive(Debug, thiserror::Error)]
#[error("failed to encode the metrics page: {0}")]
pub struct MetricsError(#[from] fmt::Error);

/// One scrape's values.
#[derive(Default)]
pub struct MetricsPage {
    counters: FamilyMap<CounterFamily>,
    gauges: FamilyMap<GaugeFamily>,
}

impl MetricsPage {
    /// Adds a value that only grows.
    pub fn counter(
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

    /// Adds a value that rises and falls.
    pub fn gauge(
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

    /// Adds the bytes and messages between processes.
    pub fn traffic(&mut self, counters: &TrafficCounters) {
        for direction in [TrafficDirection::Sent, TrafficDirection::Received] {
            for scope in [LinkScope::Region, LinkScope::CrossRegion] {
                for kind in MessageKind::ALL {
                    let labels: [(&'static str, &str); 3] = [
                        ("direction", direction.into()),
                        ("scope", scope.into()),
                        ("kind", kind.label()),
                    ];
                    let bytes = counters.bytes(direction, scope, kind);
                    self.counter(
                        "link_bytes",
                        "Bytes of frames between processes",
                        &labels,
                        bytes,
                    );
                    let messages = counters.messages(direction, scope, kind);
                    let help = "Messages between processes";
                    self.counter("link_messages", help, &labels, messages);
                }
            }
        }
    }

    /// Encodes the page.
    pub fn encode(self) -> Result<String, MetricsError> {
        let mut registry = Registry::with_prefix(PREFIX);
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
