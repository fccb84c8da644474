//! Which connections give way when the memory or the descriptors of the process are used up.

use std::time::Duration;

use super::connection::{ConnectionHolding, ConnectionStatus};
use super::counters::CloseReason;
use super::refusal::RequestRefusal;
use super::table::HttpTable;
use crate::core::Timestamp;

/// Time without progress after which an incomplete request or an unread response gives way to a
/// request that waits for memory. Callers within the limits send far more than the required progress
/// in that time.
const STALL_TIME: Duration = Duration::from_millis(500);
/// Maximum time for which a request waits for memory. Longer than [`STALL_TIME`], so that stalled
/// requests give way first.
const MAX_STARVED_TIME: Duration = Duration::from_secs(1);
/// Share of the budget that is free after relief from an excess, as a divisor. Bounds how often the
/// connections are searched.
const RELIEF_DIVISOR: usize = 8;
/// Maximum number of connections that give way at once to requests that wait for memory.
const MAX_RELIEVED_CONNECTIONS: usize = 64;
/// Time without a request after which a connection gives way to a new one.
const IDLE_TIME: Duration = Duration::from_millis(500);

/// Action that frees the memory of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReliefStep {
    RefuseRequest,
    DropResponses,
}

impl<P: Copy> HttpTable<P> {
    /// Frees memory if the budget is exceeded or a request waits for it. Connections without
    /// progress give way first, the ones with the longest stall before the others. Then the requests
    /// that have waited too long are refused.
    pub(super) fn relieve(&mut self, now: Timestamp) {
        if self.budget.is_exceeded() {
            let target = self.budget.limit_bytes() / RELIEF_DIVISOR * (RELIEF_DIVISOR - 1);
            for (id, step, _) in self.stalled(now, Duration::ZERO) {
                if self.budget.held_bytes() <= target {
                    break;
                }
                self.apply_relief(now, id, step);
            }
        }
        if self.starved.is_empty() {
            return;
        }
        let stalled = self.stalled(now, STALL_TIME).into_iter();
        for (id, step, _) in stalled.take(MAX_RELIEVED_CONNECTIONS) {
            self.apply_relief(now, id, step);
            if self.serve_waiting(now) || self.starved.is_empty() {
                break;
            }
        }
        self.refuse_starved(now);
    }

    /// Returns the connections that hold memory without progress, the longest first.
    fn stalled(&self, now: Timestamp, min_stall: Duration) -> Vec<(u64, ReliefStep, Timestamp)> {
        let holdings = self
            .connections
            .iter()
            .filter_map(|(id, (_, connection))| match connection.holding() {
                ConnectionHolding::IncompleteRequest { since } => {
                    Some((*id, ReliefStep::RefuseRequest, since))
                }
                ConnectionHolding::UnreadResponse { since } => {
                    Some((*id, ReliefStep::DropResponses, since))
                }
                ConnectionHolding::Nothing | ConnectionHolding::Idle { .. } => None,
            });
        let mut stalled: Vec<_> = holdings
            .filter(|(_, _, since)| now.since(*since) >= min_stall)
            .collect();
        stalled.sort_by_key(|(_, _, since)| *since);
        stalled
    }

    fn apply_relief(&mut self, now: Timestamp, id: u64, step: ReliefStep) {
        let status = match step {
            ReliefStep::RefuseRequest => {
                self.refuse_incomplete(now, id, RequestRefusal::BodyTimeout)
            }
            ReliefStep::DropResponses => {
                self.refusals.count_close(now, CloseReason::UnreadResponse);
                ConnectionStatus::Closed
            }
        };
        self.finish(now, id, status, Vec::new());
    }

    fn refuse_incomplete(
        &mut self,
        now: Timestamp,
        id: u64,
        refusal: RequestRefusal,
    ) -> ConnectionStatus {
        let connection = self.connections.get_mut(&id);
        connection.map_or(ConnectionStatus::Open, |(_, connection)| {
            connection.refuse_incomplete(now, refusal)
        })
    }

    fn refuse_starved(&mut self, now: Timestamp) {
        for id in self.starved.clone() {
            let since = self.connections.get(&id);
            let since = since.and_then(|(_, connection)| connection.starved_since());
            if since.is_some_and(|since| now.since(since) >= MAX_STARVED_TIME) {
                let status = self.refuse_incomplete(now, id, RequestRefusal::MemoryFull);
                self.finish(now, id, status, Vec::new());
            }
        }
    }

    /// Closes the connection that has been without progress the longest, to make room for a new
    /// one. Returns whether there was one.
    pub(super) fn close_idlest(&mut self, now: Timestamp) -> bool {
        let holdings = self
            .connections
            .iter()
            .filter_map(|(id, (_, connection))| match connection.holding() {
                ConnectionHolding::Idle { since }
                | ConnectionHolding::IncompleteRequest { since } => Some((*id, since)),
                ConnectionHolding::UnreadResponse { .. } | ConnectionHolding::Nothing => None,
            });
        let idlest = holdings.min_by_key(|(_, since)| *since);
        let Some((id, _)) = idlest.filter(|(_, since)| now.since(*since) >= IDLE_TIME) else {
            return false;
        };
        self.refusals.count_close(now, CloseReason::Idle);
        // No request of the connection is in progress, so there is no event to wait for.
        self.starved.shift_remove(&id);
        self.connections.swap_remove(&id);
        true
    }
}
