//! The submissions that wait for a decision.

use std::sync::Arc;

use indexmap::IndexMap;
use kumquatlock_wire::distribution::ManifestChange;

use crate::agreement::{ProposalError, ReadIndex, ReadIndexError};
use crate::catalog::{Catalog, ManifestDecision, ManifestVerdict};
use crate::manifest::ManifestDocument;

/// Identifies a submission. Chosen by the caller, who also uses it for the submission's proposal
/// and read-index request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SubmissionId(pub u64);

/// What happened to a submission.
#[derive(Clone, Debug)]
pub enum SubmissionEvent {
    /// This manifest was submitted to this instance, which led when it arrived.
    Received(Arc<ManifestDocument>),
    /// Result of the read-index request.
    Confirmed(Result<ReadIndex, ReadIndexError>),
    /// The proposed change was committed, and applying it led to this decision; `None` if its
    /// outcome is not known.
    Applied(Option<ManifestDecision>),
    /// The proposed change was not committed, as far as is known.
    ProposalFailed(ProposalError),
}

/// What to do next for a submission.
#[derive(Clone, Debug, PartialEq)]
pub enum SubmissionStep {
    /// Answer it. It is not in the table any more.
    Answer(SubmissionAnswer),
    /// Request a read index, and pass in the result.
    Confirm,
    /// Propose this change, and pass in the outcome.
    Propose(ManifestChange),
    /// Nothing: the submission waits for entries that are not applied yet, or it is not in the
    /// table.
    Wait,
}

/// Answer to a submission.
#[derive(Clone, Debug, PartialEq)]
pub enum SubmissionAnswer {
    /// The group decided on it, or every state that it can reach leads to this decision.
    Decided {
        decision: ManifestDecision,
        basis: DecisionBasis,
    },
    /// Nothing was proposed, because this instance could not confirm that it still leads.
    Unconfirmed(ReadIndexError),
    /// Nothing was proposed, because no manifest of the version that it follows has been accepted
    /// yet. Not a refusal: that version may be on its way, and a copy of this submission behind it.
    UnknownBase,
    /// The proposal failed; the error tells whether the change may still be accepted.
    Failed(ProposalError),
    /// The change may have been accepted.
    Undecided,
}

/// What a decision is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecisionBasis {
    /// The state that the instance had applied, however old: later states lead to the same decision.
    AppliedState,
    /// A state that was current for the submission.
    CurrentState,
    /// The outcome of the submission's own proposal.
    Proposal,
}

/// What a submission waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmissionStage {
    /// A read index. Nothing has been proposed.
    Confirming,
    /// The entries up to this index. Nothing has been proposed.
    Applying(ReadIndex),
    /// The outcome of its proposal.
    Proposed,
}

#[derive(Debug)]
struct WaitingSubmission {
    /// The difference to the accepted manifest is computed again if another one is accepted first.
    document: Arc<ManifestDocument>,
    stage: SubmissionStage,
}

/// Submissions that this instance decides on as the leader.
///
/// The applied catalog may lack entries that are committed: the leader learns which entries of
/// earlier terms are committed only with the first one of its own, and another instance may lead
/// meanwhile. A change whose base the catalog lacks is therefore decided on only once a read index
/// has confirmed what is committed. A change that would be accepted is proposed at once, because it
/// is decided on when its entry is applied.
#[derive(Debug, Default)]
pub struct SubmissionTable {
    waiting: IndexMap<SubmissionId, WaitingSubmission>,
}

impl SubmissionTable {
    /// Handles an event of a submission. `catalog` is the state that this instance has applied.
    pub fn handle(
        &mut self,
        id: SubmissionId,
        event: SubmissionEvent,
        catalog: &Catalog,
    ) -> SubmissionStep {
        match event {
            SubmissionEvent::Received(document) => self.receive(id, document, catalog),
            SubmissionEvent::Confirmed(Ok(index)) => {
                self.set_stage(id, SubmissionStage::Applying(index));
                self.decide_current(id, index, catalog)
            }
            SubmissionEvent::Confirmed(Err(error)) => {
                self.answer(id, SubmissionAnswer::Unconfirmed(error))
            }
            SubmissionEvent::Applied(Some(ManifestDecision::Overtaken)) => self.assess(id, catalog),
            SubmissionEvent::Applied(Some(decision)) => {
                self.decide(id, decision, DecisionBasis::Proposal)
            }
            SubmissionEvent::Applied(None) => self.answer(id, SubmissionAnswer::Undecided),
            SubmissionEvent::ProposalFailed(error) => {
                self.answer(id, SubmissionAnswer::Failed(error))
            }
        }
    }

