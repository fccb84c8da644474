//! Roles of links, and the handling of link events by role.

use std::time::Duration;

use kumquatlock_wire::Body;
use kumquatlock_wire::agreement::{PeerMessage, peer_message::Kind};
use kumquatlock_wire::distribution::{Hello, ParentLocation, Pong};

use super::actor::{ControlActor, QueuedEvent};
use super::answer;
use super::requests::RequestRoute;
use super::settings::RoleSettings;
use crate::agreement::AgreementEvent;
use crate::core::{SharedName, Timestamp, address_from_name};
use crate::distribution::{self, ChildEvent, ChildId, ParentEvent};
use crate::transport::{LinkError, LinkEvent, LinkId, LinkScope};

/// Time after which an accepted link is closed if no message has arrived on it.
const UNKNOWN_LINK_TIMEOUT: Duration = Duration::from_secs(5);

/// Silence of the leader after which a member redirects its children to other instances. Longer
/// than several heartbeats. Short enough that a change is in force at the children within two
/// seconds of a partition.
const LEADER_SILENCE_TIMEOUT: Duration = Duration::from_millis(900);

/// Role of a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum LinkRole {
    /// Accepted; the first message determines the role.
    Unknown { since: Timestamp },
    /// Accepted from another voter, which sends its messages on it.
    FromVoter,
    /// Accepted from a node or replica.
    Child,
    /// Opened to another voter; this instance sends its messages on it.
    ToVoter(SharedName),
    /// Opened to the parent of this replica, or to a parent being probed.
    Uplink(distribution::LinkId),
}

impl ControlActor {
    /// Abandons stalled connection attempts and opens the links to other voters that are due.
    pub(super) fn connect_peers(&mut self, now: Timestamp) {
        for link in self.peers.take_stalled(now) {
            self.links.close(link);
        }
        for (name, address) in self.peers.due(now) {
            let link = self.links.connect(now, address);
            self.peers.set_connecting(now, &name, link);
            self.link_roles.insert(link, LinkRole::ToVoter(name));
        }
    }

    /// Updates the links of an open group: keeps the links that the group needs and those to
    /// instances that have recently contacted this one, and closes all others. Also updates the
    /// parents offered to the children.
    pub(super) fn update_group_links(&mut self, now: Timestamp) {
        let RoleSettings::Member { .. } = self.settings.role else {
            return;
        };
        let Some(voter) = &self.voter else {
            return;
        };
        let targets = voter.agreement.link_targets();
        for link in self.peers.set_targets(now, &targets) {
            self.links.close(link);
        }
        let voters = voter.agreement.status().voters.voters;
        let parents = voters.iter().filter_map(|voter| {
            let address = address_from_name(&voter.name)?;
            Some((address.to_string(), self.location_of(&voter.name)))
        });
        self.parent.set_offered_parents(parents.collect());
        self.check_leader_silence(now);
    }

    /// Returns the location of a voter; without names if it has not reported it yet.
    fn location_of(&self, voter: &str) -> ParentLocation {
        if *voter == *self.settings.name {
            return ParentLocation {
                zone: self.settings.zone.to_string(),
                region: self.settings.region.to_string(),
            };
        }
        let location = self.peers.location(voter);
        location.cloned().unwrap_or_default()
    }

