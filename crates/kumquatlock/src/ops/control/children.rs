//! The configuration stream: towards the children and, on a replica, towards the parent.

use std::net::SocketAddr;

use indexmap::IndexMap;
use kumquatlock_wire::Body;
use kumquatlock_wire::agreement::Forward;
use kumquatlock_wire::agreement::forward::Content;
use kumquatlock_wire::distribution::{ChildRole, RetryReason};

use super::actor::{ControlActor, QueuedEvent};
use super::answer;
use super::clock::wall_clock_ms;
use super::links::LinkRole;
use super::requests::{RequestKind, RequestRoute, Requester};
use super::settings::ControlSettings;
use crate::catalog::Catalog;
use crate::core::{ConfigSnapshot, GroupId, IncarnationId, Timestamp};
use crate::distribution::{
    self, AppliedSource, ChildEvent, ChildId, ChildIdentity, ChildState, ChildStep, ParentEvent,
    ParentStep,
};
use crate::transport::LinkId;

/// Child side of the configuration stream on a replica.
pub(super) struct UplinkState {
    pub(super) child: ChildState,
    /// Transport links to the parent and to a parent being probed, by the link ids of the child. At
    /// most two.
    links: IndexMap<distribution::LinkId, LinkId>,
    /// Link on which the parent has accepted the child.
    attached: Option<distribution::LinkId>,
}

impl UplinkState {
    pub(super) fn new(settings: &ControlSettings, parents: Vec<SocketAddr>) -> Self {
        let identity = ChildIdentity {
            name: settings.name.clone(),
            incarnation: IncarnationId(wall_clock_ms()),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            role: ChildRole::Replica,
        };
        UplinkState {
            child: ChildState::new(identity, GroupId(0), parents),
            links: IndexMap::new(),
            attached: None,
        }
    }

    /// Returns the link on which the parent has accepted the child.
    pub(super) fn attached(&self) -> Option<distribution::LinkId> {
        self.attached
    }

    fn link_of(&self, attempt: distribution::LinkId) -> Option<LinkId> {
        self.links.get(&attempt).copied()
    }
}

impl ControlActor {
    pub(super) fn handle_parent(&mut self, now: Timestamp, event: ParentEvent) {
        let steps = self
            .parent
            .handle(now, event, &self.catalog, &mut self.random);
        for step in steps {
            self.execute_parent(now, step);
        }
    }

    fn execute_parent(&mut self, now: Timestamp, step: ParentStep) {
        match step {
            ParentStep::Send { children, body } => self.send_to_children(&children, body),
            ParentStep::SendDelta { children, frame } => {
                self.metrics.count_deltas(children.len());
                for child in children {
                    self.links.send_frame(LinkId(child.0), &frame);
                }
            }
            ParentStep::Close { child } => self.links.close(LinkId(child.0)),
            ParentStep::RequestProof { round } => {
                let requester = Requester::LocalProof { round };
                self.route_request(now, requester, Content::ConfirmRequest(Default::default()));
            }
            ParentStep::ForwardToLeader(body) => self.forward_to_leader(now, body),
            ParentStep::HandleRequest { child, request } => {
                let request_id = request.request_id;
                match request.content {
                    Some(Content::QuotaAsk(ask)) => self.quota_asked(now, child, &ask),
                    Some(content) => {
                        self.route_request(now, Requester::Child { child, request_id }, content);
                    }
                    None => {}
                }
            }
        }
    }

    fn send_to_children(&mut self, children: &[ChildId], body: Body) {
        match &body {
            Body::Snapshot(chunk) => {
                if chunk.offset == 0 {
                    self.metrics.count_snapshots(children.len());
                }
                let links = children.iter().map(|child| LinkId(child.0));
                self.transfers.extend(links);
            }
            Body::RetryAfter(retry) => {
                let reason = RetryReason::try_from(retry.reason).unwrap_or(RetryReason::Busy);
                self.metrics.count_retry_after(reason, children.len());
            }
            _ => {}
        }
        if let [child] = children {
            return self.links.send(LinkId(child.0), body, None);
        }
        for child in children {
            self.links.send(LinkId(child.0), body.clone(), None);
        }
    }

    /// Requests the next chunk of each snapshot transfer whose previous chunk has left the output
    /// buffer. Returns whether there was such a transfer.
    pub(super) fn continue_transfers(&mut self) -> bool {
        let links = &self.links;
        let is_sent = |link: &&LinkId| links.queued_bytes(**link).is_none_or(|bytes| bytes == 0);
        let sent: Vec<LinkId> = self.transfers.iter().filter(is_sent).copied().collect();
        for link in &sent {
            self.transfers.swap_remove(link);
            let child = ChildId(link.0);
            self.queue
                .push_back(QueuedEvent::Parent(ParentEvent::Writable { child }));
        }
        !sent.is_empty()
    }

