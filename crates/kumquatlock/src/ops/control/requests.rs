//! Requests that wait for an answer, here or at the leader.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use indexmap::IndexMap;
use kumquatlock_wire::agreement::forward::Content;
use kumquatlock_wire::agreement::{ConfirmReply, Forward};
use kumquatlock_wire::distribution::{StatusReply, SubmitReply};

use crate::core::{SharedName, Timestamp};
use crate::distribution::ChildId;
use crate::http::ReplySlot;
use crate::transport::LinkId;

/// Requests that wait at once. Further ones are refused as not run.
pub(super) const MAX_PENDING_REQUESTS: usize = 1_024;

/// A request without an answer for this long is answered as unknown. Above the time of an
/// election, so that a leader that is about to answer can.
pub(super) const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);

/// Who waits for the answer.
#[derive(Debug)]
pub(super) enum Requester {
    /// An operator's HTTP request.
    Operator(ReplySlot),
    /// Another voter, which forwarded the request.
    Voter { name: SharedName, request_id: u64 },
    /// A replica below this instance.
    Child { child: ChildId, request_id: u64 },
    /// An operator's read of the manifest's source, which waits for a currency proof.
    Reader(ReplySlot),
    /// A currency proof for this instance's own children.
    OwnProof { round: u64 },
}

/// What is asked for; decides how a missing answer is reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestKind {
    Submit,
    Status,
    Confirm,
}

impl RequestKind {
    /// Kind of a forwarded request; `None` for content that is no request.
    pub(super) fn of(content: &Content) -> Option<Self> {
        match content {
            Content::Submit(_) => Some(RequestKind::Submit),
            Content::StatusRequest(_) => Some(RequestKind::Status),
            Content::ConfirmRequest(_) => Some(RequestKind::Confirm),
            _ => None,
        }
    }
}

/// Where the request is being answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestRoute {
    /// By this instance.
    Here,
    /// By another instance, over this link.
    Link(LinkId),
    /// By the parent of this replica.
    Parent,
}

#[derive(Debug)]
pub(super) struct PendingRequest {
    pub(super) requester: Requester,
    pub(super) kind: RequestKind,
    pub(super) route: RequestRoute,
    pub(super) deadline: Timestamp,
    /// Text of a submission that is answered here, to take its difference anew.
    pub(super) text: Option<Bytes>,
}

/// The answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum RequestAnswer {
    /// HTTP status and JSON text for an operator.
    Operator { status: u16, json: String },
    /// The request should be sent to the operators' address of the leader.
    Elsewhere(SocketAddr),
    /// Index that is proved current, or none.
    Confirm(Option<u64>),
}

impl RequestAnswer {
    /// The answer as content of a [`Forward`].
    pub(super) fn into_content(self, kind: RequestKind) -> Content {
        match (self, kind) {
            // Given to operators only, who are asked to turn to the leader themselves.
            (RequestAnswer::Elsewhere(_), _) => Content::ConfirmReply(ConfirmReply::default()),
            (RequestAnswer::Confirm(index), _) => Content::ConfirmReply(ConfirmReply { index }),
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

    /// Reads an answer that another instance sent; `None` for content that is no answer.
    pub(super) fn from_content(content: Content) -> Option<Self> {
        let operator = |http_status: u32, json| RequestAnswer::Operator {
            status: u16::try_from(http_status).unwrap_or(502),
            json,
        };
        match content {
            Content::SubmitReply(reply) => Some(operator(reply.http_status, reply.json)),
            Content::StatusReply(reply) => Some(operator(reply.http_status, reply.json)),
            Content::ConfirmReply(reply) => Some(RequestAnswer::Confirm(reply.index)),
            _ => None,
        }
    }
}

/// Requests that wait, by their id.
#[derive(Debug, Default)]
pub(super) struct RequestTable {
    last_id: u64,
    /// At most [`MAX_PENDING_REQUESTS`].
    pending: IndexMap<u64, PendingRequest>,
}

impl RequestTable {
    /// Adds a request that is answered here until its route is set. Gives the requester back if
    /// the table is full.
    pub(super) fn insert(
        &mut self,
        now: Timestamp,
        requester: Requester,
        kind: RequestKind,
    ) -> Result<u64, Requester> {
        if self.pending.len() >= MAX_PENDING_REQUESTS {
            return Err(requester);
        }
        self.last_id += 1;
        let request = PendingRequest {
            requester,
            kind,
            route: RequestRoute::Here,
            deadline: now + REQUEST_TIMEOUT,
            text: None,
        };
        self.pending.insert(self.last_id, request);
        Ok(self.last_id)
    }

    pub(super) fn len(&self) -> usize {
        self.pending.len()
    }

    pub(super) fn set_route(&mut self, id: u64, route: RequestRoute) {
        if let Some(request) = self.pending.get_mut(&id) {
            request.route = route;
        }
    }

    pub(super) fn keep_text(&mut self, id: u64, text: Bytes) {
        if let Some(request) = self.pending.get_mut(&id) {
            request.text = Some(text);
        }
    }

    pub(super) fn text(&self, id: u64) -> Option<Bytes> {
        self.pending.get(&id)?.text.clone()
    }

    pub(super) fn kind(&self, id: u64) -> Option<RequestKind> {
        self.pending.get(&id).map(|request| request.kind)
    }

    pub(super) fn take(&mut self, id: u64) -> Option<PendingRequest> {
        self.pending.swap_remove(&id)
    }

    /// Requests on a route that is gone.
    pub(super) fn on_route(&self, route: RequestRoute) -> Vec<u64> {
        let matching = |(_, request): &(&u64, &PendingRequest)| request.route == route;
        self.pending
            .iter()
            .filter(matching)
            .map(|(id, _)| *id)
            .collect()
    }

    /// Requests whose time is up.
    pub(super) fn overdue(&self, now: Timestamp) -> Vec<u64> {
        let overdue = |(_, request): &(&u64, &PendingRequest)| request.deadline <= now;
        self.pending
            .iter()
            .filter(overdue)
            .map(|(id, _)| *id)
            .collect()
    }

    /// Whether an operator waits for an answer.
    pub(super) fn has_operators(&self) -> bool {
        self.pending.values().any(|request| {
            matches!(
                request.requester,
                Requester::Operator(_) | Requester::Reader(_)
            )
        })
    }
}

/// A request or answer on its way to another instance.
pub(super) fn forward(request_id: u64, content: Content) -> Forward {
    Forward {
        request_id,
        content: Some(content),
    }
}
