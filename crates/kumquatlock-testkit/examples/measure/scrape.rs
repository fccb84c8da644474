//! Reads the metrics and log records of the processes of a mesh.

use std::collections::BTreeMap;
use std::time::{SystemTime, UNIX_EPOCH};

use eyre::{Result, ensure, eyre};
use kumquatlock_testkit::caller::HttpCaller;
use kumquatlock_testkit::process::{ManagedProcess, Mesh};

use crate::host::{cpu_seconds, resident_bytes};

/// Log event of a node that has applied a configuration.
const APPLIED_EVENT: &str = "configuration_applied";
const MICROS_PER_DAY: i64 = 86_400_000_000;

/// Numbers of bytes or messages by the labels (kind, scope) of the metric.
pub(crate) type TrafficMap = BTreeMap<(String, String), f64>;

/// Total resource usage of a group of processes since they started.
#[derive(Clone, Debug, Default)]
pub(crate) struct UsageSum {
    pub(crate) processes: usize,
    pub(crate) cpu_seconds: f64,
    pub(crate) resident_bytes: f64,
    /// Sent and received bytes.
    pub(crate) bytes: TrafficMap,
    /// Sent and received messages. Only nodes have this metric.
    pub(crate) messages: TrafficMap,
}

/// Resource usage of all processes of a mesh, by role.
#[derive(Clone, Debug, Default)]
pub(crate) struct MeshUsage {
    pub(crate) voters: UsageSum,
    pub(crate) replicas: UsageSum,
    pub(crate) nodes: UsageSum,
}

impl UsageSum {
    fn add(&mut self, process: &ManagedProcess, caller: &HttpCaller) -> Result<()> {
        self.processes += 1;
        self.cpu_seconds += cpu_seconds(process.id())?;
        self.resident_bytes += resident_bytes(&process.id().to_string())?;
        let text = caller.get("/metrics")?.text();
        for line in text.lines() {
            let Some((series, value)) = line.rsplit_once(' ') else {
                continue;
            };
            let Some((name, labels)) = series.split_once('{') else {
                continue;
            };
            let map = match name {
                "kumquatlock_control_bytes_total" | "kumquatlock_link_bytes_total" => {
                    &mut self.bytes
                }
                "kumquatlock_link_messages_total" => &mut self.messages,
                _ => continue,
            };
            let (Some(kind), Some(scope)) =
                (label_value(labels, "kind"), label_value(labels, "scope"))
            else {
                continue;
            };
            if kind != "call" {
                *map.entry((kind, scope)).or_default() += value.parse::<f64>()?;
            }
        }
        Ok(())
    }

    /// Returns the usage between `earlier` and `self`. The resident memory is the value in `self`,
    /// not a difference.
    pub(crate) fn since(&self, earlier: &UsageSum) -> UsageSum {
        let difference = |after: &TrafficMap, before: &TrafficMap| {
            after
                .iter()
                .map(|(key, value)| (key.clone(), value - before.get(key).unwrap_or(&0.0)))
                .collect()
        };
        UsageSum {
            processes: self.processes,
            cpu_seconds: self.cpu_seconds - earlier.cpu_seconds,
            resident_bytes: self.resident_bytes,
            bytes: difference(&self.bytes, &earlier.bytes),
            messages: difference(&self.messages, &earlier.messages),
        }
    }

    pub(crate) fn total_bytes(&self) -> f64 {
        self.bytes.values().sum()
    }
}

fn label_value(labels: &str, name: &str) -> Option<String> {
    let (_, rest) = labels.split_once(&format!("{name}=\""))?;
    Some(rest.split_once('"')?.0.to_owned())
}

/// Reads the resource usage of all processes of a mesh.
pub(crate) fn scrape(mesh: &Mesh) -> Result<MeshUsage> {
    let mut usage = MeshUsage::default();
    for control in &mesh.controls {
        let sum = match control.flags.name.starts_with("replica") {
            true => &mut usage.replicas,
            false => &mut usage.voters,
        };
        sum.add(&control.process, &control.caller())?;
    }
    for node in &mesh.nodes {
        usage.nodes.add(&node.process, &node.caller())?;
    }
    ensure!(
        usage.nodes.total_bytes() > 0.0,
        "the metrics of the nodes contain no traffic"
    );
    Ok(usage)
}

/// Returns the microseconds since the start of the day in UTC.
pub(crate) fn time_of_day_us() -> i64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    let micros = elapsed.map_or(0, |elapsed| elapsed.as_micros());
    (micros % MICROS_PER_DAY as u128) as i64
}

/// For each node, the applied versions and the times at which it applied them, by the system clock
/// in microseconds since the start of the day.
pub(crate) struct AppliedLog(Vec<Vec<(u64, i64)>>);

impl AppliedLog {
    pub(crate) fn read(mesh: &Mesh) -> Result<Self> {
        let mut nodes = Vec::new();
        for node in &mesh.nodes {
            let mut applied_versions = Vec::new();
            for record in node.process.log_records() {
                if record["event"] != APPLIED_EVENT {
                    continue;
                }
                let version = record["version"].as_u64();
                let time = record["ts"].as_str().and_then(parse_time_of_day);
                let version_and_time = version.zip(time);
                applied_versions
                    .push(version_and_time.ok_or_else(|| eyre!("malformed log record {record}"))?);
            }
            nodes.push(applied_versions);
        }
        Ok(AppliedLog(nodes))
    }

    /// Returns the milliseconds from `start_us` until every node had applied `version` or a later
    /// one, or `None` if a node never did.
    pub(crate) fn delay_ms(&self, version: u64, start_us: i64) -> Option<f64> {
        let node_delay_us = |node: &Vec<(u64, i64)>| {
            let applied = node.iter().find(|(applied, _)| *applied >= version)?;
            // Negative if the node applied the version before the response arrived.
            let half_day = MICROS_PER_DAY / 2;
            Some((applied.1 - start_us + half_day).rem_euclid(MICROS_PER_DAY) - half_day)
        };
        let delays: Option<Vec<i64>> = self.0.iter().map(node_delay_us).collect();
        Some(delays?.into_iter().max()? as f64 / 1e3)
    }
}

fn parse_time_of_day(text: &str) -> Option<i64> {
    let (_, time) = text.trim_end_matches('Z').split_once('T')?;
    let mut parts = time.split(':');
    let hours: i64 = parts.next()?.parse().ok()?;
    let minutes: i64 = parts.next()?.parse().ok()?;
    let seconds: f64 = parts.next()?.parse().ok()?;
    Some((hours * 60 + minutes) * 60_000_000 + (seconds * 1e6).round() as i64)
}
