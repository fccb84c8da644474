//! Submissions that this instance decides on as the leader: carries out the steps of the
//! [`SubmissionTable`](crate::submission::SubmissionTable).

use std::sync::Arc;

use bytes::Bytes;
use kumquatlock_wire::distribution::catalog_command;

use super::actor::ControlActor;
use super::answer;
use super::http::ReplySender;
use super::requests::{RequestKind, Requester};
use crate::agreement::ProposalTicket;
use crate::core::Timestamp;
use crate::manifest::{ManifestDocument, ManifestError};
use crate::submission::{SubmissionAnswer, SubmissionEvent, SubmissionId, SubmissionStep};

impl ControlActor {
    /// Decides on an operator's submission as the leader. The manifest was parsed by the thread that
    /// received it: parsing thousands of routes here would delay the leader's heartbeats.
    pub(super) fn submit_as_leader(
        &mut self,
        now: Timestamp,
        reply: ReplySender,
        document: Arc<ManifestDocument>,
    ) {
        let kind = RequestKind::Submit;
        let requester = Requester::Operator(reply);
        let id = self.requests.next_id();
        self.submission_received(now, id, &requester, kind);
        match self.requests.insert(now, id, requester, kind) {
            Ok(()) => self.receive_submission(now, id, document),
            Err(requester) => {
                let answer = answer::unavailable(kind, "busy");
                self.submission_answered(now, id, &answer);
                self.deliver_answer(now, requester, kind, answer);
            }
        }
    }

    /// Lets a thread parse the manifest of a forwarded submission: parsing thousands of routes here
    /// would delay the leader's heartbeats.
    pub(super) fn parse_submission(&mut self, now: Timestamp, id: u64, text: Bytes) {
        if !self.workers.parse(id, text) {
            self.finish_request(now, id, answer::not_run("busy"));
        }
    }

    /// Handles a forwarded submission whose manifest has been parsed.
    pub(super) fn handle_parsed(
        &mut self,
        now: Timestamp,
        id: u64,
        parsed: Option<Result<Arc<ManifestDocument>, ManifestError>>,
    ) {
        // The request may have ended meanwhile.
        if self.requests.kind(id).is_none() {
            return;
        }
        match parsed {
            Some(Ok(document)) => self.receive_submission(now, id, document),
            Some(Err(error)) => self.finish_request(now, id, answer::invalid_manifest(&error)),
            None => self.finish_request(now, id, answer::not_run("internal_error")),
        }
    }

    fn receive_submission(&mut self, now: Timestamp, id: u64, document: Arc<ManifestDocument>) {
        self.submission_log.set_document(id, (&*document).into());
        self.handle_submission(now, id, SubmissionEvent::Received(document));
    }

    /// Passes an event to the submission that has the id of this request, and carries out the step
    /// that follows.
    pub(super) fn handle_submission(&mut self, now: Timestamp, id: u64, event: SubmissionEvent) {
        let id = SubmissionId(id);
        let step = self.submissions.handle(id, event, &self.catalog);
        self.execute_submission(now, id, step);
    }

    /// Decides on the submissions that waited for entries that are now applied.
    pub(super) fn handle_applied_submissions(&mut self, now: Timestamp) {
        for (id, step) in self.submissions.handle_applied(&self.catalog) {
            self.execute_submission(now, id, step);
        }
    }

    fn execute_submission(&mut self, now: Timestamp, id: SubmissionId, step: SubmissionStep) {
        let SubmissionId(id) = id;
        match step {
            SubmissionStep::Answer(answer) => {
                if let SubmissionAnswer::Decided { basis, .. } = &answer {
                    self.submission_log.set_basis(id, (*basis).into());
                }
                self.finish_request(now, id, answer::submission(&answer));
            }
            SubmissionStep::Confirm => self.request_read_index(id),
            SubmissionStep::Propose(change) => {
                self.submission_proposed(now, id);
                self.propose_with(ProposalTicket(id), catalog_command::Kind::Change(change));
            }
            SubmissionStep::Wait => {}
        }
    }
}
