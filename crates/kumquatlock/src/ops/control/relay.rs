//! Requests: answered here by the leader, or passed on towards it.

use std::net::SocketAddr;

use indexmap::IndexMap;
use kumquatlock_wire::Body;
use kumquatlock_wire::agreement::Forward;
use kumquatlock_wire::agreement::forward::Content;
use kumquatlock_wire::distribution::{Attachment, Progress, UpstreamReport, catalog_command};

use super::actor::{ControlActor, Work};
use super::answer;
use super::requests::{RequestAnswer, RequestKind, RequestRoute, Requester, forward};
use super::voter::VoterDuty;
use crate::agreement::{AgreementEvent, ProposalTicket, ReadIndexTicket};
use crate::core::{ConfigVersion, SharedName, Timestamp, address_from_name};
use crate::distribution::{ChildEvent, InForceCount, ParentEvent, ProgressTable, REPORTER_TIMEOUT};
use crate::manifest::ManifestDocument;
use crate::membership::{AttachmentTracker, ExpiryDecision, ExpiryTiming, RecordOutcome};
use crate::transport::{LinkError, LinkId};

/// What only the leader knows. Starts empty with each leadership.
#[derive(Debug, Default)]
pub(super) struct LeaderView {
    progress: ProgressTable,
    /// Voters that may have children of which this instance knows nothing, since when: at first
    /// all, later those that went silent. Those that ended have no children.
    unheard: IndexMap<String, Timestamp>,
    /// Present while this instance leads.
    attachments: Option<AttachmentTracker>,
    /// Place for which the last withheld removal was logged.
    withheld: Option<SharedName>,
}

impl ControlActor {
    pub(super) fn change_leadership(&mut self, now: Timestamp, is_leader: bool) {
        let limits = ExpiryTiming {
            unattached_timeout: self.settings.expiry,
            leader_grace_period: self.settings.expiry_grace,
        };
        let voters = self.voter.as_ref().filter(|voter| voter.is_leader());
        let voters = voters.map(|voter| voter.agreement.status().voters.voters);
        let voters = voters.into_iter().flatten();
        self.leader_view = LeaderView {
            unheard: voters.map(|voter| (voter.name, now)).collect(),
            attachments: is_leader.then(|| AttachmentTracker::with_timing(now, limits)),
            ..LeaderView::default()
        };
    }

    /// Removes upstreams that no parent has had attached for long. Called once per second.
    pub(super) fn expire_upstreams(&mut self, now: Timestamp) {
        let view = &mut self.leader_view;
        let Some(attachments) = &mut view.attachments else {
            return;
        };
        match attachments.expire(now, &self.catalog) {
            ExpiryDecision::Propose(expired) => {
                view.withheld = None;
                for expiry in expired {
                    log::info!(
                        upstream = expiry.name.as_str(),
                        incarnation = expiry.incarnation;
                        "upstream_expired"
                    );
                    self.propose(catalog_command::Kind::Expire(expiry));
                }
            }
            ExpiryDecision::GracePeriod => {}
            ExpiryDecision::Withheld {
                domain,
                unattached,
                total,
            } => {
                if view.withheld.as_ref() != Some(&domain) {
                    log::warn!(place = &*domain, unattached, total; "expiry_withheld");
                    view.withheld = Some(domain);
                }
            }
        }
    }

    /// Answers a request here or passes it on towards the leader.
    pub(super) fn ask(&mut self, now: Timestamp, requester: Requester, content: Content) {
        let Some(kind) = RequestKind::of(&content) else {
            return;
        };
        if let (Requester::Operator(_), RequestKind::Submit, false) =
            (&requester, kind, self.is_leader())
            && let Some(address) = self.leader_address()
        {
            // A manifest is large, and the link to the leader may be paid by volume.
            let answer = RequestAnswer::Elsewhere(address);
            return self.deliver(now, requester, kind, answer);
        }
        // A voter forwards only to whom it takes for the leader; passing on again could go round.
        let is_last_hop = matches!(requester, Requester::Voter { .. });
        let id = match self.requests.insert(now, requester, kind) {
            Ok(id) => id,
            Err(requester) => {
                let answer = answer::unavailable(kind, "busy");
                return self.deliver(now, requester, kind, answer);
            }
        };
        if self.is_leader() {
            self.serve(now, id, content);
        } else if let (Some(link), false) = (self.leader_link(), is_last_hop) {
            self.requests.set_route(id, RequestRoute::Link(link));
            self.send_to_voter(link, forward(id, content), Some(id));
        } else if self.uplink.is_some() {
            self.requests.set_route(id, RequestRoute::Parent);
            let body = Body::Forward(forward(id, content));
            self.work.push_back(Work::Child(ChildEvent::Relay(body)));
        } else {
            let voter = self.voter.as_ref();
            let reason = voter.map_or("no_leader", VoterDuty::unavailable_reason);
            self.finish(now, id, answer::unavailable(kind, reason));
        }
    }

