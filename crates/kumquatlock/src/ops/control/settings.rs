//! Settings of a control instance.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use indexmap::IndexMap;

use crate::core::{SharedName, name_from_address};
use crate::memory::{MAX_DESCRIPTORS, MEMORY, ProcessLimits};
use crate::quota::{QUOTA_OVERAGE, QUOTA_SLACK, QUOTA_WINDOW, QuotaSettings};
use crate::util::logging::LogFilter;
use crate::util::settings::{
    AddressList, CheckedName, DurationMillis, EnumChoice, ItemCount, NamedAddresses, SettingError,
    SettingSpec, VariableSource,
};

/// Role of a control instance in its group.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    strum::Display,
    strum::EnumIter,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum InstanceRole {
    /// Has durable storage and votes.
    Voter,
    /// Has durable storage and joins its group by itself; votes if the group makes it a voter.
    Member,
    /// Serves reads and does not vote.
    Replica,
}

/// Maximum number of seeds. The seeds are the founders of a group at its first start, and each
/// founder has to be reached once.
const MAX_FOUNDERS: usize = 5;

/// Whether a member may found its group at this start.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    strum::Display,
    strum::EnumIter,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum FoundingChoice {
    /// It may: the disks of all instances of the group are empty.
    Yes,
    /// It may not: the group exists already.
    No,
}

/// Allowed numbers of voters. An even number needs a larger quorum without tolerating more
/// failures.
const ALLOWED_GROUP_SIZES: [usize; 3] = [1, 3, 5];

/// Number of heartbeat intervals that must fit into the shortest election timeout, so that one lost
/// heartbeat does not cause an election.
const HEARTBEATS_PER_TIMEOUT: u64 = 3;

const NAME: SettingSpec<CheckedName> = SettingSpec::new(
    "name",
    "name of this instance, unique in the mesh, of [a-z0-9-.]",
);
const LISTEN: SettingSpec<SocketAddr> = SettingSpec::new(
    "listen",
    "address for nodes and other control instances, <ip>:<port>",
);
const HTTP: SettingSpec<SocketAddr> =
    SettingSpec::new("http", "address for operators and metrics, <ip>:<port>");
const DATA_DIR: SettingSpec<PathBuf> = SettingSpec::new(
    "data-dir",
    "folder of the durable state; required for a voter or member, unused by a replica",
);
const ROLE: SettingSpec<EnumChoice<InstanceRole>> =
    SettingSpec::new("role", "voter, member or replica").default_value("voter");
const VOTERS: SettingSpec<NamedAddresses> = SettingSpec::new(
    "voters",
    "all voters, this one included, <name>=<ip>:<port>,...: 1, 3 or 5; required for a \
     voter, unused by a replica",
);
const PARENTS: SettingSpec<AddressList> = SettingSpec::new(
    "parents",
    "control instances that a replica follows, the preferred one first, \
     <ip>:<port>,...; required for a replica, unused by a voter",
);
const SEEDS: SettingSpec<AddressList> = SettingSpec::new(
    "seeds",
    "listen addresses of instances through which a member joins, the founders of the group at \
     its first start, <ip>:<port>,...; required for a member, unused otherwise",
);
const FOUNDING: SettingSpec<EnumChoice<FoundingChoice>> = SettingSpec::new(
    "founding",
    "yes at the very first start of the whole group, when every disk is empty, and no \
     afterwards; used by a member only",
)
.default_value("no");
const GROUP_SIZE: SettingSpec<ItemCount> = SettingSpec::new(
    "group-size",
    "most voters of an open group; used by a member only",
)
.unit("voters")
.range(1, 9)
.default_value("5");
const REPLACE: SettingSpec<DurationMillis> = SettingSpec::new(
    "replace-ms",
    "time after which a silent voter is replaced by a member that has caught up; used by a \
     member only",
)
.unit("ms")
.range(100, 3_600_000)
.default_value("4000");
const ZONE: SettingSpec<CheckedName> =
    SettingSpec::new("zone", "availability zone of this instance, of [a-z0-9-.]");
