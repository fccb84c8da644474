//! Routing of requests: the leader answers them, other instances forward them towards the leader.

use std::net::SocketAddr;

use indexmap::IndexMap;
use kumquatlock_wire::Body;
use kumquatlock_wire::agreement::Forward;
use kumquatlock_wire::agreement::forward::Content;
use kumquatlock_wire::distribution::{
    Attachment, Progress, RunEnd, UpstreamReport, catalog_command,
};

use super::actor::{ControlActor, QueuedEvent};
use super::answer;
use super::operator::ReadTarget;
use super::requests::{RequestAnswer, RequestKind, RequestRoute, Requester, forward_message};
use super::voter::VoterState;
use crate::agreement::{AgreementEvent, ReadIndex, ReadIndexError, ReadIndexTicket};
use crate::catalog::CurrentCatalog;
use crate::core::{ConfigVersion, SharedName, Timestamp, address_from_name};
use crate::distribution::{ChildEvent, InForceCount, ParentEvent, ProgressTable, REPORTER_TIMEOUT};
use crate::membership::{AttachmentTracker, ExpiryDecision, ExpiryTiming, RecordOutcome};
use crate::quarantine::CrashTally;
use crate::rollout::RolloutDirector;
use crate::submission::{SubmissionEvent, SubmissionId, SubmissionStage};
use crate::transport::{LinkError, LinkId};

/// State that only the leader has. Reset at each change of leadership.
#[derive(Debug, Default)]
pub(super) struct LeaderView {
    progress: ProgressTable,
    /// Voters that may have children unknown to this instance, with the time since when. At first
    /// these are all voters, later those that became silent. A voter whose process has ended has no
    /// children.
    unheard_voters: IndexMap<String, Timestamp>,
    /// Present while this instance is the leader.
    attachments: Option<AttachmentTracker>,
    /// Crashes of upstreams and the requests that may have caused them.
    pub(super) crashes: CrashTally,
    /// Running rollouts.
    pub(super) director: RolloutDirector,
    /// Failure domain for which a withheld removal was last logged.
    withheld_domain: Option<SharedName>,
}

impl ControlActor {
    pub(super) fn change_leadership(&mut self, now: Timestamp, is_leader: bool) {
        self.change_quota_leadership(now, is_leader);
        let limits = ExpiryTiming {
            unattached_timeout: self.settings.expiry,
            leader_grace_period: self.settings.expiry_grace,
        };
        let voters = self.voter.as_ref().filter(|voter| voter.is_leader());
        let voters = voters.map(|voter| voter.agreement.status().voters.voters);
        let voters = voters.into_iter().flatten();
        self.leader_view = LeaderView {
            unheard_voters: voters.map(|voter| (voter.name, now)).collect(),
            attachments: is_leader.then(|| AttachmentTracker::with_timing(now, limits)),
            ..LeaderView::default()
        };
    }

    /// Removes upstreams whose nodes have not been attached to any parent for the expiry time.
    /// Called once per second.
    pub(super) fn expire_upstreams(&mut self, now: Timestamp) {
        let view = &mut self.leader_view;
        let Some(attachments) = &mut view.attachments else {
            return;
        };
        match attachments.expire(now, &self.catalog) {
            ExpiryDecision::Propose(expired) => {
                view.withheld_domain = None;
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
                if view.withheld_domain.as_ref() != Some(&domain) {
                    log::warn!(place = &*domain, unattached, total; "expiry_withheld");
                    view.withheld_domain = Some(domain);
                }
            }
        }
    }