    /// Answers a request as the leader.
    fn serve(&mut self, now: Timestamp, id: u64, content: Content) {
        match content {
            Content::Submit(text) => {
                self.requests.keep_text(id, text.clone());
                self.decide_submission(now, id, &text);
            }
            Content::StatusRequest(request) => {
                let answer = self.show(now, request.manifest_version);
                self.finish(now, id, answer);
            }
            Content::ConfirmRequest(_) => {
                let event = AgreementEvent::RequestReadIndex(ReadIndexTicket(id));
                self.work.push_back(Work::Agreement(event));
            }
            _ => {}
        }
    }

    /// Decides on a submission by what the catalog has applied, or proposes what it changes.
    fn decide_submission(&mut self, now: Timestamp, id: u64, text: &[u8]) {
        let document = match ManifestDocument::parse(text) {
            Ok(document) => document,
            Err(error) => return self.finish(now, id, answer::invalid_manifest(&error)),
        };
        if let Some(decision) = self.catalog.preview_manifest(&document) {
            // What the catalog has applied is final.
            return self.finish(now, id, answer::decided_manifest(&decision));
        }
        let change = self.catalog.diff_manifest(document);
        self.propose_with(ProposalTicket(id), catalog_command::Kind::Change(change));
    }

    /// Takes the difference of a submission anew, after another manifest came before it.
    pub(super) fn submit_again(&mut self, now: Timestamp, id: u64) {
        if let Some(text) = self.requests.text(id) {
            self.decide_submission(now, id, &text);
        }
    }

    /// Operators' address of the leader, if it is another member and operators are sent there.
    fn leader_address(&self) -> Option<SocketAddr> {
        let leader = self.voter.as_ref()?.leader.as_deref()?;
        let leader = address_from_name(leader).filter(|_| self.settings.redirects)?;
        Some(SocketAddr::new(leader.ip(), self.settings.http.port()))
    }

    fn show(&self, now: Timestamp, manifest_version: Option<u64>) -> RequestAnswer {
        let is_complete = self.has_whole_view(now);
        let count = |version| (self.leader_view.progress.count(now, version), is_complete);
        answer::shown_manifest(&self.catalog, manifest_version, count)
    }

    /// Whether every voter's progress is known, or the voter has been silent for so long that its
    /// children have left it.
    fn has_whole_view(&self, now: Timestamp) -> bool {
        let mut unheard = self.leader_view.unheard.values();
        unheard.all(|since| now.since(*since) >= REPORTER_TIMEOUT)
    }

    /// The link to another voter is gone. A voter that ended has lost its children too; one that
    /// is only silent may still have them.
    pub(super) fn voter_lost(&mut self, now: Timestamp, name: &str, error: &LinkError) {
        let is_leader = self.is_leader();
        let view = &mut self.leader_view;
        view.progress.remove(name);
        // A refused connection shows it as well.
        let has_ended = matches!(error, LinkError::ClosedByPeer | LinkError::Socket(_));
        if has_ended {
            view.unheard.swap_remove(name);
        } else if is_leader {
            view.unheard.insert(name.to_owned(), now);
        }
    }

    /// Progress of all attached nodes, as far as this instance knows.
    pub(super) fn attached_count(&self, now: Timestamp, version: ConfigVersion) -> InForceCount {
        if self.is_leader() {
            return self.leader_view.progress.count(now, version);
        }
        let own = self.parent.progress(&self.catalog);
        InForceCount {
            attached: own.nodes,
            applied: own.current_nodes,
        }
    }

    /// Ends a request with its answer. Later answers to it are ignored.
    pub(super) fn finish(&mut self, now: Timestamp, id: u64, answer: RequestAnswer) {
        if let Some(request) = self.requests.take(id) {
            self.deliver(now, request.requester, request.kind, answer);
        }
    }

