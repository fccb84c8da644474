//! `kumquatlock-control serve`: runs a control instance.

use argh::FromArgs;
use eyre::WrapErr;
use kumquatlock::ops::control::{ControlFlags, ControlSettings, OperatorAdapter, run_control};
use kumquatlock::util::logging::init_logging;
use kumquatlock::util::settings::ProcessEnvironment;

use super::EXIT_SUCCESS;

/// Run a control instance until SIGTERM or SIGINT. Each flag can also be set through its
/// environment variable; the flag takes precedence.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
pub(crate) struct ServeCommand {
    /// name of this instance, unique in the mesh, of [a-z0-9-.] (length in bytes 1..=63, default
    /// none, variable KUMQUATLOCK_NAME)
    #[argh(option)]
    name: Option<String>,
    /// address for nodes and other control instances, <ip>:<port> (port 0..=65535, default none,
    /// variable KUMQUATLOCK_LISTEN)
    #[argh(option)]
    listen: Option<String>,
    /// address for operators and metrics, <ip>:<port> (port 0..=65535, default none, variable
    /// KUMQUATLOCK_HTTP)
    #[argh(option)]
    http: Option<String>,
    /// folder of the durable state; required for a voter or member, unused by a replica (length in
    /// bytes 1..=4095, default none, variable KUMQUATLOCK_DATA_DIR)
    #[argh(option)]
    data_dir: Option<String>,
    /// voter, member or replica (length in bytes 1..=63, default voter, variable KUMQUATLOCK_ROLE)
    #[argh(option)]
    role: Option<String>,
    /// all voters, this one included, <name>=<ip>:<port>,...: 1, 3 or 5; required for a voter,
    /// unused by a replica (entries 1..=64, default none, variable KUMQUATLOCK_VOTERS)
    #[argh(option)]
    voters: Option<String>,
    /// control instances that a replica follows, the preferred one first, <ip>:<port>,...;
    /// required for a replica, unused by a voter (entries 1..=64, default none, variable
    /// KUMQUATLOCK_PARENTS)
    #[argh(option)]
    parents: Option<String>,
    /// availability zone of this instance, of [a-z0-9-.] (length in bytes 1..=63, default none,
    /// variable KUMQUATLOCK_ZONE)
    #[argh(option)]
    zone: Option<String>,
    /// region of the zone, of [a-z0-9-.] (length in bytes 1..=63, default none, variable
    /// KUMQUATLOCK_REGION)
    #[argh(option)]
    region: Option<String>,
    /// log levels by target, such as info or warn,kumquatlock::agreement=debug (length in bytes
    /// 1..=1024, default info, variable KUMQUATLOCK_LOG)
    #[argh(option)]
    log: Option<String>,
    /// interval between heartbeats of the leader (value 10..=10000 ms, default 150, variable
    /// KUMQUATLOCK_HEARTBEAT_MS)
    #[argh(option)]
    heartbeat_ms: Option<String>,
    /// shortest election timeout, at least three heartbeats; the longest is twice as long (value
    /// 50..=60000 ms, default 1000, variable KUMQUATLOCK_ELECTION_TIMEOUT_MS)
    #[argh(option)]
    election_timeout_ms: Option<String>,
    /// time after which an unattached upstream is removed (value 100..=3600000 ms, default 30000,
    /// variable KUMQUATLOCK_EXPIRY_MS)
    #[argh(option)]
    expiry_ms: Option<String>,
    /// time for which a new leader removes no upstream; complete attachment lists of replicas
    /// take up to 20000 ms (value 100..=3600000 ms, default 60000, variable
    /// KUMQUATLOCK_EXPIRY_GRACE_MS)
    #[argh(option)]
    expiry_grace_ms: Option<String>,
    /// listen addresses of instances through which a member joins, the founders of the group at
    /// its first start, <ip>:<port>,...; required for a member, unused otherwise (entries 1..=64,
    /// default none, variable KUMQUATLOCK_SEEDS)
    #[argh(option)]
    seeds: Option<String>,
    /// yes at the very first start of the whole group, when every disk is empty, and no
    /// afterwards; used by a member only (length in bytes 1..=63, default no, variable
    /// KUMQUATLOCK_FOUNDING)
    #[argh(option)]
    founding: Option<String>,
    /// most voters of an open group; used by a member only (value 1..=9 voters, default 5,
    /// variable KUMQUATLOCK_GROUP_SIZE)
    #[argh(option)]
    group_size: Option<String>,
    /// time after which a silent voter is replaced by a member that has caught up; used by a
    /// member only (value 100..=3600000 ms, default 4000, variable KUMQUATLOCK_REPLACE_MS)
    #[argh(option)]
    replace_ms: Option<String>,
    /// memory that the process may use; bounds the bytes held for others (value 64..=1048576 MB,
    /// default 512, variable KUMQUATLOCK_MEMORY_MB)
    #[argh(option)]
    memory_mb: Option<String>,
    /// descriptors that the process may open; bounds the connections of callers (value
    /// 64..=1048576 descriptors, default 4096, variable KUMQUATLOCK_MAX_DESCRIPTORS)
    #[argh(option)]
    max_descriptors: Option<String>,
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
}

impl ServeCommand {
    pub(crate) fn exec(self) -> eyre::Result<u8> {
        let flags = ControlFlags {
            name: self.name,
            listen: self.listen,
            http: self.http,
            data_dir: self.data_dir,
            role: self.role,
            voters: self.voters,
            parents: self.parents,
            zone: self.zone,
            region: self.region,
            log: self.log,
            heartbeat_ms: self.heartbeat_ms,
            election_timeout_ms: self.election_timeout_ms,
            expiry_ms: self.expiry_ms,
            expiry_grace_ms: self.expiry_grace_ms,
            seeds: self.seeds,
            founding: self.founding,
            group_size: self.group_size,
            replace_ms: self.replace_ms,
            memory_mb: self.memory_mb,
            max_descriptors: self.max_descriptors,
            quota_window_ms: self.quota_window_ms,
            quota_overage_percent: self.quota_overage_percent,
            quota_slack: self.quota_slack,
        };
        let settings = ControlSettings::resolve(&flags, &ProcessEnvironment)?;
        let _log = init_logging(&settings.log)?;
        run_control(settings, OperatorAdapter::default()).wrap_err("control instance failed")?;
        Ok(EXIT_SUCCESS)
    }
}