    pub(super) fn handle_child(&mut self, now: Timestamp, event: ChildEvent) {
        let Some(uplink) = &mut self.uplink else {
            return;
        };
        for step in uplink.child.handle(now, event, &mut self.random) {
            self.execute_child(now, step);
        }
    }

    fn execute_child(&mut self, now: Timestamp, step: ChildStep) {
        match step {
            ChildStep::Connect { link, address } | ChildStep::Probe { link, address } => {
                let opened = self.links.connect(now, address);
                self.link_roles.insert(opened, LinkRole::Uplink(link));
                if let Some(uplink) = &mut self.uplink {
                    uplink.links.insert(link, opened);
                }
            }
            ChildStep::Send { link, body } => {
                let opened = self.uplink.as_ref().and_then(|uplink| uplink.link_of(link));
                if let Some(opened) = opened {
                    let ticket = ticket_of(&body);
                    self.links.send(opened, body, ticket);
                }
            }
            ChildStep::Close { link } => {
                let opened = self.uplink.as_ref().and_then(|uplink| uplink.link_of(link));
                if let Some(opened) = opened {
                    self.links.close(opened);
                }
            }
            ChildStep::Attached { link, floor } => {
                log::info!(floor = floor.0; "attached_to_parent");
                if let Some(uplink) = &mut self.uplink {
                    uplink.attached = Some(link);
                }
                self.queue
                    .push_back(QueuedEvent::Parent(ParentEvent::UplinkChanged));
            }
            ChildStep::Apply { snapshot, source } => self.apply_config(&snapshot, &source),
            ChildStep::Refused { version, refusal } => {
                let reason = refusal.to_string();
                log::warn!(version = version.0, reason = reason.as_str(); "update_refused");
            }
            ChildStep::Relayed(Forward {
                content: Some(Content::QuotaGrant(grant)),
                ..
            }) => self.quota_granted(now, &grant),
            ChildStep::Relayed(Forward {
                content: Some(Content::RecordedEnds(recorded)),
                ..
            }) => {
                let event = ParentEvent::EndsRecorded(recorded);
                self.queue.push_back(QueuedEvent::Parent(event));
            }
            ChildStep::Relayed(forward) => self.answer_received(now, forward),
            ChildStep::NotSent(Body::Forward(forward)) => {
                if let Some(kind) = self.requests.kind(forward.request_id) {
                    let answer = answer::unavailable(kind, "no_leader");
                    self.finish_request(now, forward.request_id, answer);
                }
            }
            // Reports, progress and attachments are repeated by their senders.
            ChildStep::NotSent(_) => {}
        }
    }

    /// Applies a configuration that the child state has validated.
    fn apply_config(&mut self, snapshot: &ConfigSnapshot, source: &AppliedSource) {
        let result = match source {
            AppliedSource::State(state) => {
                Catalog::from_state(state).map(|catalog| self.catalog = catalog)
            }
            AppliedSource::Delta(delta) => self.catalog.apply_delta(delta),
        };
        if let Err(error) = result {
            return self.fail(super::process::ControlError::Update {
                version: snapshot.version,
                source: error,
            });
        }
        if let Some(uplink) = &self.uplink {
            self.parent.set_group(uplink.child.group());
        }
        self.has_catalog_changed = true;
    }

    pub(super) fn uplink_closed(&mut self, now: Timestamp, attempt: distribution::LinkId) {
        let Some(uplink) = &mut self.uplink else {
            return;
        };
        uplink.links.swap_remove(&attempt);
        let was_attached = uplink.attached == Some(attempt);
        if was_attached {
            uplink.attached = None;
        }
        // Requests are sent only on the attached link, so losing a probe link fails none of them.
        let failed_ids = was_attached.then(|| self.requests.ids_with_route(RequestRoute::Parent));
        for id in failed_ids.into_iter().flatten() {
            if let Some(kind) = self.requests.kind(id) {
                self.finish_request(now, id, answer::uncertain(kind, "parent_lost"));
            }
        }
        let event = ChildEvent::Disconnected { link: attempt };
        self.queue.push_back(QueuedEvent::Child(event));
    }
}

/// Returns the ticket of a request. A closed link reports the tickets of unsent messages, which
/// shows that these requests did not leave this process.
fn ticket_of(body: &Body) -> Option<u64> {
    match body {
        Body::Forward(forward) => {
            let content = forward.content.as_ref()?;
            RequestKind::of(content).map(|_| forward.request_id)
        }
        _ => None,
    }
}
