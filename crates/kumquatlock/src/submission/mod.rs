//! Decisions of the leader on submitted manifests.
//!
//! [`SubmissionTable`] does no I/O. The caller passes in what happened to a submission, together
//! with the applied catalog, and carries out the step that is returned.

mod table;

pub use table::{
    DecisionBasis, SubmissionAnswer, SubmissionEvent, SubmissionId, SubmissionStage,
    SubmissionStep, SubmissionTable,
};

#[cfg(test)]
mod tests;
