//! Requests that wait for an answer of this instance or of the leader.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use kumquatlock_wire::agreement::forward::Content;
use kumquatlock_wire::agreement::{ConfirmReply, Forward};
use kumquatlock_wire::distribution::{StatusReply, SubmitReply};

use super::clock::random_seed;
use super::http::ReplySender;
use super::submission_log::DocumentSummary;
use crate::agreement::ReadIndex;
use crate::core::{SharedName, Timestamp};
use crate::distribution::ChildId;
use crate::transport::LinkId;

/// Maximum number of requests that wait at the same time. Further ones are refused as not run.
pub(super) const MAX_PENDING_REQUESTS: usize = 1_024;

/// Number of high bits that are 0 in the first request id. The ids stay exact in readers of the logs
/// that keep numbers as floating point.
const RESERVED_ID_BITS: u32 = 16;

/// Time after which a request without an answer ends with an unknown outcome. Longer than an
/// election, so that a new leader has time to answer.
pub(super) const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);

/// Origin of a request, to which the answer is delivered.
#[derive(Debug)]
pub(super) enum Requester {
    /// An operator's HTTP request.
    Operator(ReplySender),
    /// Another voter, which forwarded the request.
    Voter { name: SharedName, request_id: u64 },
    /// A replica that is a child of this instance.
    Child { child: ChildId, request_id: u64 },
    /// An operator's read of the catalog. Waits for the index up to which entries must be applied for
    /// the read to be current.
    Reader(ReplySender, ReadSubject),
    /// A proof for the children of this instance that their configuration is current.
    LocalProof { round: u64 },
}

impl Requester {
    /// Returns the summary of an operator's submission, which was parsed when it was received.
    pub(super) fn document_summary(&self) -> Option<DocumentSummary> {
        match self {
            Requester::Operator(reply) => reply.document,
            _ => None,
        }
    }
}

/// What an operator reads from the catalog.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ReadSubject {
    /// The source of the newest manifest.
    Source,
    /// The rollout of a service.
    Rollout(SharedName),
}

/// Kind of a request; determines the answer when the leader gives none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestKind {
    Submit,
    /// Asks for the state of a manifest; `None` selects the newest one.
    Status {
        manifest_version: Option<u64>,
    },
    ReadIndex,
    /// Orders a rollout.
    RolloutOrder,
}

impl RequestKind {
    /// Returns the kind of a forwarded request, or `None` if the content is not a request.
    pub(super) fn of(content: &Content) -> Option<Self> {
        match content {
            Content::Submit(_) => Some(RequestKind::Submit),
            Content::StatusRequest(request) => Some(RequestKind::Status {
                manifest_version: request.manifest_version,
            }),
            Content::ConfirmRequest(_) => Some(RequestKind::ReadIndex),
            Content::RolloutOrder(_) => Some(RequestKind::RolloutOrder),
            _ => None,
        }
    }

    /// Returns whether the content is an answer to a request of this kind.
    pub(super) fn is_answered_by(self, content: &Content) -> bool {
        match self {
            RequestKind::Submit => matches!(content, Content::SubmitReply(_)),
            RequestKind::Status { .. } | RequestKind::RolloutOrder => {
                matches!(content, Content::StatusReply(_))
            }
            RequestKind::ReadIndex => matches!(content, Content::ConfirmReply(_)),
        }
    }
}

/// Where a request is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestRoute {
    /// This instance answers it.
    Local,
    /// The voter at the other end of this link answers it.
    Link(LinkId),
    /// The parent of this replica answers or forwards it.
    Parent,
}

/// A request that waits for its answer.
#[derive(Debug)]
pub(super) struct PendingRequest {
    pub(super) requester: Requester,
    pub(super) kind: RequestKind,
    pub(super) route: RequestRoute,
    pub(super) deadline: Timestamp,
}

/// The answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum RequestAnswer {
    /// HTTP status and JSON text for an operator.
    Operator { status: u16, json: String },
    /// The operator is redirected to this HTTP address, the leader's.
    Redirect(SocketAddr),
    /// The index that confirms what was committed before the request; `None` without a proof.
    ReadIndex(Option<ReadIndex>),
}