const REGION: SettingSpec<CheckedName> =
    SettingSpec::new("region", "region of the zone, of [a-z0-9-.]");
const LOG: SettingSpec<LogFilter> = SettingSpec::new(
    "log",
    "log levels by target, such as info or warn,kumquatlock::agreement=debug",
)
.default_value("info");
const HEARTBEAT: SettingSpec<DurationMillis> =
    SettingSpec::new("heartbeat-ms", "interval between heartbeats of the leader")
        .unit("ms")
        .range(10, 10_000)
        .default_value("150");
const ELECTION_TIMEOUT: SettingSpec<DurationMillis> = SettingSpec::new(
    "election-timeout-ms",
    "shortest election timeout, at least three heartbeats; the longest is twice as long",
)
.unit("ms")
.range(50, 60_000)
.default_value("1000");
const EXPIRY: SettingSpec<DurationMillis> = SettingSpec::new(
    "expiry-ms",
    "time after which an unattached upstream is removed",
)
.unit("ms")
.range(100, 3_600_000)
.default_value("30000");

const EXPIRY_GRACE: SettingSpec<DurationMillis> = SettingSpec::new(
    "expiry-grace-ms",
    "time for which a new leader removes no upstream; complete attachment lists of replicas take \
     up to 20000 ms",
)
.unit("ms")
.range(100, 3_600_000)
.default_value("60000");

/// Flags of `serve`, as texts from the command line.
#[derive(Clone, Debug, Default)]
pub struct ControlFlags {
    pub name: Option<String>,
    pub listen: Option<String>,
    pub http: Option<String>,
    pub data_dir: Option<String>,
    pub role: Option<String>,
    pub voters: Option<String>,
    pub parents: Option<String>,
    pub zone: Option<String>,
    pub region: Option<String>,
    pub log: Option<String>,
    pub heartbeat_ms: Option<String>,
    pub election_timeout_ms: Option<String>,
    pub expiry_ms: Option<String>,
    pub expiry_grace_ms: Option<String>,
    pub seeds: Option<String>,
    pub founding: Option<String>,
    pub group_size: Option<String>,
    pub replace_ms: Option<String>,
    pub memory_mb: Option<String>,
    pub max_descriptors: Option<String>,
    pub quota_window_ms: Option<String>,
    pub quota_overage_percent: Option<String>,
    pub quota_slack: Option<String>,
}

/// Error in the settings of a control instance.
#[derive(Debug, thiserror::Error)]
pub enum ControlSettingsError {
    /// A setting is missing or malformed.
    #[error(transparent)]
    Setting(#[from] SettingError),
    /// The list of voters does not contain this instance.
    #[error("setting --voters (KUMQUATLOCK_VOTERS) does not name this instance, `{name}`")]
    NotAmongVoters {
        /// Name of this instance.
        name: SharedName,
    },
    /// The number of voters is not supported.
    #[error("setting --voters (KUMQUATLOCK_VOTERS) names {count} voters; 1, 3 or 5 are possible")]
    GroupSize {
        /// Number of voters in the list.
        count: usize,
    },
    /// The listen address of a member is not an IPv4 address. The name of a member is derived from
    /// it.
    #[error("setting --listen (KUMQUATLOCK_LISTEN) of a member must be an IPv4 address: {address}")]
    MemberAddress {
        /// Address from the settings.
        address: SocketAddr,
    },
    /// There are more seeds than a group may have founders.
    #[error("setting --seeds (KUMQUATLOCK_SEEDS) names {count} instances; at most {MAX_FOUNDERS}")]
    SeedCount {
        /// Number of seeds in the list.
        count: usize,
    },
    /// The election timeout is so short that one lost heartbeat could cause an election.
    #[error(
        "setting --election-timeout-ms (KUMQUATLOCK_ELECTION_TIMEOUT_MS) must be at least \
         {HEARTBEATS_PER_TIMEOUT} times --heartbeat-ms (KUMQUATLOCK_HEARTBEAT_MS): {election_ms} \
         and {heartbeat_ms}"
    )]
    ElectionTooShort {
        /// Shortest election timeout.
        election_ms: u64,
        /// Heartbeat interval.
        heartbeat_ms: u64,
    },
}

