//! What may be said of a submitted manifest, by the age of the state that it is said from.
//!
//! A voter's applied state may be older than what its group has committed: right after a start or an
//! election, or if another voter leads meanwhile. Manifest versions only increase, so most decisions
//! on a manifest hold in every later state once any committed state leads to them. That a manifest
//! or version does not exist, or that one is the newest, can only be said from a state that is
//! current for the request: [`CurrentCatalog`]. Even then a version may be accepted right after, so
//! no manifest is refused because the version that it follows does not exist.

use super::{AcceptedRecord, Catalog, ManifestDecision};
use crate::agreement::ReadIndex;
use crate::manifest::ManifestDocument;

/// What an applied state, however old, says about a submitted manifest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ManifestVerdict {
    /// Every later state accepts or refuses the manifest as this decision does. The reason for a
    /// refusal may be another one.
    Final(ManifestDecision),
    /// The manifest would be accepted. A later state may have accepted another one.
    Acceptable,
    /// The manifest follows a version above the newest one that this state contains. Later entries
    /// may contain that version, and also the manifest itself.
    UnknownBase,
}

/// The applied state of an instance when it is current for a request.
#[derive(Clone, Copy, Debug)]
pub struct CurrentCatalog<'a> {
    /// Includes everything that was committed when the request arrived.
    catalog: &'a Catalog,
}

impl Catalog {
    /// Returns the state as the current one for the request that this index was confirmed for, or
    /// `None` until the entries up to it are applied.
    pub fn current(&self, confirmed: ReadIndex) -> Option<CurrentCatalog<'_>> {
        let is_current = self.applied_index >= confirmed.index();
        is_current.then_some(CurrentCatalog { catalog: self })
    }

    /// Returns what this state says about a manifest, without applying it.
    pub fn assess_manifest(&self, document: &ManifestDocument) -> ManifestVerdict {
        let manifest_version = document.version;
        let accepted_version = self.manifest_version;
        match (self.accepted.get(&manifest_version), document.follows) {
            (Some(record), _) if record.digest == document.digest => {
                ManifestVerdict::Final(ManifestDecision::Accepted {
                    manifest_version,
                    config_version: record.config_version,
                })
            }
            (Some(record), _) => ManifestVerdict::Final(ManifestDecision::Conflict {
                manifest_version,
                accepted_digest: record.digest,
            }),
            (None, Some(base)) if base > accepted_version => ManifestVerdict::UnknownBase,
            (None, Some(base)) if base < accepted_version => {
                ManifestVerdict::Final(ManifestDecision::OtherBase {
                    manifest_version,
                    accepted_version,
                })
            }
            (None, _) if manifest_version <= accepted_version => {
                ManifestVerdict::Final(ManifestDecision::Stale {
                    manifest_version,
                    accepted_version,
                })
            }
            (None, _) => ManifestVerdict::Acceptable,
        }
    }

    /// Returns the decision that a manifest would get if it were applied now, or `None` if it would
    /// be newly accepted. Not an answer to an operator, since an unknown base counts as refused.
    pub(super) fn decide_manifest(&self, document: &ManifestDocument) -> Option<ManifestDecision> {
        match self.assess_manifest(document) {
            ManifestVerdict::Final(decision) => Some(decision),
            ManifestVerdict::Acceptable => None,
            ManifestVerdict::UnknownBase => Some(ManifestDecision::OtherBase {
                manifest_version: document.version,
                accepted_version: self.manifest_version,
            }),
        }
    }
}

impl<'a> CurrentCatalog<'a> {
    /// Returns what this state says about a manifest, without applying it.
    pub fn assess_manifest(&self, document: &ManifestDocument) -> ManifestVerdict {
        self.catalog.assess_manifest(document)
    }

    /// Returns the record of an accepted manifest; `None` if no manifest of this version was
    /// accepted, or it is not remembered any more.
    pub fn accepted(&self, manifest_version: u64) -> Option<AcceptedRecord> {
        self.catalog.accepted(manifest_version)
    }

    /// Returns the state. What it contains is the newest that was committed when the request
    /// arrived.
    pub fn state(&self) -> &'a Catalog {
        self.catalog
    }
}