impl RequestAnswer {
    /// Converts the answer into content of a [`Forward`].
    pub(super) fn into_content(self, kind: RequestKind) -> Content {
        match (self, kind) {
            // Only operators are redirected; instances forward requests to the leader.
            (RequestAnswer::Redirect(_), _) => Content::ConfirmReply(ConfirmReply::default()),
            (RequestAnswer::ReadIndex(index), _) => {
                let index = index.map(ReadIndex::index);
                Content::ConfirmReply(ConfirmReply { index })
            }
            (RequestAnswer::Operator { status, json }, RequestKind::Submit) => {
                let http_status = status.into();
                Content::SubmitReply(SubmitReply { http_status, json })
            }
            (RequestAnswer::Operator { status, json }, _) => {
                let http_status = status.into();
                Content::StatusReply(StatusReply { http_status, json })
            }
        }
    }

    /// Converts content sent by another instance into an answer, or returns `None` if the content
    /// is not an answer.
    pub(super) fn from_content(content: Content) -> Option<Self> {
        let operator = |http_status: u32, json| RequestAnswer::Operator {
            status: u16::try_from(http_status).unwrap_or(502),
            json,
        };
        match content {
            Content::SubmitReply(reply) => Some(operator(reply.http_status, reply.json)),
            Content::StatusReply(reply) => Some(operator(reply.http_status, reply.json)),
            Content::ConfirmReply(reply) => {
                let index = reply.index.map(ReadIndex::from_leader);
                Some(RequestAnswer::ReadIndex(index))
            }
            _ => None,
        }
    }
}

/// Table of waiting requests, by request id.
#[derive(Debug)]
pub(super) struct RequestTable {
    /// Starts at a random number, so that a late answer to a request of an earlier process, which the
    /// leader sends to the instance of that name, matches no request of this one.
    last_id: u64,
    /// At most [`MAX_PENDING_REQUESTS`].
    pending: IndexMap<u64, PendingRequest>,
}

impl Default for RequestTable {
    fn default() -> Self {
        RequestTable {
            last_id: random_seed() >> RESERVED_ID_BITS,
            pending: IndexMap::new(),
        }
    }
}

impl RequestTable {
    /// Returns an id that no other request of this process has or had.
    pub(super) fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Adds a request with the route [`RequestRoute::Local`] until another route is set. Returns
    /// the requester if the table is full. `id` comes from [`RequestTable::next_id`].
    pub(super) fn insert(
        &mut self,
        now: Timestamp,
        id: u64,
        requester: Requester,
        kind: RequestKind,
    ) -> Result<(), Requester> {
        if self.pending.len() >= MAX_PENDING_REQUESTS {
            return Err(requester);
        }
        let request = PendingRequest {
            requester,
            kind,
            route: RequestRoute::Local,
            deadline: now + REQUEST_TIMEOUT,
        };
        self.pending.insert(id, request);
        Ok(())
    }

    pub(super) fn len(&self) -> usize {
        self.pending.len()
    }

    pub(super) fn set_route(&mut self, id: u64, route: RequestRoute) {
        if let Some(request) = self.pending.get_mut(&id) {
            request.route = route;
        }
    }

    pub(super) fn kind(&self, id: u64) -> Option<RequestKind> {
        self.pending.get(&id).map(|request| request.kind)
    }

    pub(super) fn take(&mut self, id: u64) -> Option<PendingRequest> {
        self.pending.swap_remove(&id)
    }

    /// Returns the requests with this route. Called when the route is lost.
    pub(super) fn ids_with_route(&self, route: RequestRoute) -> Vec<u64> {
        let matching = |(_, request): &(&u64, &PendingRequest)| request.route == route;
        self.pending
            .iter()
            .filter(matching)
            .map(|(id, _)| *id)
            .collect()
    }

    /// Returns the requests whose deadline has passed.
    pub(super) fn overdue(&self, now: Timestamp) -> Vec<u64> {
        let overdue = |(_, request): &(&u64, &PendingRequest)| request.deadline <= now;
        self.pending
            .iter()
            .filter(overdue)
            .map(|(id, _)| *id)
            .collect()
    }
}

/// Wraps a request or answer for another instance.
pub(super) fn forward_message(request_id: u64, content: Content) -> Forward {
    Forward {
        request_id,
        content: Some(content),
    }
}