/// Settings that depend on the role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoleSettings {
    /// Settings of a voter.
    Voter {
        /// Directory of the journal.
        data_dir: PathBuf,
        /// Addresses of all voters by name, including this instance.
        voters: IndexMap<SharedName, SocketAddr>,
    },
    /// Settings of a member of an open group.
    Member {
        /// Directory of the journal.
        data_dir: PathBuf,
        /// Names of the seeds. The name of a member is derived from its listen address.
        seeds: Vec<SharedName>,
        /// Whether this instance may found the group at this start.
        may_found: bool,
        /// Maximum number of voters.
        max_voters: usize,
        /// Time after which a silent voter is replaced.
        replace_after: Duration,
    },
    /// Settings of a replica.
    Replica {
        /// Parents in order of preference; not empty.
        parents: Vec<SocketAddr>,
    },
}

/// Validated settings of a control instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlSettings {
    pub name: SharedName,
    pub listen: SocketAddr,
    pub http: SocketAddr,
    pub role: RoleSettings,
    pub zone: SharedName,
    pub region: SharedName,
    pub log: LogFilter,
    pub heartbeat: Duration,
    /// Shortest election timeout; the longest is twice as long.
    pub election_timeout: Duration,
    /// Time after which an unattached upstream is removed.
    pub expiry: Duration,
    /// Time for which a new leader removes no upstreams.
    pub expiry_grace: Duration,
    /// Memory and descriptors of the process.
    pub limits: ProcessLimits,
    /// Whether submissions of operators are redirected to the leader. Requires that all members
    /// serve operators on the same port.
    pub redirects: bool,
    /// Quotas of client accounts.
    pub quota: QuotaSettings,
}

impl ControlSettings {
    /// Resolves and validates all settings. Returns the error of the first invalid one.
    pub fn resolve(
        flags: &ControlFlags,
        variables: &impl VariableSource,
    ) -> Result<Self, ControlSettingsError> {
        let CheckedName(mut name) = NAME.resolve(flags.name.as_deref(), variables)?;
        let listen = LISTEN.resolve(flags.listen.as_deref(), variables)?;
        let http = HTTP.resolve(flags.http.as_deref(), variables)?;
        let EnumChoice(role) = ROLE.resolve(flags.role.as_deref(), variables)?;
        let role = match role {
            InstanceRole::Voter => resolve_voter(&name, flags, variables)?,
            InstanceRole::Member => {
                name = member_name(listen)?;
                resolve_member(flags, variables)?
            }
            InstanceRole::Replica => {
                let AddressList(parents) = PARENTS.resolve(flags.parents.as_deref(), variables)?;
                RoleSettings::Replica { parents }
            }
        };
        let CheckedName(zone) = ZONE.resolve(flags.zone.as_deref(), variables)?;
        let CheckedName(region) = REGION.resolve(flags.region.as_deref(), variables)?;
        let heartbeat = HEARTBEAT.resolve(flags.heartbeat_ms.as_deref(), variables)?;
        let election = ELECTION_TIMEOUT.resolve(flags.election_timeout_ms.as_deref(), variables)?;
        if election.0 < heartbeat.0 * HEARTBEATS_PER_TIMEOUT {
            return Err(ControlSettingsError::ElectionTooShort {
                election_ms: election.0,
                heartbeat_ms: heartbeat.0,
            });
        }
        Ok(ControlSettings {
            name,
            listen,
            http,
            role,
            zone,
            region,
            log: LOG.resolve(flags.log.as_deref(), variables)?,
            heartbeat: heartbeat.duration(),
            election_timeout: election.duration(),
            expiry: EXPIRY
                .resolve(flags.expiry_ms.as_deref(), variables)?
                .duration(),
            expiry_grace: EXPIRY_GRACE
                .resolve(flags.expiry_grace_ms.as_deref(), variables)?
                .duration(),
            limits: ProcessLimits::resolve(
                flags.memory_mb.as_deref(),
                flags.max_descriptors.as_deref(),
                variables,
            )?,
            redirects: false,
            quota: QuotaSettings::resolve(
                flags.quota_window_ms.as_deref(),
                flags.quota_overage_percent.as_deref(),
                flags.quota_slack.as_deref(),
                variables,
            )?,
        })
    }

