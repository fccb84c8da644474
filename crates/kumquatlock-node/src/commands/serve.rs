//! `kumquatlock-node serve`: runs the node.

use std::net::SocketAddr;

use argh::FromArgs;
use eyre::WrapErr;
use kumquatlock::memory::ProcessLimits;
use kumquatlock::ops::node::{FixedSettings, NodeAdapter, NodeSettings, NodeTuning, run_node};
use kumquatlock::quota::QuotaSettings;
use kumquatlock::routing::SpillSettings;
use kumquatlock::util::cancel::CancelToken;
use kumquatlock::util::logging::{LogFilter, init_logging};
use kumquatlock::util::settings::{
    AddressList, CheckedName, DurationMillis, ItemCount, ProcessEnvironment, ReachableAddress,
    SettingError, SettingSpec,
};
use kumquatlock::util::signals::install_stop_handler;

const NAME: SettingSpec<CheckedName> = SettingSpec::new(
    "name",
    "name of the node and its upstream, unique in the mesh, of [a-z0-9-.]",
);
const ZONE: SettingSpec<CheckedName> = SettingSpec::new("zone", "availability zone, of [a-z0-9-.]");
const REGION: SettingSpec<CheckedName> =
    SettingSpec::new("region", "region of the zone, of [a-z0-9-.]");
const LISTEN: SettingSpec<ReachableAddress> = SettingSpec::new(
    "listen",
    "address to listen on for other nodes, <ip>:<port>; announced to them, so they must be able to \
     connect to it",
);
const ADVERTISE: SettingSpec<ReachableAddress> = SettingSpec::new(
    "advertise",
    "address at which other nodes reach this node, <ip>:<port>, if it differs from the listen \
     address",
);
const HTTP: SettingSpec<SocketAddr> = SettingSpec::new(
    "http",
    "address to listen on for callers and metrics, <ip>:<port>",
);
const UPSTREAM_HTTP: SettingSpec<SocketAddr> = SettingSpec::new(
    "upstream-http",
    "address to listen on for the upstream beside this node, <ip>:<port>",
);
const PARENTS: SettingSpec<AddressList> = SettingSpec::new(
    "parents",
    "addresses of control instances, the preferred one first, <ip>:<port>,...",
);
const HTTP_WORKERS: SettingSpec<ItemCount> = SettingSpec::new(
    "http-workers",
    "number of concurrent caller requests that the node is sized for",
)
.unit("requests")
.range(4, 1_024)
.default_value("64");
const UPSTREAM_CONNECTIONS: SettingSpec<ItemCount> = SettingSpec::new(
    "upstream-connections",
    "maximum number of connections to the upstream",
)
.unit("connections")
.range(1, 1_024)
.default_value("32");
const LONGEST_TIMEOUT: SettingSpec<DurationMillis> = SettingSpec::new(
    "longest-timeout-ms",
    "maximum timeout that a caller may request; claims are also kept for that time, and after the \
     loss of two of three holders of a claim its keys stay unknown for that time",
)
.unit("ms")
.range(1_000, 3_600_000)
.default_value("3600000");
const CLAIM_RETENTION: SettingSpec<DurationMillis> = SettingSpec::new(
    "claim-retention-ms",
    "time for which claims and stored answers are retained",
)
.unit("ms")
.range(10_000, 3_600_000)
.default_value("600000");
const REVOCATION_LIMIT: SettingSpec<DurationMillis> = SettingSpec::new(
    "revocation-limit-ms",
    "time within which an API key that was taken away stops on this node, also if it is cut off from \
     control; keys are then refused before that time; without it, a node that is cut off goes on \
     accepting them",
)
.unit("ms")
.range(2_000, 3_600_000);
const ZONE_COST: SettingSpec<DurationMillis> = SettingSpec::new(
    "zone-cost-ms-per-kib",
    "time that a call must save to be worth 1 KiB of traffic between zones of a region",
)
.unit("ms")
.range(0, 10_000)
.default_value("20");
const REGION_COST: SettingSpec<DurationMillis> = SettingSpec::new(
    "region-cost-ms-per-kib",
    "time that a call must save to be worth 1 KiB of traffic between regions",
)
.unit("ms")
.range(0, 10_000)
.default_value("40");
const LOG: SettingSpec<LogFilter> = SettingSpec::new(
    "log",
    "log levels by target, such as info or warn,kumquatlock::call=debug",
)
.default_value("info");