    /// Decides on the submissions that waited for entries that are now applied. Called after
    /// entries have been applied.
    pub fn handle_applied(&mut self, catalog: &Catalog) -> Vec<(SubmissionId, SubmissionStep)> {
        let applying = self.waiting.iter().filter_map(|(id, submission)| {
            let SubmissionStage::Applying(index) = submission.stage else {
                return None;
            };
            Some((*id, index))
        });
        let applying: Vec<_> = applying.collect();
        let decide = |(id, index)| (id, self.decide_current(id, index, catalog));
        applying.into_iter().map(decide).collect()
    }

    /// Forgets a submission that is answered otherwise, and returns what it waited for.
    pub fn remove(&mut self, id: SubmissionId) -> Option<SubmissionStage> {
        let submission = self.waiting.swap_remove(&id)?;
        Some(submission.stage)
    }

    fn receive(
        &mut self,
        id: SubmissionId,
        document: Arc<ManifestDocument>,
        catalog: &Catalog,
    ) -> SubmissionStep {
        let stage = SubmissionStage::Confirming;
        let submission = WaitingSubmission { document, stage };
        self.waiting.insert(id, submission);
        self.assess(id, catalog)
    }

    /// Answers a submission if the applied catalog decides it for all times, proposes the change if
    /// it would be accepted, and asks what is committed otherwise.
    fn assess(&mut self, id: SubmissionId, catalog: &Catalog) -> SubmissionStep {
        let Some(submission) = self.waiting.get(&id) else {
            return SubmissionStep::Wait;
        };
        match catalog.assess_manifest(&submission.document) {
            ManifestVerdict::Final(decision) => {
                self.decide(id, decision, DecisionBasis::AppliedState)
            }
            ManifestVerdict::Acceptable => self.propose(id, catalog),
            ManifestVerdict::UnknownBase => {
                self.set_stage(id, SubmissionStage::Confirming);
                SubmissionStep::Confirm
            }
        }
    }

    /// Decides on a submission if the applied catalog is current for it.
    fn decide_current(
        &mut self,
        id: SubmissionId,
        index: ReadIndex,
        catalog: &Catalog,
    ) -> SubmissionStep {
        let (Some(submission), Some(current)) = (self.waiting.get(&id), catalog.current(index))
        else {
            return SubmissionStep::Wait;
        };
        match current.assess_manifest(&submission.document) {
            ManifestVerdict::Final(decision) => {
                self.decide(id, decision, DecisionBasis::CurrentState)
            }
            ManifestVerdict::Acceptable => self.propose(id, catalog),
            ManifestVerdict::UnknownBase => self.answer(id, SubmissionAnswer::UnknownBase),
        }
    }

    fn propose(&mut self, id: SubmissionId, catalog: &Catalog) -> SubmissionStep {
        let Some(submission) = self.waiting.get_mut(&id) else {
            return SubmissionStep::Wait;
        };
        submission.stage = SubmissionStage::Proposed;
        SubmissionStep::Propose(catalog.diff_manifest(&submission.document))
    }

    fn set_stage(&mut self, id: SubmissionId, stage: SubmissionStage) {
        if let Some(submission) = self.waiting.get_mut(&id) {
            submission.stage = stage;
        }
    }

    fn decide(
        &mut self,
        id: SubmissionId,
        decision: ManifestDecision,
        basis: DecisionBasis,
    ) -> SubmissionStep {
        self.answer(id, SubmissionAnswer::Decided { decision, basis })
    }

    fn answer(&mut self, id: SubmissionId, answer: SubmissionAnswer) -> SubmissionStep {
        match self.waiting.swap_remove(&id) {
            Some(_) => SubmissionStep::Answer(answer),
            None => SubmissionStep::Wait,
        }
    }
}