    fn deliver(
        &mut self,
        now: Timestamp,
        requester: Requester,
        kind: RequestKind,
        answer: RequestAnswer,
    ) {
        match requester {
            Requester::Operator(slot) => {
                if let (RequestKind::Submit, RequestAnswer::Operator { status, .. }) =
                    (kind, &answer)
                {
                    self.metrics.count_submission(*status);
                }
                slot.answer(answer::response(answer));
            }
            Requester::Reader(slot) => match answer {
                RequestAnswer::Confirm(Some(index)) => self.read_source(now, index, slot),
                _ => slot.answer(answer::response(answer::not_run("not_current"))),
            },
            Requester::Voter { name, request_id } => {
                // The other voter's request times out if it is not connected.
                if let Some(link) = self.peers.link(&name) {
                    let reply = forward(request_id, answer.into_content(kind));
                    self.send_to_voter(link, reply, None);
                }
            }
            Requester::Child { child, request_id } => {
                let reply = forward(request_id, answer.into_content(kind));
                self.links.send(LinkId(child.0), Body::Forward(reply), None);
            }
            Requester::OwnProof { round } => {
                let index = match answer {
                    RequestAnswer::Confirm(index) => index,
                    RequestAnswer::Operator { .. } | RequestAnswer::Elsewhere(_) => None,
                };
                let event = ParentEvent::ProofResult { round, index };
                self.work.push_back(Work::Parent(event));
            }
        }
    }

    pub(super) fn expire_requests(&mut self, now: Timestamp) {
        for id in self.requests.overdue(now) {
            if let Some(kind) = self.requests.kind(id) {
                self.finish(now, id, answer::uncertain(kind, "timeout"));
            }
        }
    }

    /// A request or answer from another voter.
    pub(super) fn forward_received(&mut self, now: Timestamp, from: &str, message: Forward) {
        let Some(content) = &message.content else {
            return;
        };
        if RequestKind::of(content).is_some() {
            let request_id = message.request_id;
            let name = from.into();
            if let Some(content) = message.content {
                self.ask(now, Requester::Voter { name, request_id }, content);
            }
            return;
        }
        match message.content {
            Some(Content::Report(report)) => self.take_up(now, Body::Report(report)),
            Some(Content::Progress(progress)) => self.take_up(now, Body::Progress(progress)),
            Some(Content::Attachment(attachment)) => {
                self.take_up(now, Body::Attachment(attachment));
            }
            _ => self.answer_received(now, message),
        }
    }

    /// The answer of another instance to a request that was passed on.
    pub(super) fn answer_received(&mut self, now: Timestamp, message: Forward) {
        let answer = message.content.and_then(RequestAnswer::from_content);
        if let Some(answer) = answer {
            self.finish(now, message.request_id, answer);
        }
    }

    /// Passes a message on towards the leader. It is repeated by its sender, so a lost one is not
    /// answered.
    pub(super) fn forward_up(&mut self, now: Timestamp, body: Body) {
        if self.is_leader() {
            return self.take_up(now, body);
        }
        if let Some(link) = self.leader_link() {
            let content = match body {
                Body::Report(report) => Content::Report(report),
                Body::Progress(progress) => Content::Progress(progress),
                Body::Attachment(attachment) => Content::Attachment(attachment),
                _ => return,
            };
            self.send_to_voter(link, forward(0, content), None);
        } else if self.uplink.is_some() {
            self.work.push_back(Work::Child(ChildEvent::Relay(body)));
        }
    }

    /// Takes a message that was on its way to the leader. It is dropped if the leadership moved.
    fn take_up(&mut self, now: Timestamp, body: Body) {
        if !self.is_leader() {
            return;
        }
        match body {
            Body::Report(report) => self.take_report(report),
            Body::Progress(progress) => self.take_progress(now, progress),
            Body::Attachment(attachment) => self.take_attachment(now, &attachment),
            _ => {}
        }
    }

    fn take_report(&mut self, report: UpstreamReport) {
        if self.catalog.is_changed_by(&report) {
            self.propose(catalog_command::Kind::Report(report));
        }
    }

    fn take_attachment(&mut self, now: Timestamp, attachment: &Attachment) {
        let Some(attachments) = &mut self.leader_view.attachments else {
            return;
        };
        if attachments.record(now, attachment) == RecordOutcome::TooManyReporters {
            log::warn!(reporter = attachment.reporter.as_str(); "attachment_refused");
        }
    }

    fn take_progress(&mut self, now: Timestamp, progress: Progress) {
        self.leader_view.unheard.swap_remove(&progress.reporter);
        self.leader_view.progress.record(now, progress);
    }

    fn send_to_voter(&mut self, link: LinkId, message: Forward, ticket: Option<u64>) {
        if let Some(voter) = &self.voter {
            let body = Body::Peer(voter.wrap(message));
            self.links.send(link, body, ticket);
        }
    }
}
