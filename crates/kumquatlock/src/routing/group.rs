//! Groups of upstreams that a service's requests are divided among by version.

use std::sync::Arc;

use super::tracked::UpstreamToken;
use crate::core::{ServiceEntry, UpstreamEntry};
use crate::rollout::pick_canaries;

/// First number of the tokens of upstreams on trial. A balancer never gets that far.
const FIRST_CANARY_TOKEN: u64 = 1 << 63;

/// Upstreams of a service, by version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum VersionGroup {
    /// Those of the version that serves the service.
    Primary,
    /// Some of those of a version on trial.
    Canary,
}

impl VersionGroup {
    /// Returns the group that an upstream was chosen from.
    pub fn of_token(token: UpstreamToken) -> Self {
        match token.0 > FIRST_CANARY_TOKEN {
            true => VersionGroup::Canary,
            false => VersionGroup::Primary,
        }
    }

    pub(super) fn first_token(self) -> u64 {
        match self {
            VersionGroup::Primary => 0,
            VersionGroup::Canary => FIRST_CANARY_TOKEN,
        }
    }

    /// Returns the members of the service that belong to the group, for a node of this region.
    pub(super) fn candidates(
        self,
        service: &ServiceEntry,
        region: &str,
    ) -> Vec<Arc<UpstreamEntry>> {
        let members = &service.members;
        match (self, &service.versions) {
            (VersionGroup::Primary, None) => members.clone(),
            (VersionGroup::Primary, Some(versions)) => {
                let primary = members.iter().filter(|entry| versions.is_primary(entry));
                primary.cloned().collect()
            }
            (VersionGroup::Canary, versions) => {
                let versions = versions.as_ref();
                let canary = versions.and_then(|versions| Some((versions.canary()?, versions)));
                canary.map_or_else(Vec::new, |(version, versions)| {
                    pick_canaries(members, version, region, versions.order)
                })
            }
        }
    }
}