    /// Answers a request locally or forwards it towards the leader.
    pub(super) fn route_request(&mut self, now: Timestamp, requester: Requester, content: Content) {
        let Some(kind) = RequestKind::of(&content) else {
            return;
        };
        let id = self.requests.next_id();
        self.submission_received(now, id, &requester, kind);
        if let (Requester::Operator(_), RequestKind::Submit, false) =
            (&requester, kind, self.is_leader())
            && let Some(address) = self.leader_http_address()
        {
            // The operator is redirected instead of forwarding the manifest, because a manifest is
            // large and the traffic to the leader may be charged by volume.
            self.submission_redirected(now, id, address);
            let answer = RequestAnswer::Redirect(address);
            return self.deliver_answer(now, requester, kind, answer);
        }
        // A voter forwards a request only to the instance that it believes to be the leader.
        // Forwarding it again could create a loop.
        let is_last_hop = matches!(requester, Requester::Voter { .. });
        if let Err(requester) = self.requests.insert(now, id, requester, kind) {
            let answer = answer::unavailable(kind, "busy");
            self.submission_answered(now, id, &answer);
            return self.deliver_answer(now, requester, kind, answer);
        }
        if self.is_leader() {
            self.answer_as_leader(now, id, content);
        } else if let (Some(link), false) = (self.leader_link(), is_last_hop) {
            self.requests.set_route(id, RequestRoute::Link(link));
            self.submission_forwarded(now, id, RequestRoute::Link(link));
            self.send_to_voter(link, forward_message(id, content), Some(id));
        } else if self.uplink.is_some() {
            self.requests.set_route(id, RequestRoute::Parent);
            self.submission_forwarded(now, id, RequestRoute::Parent);
            let body = Body::Forward(forward_message(id, content));
            self.queue
                .push_back(QueuedEvent::Child(ChildEvent::Relay(body)));
        } else {
            let voter = self.voter.as_ref();
            let reason = voter.map_or("no_leader", VoterState::unavailable_reason);
            self.finish_request(now, id, answer::unavailable(kind, reason));
        }
    }

    /// Answers a request as the leader.
    fn answer_as_leader(&mut self, now: Timestamp, id: u64, content: Content) {
        match content {
            Content::Submit(text) => self.parse_submission(now, id, text),
            // A status names a manifest as unknown or as the newest, so it needs a current state.
            Content::StatusRequest(_) | Content::ConfirmRequest(_) => self.request_read_index(id),
            Content::RolloutOrder(order) => self.propose_order(now, id, order),
            _ => {}
        }
    }

    pub(super) fn request_read_index(&mut self, id: u64) {
        let event = AgreementEvent::RequestReadIndex(ReadIndexTicket(id));
        self.queue.push_back(QueuedEvent::Agreement(event));
    }

    /// Passes the result of a read-index request to the request that it was made for.
    pub(super) fn read_index_answered(
        &mut self,
        now: Timestamp,
        ticket: ReadIndexTicket,
        result: Result<ReadIndex, ReadIndexError>,
    ) {
        let ReadIndexTicket(id) = ticket;
        match (self.requests.kind(id), result) {
            (Some(RequestKind::Submit), result) => {
                self.handle_submission(now, id, SubmissionEvent::Confirmed(result));
            }
            (Some(RequestKind::Status { manifest_version }), Ok(index)) => {
                let target = ReadTarget::Status {
                    id,
                    manifest_version,
                };
                self.wait_for_read(now, index, target);
            }
            (Some(kind @ RequestKind::Status { .. }), Err(_)) => {
                self.finish_request(now, id, answer::unavailable(kind, "not_current"));
            }
            (_, result) => self.finish_request(now, id, RequestAnswer::ReadIndex(result.ok())),
        }
    }

    /// Returns the leader's HTTP address for operators, if another member leads and operators are
    /// redirected to the leader.
    fn leader_http_address(&self) -> Option<SocketAddr> {
        let leader = self.voter.as_ref()?.leader.as_deref()?;
        let leader = address_from_name(leader).filter(|_| self.settings.redirects)?;
        Some(SocketAddr::new(leader.ip(), self.settings.http.port()))
    }

    pub(super) fn manifest_status(
        &self,
        now: Timestamp,
        current: &CurrentCatalog<'_>,
        manifest_version: Option<u64>,
    ) -> RequestAnswer {
        let is_complete = self.has_complete_view(now);
        let count = |version| (self.leader_view.progress.count(now, version), is_complete);
        answer::manifest_status(current, manifest_version, count)
    }

    /// Returns whether the leader knows the progress of all voters, except of those that have been
    /// silent for so long that their children have left them.
    pub(super) fn has_complete_view(&self, now: Timestamp) -> bool {
        let mut unheard_voters = self.leader_view.unheard_voters.values();
        unheard_voters.all(|since| now.since(*since) >= REPORTER_TIMEOUT)
    }