    /// Returns a description line for each setting of `serve`, as in the help text.
    pub fn describe() -> Vec<String> {
        vec![
            NAME.describe(),
            LISTEN.describe(),
            HTTP.describe(),
            DATA_DIR.describe(),
            ROLE.describe(),
            VOTERS.describe(),
            PARENTS.describe(),
            ZONE.describe(),
            REGION.describe(),
            LOG.describe(),
            HEARTBEAT.describe(),
            ELECTION_TIMEOUT.describe(),
            EXPIRY.describe(),
            EXPIRY_GRACE.describe(),
            SEEDS.describe(),
            FOUNDING.describe(),
            GROUP_SIZE.describe(),
            REPLACE.describe(),
            MEMORY.describe(),
            MAX_DESCRIPTORS.describe(),
            QUOTA_WINDOW.describe(),
            QUOTA_OVERAGE.describe(),
            QUOTA_SLACK.describe(),
        ]
    }
}

/// Returns the name of a member. It encodes the address, so that other members can connect to the
/// member without a list of instances.
fn member_name(listen: SocketAddr) -> Result<SharedName, ControlSettingsError> {
    match listen {
        SocketAddr::V4(address) => Ok(name_from_address(address)),
        SocketAddr::V6(_) => Err(ControlSettingsError::MemberAddress { address: listen }),
    }
}

fn resolve_member(
    flags: &ControlFlags,
    variables: &impl VariableSource,
) -> Result<RoleSettings, ControlSettingsError> {
    let AddressList(seeds) = SEEDS.resolve(flags.seeds.as_deref(), variables)?;
    if seeds.len() > MAX_FOUNDERS {
        let count = seeds.len();
        return Err(ControlSettingsError::SeedCount { count });
    }
    let EnumChoice(founding) = FOUNDING.resolve(flags.founding.as_deref(), variables)?;
    Ok(RoleSettings::Member {
        data_dir: DATA_DIR.resolve(flags.data_dir.as_deref(), variables)?,
        seeds: seeds
            .into_iter()
            .map(member_name)
            .collect::<Result<_, _>>()?,
        may_found: founding == FoundingChoice::Yes,
        max_voters: GROUP_SIZE
            .resolve(flags.group_size.as_deref(), variables)?
            .0 as usize,
        replace_after: REPLACE
            .resolve(flags.replace_ms.as_deref(), variables)?
            .duration(),
    })
}

fn resolve_voter(
    name: &SharedName,
    flags: &ControlFlags,
    variables: &impl VariableSource,
) -> Result<RoleSettings, ControlSettingsError> {
    let data_dir = DATA_DIR.resolve(flags.data_dir.as_deref(), variables)?;
    let NamedAddresses(voters) = VOTERS.resolve(flags.voters.as_deref(), variables)?;
    if !voters.contains_key(name) {
        let name = name.clone();
        return Err(ControlSettingsError::NotAmongVoters { name });
    }
    if !ALLOWED_GROUP_SIZES.contains(&voters.len()) {
        let count = voters.len();
        return Err(ControlSettingsError::GroupSize { count });
    }
    Ok(RoleSettings::Voter { data_dir, voters })
}
