//! Start and main loop of the process.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use stakker::sync::Channel;
use stakker::{ActorOwn, Stakker, StopCause, actor, fwd_to, ret_shutdown};
use stakker_mio::MioPoll;
use stakker_mio::mio::{Events, Poll};

use super::actor::{ActorParts, ControlActor};
use super::clock::ProcessClock;
use super::metrics::ControlMetrics;
use super::operator::{self, OperatorAdapter, OperatorCall};
use super::settings::{ControlSettings, RoleSettings};
use super::voter::VoterDuty;
use crate::agreement::GroupMembership;
use crate::catalog::CatalogError;
use crate::core::ConfigVersion;
use crate::http::{HttpServer, ServerError};
use crate::journal::JournalError;
use crate::transport::POLL_PRIORITY;
use crate::util::signals::{SignalError, install_stop_handler};

/// Operator requests that are answered at once; more wait.
const HTTP_WORKERS: usize = 8;
/// Events that one poll takes.
const POLL_EVENTS: usize = 1_024;
/// Longest wait of one poll.
const MAX_POLL_WAIT: Duration = Duration::from_secs(1);

/// Why a control instance could not start or had to end.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// The data folder could not be opened.
    #[error(transparent)]
    Journal(#[from] JournalError),
    /// The data folder was emptied or replaced while the process ran. After a restart the
    /// instance comes back as a learner.
    #[error("{} was replaced while it was in use", folder.display())]
    FolderReplaced {
        /// The folder.
        folder: PathBuf,
    },
    /// A log snapshot could not be read.
    #[error("failed to read the snapshot of index {index}: {reason}")]
    Snapshot {
        /// Last log index of the snapshot.
        index: u64,
        /// What is wrong with it.
        reason: String,
    },
    /// A checked update did not fit the catalog.
    #[error("failed to take over configuration version {version}: {source}")]
    Update {
        /// Version of the update.
        version: ConfigVersion,
        /// What is wrong with it.
        source: CatalogError,
    },
    /// The address for other processes could not be bound.
    #[error("failed to listen on {address}: {source}")]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// What the platform reported.
        source: io::Error,
    },
    /// The operator server could not start.
    #[error(transparent)]
    Http(#[from] ServerError),
    /// The signal handlers could not be installed.
    #[error(transparent)]
    Signals(#[from] SignalError),
    /// The poll loop failed.
    #[error("failed to poll for events: {0}")]
    Poll(#[from] io::Error),
    /// The actor ended without a stop.
    #[error("the control actor ended: {0}")]
    Actor(String),
}

impl ControlError {
    /// Whether the journal may be opened by a later attempt.
    pub(super) fn may_pass(&self) -> bool {
        matches!(
            self,
            ControlError::Journal(
                JournalError::StorageFull { .. }
                    | JournalError::Io { .. }
                    | JournalError::DirectoryInUse { .. }
            )
        )
    }
}

/// Runs a control instance until a signal stops it.
pub fn run_control(
    settings: ControlSettings,
    adapter: OperatorAdapter,
) -> Result<(), ControlError> {
    let settings = Arc::new(settings);
    let clock = ProcessClock::start();
    let voter = open_voter(&settings, clock)?;
    let mut stakker = Stakker::new(Instant::now());
    let poll = MioPoll::new(
        &mut stakker,
        Poll::new()?,
        Events::with_capacity(POLL_EVENTS),
        POLL_PRIORITY,
    )?;
    let metrics = Arc::new(ControlMetrics::new());
    let parts = ActorParts {
        settings: settings.clone(),
        clock,
        voter,
        metrics: metrics.clone(),
    };
    let actor: ActorOwn<ControlActor> =
        actor!(stakker, ControlActor::init(parts), ret_shutdown!(stakker));
    stakker.run(Instant::now(), false);
    check_running(&mut stakker)?;

    let forward = fwd_to!([actor], on_operator() as (OperatorCall));
    let (calls, calls_guard) = Channel::new(&mut stakker, forward);
    let forward = fwd_to!([actor], on_stop() as (()));
    let (stop, _stop_guard) = Channel::new(&mut stakker, forward);
    let handler = operator::handler(adapter, calls, metrics);
    let server = HttpServer::start(settings.http, HTTP_WORKERS, handler)?;
    let _signals = install_stop_handler(move |signal| {
        log::info!(signal = <&str>::from(signal); "signal_received");
        stop.send(());
    })?;
    log::info!(
        instance = &*settings.name,
        listen = settings.listen.to_string().as_str(),
        http = server.address().to_string().as_str();
        "started"
    );
    while stakker.not_shutdown() {
        let wait = stakker.next_wait_max(Instant::now(), MAX_POLL_WAIT, false);
        poll.poll(wait)?;
        stakker.run(Instant::now(), false);
    }
    let ended = check_running(&mut stakker);
    // Requests that the actor did not see are answered as such, answers that it gave still leave.
    drop(calls_guard);
    drop(server);
    drop(actor);
    if ended.is_ok() {
        log::info!("stopped");
    }
    ended
}

fn open_voter(
    settings: &ControlSettings,
    clock: ProcessClock,
) -> Result<Option<VoterDuty>, ControlError> {
    let (data_dir, names, membership) = match &settings.role {
        RoleSettings::Voter { data_dir, voters } => {
            let names = voters.keys().cloned().collect();
            (data_dir, names, GroupMembership::Fixed)
        }
        RoleSettings::Member {
            data_dir,
            seeds,
            founds,
            size,
            replace_after,
        } => {
            let membership = GroupMembership::Open {
                may_form_group: *founds,
                max_voters: *size,
                replace_after: *replace_after,
            };
            (data_dir, seeds.clone(), membership)
        }
        RoleSettings::Replica { .. } => return Ok(None),
    };
    let voter = VoterDuty::open(settings, data_dir.clone(), names, membership, clock.now())?;
    Ok(Some(voter))
}

/// The error of an actor that has failed.
fn check_running(stakker: &mut Stakker) -> Result<(), ControlError> {
    match stakker.shutdown_reason() {
        None | Some(StopCause::Stopped) => Ok(()),
        Some(StopCause::Failed(error)) => match error.downcast::<ControlError>() {
            Ok(error) => Err(*error),
            Err(error) => Err(ControlError::Actor(error.to_string())),
        },
        Some(cause) => Err(ControlError::Actor(format!("{cause:?}"))),
    }
}