/// Run the node until SIGTERM or SIGINT. Each flag can also be set through its environment
/// variable; the flag takes precedence.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "serve")]
pub(crate) struct ServeCommand {
    /// name of the node and its upstream, unique in the mesh, of [a-z0-9-.] (length in bytes
    /// 1..=63, default none, variable KUMQUATLOCK_NAME)
    #[argh(option)]
    name: Option<String>,
    /// availability zone, of [a-z0-9-.] (length in bytes 1..=63, default none, variable
    /// KUMQUATLOCK_ZONE)
    #[argh(option)]
    zone: Option<String>,
    /// region of the zone, of [a-z0-9-.] (length in bytes 1..=63, default none, variable
    /// KUMQUATLOCK_REGION)
    #[argh(option)]
    region: Option<String>,
    /// address to listen on for other nodes, <ip>:<port>; announced to them, so they must be able
    /// to connect to it (port 1..=65535, default none, variable KUMQUATLOCK_LISTEN)
    #[argh(option)]
    listen: Option<String>,
    /// address at which other nodes reach this node, <ip>:<port>, if it differs from the listen
    /// address (port 1..=65535, default none, variable KUMQUATLOCK_ADVERTISE)
    #[argh(option)]
    advertise: Option<String>,
    /// address to listen on for callers and metrics, <ip>:<port> (port 0..=65535, default none,
    /// variable KUMQUATLOCK_HTTP)
    #[argh(option)]
    http: Option<String>,
    /// address to listen on for the upstream beside this node, <ip>:<port> (port 0..=65535, default
    /// none, variable KUMQUATLOCK_UPSTREAM_HTTP)
    #[argh(option)]
    upstream_http: Option<String>,
    /// addresses of control instances, the preferred one first, <ip>:<port>,... (entries 1..=64,
    /// default none, variable KUMQUATLOCK_PARENTS)
    #[argh(option)]
    parents: Option<String>,
    /// number of concurrent caller requests that the node is sized for (value 4..=1024 requests,
    /// default 64, variable KUMQUATLOCK_HTTP_WORKERS)
    #[argh(option)]
    http_workers: Option<String>,
    /// maximum number of connections to the upstream (value 1..=1024 connections, default 32,
    /// variable KUMQUATLOCK_UPSTREAM_CONNECTIONS)
    #[argh(option)]
    upstream_connections: Option<String>,
    /// maximum timeout that a caller may request; claims are also kept for that time, and after the
    /// loss of two of three holders of a claim its keys stay unknown for that time (value
    /// 1000..=3600000 ms, default 3600000, variable KUMQUATLOCK_LONGEST_TIMEOUT_MS)
    #[argh(option)]
    longest_timeout_ms: Option<String>,
    /// time for which claims and stored answers are retained (value 10000..=3600000 ms, default
    /// 600000, variable KUMQUATLOCK_CLAIM_RETENTION_MS)
    #[argh(option)]
    claim_retention_ms: Option<String>,
    /// memory that the process may use; bounds the bytes held for others (value 64..=1048576 MB,
    /// default 512, variable KUMQUATLOCK_MEMORY_MB)
    #[argh(option)]
    memory_mb: Option<String>,
    /// descriptors that the process may open; bounds the connections of callers (value
    /// 64..=1048576 descriptors, default 4096, variable KUMQUATLOCK_MAX_DESCRIPTORS)
    #[argh(option)]
    max_descriptors: Option<String>,
    /// time within which an API key that was taken away stops on this node, also if it is cut off
    /// from control; keys are then refused before that time; without it, a node that is cut off goes
    /// on accepting them (value 2000..=3600000 ms, default none, variable
    /// KUMQUATLOCK_REVOCATION_LIMIT_MS)
    #[argh(option)]
    revocation_limit_ms: Option<String>,
    /// window in which the requests of a client account are counted; the same for all instances
    /// and nodes (value 2000..=3600000 ms, default 5000, variable KUMQUATLOCK_QUOTA_WINDOW_MS)
    #[argh(option)]
    quota_window_ms: Option<String>,
    /// how much the requests of a window may exceed the quota; the same for all instances and
    /// nodes (value 0..=100 percent, default 10, variable KUMQUATLOCK_QUOTA_OVERAGE_PERCENT)
    #[argh(option)]
    quota_overage_percent: Option<String>,
    /// requests by which those of a window may also exceed the quota; the same for all instances
    /// and nodes (value 0..=1000000 requests, default 20, variable KUMQUATLOCK_QUOTA_SLACK)
    #[argh(option)]
    quota_slack: Option<String>,
    /// time that a call must save to be worth 1 KiB of traffic between zones of a region (value
    /// 0..=10000 ms, default 20, variable KUMQUATLOCK_ZONE_COST_MS_PER_KIB)
    #[argh(option)]
    zone_cost_ms_per_kib: Option<String>,
    /// time that a call must save to be worth 1 KiB of traffic between regions (value 0..=10000 ms,
    /// default 40, variable KUMQUATLOCK_REGION_COST_MS_PER_KIB)
    #[argh(option)]
    region_cost_ms_per_kib: Option<String>,
    /// log levels by target, such as info or warn,kumquatlock::call=debug (length in bytes
    /// 1..=1024, default info, variable KUMQUATLOCK_LOG)
    #[argh(option)]
    log: Option<String>,
}