    /// Handles the loss of the link to another voter. If the process of the voter has ended, its
    /// children have lost it too; if the voter is only silent, it may still have children.
    pub(super) fn voter_lost(&mut self, now: Timestamp, name: &str, error: &LinkError) {
        let is_leader = self.is_leader();
        let view = &mut self.leader_view;
        view.progress.remove(name);
        // A refused connection also shows that the process has ended.
        let has_ended = matches!(error, LinkError::ClosedByPeer | LinkError::Socket(_));
        if has_ended {
            view.unheard_voters.swap_remove(name);
        } else if is_leader {
            view.unheard_voters.insert(name.to_owned(), now);
        }
    }

    /// Returns how many nodes are attached and how many of them have applied `version`, as far as
    /// this instance knows.
    pub(super) fn attached_count(&self, now: Timestamp, version: ConfigVersion) -> InForceCount {
        if self.is_leader() {
            return self.leader_view.progress.count(now, version);
        }
        let local_progress = self.parent.progress(&self.catalog);
        InForceCount {
            attached: local_progress.nodes,
            applied: local_progress.current_nodes,
        }
    }

    /// Ends a request with this answer. Later answers to it are ignored.
    pub(super) fn finish_request(&mut self, now: Timestamp, id: u64, answer: RequestAnswer) {
        self.submissions.remove(SubmissionId(id));
        if let Some(request) = self.requests.take(id) {
            self.submission_answered(now, id, &answer);
            self.deliver_answer(now, request.requester, request.kind, answer);
        }
    }

    pub(super) fn deliver_answer(
        &mut self,
        now: Timestamp,
        requester: Requester,
        kind: RequestKind,
        answer: RequestAnswer,
    ) {
        match requester {
            Requester::Operator(sender) => {
                if let (RequestKind::Submit, RequestAnswer::Operator { status, .. }) =
                    (kind, &answer)
                {
                    self.metrics.count_submission(*status);
                }
                sender.send(answer::response(answer));
            }
            Requester::Reader(sender, subject) => match answer {
                RequestAnswer::ReadIndex(Some(index)) => {
                    self.wait_for_read(now, index, ReadTarget::Catalog(sender, subject));
                }
                _ => sender.send(answer::response(answer::not_run("not_current"))),
            },
            Requester::Voter { name, request_id } => {
                // If the voter is not connected, its request times out.
                if let Some(link) = self.peers.link(&name) {
                    let reply = forward_message(request_id, answer.into_content(kind));
                    self.send_to_voter(link, reply, None);
                }
            }
            Requester::Child { child, request_id } => {
                let reply = forward_message(request_id, answer.into_content(kind));
                self.links.send(LinkId(child.0), Body::Forward(reply), None);
            }
            Requester::LocalProof { round } => {
                let index = match answer {
                    RequestAnswer::ReadIndex(index) => index,
                    RequestAnswer::Operator { .. } | RequestAnswer::Redirect(_) => None,
                };
                let index = index.map(ReadIndex::index);
                let event = ParentEvent::ProofResult { round, index };
                self.queue.push_back(QueuedEvent::Parent(event));
            }
        }
    }

    pub(super) fn expire_requests(&mut self, now: Timestamp) {
        for id in self.requests.overdue(now) {
            let Some(kind) = self.requests.kind(id) else {
                continue;
            };
            let answer = match self.submissions.remove(SubmissionId(id)) {
                Some(SubmissionStage::Confirming | SubmissionStage::Applying(_)) => {
                    answer::not_run("not_current")
                }
                Some(SubmissionStage::Proposed) | None => answer::uncertain(kind, "timeout"),
            };
            self.finish_request(now, id, answer);
        }
    }

    /// Handles a request, an answer or a message for the leader from another voter.
    pub(super) fn forward_received(&mut self, now: Timestamp, from: &str, message: Forward) {
        let Some(content) = &message.content else {
            return;
        };
        if RequestKind::of(content).is_some() {
            let request_id = message.request_id;
            let name = from.into();
            if let Some(content) = message.content {
                self.route_request(now, Requester::Voter { name, request_id }, content);
            }
            return;
        }
        match message.content {
            Some(Content::QuotaAsk(ask)) => self.quota_asked_by_voter(now, from, &ask),
            Some(Content::QuotaGrant(grant)) => self.quota_granted(now, &grant),
            Some(content) if is_for_leader(&content) => self.handle_as_leader(now, content),
            _ => self.answer_received(now, message),
        }
    }

