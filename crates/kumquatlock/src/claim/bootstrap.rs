//! The first upstreams of a service, from which its first views are formed.

use indexmap::IndexSet;
use kumquatlock_wire::claim::ShardHolder;

use crate::core::{ServiceEntry, UpstreamEntry};

/// First upstreams of one service, as one holder knows them.
#[derive(Debug, Default)]
pub(super) struct BootstrapTracker {
    /// Upstreams that were ever marked as the first of their region. They are usable only while
    /// each of them still runs under the same incarnation, because a lost one may have known
    /// claims.
    first_upstreams: IndexSet<ShardHolder>,
    is_complete: bool,
}

impl BootstrapTracker {
    /// Applies the members of a newer configuration.
    pub(super) fn update(&mut self, service: &ServiceEntry) {
        let members = &service.members;
        let first = members.iter().filter(|member| member.first_in_region);
        self.first_upstreams
            .extend(first.map(|member| holder_of(member)));
        let still_runs = |holder: &ShardHolder| {
            let mut first = members.iter().filter(|member| member.first_in_region);
            first.any(|member| holder_of(member) == *holder)
        };
        let is_covered = members.iter().all(|member| {
            let mut others = members.iter();
            others.any(|first| first.first_in_region && first.region == member.region)
        });
        self.is_complete = !self.first_upstreams.is_empty()
            && self.first_upstreams.iter().all(still_runs)
            && is_covered;
    }

    /// Returns the upstreams that are marked as the first of their region, if every upstream that
    /// was ever marked still runs and every region of the service has one. Each of them has known
    /// every shard of the service since its start, so together they can report whether a view was
    /// ever formed.
    pub(super) fn holders(&self) -> Option<Vec<ShardHolder>> {
        self.is_complete
            .then(|| self.first_upstreams.iter().cloned().collect())
    }
}

fn holder_of(member: &UpstreamEntry) -> ShardHolder {
    ShardHolder {
        name: member.name.to_string(),
        incarnation: member.incarnation.0,
    }
}
