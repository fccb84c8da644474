//! Telling links apart.

use std::time::Duration;

use kumquatlock_wire::Body;
use kumquatlock_wire::agreement::{PeerMessage, peer_message::Kind};
use kumquatlock_wire::distribution::{Hello, Pong};

use super::actor::{ControlActor, Work};
use super::answer;
use super::requests::RequestRoute;
use super::settings::RoleSettings;
use crate::agreement::AgreementEvent;
use crate::core::{SharedName, Timestamp, address_from_name};
use crate::distribution::{self, ChildEvent, ChildId, ParentEvent};
use crate::transport::{LinkError, LinkEvent, LinkId, LinkScope};

/// An accepted link that says nothing for this long is closed.
const UNKNOWN_LINK_TIMEOUT: Duration = Duration::from_secs(5);

/// Silence of the leader after which a member sends its children to others. Several heartbeats, and
/// short enough that a change is in force at them within two seconds of a partition.
const LEADER_SILENCE_LIMIT: Duration = Duration::from_millis(900);

/// What a link is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum LinkRole {
    /// Accepted; its first message tells.
    Unknown { since: Timestamp },
    /// Accepted from another voter, which sends on it.
    FromVoter,
    /// Accepted from a node or replica.
    Child,
    /// Opened to another voter, to send on.
    ToVoter(SharedName),
    /// Opened to the parent of this replica.
    Uplink(distribution::LinkId),
}

impl ControlActor {
    /// Opens the links to other voters that are due.
    pub(super) fn connect_peers(&mut self, now: Timestamp) {
        for link in self.peers.take_stuck(now) {
            self.links.close(link);
        }
        for (name, address) in self.peers.due(now) {
            let link = self.links.connect(now, address);
            self.peers.set_connecting(now, &name, link);
            self.link_roles.insert(link, LinkRole::ToVoter(name));
        }
    }

    /// Keeps links to the members of an open group and to those that turned to this one.
    pub(super) fn follow_group(&mut self, now: Timestamp) {
        let RoleSettings::Member { .. } = self.settings.role else {
            return;
        };
        let Some(voter) = &self.voter else {
            return;
        };
        let contacts = voter.agreement.link_targets();
        for link in self.peers.follow(now, &contacts) {
            self.links.close(link);
        }
        let voters = voter.agreement.status().voters.voters;
        let addresses = voters
            .iter()
            .filter_map(|voter| address_from_name(&voter.name));
        let parents = addresses.map(|address| address.to_string()).collect();
        self.parent.set_offered_parents(parents);
        self.follow_leader(now);
    }

    /// Sends the children elsewhere while the leader is silent. A member that is cut off from it
    /// still answers them, so they would not notice.
    fn follow_leader(&mut self, now: Timestamp) {
        let silence = self
            .voter
            .as_ref()
            .map(|voter| voter.agreement.leader_silence(now));
        let is_silent = silence.is_some_and(|silence| silence >= LEADER_SILENCE_LIMIT);
        if is_silent != self.is_leader_silent {
            self.is_leader_silent = is_silent;
            log::info!(
                silent = is_silent,
                children = self.parent.child_count();
                "leader_silence_changed"
            );
            let event = ParentEvent::LeaderSilent(is_silent);
            self.work.push_back(Work::Parent(event));
        }
    }

    pub(super) fn close_unknown_links(&mut self, now: Timestamp) {
        let is_overdue = |role: &LinkRole| {
            matches!(role, LinkRole::Unknown { since }
                if now.since(*since) >= UNKNOWN_LINK_TIMEOUT)
        };
        let overdue = self.link_roles.iter().filter(|(_, role)| is_overdue(role));
        let overdue: Vec<LinkId> = overdue.map(|(link, _)| *link).collect();
        for link in overdue {
            self.links.close(link);
        }
    }

    pub(super) fn handle_link_event(&mut self, now: Timestamp, event: LinkEvent) {
        match event {
            LinkEvent::Accepted(link, _) => {
                self.link_roles
                    .insert(link, LinkRole::Unknown { since: now });
            }
            LinkEvent::Connected(link) => self.link_connected(now, link),
            LinkEvent::Received(link, body) => self.link_received(now, link, body),
            LinkEvent::Closed {
                link,
                error,
                unsent,
            } => {
                // Before the rest of the link's requests: these provably did not arrive.
                for id in unsent {
                    if let Some(kind) = self.requests.kind(id) {
                        self.finish(now, id, answer::unavailable(kind, "no_leader"));
                    }
                }
                log::debug!(link = link.0, error = error.to_string().as_str(); "link_closed");
                self.link_closed(now, link, &error);
            }
        }
    }

    fn link_connected(&mut self, now: Timestamp, link: LinkId) {
        match self.link_roles.get(&link) {
            Some(LinkRole::ToVoter(name)) => {
                let name = name.clone();
                self.peers.set_connected(&name, link);
                self.links.watch(now, link, true);
                self.scope_voter_link(&name, link);
                if let Some(voter) = &self.voter {
                    let greeting = voter.greeting(&self.settings.region);
                    self.links.send(link, Body::Peer(greeting), None);
                }
            }
            Some(LinkRole::Uplink(attempt)) => {
                let event = ChildEvent::Connected { link: *attempt };
                self.work.push_back(Work::Child(event));
            }
            _ => {}
        }
    }

