//! Runs one stand-in upstream as a process.
//!
//! The program prints the address of the upstream as one line of JSON. On SIGTERM or SIGINT it
//! drains the upstream, waits for running requests, and tells the node that the upstream leaves. A
//! second signal ends the process at once.

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;
use eyre::{Result, WrapErr, ensure};
use kumquatlock::util::logging::{LogFilter, init_logging};
use kumquatlock::util::signals::install_stop_handler;
use kumquatlock_testkit::upstream::{
    ChainCall, ColdSpan, ColdStart, StandInUpstream, UpstreamOptions,
};

/// Run a stand-in upstream.
#[derive(FromArgs)]
struct UpstreamCommand {
    /// name of the upstream
    #[argh(option)]
    name: String,

    /// service that the upstream announces
    #[argh(option)]
    service: String,

    /// address to listen on (default 127.0.0.1:0)
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    listen: SocketAddr,

    /// address of the node's --upstream-http, to which the upstream is announced
    #[argh(option)]
    node: Option<SocketAddr>,

    /// maximum number of requests that run at once (default 10)
    #[argh(option, default = "10")]
    slots: usize,

    /// service time in ms (default 2)
    #[argh(option, default = "2")]
    service_ms: u64,

    /// maximum deviation from the service time in ms (default 0)
    #[argh(option, default = "0")]
    jitter_ms: u64,

    /// seed of the jitter (default 0)
    #[argh(option, default = "0")]
    seed: u64,

    /// duration of the cold start in ms (default 0)
    #[argh(option, default = "0")]
    cold_ms: u64,

    /// factor that the service time is multiplied by during the cold start (default 5)
    #[argh(option, default = "5.0")]
    cold_factor: f64,

    /// caller address of the node through which every request makes a nested call
    #[argh(option)]
    chain_node: Option<SocketAddr>,

    /// path of the nested call (default /)
    #[argh(option, default = "String::from(\"/\")")]
    chain_path: String,

    /// maximum time to wait for running requests before the exit, in ms (default 10000)
    #[argh(option, default = "10000")]
    drain_ms: u64,

    /// log filter (default info)
    #[argh(option, default = "String::from(\"info\")")]
    log: String,
}

impl UpstreamCommand {
    fn options(&self) -> UpstreamOptions {
        let cold_duration = Duration::from_millis(self.cold_ms);
        UpstreamOptions {
            listen: self.listen,
            slots: self.slots,
            service_time: Duration::from_millis(self.service_ms),
            jitter: Duration::from_millis(self.jitter_ms),
            seed: self.seed,
            cold_start: (!cold_duration.is_zero()).then_some(ColdStart {
                slowdown: self.cold_factor,
                span: ColdSpan::Time(cold_duration),
            }),
            chain: self.chain_node.map(|node| ChainCall {
                node,
                path: self.chain_path.clone(),
            }),
            can_close_connections: false,
            ..UpstreamOptions::new(&self.name, &self.service)
        }
    }
}

fn main() -> Result<()> {
    let command: UpstreamCommand = argh::from_env();
    ensure!(
        command.cold_factor.is_finite() && command.cold_factor >= 0.0,
        "--cold-factor must be a finite number and at least 0"
    );
    let filter: LogFilter = command.log.parse().wrap_err("invalid --log")?;
    let _log = init_logging(&filter)?;
    let (sender, stop) = std::sync::mpsc::channel();
    let _signals = install_stop_handler(move |signal| {
        // Sending fails only if the receiver is dropped, and then the process is already exiting.
        let _ = sender.send(signal);
    })?;
    let mut upstream = StandInUpstream::start(command.options())?;
    let address = serde_json::json!({ "address": upstream.address() });
    writeln!(std::io::stdout(), "{address}").wrap_err("failed to print the address")?;
    if let Some(node) = command.node {
        upstream.announce_to(node);
    }
    let signal = stop.recv().wrap_err("the signal handler has stopped")?;
    log::info!(signal:% = signal; "stopping");
    upstream.refuse_new();
    if command.node.is_some() {
        upstream
            .drain()
            .wrap_err("failed to announce the drain to the node")?;
    }
    let is_idle = upstream.wait_idle(Duration::from_millis(command.drain_ms));
    if command.node.is_some() {
        upstream
            .leave()
            .wrap_err("failed to announce the leave to the node")?;
    }
    ensure!(
        is_idle,
        "requests were still running after {} ms",
        command.drain_ms
    );
    let total = upstream.ledger().total();
    log::info!(started = total.started, finished = total.finished; "stopped");
    Ok(())
}