    /// Handles the answer of another instance to a forwarded request.
    pub(super) fn answer_received(&mut self, now: Timestamp, message: Forward) {
        let (Some(content), Some(kind)) = (message.content, self.requests.kind(message.request_id))
        else {
            return;
        };
        if !kind.is_answered_by(&content) {
            return;
        }
        if let Some(answer) = RequestAnswer::from_content(content) {
            self.finish_request(now, message.request_id, answer);
        }
    }

    /// Forwards a message towards the leader. The sender repeats such messages, so their loss is
    /// not reported to it.
    pub(super) fn forward_to_leader(&mut self, now: Timestamp, body: Body) {
        if self.is_leader() {
            if let Some(content) = leader_content(body) {
                self.handle_as_leader(now, content);
            }
        } else if let Some(link) = self.leader_link() {
            if let Some(content) = leader_content(body) {
                self.send_to_voter(link, forward_message(0, content), None);
            }
        } else if self.uplink.is_some() {
            self.queue
                .push_back(QueuedEvent::Child(ChildEvent::Relay(body)));
        }
    }

    /// Handles a message for the leader. Drops the message if this instance is not the leader any
    /// more.
    fn handle_as_leader(&mut self, now: Timestamp, content: Content) {
        if !self.is_leader() {
            return;
        }
        match content {
            Content::Report(report) => self.handle_report(report),
            Content::Crash(report) => self.handle_crash(now, &report),
            Content::Evidence(evidence) => self.handle_evidence(now, &evidence),
            Content::RunEnd(end) => self.handle_run_end(end),
            Content::Progress(progress) => self.handle_progress(now, progress),
            Content::Attachment(attachment) => self.handle_attachment(now, &attachment),
            _ => {}
        }
    }

    fn handle_report(&mut self, report: UpstreamReport) {
        if self.catalog.is_changed_by(&report) {
            return self.propose(catalog_command::Kind::Report(report));
        }
        if self.catalog.excludes_run_of(&report) {
            let upstream = report.upstream.name.as_str();
            log::info!(upstream, incarnation = report.upstream.incarnation; "ended_run_refused");
        }
    }

    fn handle_run_end(&mut self, end: RunEnd) {
        if self.catalog.is_changed_by_end(&end) {
            let upstream = end.name.as_str();
            log::info!(upstream, latest_start_ms = end.latest_start_ms; "run_end_proposed");
            self.propose(catalog_command::Kind::RunEnd(end));
        }
    }

    fn handle_attachment(&mut self, now: Timestamp, attachment: &Attachment) {
        let Some(attachments) = &mut self.leader_view.attachments else {
            return;
        };
        if attachments.record(now, attachment) == RecordOutcome::TooManyReporters {
            log::warn!(reporter = attachment.reporter.as_str(); "attachment_refused");
        }
    }

    fn handle_progress(&mut self, now: Timestamp, progress: Progress) {
        self.leader_view
            .unheard_voters
            .swap_remove(&progress.reporter);
        self.leader_view.progress.record(now, progress);
    }

    pub(super) fn send_to_voter(&mut self, link: LinkId, message: Forward, ticket: Option<u64>) {
        if let Some(voter) = &self.voter {
            let body = Body::Peer(voter.wrap_forward(message));
            self.links.send(link, body, ticket);
        }
    }
}

/// Returns the content for the leader of a message of a child; `None` if it is for someone else.
fn leader_content(body: Body) -> Option<Content> {
    let content = match body {
        Body::Report(report) => Content::Report(report),
        Body::Progress(progress) => Content::Progress(progress),
        Body::Attachment(attachment) => Content::Attachment(attachment),
        Body::Forward(message) => message.content?,
        _ => return None,
    };
    is_for_leader(&content).then_some(content)
}

/// Whether the content is a message for the leader that gets no answer.
fn is_for_leader(content: &Content) -> bool {
    matches!(
        content,
        Content::Report(_)
            | Content::Crash(_)
            | Content::Evidence(_)
            | Content::RunEnd(_)
            | Content::Progress(_)
            | Content::Attachment(_)
    )
}
