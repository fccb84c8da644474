//! Quotas of client accounts at a control instance: as a parent for its children, and as the leader
//! for the parents.

use std::sync::Arc;

use kumquatlock_wire::Body;
use kumquatlock_wire::agreement::forward::Content;
use kumquatlock_wire::distribution::AccountItem;
use kumquatlock_wire::quota::{QuotaAsk, QuotaGrant};

use super::actor::{ControlActor, QueuedEvent};
use super::links::LEADER_SILENCE_TIMEOUT;
use super::requests::forward_message;
use super::settings::ControlSettings;
use crate::core::{AccountQuota, SharedName, Timestamp};
use crate::distribution::{self, ChildEvent, ChildId};
use crate::quota::{QuotaLimits, QuotaParent, QuotaPool};
use crate::transport::LinkId;
use crate::util::boot_clock::BootClock;

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
    /// Tokens also expire while the machine is suspended.
    clock: BootClock,
    parent: QuotaParent<ChildId>,
    /// Present while this instance leads.
    pool: Option<QuotaPool<SharedName>>,
    uplink: QuotaUplink,
    limits: Arc<QuotaLimits>,
    nodes: usize,
    /// Number of voters that share the voters' part when it was last logged.
    logged_share: Option<usize>,
    is_pool_logged: bool,
}

impl QuotaState {
    pub(super) fn new(settings: &ControlSettings, seed: u64) -> Self {
        QuotaState {
            clock: BootClock::start(),
            parent: QuotaParent::new(settings.quota, seed),
            pool: None,
            uplink: QuotaUplink::None,
            limits: Arc::default(),
            nodes: 0,
            logged_share: None,
            is_pool_logged: false,
        }
    }

    /// Returns the time on the clock of the quotas.
    pub(super) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Returns the parent and the leader's pool, for metrics.
    pub(super) fn granters(&self) -> (&QuotaParent<ChildId>, Option<&QuotaPool<SharedName>>) {
        (&self.parent, self.pool.as_ref())
    }
}

impl ControlActor {
    /// Begins or ends the leader's pool.
    pub(super) fn change_quota_leadership(&mut self, is_leader: bool) {
        // A leader that is cut off from a quorum steps down after the longest election timeout.
        let step_down_time = 2 * self.settings.election_timeout;
        let quota = &mut self.quota;
        let now = quota.now();
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
        let quotas = accounts.filter_map(|item| Some((item.name.as_str().into(), quota_of(item)?)));
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
        let quota_now = self.quota.now();
        let voters = self.voter.as_ref().and_then(|voter| {
            let set = voter.agreement.status().voters;
            let is_voter = set.voters.contains(&voter.identity);
            is_voter.then_some(set.voters.len())
        });
        let voter = self.voter.as_ref();
        let silence = voter.map(|voter| voter.agreement.leader_silence(now));
        let is_leader_heard = silence.is_some_and(|silence| silence < LEADER_SILENCE_TIMEOUT);
        let uplink = self.find_quota_uplink();
        let quota = &mut self.quota;
        quota
            .parent
            .update_share(quota_now, voters, is_leader_heard);
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
    pub(super) fn quota_asked(&mut self, child: ChildId, ask: &QuotaAsk) {
        let now = self.quota.now();
        let grant = self.quota.parent.on_ask(now, &child, ask);
        self.send_quota_grants(grant.map(|grant| (child, grant)));
    }

    /// Handles the ask of a parent, if this instance leads.
    pub(super) fn quota_asked_by_voter(&mut self, from: &str, ask: &QuotaAsk) {
        let now = self.quota.now();
        let pool = self.quota.pool.as_mut();
        let grant = pool.and_then(|pool| pool.on_ask(now, &from.into(), ask));
        // A parent that is not connected begins a new session.
        if let (Some(grant), Some(link)) = (grant, self.peers.link(from)) {
            let message = forward_message(0, Content::QuotaGrant(grant));
            self.send_to_voter(link, message, None);
        }
    }

    /// Handles the answer of the granter above.
    pub(super) fn quota_granted(&mut self, grant: &QuotaGrant) {
        let now = self.quota.now();
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
    pub(super) fn send_quota_ask(&mut self) -> bool {
        let quota_now = self.quota.now();
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
                    self.quota_granted(&grant);
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

fn quota_of(item: &AccountItem) -> Option<AccountQuota> {
    let rate_millis = std::num::NonZeroU64::new(item.quota_millis)?;
    Some(AccountQuota {
        rate_millis,
        burst: item.burst,
    })
}
