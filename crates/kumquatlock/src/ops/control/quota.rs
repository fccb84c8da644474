//! Quotas of client accounts at a control instance: as a parent for its children, and as the leader
//! for the parents.

use std::sync::Arc;
use std::time::Duration;

use kumquatlock_wire::Body;
use kumquatlock_wire::agreement::forward::Content;
use kumquatlock_wire::quota::{QuotaAsk, QuotaGrant};

use super::actor::{ControlActor, QueuedEvent};
use super::requests::forward_message;
use super::settings::{ControlSettings, RoleSettings};
use super::voter::VoterState;
use crate::core::{AccountQuota, SharedName, Timestamp};
use crate::distribution::{self, ChildEvent, ChildId, ParentEvent};
use crate::quota::{ParentShare, QuotaLimits, QuotaParent, QuotaPool, ShareStart};
use crate::transport::LinkId;
use crate::util::boot_clock::SuspensionClock;

/// Interval between currency proofs for the share of a voter. A few of them fit into the time for
/// which one allows the use of the share.
const SHARE_PROOF_INTERVAL: Duration = Duration::from_millis(1_000);
/// Smallest suspension that is noticed. The two clocks are not read at the same moment, and a shorter
/// one makes no difference to a proof that counts for seconds.
const SUSPENSION_TOLERANCE: Duration = Duration::from_millis(100);

/// The granter above this instance.
#[derive(Clone, Debug, PartialEq, Eq)]
enum QuotaUplink {
    None,
    /// This instance leads.
    Local,
    /// The leader, on this link.
    Leader(SharedName, LinkId),
    /// The parent of this replica.
    Parent(distribution::LinkId),
}

/// State of the quotas at a control instance.
pub(super) struct QuotaState {
    suspension: SuspensionClock,
    parent: QuotaParent<ChildId>,
    /// Present while this instance leads.
    pool: Option<QuotaPool<SharedName>>,
    uplink: QuotaUplink,
    limits: Arc<QuotaLimits>,
    nodes: usize,
    /// Number of voters that share the voters' part when it was last logged.
    logged_share: Option<usize>,
    is_pool_logged: bool,
    /// Suspension that was last noticed, and when, on the steady clock. Proofs of before don't count:
    /// their age leaves the suspension out.
    suspended: Duration,
    resumed_at: Timestamp,
    /// When a proof for the share was last requested.
    renewed_at: Timestamp,
}

impl QuotaState {
    pub(super) fn new(
        now: Timestamp,
        settings: &ControlSettings,
        voter: Option<&VoterState>,
        seed: u64,
    ) -> Self {
        let share = ParentShare::new(now, share_start(settings, voter));
        QuotaState {
            suspension: SuspensionClock::start(),
            parent: QuotaParent::new(settings.quota, share, seed),
            pool: None,
            uplink: QuotaUplink::None,
            limits: Arc::default(),
            nodes: 0,
            logged_share: None,
            is_pool_logged: false,
            suspended: Duration::ZERO,
            resumed_at: now,
            renewed_at: now,
        }
    }

    /// Returns when the voter set was last proved current, on the clock of the quotas, if that was
    /// `age` ago.
    fn proved_at(&mut self, now: Timestamp, age: Option<Duration>) -> Option<Timestamp> {
        let suspended = self.suspension.suspended();
        if suspended > self.suspended + SUSPENSION_TOLERANCE {
            self.suspended = suspended;
            self.resumed_at = now;
        }
        let age = age.filter(|age| *age <= now.since(self.resumed_at))?;
        let age = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        Some(Timestamp(self.now(now).0.saturating_sub(age)))
    }

    /// Returns the time on the clock of the quotas, which also runs while the machine is suspended.
    pub(super) fn now(&self, now: Timestamp) -> Timestamp {
        now + self.suspension.suspended()
    }

