//! The submissions that wait for a decision.

use std::sync::Arc;

use indexmap::IndexMap;
use kumquatlock_wire::distribution::ManifestChange;

use crate::agreement::ProposalError;
use crate::catalog::{Catalog, ManifestDecision};
use crate::manifest::ManifestDocument;

/// Identifies a submission. Chosen by the caller, who also uses it for the submission's proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SubmissionId(pub u64);

/// What happened to a submission.
#[derive(Clone, Debug)]
pub enum SubmissionEvent {
    /// This manifest was submitted. This instance is the leader.
    Received(Arc<ManifestDocument>),
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
    /// Propose this change, and pass in the outcome.
    Propose(ManifestChange),
    /// Nothing: the submission is not in the table.
    Ignore,
}

/// Answer to a submission.
#[derive(Clone, Debug, PartialEq)]
pub enum SubmissionAnswer {
    /// The group decided on it.
    Decided {
        decision: ManifestDecision,
        basis: DecisionBasis,
    },
    /// The proposal failed; the error tells whether the change may still be accepted.
    Failed(ProposalError),
    /// The change may have been accepted.
    Undecided,
}

/// What a decision is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecisionBasis {
    /// The state that the instance had applied.
    AppliedState,
    /// The outcome of the submission's own proposal.
    Proposal,
}

/// Submissions that this instance decides on as the leader.
#[derive(Debug, Default)]
pub struct SubmissionTable {
    /// Manifests of the submissions whose change has been proposed. The difference to the accepted
    /// manifest is computed again if another one is accepted first.
    waiting: IndexMap<SubmissionId, Arc<ManifestDocument>>,
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
            SubmissionEvent::Received(document) => {
                self.waiting.insert(id, document);
                self.decide(id, catalog)
            }
            SubmissionEvent::Applied(Some(ManifestDecision::Overtaken)) => self.decide(id, catalog),
            SubmissionEvent::Applied(Some(decision)) => {
                let basis = DecisionBasis::Proposal;
                self.answer(id, SubmissionAnswer::Decided { decision, basis })
            }
            SubmissionEvent::Applied(None) => self.answer(id, SubmissionAnswer::Undecided),
            SubmissionEvent::ProposalFailed(error) => {
                self.answer(id, SubmissionAnswer::Failed(error))
            }
        }
    }

    /// Forgets a submission that has been answered otherwise.
    pub fn remove(&mut self, id: SubmissionId) {
        self.waiting.swap_remove(&id);
    }

    /// Answers a submission if the applied catalog already decides it; otherwise proposes the
    /// change that the manifest makes.
    fn decide(&mut self, id: SubmissionId, catalog: &Catalog) -> SubmissionStep {
        let Some(document) = self.waiting.get(&id) else {
            return SubmissionStep::Ignore;
        };
        match catalog.preview_manifest(document) {
            Some(decision) => {
                let basis = DecisionBasis::AppliedState;
                self.answer(id, SubmissionAnswer::Decided { decision, basis })
            }
            None => SubmissionStep::Propose(catalog.diff_manifest(document)),
        }
    }

    fn answer(&mut self, id: SubmissionId, answer: SubmissionAnswer) -> SubmissionStep {
        match self.waiting.swap_remove(&id) {
            Some(_) => SubmissionStep::Answer(answer),
            None => SubmissionStep::Ignore,
        }
    }
}
