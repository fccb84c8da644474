//! `serve`: runs the node.

use std::net::SocketAddr;

use argh::FromArgs;
use eyre::WrapErr;
use kumquatlock::ops::node::{NodeSettings, run_node};
use kumquatlock::util::cancel::CancelToken;
use kumquatlock::util::logging::{LogFilter, init_logging};
use kumquatlock::util::settings::{
    AddressList, CheckedName, DurationMillis, ItemCount, ProcessEnvironment, SettingError,
    SettingSpec,
};
use kumquatlock::util::signals::install_stop_handler;

const NAME: SettingSpec<CheckedName> =
    SettingSpec::new("name", "name of the node and its upstream");
const ZONE: SettingSpec<CheckedName> = SettingSpec::new("zone", "availability zone");
const REGION: SettingSpec<CheckedName> = SettingSpec::new("region", "region of the zone");
const LISTEN: SettingSpec<SocketAddr> = SettingSpec::new("listen", "address for other nodes");
const ADVERTISE: SettingSpec<SocketAddr> = SettingSpec::new(
    "advertise",
    "address at which other nodes reach the listener, if it differs",
);
const HTTP: SettingSpec<SocketAddr> = SettingSpec::new("http", "address for callers and metrics");
const UPSTREAM_HTTP: SettingSpec<SocketAddr> =
    SettingSpec::new("upstream-http", "address for the upstream beside this node");
const PARENTS: SettingSpec<AddressList> =
    SettingSpec::new("parents", "control instances, the preferred one first");
const HTTP_WORKERS: SettingSpec<ItemCount> =
    SettingSpec::new("http-workers", "callers' requests in progress at once")
        .unit("requests")
        .range(4, 1_024)
        .default_value("64");
const UPSTREAM_CONNECTIONS: SettingSpec<ItemCount> =
    SettingSpec::new("upstream-connections", "connections to the upstream")
        .unit("connections")
        .range(1, 1_024)
        .default_value("32");
const CLAIM_RETENTION: SettingSpec<DurationMillis> = SettingSpec::new(
    "claim-retention-ms",
    "how long claims and kept answers are remembered",
)
.unit("ms")
.range(10_000, 3_600_000)
.default_value("600000");
const LOG: SettingSpec<LogFilter> =
    SettingSpec::new("log", "log filter, such as info or kumquatlock=debug").default_value("info");

/// Run the node. Every flag can also be given as an environment variable KUMQUATLOCK_<FLAG>, with
/// underscores for dashes; the flag goes first.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "serve")]
pub(crate) struct ServeCommand {
    /// name of the node and its upstream: 1 to 63 of a-z, 0-9, '-' and '.'
    #[argh(option)]
    name: Option<String>,
    /// availability zone
    #[argh(option)]
    zone: Option<String>,
    /// region of the zone
    #[argh(option)]
    region: Option<String>,
    /// address for other nodes, ip:port
    #[argh(option)]
    listen: Option<String>,
    /// address at which other nodes reach the listener, ip:port (default: the listen address)
    #[argh(option)]
    advertise: Option<String>,
    /// address for callers and metrics, ip:port
    #[argh(option)]
    http: Option<String>,
    /// address for the upstream beside this node, ip:port
    #[argh(option)]
    upstream_http: Option<String>,
    /// control instances, ip:port,ip:port, the preferred one first
    #[argh(option)]
    parents: Option<String>,
    /// callers' requests in progress at once, 4 to 1024 (default 64)
    #[argh(option)]
    http_workers: Option<String>,
    /// connections to the upstream, 1 to 1024 (default 32)
    #[argh(option)]
    upstream_connections: Option<String>,
    /// milliseconds for which claims and kept answers are remembered, 10000 to 3600000
    /// (default 600000)
    #[argh(option)]
    claim_retention_ms: Option<String>,
    /// log filter (default info)
    #[argh(option)]
    log: Option<String>,
}

impl ServeCommand {
    pub(crate) fn exec(self) -> eyre::Result<()> {
        let filter = LOG.resolve(self.log.as_deref(), &ProcessEnvironment)?;
        let settings = self.settings()?;
        init_logging(&filter).wrap_err("failed to start logging")?;
        let cancel = CancelToken::new();
        let stop = cancel.clone();
        let _signals = install_stop_handler(move |_| stop.cancel())
            .wrap_err("failed to install the stop handler")?;
        let name = settings.name.clone();
        run_node(settings, &cancel).wrap_err_with(|| format!("failed to run node {name}"))
    }

    fn settings(&self) -> Result<NodeSettings, SettingError> {
        let source = &ProcessEnvironment;
        let workers = HTTP_WORKERS.resolve(self.http_workers.as_deref(), source)?;
        let connections =
            UPSTREAM_CONNECTIONS.resolve(self.upstream_connections.as_deref(), source)?;
        let retention = CLAIM_RETENTION.resolve(self.claim_retention_ms.as_deref(), source)?;
        let listen = LISTEN.resolve(self.listen.as_deref(), source)?;
        let advertise = ADVERTISE.resolve_optional(self.advertise.as_deref(), source)?;
        Ok(NodeSettings {
            name: NAME.resolve(self.name.as_deref(), source)?.0,
            zone: ZONE.resolve(self.zone.as_deref(), source)?.0,
            region: REGION.resolve(self.region.as_deref(), source)?.0,
            listen,
            advertise: advertise.unwrap_or(listen),
            http: HTTP.resolve(self.http.as_deref(), source)?,
            upstream_http: UPSTREAM_HTTP.resolve(self.upstream_http.as_deref(), source)?,
            parents: PARENTS.resolve(self.parents.as_deref(), source)?.0,
            http_workers: workers.0 as usize,
            upstream_connections: connections.0 as usize,
            claim_retention: retention.duration(),
        })
    }
}