    /// Returns the parent and the leader's pool, for metrics.
    pub(super) fn granters(&self) -> (&QuotaParent<ChildId>, Option<&QuotaPool<SharedName>>) {
        (&self.parent, self.pool.as_ref())
    }
}

impl ControlActor {
    /// Begins or ends the leader's pool.
    pub(super) fn change_quota_leadership(&mut self, now: Timestamp, is_leader: bool) {
        // A leader that is cut off from a quorum steps down after the longest election timeout.
        let step_down_time = 2 * self.settings.election_timeout;
        let quota = &mut self.quota;
        let now = quota.now(now);
        quota.pool = is_leader.then(|| {
            let mut pool = QuotaPool::new(self.settings.quota, now, step_down_time);
            pool.set_limits(quota.limits.clone(), quota.nodes);
            pool
        });
        quota.is_pool_logged = false;
    }

    /// Switches to the quotas of the catalog.
    pub(super) fn refresh_quotas(&mut self) {
        let accounts = self.catalog.accounts();
        let quotas = accounts
            .filter_map(|item| Some((item.name.as_str().into(), AccountQuota::from_item(item)?)));
        let limits = Arc::new(QuotaLimits::collect(&self.settings.quota, quotas));
        let quota = &mut self.quota;
        quota.nodes = self.catalog.upstreams().count();
        quota.limits = limits.clone();
        quota.parent.set_limits(limits.clone(), quota.nodes);
        if let Some(pool) = &mut quota.pool {
            pool.set_limits(limits, quota.nodes);
        }
    }

    /// Called at each tick.
    pub(super) fn tick_quotas(&mut self, now: Timestamp) {
        let quota_now = self.quota.now(now);
        let voters = self.voter.as_ref().and_then(|voter| {
            let set = voter.agreement.status().voters;
            let is_voter = set.voters.contains(&voter.identity);
            is_voter.then_some(set.voters.len())
        });
        let proof_age = self.parent.proof_age(now);
        self.renew_share_proof(now);
        let uplink = self.find_quota_uplink();
        let quota = &mut self.quota;
        let proved_at = quota.proved_at(now, proof_age);
        quota.parent.update_share(quota_now, voters, proved_at);
        if quota.uplink != uplink {
            quota.parent.set_uplink(uplink != QuotaUplink::None);
            quota.uplink = uplink;
        }
        if let Some(pool) = &mut quota.pool {
            pool.on_tick(quota_now);
        }
        let answers = quota.parent.on_tick(quota_now);
        self.log_quota_changes(quota_now);
        self.send_quota_grants(answers);
    }

    /// Keeps the proof young on which the share of a voter depends.
    fn renew_share_proof(&mut self, now: Timestamp) {
        let is_due = now.since(self.quota.renewed_at) >= SHARE_PROOF_INTERVAL;
        if is_due && self.voter.is_some() && !self.quota.limits.is_empty() {
            self.quota.renewed_at = now;
            let max_age = SHARE_PROOF_INTERVAL;
            let event = ParentEvent::ProofNeeded { max_age };
            self.queue.push_back(QueuedEvent::Parent(event));
        }
    }

    fn find_quota_uplink(&self) -> QuotaUplink {
        if self.is_leader() {
            return QuotaUplink::Local;
        }
        if let Some(uplink) = &self.uplink {
            let link = uplink.attached();
            return link.map_or(QuotaUplink::None, QuotaUplink::Parent);
        }
        let leader = self.voter.as_ref().and_then(|voter| voter.leader.clone());
        match (leader, self.leader_link()) {
            (Some(leader), Some(link)) => QuotaUplink::Leader(leader, link),
            _ => QuotaUplink::None,
        }
    }

