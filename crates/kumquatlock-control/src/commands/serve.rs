//! `kumquatlock-control serve`

use argh::FromArgs;
use eyre::WrapErr;
use kumquatlock::ops::control::{ControlFlags, ControlSettings, run_control};
use kumquatlock::util::logging::init_logging;
use kumquatlock::util::settings::ProcessEnvironment;

use super::EXIT_DONE;

/// Run a control instance until SIGTERM or SIGINT. Each flag may also be given as the environment
/// variable KUMQUATLOCK_<FLAG>; the flag wins.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
pub(crate) struct ServeCommand {
    /// name of this instance, unique in the mesh: 1 to 63 of [a-z0-9-.]
    #[argh(option)]
    name: Option<String>,
    /// address for nodes and other control instances, <ip>:<port>
    #[argh(option)]
    listen: Option<String>,
    /// address for operators and metrics, <ip>:<port>
    #[argh(option)]
    http: Option<String>,
    /// folder of the durable state; required for a voter
    #[argh(option)]
    data_dir: Option<String>,
    /// voter or replica, default voter
    #[argh(option)]
    role: Option<String>,
    /// all voters, this one included, <name>=<ip>:<port>,...: 1, 3 or 5; required for a voter
    #[argh(option)]
    voters: Option<String>,
    /// control instances that a replica follows, the preferred one first, <ip>:<port>,...;
    /// required for a replica
    #[argh(option)]
    parents: Option<String>,
    /// availability zone of this instance: 1 to 63 of [a-z0-9-.]
    #[argh(option)]
    zone: Option<String>,
    /// region of the zone: 1 to 63 of [a-z0-9-.]
    #[argh(option)]
    region: Option<String>,
    /// log levels, such as info or warn,kumquatlock::agreement=debug, default info
    #[argh(option)]
    log: Option<String>,
    /// interval between heartbeats of the leader, 10 to 10000 ms, default 150
    #[argh(option)]
    heartbeat_ms: Option<String>,
    /// shortest election timeout, 50 to 60000 ms and at least three heartbeats, default 1000; the
    /// longest is twice as long
    #[argh(option)]
    election_timeout_ms: Option<String>,
    /// time after which an unattached upstream is removed, 100 to 3600000 ms, default 30000
    #[argh(option)]
    expiry_ms: Option<String>,
    /// time for which a new leader removes no upstream, 100 to 3600000 ms, default 60000; complete
    /// attachment lists of replicas take up to 20000 ms
    #[argh(option)]
    expiry_grace_ms: Option<String>,
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
        };
        let settings = ControlSettings::resolve(&flags, &ProcessEnvironment)?;
        init_logging(&settings.log)?;
        run_control(settings).wrap_err("control instance failed")?;
        Ok(EXIT_DONE)
    }
}