    fn link_received(&mut self, now: Timestamp, link: LinkId, body: Body) {
        let Some(role) = self.link_roles.get(&link) else {
            return;
        };
        match (role, body) {
            (LinkRole::Unknown { .. }, Body::Hello(hello)) => self.adopt_child(link, hello),
            (LinkRole::Unknown { .. }, Body::Peer(message)) => {
                self.adopt_voter(now, link, message);
            }
            // The transport has answered it.
            (LinkRole::Unknown { .. }, Body::Ping(_)) => {}
            (LinkRole::Unknown { .. }, _) => self.links.close(link),
            (LinkRole::FromVoter | LinkRole::ToVoter(_), Body::Peer(message)) => {
                self.peer_received(now, link, message);
            }
            (LinkRole::FromVoter | LinkRole::ToVoter(_), _) => {}
            (LinkRole::Child, body) => {
                // The transport has answered a ping; without a question for proof it is only a sign
                // of life to the parent state.
                let body = match body {
                    Body::Ping(ping) if !ping.prove => Body::Pong(Pong {
                        number: ping.number,
                        ..Pong::default()
                    }),
                    body => body,
                };
                let child = ChildId(link.0);
                let event = ParentEvent::Received { child, body };
                self.work.push_back(Work::Parent(event));
            }
            (LinkRole::Uplink(attempt), body) => {
                let link = *attempt;
                let event = ChildEvent::Received { link, body };
                self.work.push_back(Work::Child(event));
            }
        }
    }

    fn adopt_child(&mut self, link: LinkId, hello: Hello) {
        self.link_roles.insert(link, LinkRole::Child);
        if *hello.region != *self.settings.region {
            self.links.set_scope(link, LinkScope::CrossRegion);
        }
        let child = ChildId(link.0);
        let body = Body::Hello(hello);
        let event = ParentEvent::Received { child, body };
        self.work.push_back(Work::Parent(event));
    }

    fn adopt_voter(&mut self, now: Timestamp, link: LinkId, message: PeerMessage) {
        let is_open = matches!(self.settings.role, RoleSettings::Member { .. });
        if is_open {
            self.peers.add_guest(now, &message.from.name);
        }
        if !self.peers.is_peer(&message.from.name) {
            log::warn!(from = message.from.name.as_str(); "unknown_voter_refused");
            return self.links.close(link);
        }
        self.link_roles.insert(link, LinkRole::FromVoter);
        self.links.watch(now, link, true);
        self.peers.set_heard(now, &message.from.name);
        self.connect_peers(now);
        self.scope_voter_link(&message.from.name, link);
        self.peer_received(now, link, message);
    }

    /// Counts the traffic of a link to or from a voter as paid if its region is another one.
    fn scope_voter_link(&mut self, name: &str, link: LinkId) {
        let region = self.peers.region(name);
        if region.is_some_and(|region| *region != self.settings.region) {
            self.links.set_scope(link, LinkScope::CrossRegion);
        }
    }

    fn peer_received(&mut self, now: Timestamp, link: LinkId, message: PeerMessage) {
        if !self.peers.is_peer(&message.from.name) {
            return;
        }
        match message.kind {
            Some(Kind::Greeting(greeting)) => {
                let name = message.from.name.as_str();
                self.peers.set_region(name, &greeting.region);
                self.scope_voter_link(name, link);
                if let Some(own) = self.peers.link(name) {
                    self.scope_voter_link(name, own);
                }
            }
            Some(Kind::Forward(forward)) => {
                let group = self.voter.as_ref().map(|voter| voter.agreement.status());
                let is_own = group.is_some_and(|status| status.group_id.0 == message.group_id);
                if is_own && message.group_id != 0 {
                    self.forward_received(now, &message.from.name, forward);
                }
            }
            _ => {
                let event = AgreementEvent::Received(message);
                self.work.push_back(Work::Agreement(event));
            }
        }
    }

    fn link_closed(&mut self, now: Timestamp, link: LinkId, error: &LinkError) {
        self.transfers.swap_remove(&link);
        for id in self.requests.on_route(RequestRoute::Link(link)) {
            if let Some(kind) = self.requests.kind(id) {
                self.finish(now, id, answer::uncertain(kind, "leader_lost"));
            }
        }
        match self.link_roles.swap_remove(&link) {
            Some(LinkRole::ToVoter(name)) => {
                self.peers.set_closed(now, &name, link, &mut self.random);
                self.voter_lost(now, &name, error);
            }
            Some(LinkRole::Child) => {
                let child = ChildId(link.0);
                let event = ParentEvent::Disconnected { child };
                self.work.push_back(Work::Parent(event));
            }
            Some(LinkRole::Uplink(attempt)) => self.uplink_closed(now, attempt),
            Some(LinkRole::Unknown { .. } | LinkRole::FromVoter) | None => {}
        }
    }
}