impl ServeCommand {
    pub(crate) fn exec(self) -> eyre::Result<()> {
        let filter = LOG.resolve(self.log.as_deref(), &ProcessEnvironment)?;
        let settings = self.resolve_settings()?;
        let _log = init_logging(&filter).wrap_err("failed to start logging")?;
        let cancel = CancelToken::new();
        let stop = cancel.clone();
        let _signals = install_stop_handler(move |_| stop.cancel())
            .wrap_err("failed to install the stop handler")?;
        let name = settings.name.clone();
        run_node(settings, NodeAdapter::default(), FixedSettings, &cancel)
            .wrap_err_with(|| format!("failed to run node {name}"))
    }

    /// Returns one line per setting, for the test that compares them with the help text.
    #[cfg(test)]
    pub(super) fn describe() -> Vec<String> {
        vec![
            NAME.describe(),
            ZONE.describe(),
            REGION.describe(),
            LISTEN.describe(),
            HTTP.describe(),
            UPSTREAM_HTTP.describe(),
            PARENTS.describe(),
            HTTP_WORKERS.describe(),
            UPSTREAM_CONNECTIONS.describe(),
            LONGEST_TIMEOUT.describe(),
            CLAIM_RETENTION.describe(),
            kumquatlock::memory::MEMORY.describe(),
            kumquatlock::memory::MAX_DESCRIPTORS.describe(),
            REVOCATION_LIMIT.describe(),
            kumquatlock::quota::QUOTA_WINDOW.describe(),
            kumquatlock::quota::QUOTA_OVERAGE.describe(),
            kumquatlock::quota::QUOTA_SLACK.describe(),
            ZONE_COST.describe(),
            REGION_COST.describe(),
            LOG.describe(),
        ]
    }

    /// Resolves the settings of the node from the flags and the environment.
    fn resolve_settings(&self) -> Result<NodeSettings, SettingError> {
        let environment = &ProcessEnvironment;
        let workers = HTTP_WORKERS.resolve(self.http_workers.as_deref(), environment)?;
        let connections =
            UPSTREAM_CONNECTIONS.resolve(self.upstream_connections.as_deref(), environment)?;
        let longest_timeout =
            LONGEST_TIMEOUT.resolve(self.longest_timeout_ms.as_deref(), environment)?;
        let retention = CLAIM_RETENTION.resolve(self.claim_retention_ms.as_deref(), environment)?;
        let limit =
            REVOCATION_LIMIT.resolve_optional(self.revocation_limit_ms.as_deref(), environment)?;
        let zone_cost = ZONE_COST.resolve(self.zone_cost_ms_per_kib.as_deref(), environment)?;
        let region_cost =
            REGION_COST.resolve(self.region_cost_ms_per_kib.as_deref(), environment)?;
        let listen = LISTEN.resolve(self.listen.as_deref(), environment)?.0;
        let advertise = ADVERTISE.resolve_optional(self.advertise.as_deref(), environment)?;
        Ok(NodeSettings {
            name: NAME.resolve(self.name.as_deref(), environment)?.0,
            zone: ZONE.resolve(self.zone.as_deref(), environment)?.0,
            region: REGION.resolve(self.region.as_deref(), environment)?.0,
            listen,
            advertise: advertise.map_or(listen, |address| address.0),
            http: HTTP.resolve(self.http.as_deref(), environment)?,
            upstream_http: UPSTREAM_HTTP.resolve(self.upstream_http.as_deref(), environment)?,
            ready_http: None,
            metrics_http: None,
            parents: PARENTS.resolve(self.parents.as_deref(), environment)?.0,
            http_workers: workers.0 as usize,
            upstream_connections: connections.0 as usize,
            longest_timeout: longest_timeout.duration(),
            claim_retention: retention.duration(),
            limits: ProcessLimits::resolve(
                self.memory_mb.as_deref(),
                self.max_descriptors.as_deref(),
                environment,
            )?,
            tuning: NodeTuning {
                revocation_limit: limit.map(DurationMillis::duration),
                quota: QuotaSettings::resolve(
                    self.quota_window_ms.as_deref(),
                    self.quota_overage_percent.as_deref(),
                    self.quota_slack.as_deref(),
                    environment,
                )?,
                spill: SpillSettings {
                    zone_cost_per_kib: zone_cost.duration(),
                    region_cost_per_kib: region_cost.duration(),
                },
                ..NodeTuning::default()
            },
        })
    }
}
