//! Counters and log records of the processes of a mesh.

use std::collections::BTreeMap;
use std::time::{SystemTime, UNIX_EPOCH};

use eyre::{Result, ensure, eyre};
use kumquatlock_testkit::caller::HttpCaller;
use kumquatlock_testkit::process::{ManagedProcess, Mesh};

use crate::host::{cpu_seconds, resident_bytes};

/// Event of a node that swapped its configuration in.
const APPLIED_EVENT: &str = "configuration_applied";
const DAY_US: i64 = 86_400_000_000;

/// Bytes and messages by (kind, scope).
pub(crate) type TrafficMap = BTreeMap<(String, String), f64>;

/// What a group of processes has used since its start, summed.
#[derive(Clone, Debug, Default)]
pub(crate) struct UsageSum {
    pub(crate) processes: usize,
    pub(crate) cpu_seconds: f64,
    pub(crate) resident: f64,
    /// Sent and received bytes.
    pub(crate) bytes: TrafficMap,
    /// Sent and received messages; only nodes count them.
    pub(crate) messages: TrafficMap,
}

/// Usage of all processes of a mesh by role.
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
        self.resident += resident_bytes(&process.id().to_string())?;
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
            let (Some(kind), Some(scope)) = (label(labels, "kind"), label(labels, "scope")) else {
                continue;
            };
            if kind != "call" {
                *map.entry((kind, scope)).or_default() += value.parse::<f64>()?;
            }
        }
        Ok(())
    }

    /// What was used between `earlier` and now. Memory is the present one.
    pub(crate) fn since(&self, earlier: &UsageSum) -> UsageSum {
        let difference = |now: &TrafficMap, then: &TrafficMap| {
            now.iter()
                .map(|(key, value)| (key.clone(), value - then.get(key).unwrap_or(&0.0)))
                .collect()
        };
        UsageSum {
            processes: self.processes,
            cpu_seconds: self.cpu_seconds - earlier.cpu_seconds,
            resident: self.resident,
            bytes: difference(&self.bytes, &earlier.bytes),
            messages: difference(&self.messages, &earlier.messages),
        }
    }

    pub(crate) fn total_bytes(&self) -> f64 {
        self.bytes.values().sum()
    }
}

fn label(labels: &str, name: &str) -> Option<String> {
    let (_, rest) = labels.split_once(&format!("{name}=\""))?;
    Some(rest.split_once('"')?.0.to_owned())
}

/// Reads all processes of a mesh.
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
        "no traffic counters were found"
    );
    Ok(usage)
}

/// Microseconds since the start of the day in UTC.
pub(crate) fn time_of_day_us() -> i64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    let micros = elapsed.map_or(0, |elapsed| elapsed.as_micros());
    (micros % DAY_US as u128) as i64
}

/// Times at which each node applied each version, by the clock of the machine.
pub(crate) struct AppliedLog(Vec<Vec<(u64, i64)>>);

impl AppliedLog {
    pub(crate) fn read(mesh: &Mesh) -> Result<Self> {
        let mut nodes = Vec::new();
        for node in &mesh.nodes {
            let mut versions = Vec::new();
            for record in node.process.log_records() {
                if record["event"] != APPLIED_EVENT {
                    continue;
                }
                let version = record["version"].as_u64();
                let time = record["ts"].as_str().and_then(parse_time_of_day);
                let pair = version.zip(time);
                versions.push(pair.ok_or_else(|| eyre!("malformed record {record}"))?);
            }
            nodes.push(versions);
        }
        Ok(AppliedLog(nodes))
    }

    /// Milliseconds from `from_us` until every node had applied `version` or a later one.
    pub(crate) fn delay_ms(&self, version: u64, from_us: i64) -> Option<f64> {
        let first = |node: &Vec<(u64, i64)>| {
            let applied = node.iter().find(|(applied, _)| *applied >= version)?;
            // Negative if the node was faster than the answer.
            let half = DAY_US / 2;
            Some((applied.1 - from_us + half).rem_euclid(DAY_US) - half)
        };
        let delays: Option<Vec<i64>> = self.0.iter().map(first).collect();
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
