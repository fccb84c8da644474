//! The upstreams that started a service.

use indexmap::IndexSet;
use kumquatlock_wire::claim::ShardHolder;

use crate::core::{ServiceEntry, UpstreamEntry};

/// What a holder knows of the start of one service.
#[derive(Debug, Default)]
pub(super) struct GenesisTracker {
    /// Upstreams that were seen as the first of their region. Genesis counts only while each of
    /// them still runs: a lost one may have known claims.
    seen: IndexSet<ShardHolder>,
    is_complete: bool,
}

impl GenesisTracker {
    /// Takes the members of a newer configuration.
    pub(super) fn update(&mut self, service: &ServiceEntry) {
        let members = &service.members;
        let first = members.iter().filter(|member| member.first_in_region);
        self.seen.extend(first.map(|member| holder_of(member)));
        let still_runs = |holder: &ShardHolder| {
            let mut first = members.iter().filter(|member| member.first_in_region);
            first.any(|member| holder_of(member) == *holder)
        };
        let is_covered = members.iter().all(|member| {
            let mut others = members.iter();
            others.any(|first| first.first_in_region && first.region == member.region)
        });
        self.is_complete = !self.seen.is_empty() && self.seen.iter().all(still_runs) && is_covered;
    }

    /// The upstreams that started the service, if all that were ever seen as such still run and
    /// every region of the service has one. Each has known every shard since its start, so they
    /// can report whether a view was ever formed.
    pub(super) fn holders(&self) -> Option<Vec<ShardHolder>> {
        self.is_complete
            .then(|| self.seen.iter().cloned().collect())
    }
}

fn holder_of(member: &UpstreamEntry) -> ShardHolder {
    ShardHolder {
        name: member.name.to_string(),
        incarnation: member.incarnation.0,
    }
}