    fn log_quota_changes(&mut self, now: Timestamp) {
        let quota = &mut self.quota;
        let share = quota.parent.share(now);
        if share != quota.logged_share {
            quota.logged_share = share;
            log::info!(voters = share.unwrap_or(0); "quota_share_changed");
        }
        let pool = quota.pool.as_ref();
        let is_available = pool.is_some_and(|pool| pool.is_available(now));
        if is_available && !quota.is_pool_logged {
            quota.is_pool_logged = true;
            log::info!(nodes = quota.nodes; "quota_pool_available");
        }
    }

    /// Handles the ask of a child.
    pub(super) fn quota_asked(&mut self, now: Timestamp, child: ChildId, ask: &QuotaAsk) {
        let now = self.quota.now(now);
        let grant = self.quota.parent.on_ask(now, &child, ask);
        self.send_quota_grants(grant.map(|grant| (child, grant)));
    }

    /// Handles the ask of a parent, if this instance leads.
    pub(super) fn quota_asked_by_voter(&mut self, now: Timestamp, from: &str, ask: &QuotaAsk) {
        let now = self.quota.now(now);
        let pool = self.quota.pool.as_mut();
        let grant = pool.and_then(|pool| pool.on_ask(now, &from.into(), ask));
        // A parent that is not connected begins a new session.
        if let (Some(grant), Some(link)) = (grant, self.peers.link(from)) {
            let message = forward_message(0, Content::QuotaGrant(grant));
            self.send_to_voter(link, message, None);
        }
    }

    /// Handles the answer of the granter above.
    pub(super) fn quota_granted(&mut self, now: Timestamp, grant: &QuotaGrant) {
        let now = self.quota.now(now);
        let answers = self.quota.parent.on_grant(now, grant);
        self.send_quota_grants(answers);
    }

    /// Handles a child that is no longer connected.
    pub(super) fn end_quota_session(&mut self, child: ChildId) {
        self.quota.parent.end_session(&child);
    }

    fn send_quota_grants(&mut self, grants: impl IntoIterator<Item = (ChildId, QuotaGrant)>) {
        for (child, grant) in grants {
            let message = forward_message(0, Content::QuotaGrant(grant));
            let body = Body::Forward(message);
            self.links.send(LinkId(child.0), body, None);
        }
    }

    /// Asks the granter above for what is needed. Returns whether it was asked.
    pub(super) fn send_quota_ask(&mut self, now: Timestamp) -> bool {
        let quota_now = self.quota.now(now);
        let Some(ask) = self.quota.parent.poll(quota_now) else {
            return false;
        };
        match self.quota.uplink.clone() {
            QuotaUplink::None => {}
            QuotaUplink::Local => {
                let name = self.settings.name.clone();
                let pool = self.quota.pool.as_mut();
                let grant = pool.and_then(|pool| pool.on_ask(quota_now, &name, &ask));
                if let Some(grant) = grant {
                    self.quota_granted(now, &grant);
                }
            }
            QuotaUplink::Leader(_, link) => {
                let message = forward_message(0, Content::QuotaAsk(ask));
                self.send_to_voter(link, message, None);
            }
            QuotaUplink::Parent(_) => {
                let body = Body::Forward(forward_message(0, Content::QuotaAsk(ask)));
                let event = ChildEvent::Relay(body);
                self.queue.push_back(QueuedEvent::Child(event));
            }
        }
        true
    }
}

/// Returns what an instance that starts now knows about earlier shares of the voters' part.
fn share_start(settings: &ControlSettings, voter: Option<&VoterState>) -> ShareStart {
    let set = voter.map(|voter| (voter.agreement.status().voters.voters, &voter.identity));
    match (set, &settings.role) {
        (Some((voters, identity)), _) if voters.contains(identity) => {
            ShareStart::Restarted(voters.len())
        }
        // The seeds are the first voters of a group that is founded.
        (
            Some((voters, _)),
            RoleSettings::Member {
                seeds,
                may_found: true,
                ..
            },
        ) if voters.is_empty() && seeds.contains(&settings.name) => ShareStart::Founding,
        _ => ShareStart::Joining,
    }
}
