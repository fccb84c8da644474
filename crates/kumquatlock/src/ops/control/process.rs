//! Startup and event loop of the process.

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
use super::operator::OperatorAdapter;
use super::settings::{ControlSettings, RoleSettings};
use super::voter::VoterState;
use crate::agreement::GroupMembership;
use crate::catalog::CatalogError;
use crate::core::ConfigVersion;
use crate::journal::JournalError;
use crate::memory::return_large_buffers;
use crate::transport::POLL_PRIORITY;
use crate::util::signals::{SignalError, install_stop_handler};

/// Maximum number of events returned by one poll.
const POLL_EVENTS: usize = 1_024;
/// Maximum wait of one poll.
const MAX_POLL_WAIT: Duration = Duration::from_secs(1);

/// Error that prevents a control instance from starting or ends it.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// The journal in the data directory could not be opened.
    #[error(transparent)]
    Journal(#[from] JournalError),
    /// The data directory was emptied or replaced while the process ran. After a restart, the
    /// instance rejoins its group as a learner.
    #[error("{} was replaced while it was in use", directory.display())]
    DirectoryReplaced {
        /// Path of the data directory.
        directory: PathBuf,
    },
    /// A snapshot of the log could not be decoded.
    #[error("failed to read the snapshot of index {index}: {reason}")]
    Snapshot {
        /// Last log index that the snapshot covers.
        index: u64,
        /// Why it could not be decoded.
        reason: String,
    },
    /// A validated update could not be applied to the catalog.
    #[error("failed to apply configuration version {version}: {source}")]
    Update {
        /// Version of the update.
        version: ConfigVersion,
        /// Error of the catalog.
        source: CatalogError,
    },
    /// The listener for other processes could not be bound.
    #[error("failed to listen on {address}: {source}")]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A thread for operators' requests could not be started.
    #[error("failed to start a thread: {0}")]
    Thread(#[source] io::Error),
    /// The signal handlers could not be installed.
    #[error(transparent)]
    Signals(#[from] SignalError),
    /// The poll could not be set up, or failed.
    #[error("failed to poll for events: {0}")]
    Poll(#[from] io::Error),
    /// The actor ended without having been stopped.
    #[error("the control actor ended unexpectedly: {0}")]
    Actor(String),
}

impl ControlError {
    /// Returns whether the error is transient: a later attempt to open the journal may succeed.
    pub(super) fn is_transient(&self) -> bool {
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

/// Runs a control instance until a stop signal arrives and the graceful stop is complete.
pub fn run_control(
    settings: ControlSettings,
    adapter: OperatorAdapter,
) -> Result<(), ControlError> {
    return_large_buffers();
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
    let metrics = Arc::new(ControlMetrics::new(settings.limits));
    let parts = ActorParts {
        settings: settings.clone(),
        clock,
        voter,
        metrics,
        adapter,
    };
    let actor: ActorOwn<ControlActor> =
        actor!(stakker, ControlActor::init(parts), ret_shutdown!(stakker));
    stakker.run(Instant::now(), false);
    check_running(&mut stakker)?;

    let http_address = actor.query(&mut stakker, |actor, _| actor.http_address);
    let forward = fwd_to!([actor], on_stop() as (()));
    let (stop, _stop_guard) = Channel::new(&mut stakker, forward);
    let _signals = install_stop_handler(move |signal| {
        log::info!(signal = <&str>::from(signal); "signal_received");
        stop.send(());
    })?;
    log::info!(
        instance = &*settings.name,
        listen = settings.listen.to_string().as_str(),
        http = http_address.map(|address| address.to_string()).unwrap_or_default().as_str();
        "started"
    );
    while stakker.not_shutdown() {
        let wait = stakker.next_wait_max(Instant::now(), MAX_POLL_WAIT, false);
        poll.poll(wait)?;
        stakker.run(Instant::now(), false);
    }
    let ended = check_running(&mut stakker);
    drop(actor);
    if ended.is_ok() {
        log::info!("stopped");
    }
    ended
}

fn open_voter(
    settings: &ControlSettings,
    clock: ProcessClock,
) -> Result<Option<VoterState>, ControlError> {
    let (data_dir, names, membership) = match &settings.role {
        RoleSettings::Voter { data_dir, voters } => {
            let names = voters.keys().cloned().collect();
            (data_dir, names, GroupMembership::Fixed)
        }
        RoleSettings::Member {
            data_dir,
            seeds,
            may_found,
            max_voters,
            replace_after,
        } => {
            let membership = GroupMembership::Open {
                may_form_group: *may_found,
                max_voters: *max_voters,
                replace_after: *replace_after,
            };
            (data_dir, seeds.clone(), membership)
        }
        RoleSettings::Replica { .. } => return Ok(None),
    };
    let voter = VoterState::open(settings, data_dir.clone(), names, membership, clock.now())?;
    Ok(Some(voter))
}

/// Returns the error if the actor has failed.
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