    /// Redirects the children to other instances while the leader is silent. The children cannot
    /// notice the silence themselves, because a member that is cut off from the leader still
    /// answers them.
    fn check_leader_silence(&mut self, now: Timestamp) {
        let silence = self
            .voter
            .as_ref()
            .map(|voter| voter.agreement.leader_silence(now));
        let is_silent = silence.is_some_and(|silence| silence >= LEADER_SILENCE_TIMEOUT);
        if is_silent != self.is_leader_silent {
            self.is_leader_silent = is_silent;
            log::info!(
                silent = is_silent,
                children = self.parent.child_count();
                "leader_silence_changed"
            );
            let event = ParentEvent::LeaderSilent(is_silent);
            self.queue.push_back(QueuedEvent::Parent(event));
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
                // The unsent requests provably did not arrive. They are answered as not run before
                // `link_closed` ends the other requests of the link with an unknown outcome.
                for id in unsent {
                    if let Some(kind) = self.requests.kind(id) {
                        self.finish_request(now, id, answer::unavailable(kind, "no_leader"));
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
                self.set_voter_link_scope(&name, link);
                if let Some(voter) = &self.voter {
                    let greeting = voter.greeting(&self.settings.zone, &self.settings.region);
                    self.links.send(link, Body::Peer(greeting), None);
                }
            }
            Some(LinkRole::Uplink(attempt)) => {
                let event = ChildEvent::Connected { link: *attempt };
                self.queue.push_back(QueuedEvent::Child(event));
            }
            _ => {}
        }
    }

    fn link_received(&mut self, now: Timestamp, link: LinkId, body: Body) {
        let Some(role) = self.link_roles.get(&link) else {
            return;
        };
        match (role, body) {
            (LinkRole::Unknown { .. }, Body::Hello(hello)) => self.accept_child(link, hello),
            (LinkRole::Unknown { .. }, Body::Peer(message)) => {
                self.accept_voter(now, link, message);
            }
            // The transport has already answered the ping.
            (LinkRole::Unknown { .. }, Body::Ping(_)) => {}
            (LinkRole::Unknown { .. }, _) => self.links.close(link),
            (LinkRole::FromVoter | LinkRole::ToVoter(_), Body::Peer(message)) => {
                self.peer_received(now, link, message);
            }
            (LinkRole::FromVoter | LinkRole::ToVoter(_), _) => {}
            (LinkRole::Child, body) => {
                // The transport has already answered the ping. If the ping requests no proof, the
                // parent state only needs to know that the child is alive. It is given a `Pong`
                // instead, because it would answer a `Ping` again.
                let body = match body {
                    Body::Ping(ping) if !ping.prove => Body::Pong(Pong {
                        number: ping.number,
                        ..Pong::default()
                    }),
                    body => body,
                };
                let child = ChildId(link.0);
                let event = ParentEvent::Received { child, body };
                self.queue.push_back(QueuedEvent::Parent(event));
            }
            (LinkRole::Uplink(attempt), body) => {
                let link = *attempt;
                let event = ChildEvent::Received { link, body };
                self.queue.push_back(QueuedEvent::Child(event));
            }
        }
    }

    fn accept_child(&mut self, link: LinkId, hello: Hello) {
        self.link_roles.insert(link, LinkRole::Child);
        if *hello.region != *self.settings.region {
            self.links.set_scope(link, LinkScope::CrossRegion);
        }
        let child = ChildId(link.0);
        let body = Body::Hello(hello);
        let event = ParentEvent::Received { child, body };
        self.queue.push_back(QueuedEvent::Parent(event));
    }

    fn accept_voter(&mut self, now: Timestamp, link: LinkId, message: PeerMessage) {
        let is_open = matches!(self.settings.role, RoleSettings::Member { .. });
        if is_open {
            self.peers.add_contact(now, &message.from.name);
        }
        if !self.peers.is_peer(&message.from.name) {
            log::warn!(from = message.from.name.as_str(); "unknown_voter_refused");
            return self.links.close(link);
        }
        self.link_roles.insert(link, LinkRole::FromVoter);
        self.links.watch(now, link, true);
        self.peers.set_reachable(now, &message.from.name);
        self.connect_peers(now);
        self.set_voter_link_scope(&message.from.name, link);
        self.peer_received(now, link, message);
    }

    /// Counts the traffic of a link to or from a voter as cross-region if the voter is in another
    /// region.
    fn set_voter_link_scope(&mut self, name: &str, link: LinkId) {
        let location = self.peers.location(name);
        if location.is_some_and(|location| *location.region != *self.settings.region) {
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
                let location = ParentLocation {
                    zone: greeting.zone,
                    region: greeting.region,
                };
                self.peers.set_location(name, location);
                self.set_voter_link_scope(name, link);
                if let Some(outbound_link) = self.peers.link(name) {
                    self.set_voter_link_scope(name, outbound_link);
                }
            }
            Some(Kind::Forward(forward)) => {
                let group = self.voter.as_ref().map(|voter| voter.agreement.status());
                let is_same_group =
                    group.is_some_and(|status| status.group_id.0 == message.group_id);
                if is_same_group && message.group_id != 0 {
                    self.forward_received(now, &message.from.name, forward);
                }
            }
            _ => {
                let event = AgreementEvent::Received(message);
                self.queue.push_back(QueuedEvent::Agreement(event));
            }
        }
    }

    fn link_closed(&mut self, now: Timestamp, link: LinkId, error: &LinkError) {
        self.transfers.swap_remove(&link);
        for id in self.requests.ids_with_route(RequestRoute::Link(link)) {
            if let Some(kind) = self.requests.kind(id) {
                self.finish_request(now, id, answer::uncertain(kind, "leader_lost"));
            }
        }
        match self.link_roles.swap_remove(&link) {
            Some(LinkRole::ToVoter(name)) => {
                self.peers.set_closed(now, &name, link, &mut self.random);
                self.voter_lost(now, &name, error);
            }
            Some(LinkRole::Child) => {
                let child = ChildId(link.0);
                self.end_quota_session(child);
                let event = ParentEvent::Disconnected { child };
                self.queue.push_back(QueuedEvent::Parent(event));
            }
            Some(LinkRole::Uplink(attempt)) => self.uplink_closed(now, attempt),
            Some(LinkRole::Unknown { .. } | LinkRole::FromVoter) | None => {}
        }
    }
}
