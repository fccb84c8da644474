//! HTTP requests of operators.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use indexmap::IndexMap;
use kumquatlock_wire::agreement::forward::Content;
use kumquatlock_wire::distribution::StatusRequest;
use kumquatlock_wire::rollout::RolloutOrder;
use serde::Serialize;

use super::actor::ControlActor;
use super::answer;
use super::http::ReplySender;
use super::requests::{ReadSubject, RequestKind, Requester};
use super::rollouts::{ROLLOUTS_PATH, parse_rollout_request, rollout_response};
use crate::agreement::ReadIndex;
use crate::catalog::CurrentCatalog;
use crate::core::{SharedName, Timestamp};
use crate::http::{HttpRequest, HttpResponse};
use crate::manifest::ManifestDocument;

/// Maximum wait of a read for entries that are committed but that this instance has not applied
/// yet.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Path to which manifests are submitted.
pub const SUBMIT_PATH: &str = MANIFESTS_PATH;
const MANIFESTS_PATH: &str = "/v1/manifests";
const STATUS_PATH: &str = "/v1/status";
const SOURCE_PATH: &str = "/v1/source";
const METRICS_PATH: &str = "/metrics";
const LATEST: &str = "latest";

/// A request that a thread has translated for the actor.
pub(super) struct OperatorCall {
    pub(super) request: OperatorRequest,
    /// The parsed manifest of a submission.
    pub(super) document: Option<Arc<ManifestDocument>>,
    pub(super) reply: ReplySender,
}

/// Request of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorRequest {
    /// Submits this manifest text.
    Submit(Bytes),
    /// Asks for the state of a manifest; `None` selects the newest one.
    Show(Option<u64>),
    /// Asks for the source of the newest manifest.
    Source,
    /// Orders a rollout.
    Rollout(Box<RolloutOrder>),
    /// Asks for the rollout of a service.
    ShowRollout(SharedName),
    /// Asks for the status of the instance.
    Status,
    /// Asks for the metrics page.
    Metrics,
}

/// Adapts the HTTP interface for operators to a platform: functions that translate the platform's
/// requests and responses.
#[derive(Clone, Copy, Debug)]
pub struct OperatorAdapter {
    /// Parses a request, or returns the response that refuses it.
    pub read: fn(HttpRequest) -> Result<OperatorRequest, HttpResponse>,
    /// Converts a response from the form of [`OperatorAdapter::default`].
    pub write: fn(&OperatorRequest, HttpResponse) -> HttpResponse,
}

impl Default for OperatorAdapter {
    fn default() -> Self {
        OperatorAdapter {
            read: parse_request,
            write: |_, response| response,
        }
    }
}

/// What is answered from a current state.
#[derive(Debug)]
pub(super) enum ReadTarget {
    /// An operator's read of the catalog.
    Catalog(ReplySender, ReadSubject),
    /// A request for the state of a manifest that this instance answers as the leader.
    Status {
        id: u64,
        manifest_version: Option<u64>,
    },
}

/// A read that waits until this instance has applied the index that makes it current.
#[derive(Debug)]
pub(super) struct WaitingRead {
    index: ReadIndex,
    deadline: Timestamp,
    target: ReadTarget,
}

pub(super) fn method_not_allowed(allowed: &str) -> HttpResponse {
    let detail = format!("this path takes {allowed}");
    answer::bad_request(405, "method_not_allowed", &detail).with_header("Allow", allowed)
}

/// Parses the method and path of a request, or returns the response that refuses it.
fn parse_request(request: HttpRequest) -> Result<OperatorRequest, HttpResponse> {
    let path = request.path();
    if path.starts_with(ROLLOUTS_PATH) {
        return parse_rollout_request(&request);
    }
    let (operation, method) = if path == MANIFESTS_PATH {
        (OperatorRequest::Submit(request.body.clone()), "POST")
    } else if path == STATUS_PATH {
        (OperatorRequest::Status, "GET")
    } else if path == SOURCE_PATH {
        (OperatorRequest::Source, "GET")
    } else if path == METRICS_PATH {
        (OperatorRequest::Metrics, "GET")
    } else if let Some(version) = path
        .strip_prefix(MANIFESTS_PATH)
        .and_then(|rest| rest.strip_prefix('/'))
    {
        (OperatorRequest::Show(parse_version(version)?), "GET")
    } else {
        let detail = "paths are /v1/manifests, /v1/manifests/<version>, /v1/rollouts, \
                      /v1/rollouts/<service>, /v1/source, /v1/status and /metrics";
        return Err(answer::bad_request(404, "not_found", detail));
    };
    if request.method != method {
        return Err(method_not_allowed(method));
    }
    Ok(operation)
}

fn parse_version(text: &str) -> Result<Option<u64>, HttpResponse> {
    if text == LATEST {
        return Ok(None);
    }
    let is_number = text.bytes().all(|byte| byte.is_ascii_digit());
    let version = text
        .parse()
        .ok()
        .filter(|version| is_number && *version > 0);
    version.map(Some).ok_or_else(|| {
        let detail = "a version is a whole number from 1, or `latest`";
        answer::bad_request(400, "bad_version", detail)
    })
}

/// JSON body with the source texts from which the accepted manifest and its items were generated.
#[derive(Serialize)]
struct SourceBody<'a> {
    source: std::borrow::Cow<'a, str>,
    services: IndexMap<&'a str, &'a str>,
    routes: IndexMap<&'a str, &'a str>,
    #[serde(skip_serializing_if = "IndexMap::is_empty")]
    accounts: IndexMap<&'a str, &'a str>,
}

fn source_response(current: &CurrentCatalog<'_>) -> HttpResponse {
    let catalog = current.state();
    if catalog.manifest_source().is_empty() {
        return answer::response(answer::not_run("no_source"));
    }
    let services = catalog.services();
    let routes = catalog.routes();
    let accounts = catalog.accounts();
    let body = SourceBody {
        source: String::from_utf8_lossy(catalog.manifest_source()),
        services: services
            .map(|item| (item.name.as_str(), item.source.as_str()))
            .collect(),
        routes: routes
            .map(|item| (item.name.as_str(), item.source.as_str()))
            .collect(),
        accounts: accounts
            .map(|item| (item.name.as_str(), item.source.as_str()))
            .collect(),
    };
    HttpResponse::json(200, &body)
}

#[derive(Serialize)]
struct VoterBody {
    name: String,
    disk_id: String,
}

#[derive(Serialize)]
struct StatusBody<'a> {
    name: &'a str,
    role: &'static str,
    zone: &'a str,
    region: &'a str,
    leader: Option<String>,
    term: u64,
    group_id: String,
    voters: Vec<VoterBody>,
    commit_index: u64,
    applied_index: u64,
    config_version: u64,
    manifest_version: u64,
    children: usize,
    attached: u64,
    applied: u64,
    connected_voters: usize,
    pending_requests: usize,
}

impl ControlActor {
    pub(super) fn answer_operator(&mut self, now: Timestamp, call: OperatorCall) {
        let OperatorCall {
            request,
            document,
            reply,
        } = call;
        match request {
            OperatorRequest::Metrics => reply.send(self.metrics.response()),
            OperatorRequest::Status => reply.send(self.status_response(now)),
            OperatorRequest::Show(manifest_version) => {
                let content = Content::StatusRequest(StatusRequest { manifest_version });
                self.route_request(now, Requester::Operator(reply), content);
            }
            OperatorRequest::Source => {
                self.read_catalog(now, reply, ReadSubject::Source);
            }
            OperatorRequest::ShowRollout(service) => {
                self.read_catalog(now, reply, ReadSubject::Rollout(service));
            }
            OperatorRequest::Rollout(order) => {
                let content = Content::RolloutOrder(*order);
                self.route_request(now, Requester::Operator(reply), content);
            }
            OperatorRequest::Submit(text) => self.submit_manifest(now, text, document, reply),
        }
    }

    fn read_catalog(&mut self, now: Timestamp, reply: ReplySender, subject: ReadSubject) {
        let content = Content::ConfirmRequest(Default::default());
        self.route_request(now, Requester::Reader(reply, subject), content);
    }

    /// Answers a read once this instance has applied everything up to `index`, which makes the read
    /// current.
    pub(super) fn wait_for_read(&mut self, now: Timestamp, index: ReadIndex, target: ReadTarget) {
        self.waiting_reads.push(WaitingRead {
            index,
            deadline: now + READ_TIMEOUT,
            target,
        });
        self.answer_applied_reads(now);
    }

    pub(super) fn answer_applied_reads(&mut self, now: Timestamp) {
        let catalog = &self.catalog;
        let is_applied = |read: &mut WaitingRead| catalog.current(read.index).is_some();
        let applied: Vec<_> = self.waiting_reads.extract_if(.., is_applied).collect();
        for read in applied {
            self.answer_read(now, read);
        }
    }

    fn answer_read(&mut self, now: Timestamp, read: WaitingRead) {
        let Some(current) = self.catalog.current(read.index) else {
            return;
        };
        match read.target {
            ReadTarget::Catalog(reply, ReadSubject::Source) => {
                reply.send(source_response(&current))
            }
            ReadTarget::Catalog(reply, ReadSubject::Rollout(service)) => {
                reply.send(rollout_response(&current, &service));
            }
            ReadTarget::Status {
                id,
                manifest_version,
            } => {
                // Only the leader knows the progress of the nodes.
                let answer = match self.is_leader() {
                    true => self.manifest_status(now, &current, manifest_version),
                    false => answer::not_run("not_current"),
                };
                self.finish_request(now, id, answer);
            }
        }
    }

    pub(super) fn expire_reads(&mut self, now: Timestamp) {
        let is_overdue = |read: &mut WaitingRead| read.deadline <= now;
        let overdue: Vec<_> = self.waiting_reads.extract_if(.., is_overdue).collect();
        for read in overdue {
            let answer = answer::not_run("not_applied");
            match read.target {
                ReadTarget::Catalog(reply, _) => reply.send(answer::response(answer)),
                ReadTarget::Status { id, .. } => self.finish_request(now, id, answer),
            }
        }
    }

    fn submit_manifest(
        &mut self,
        now: Timestamp,
        text: Bytes,
        document: Option<Arc<ManifestDocument>>,
        reply: ReplySender,
    ) {
        if self.stop.is_some() {
            let answer = answer::not_run("leaving");
            let requester = Requester::Operator(reply);
            let id = self.requests.next_id();
            self.submission_received(now, id, &requester, RequestKind::Submit);
            self.submission_answered(now, id, &answer);
            return self.deliver_answer(now, requester, RequestKind::Submit, answer);
        }
        match document.filter(|_| self.is_leader()) {
            Some(document) => self.submit_as_leader(now, reply, document),
            None => self.route_request(now, Requester::Operator(reply), Content::Submit(text)),
        }
    }

    fn status_response(&self, now: Timestamp) -> HttpResponse {
        let settings = &self.settings;
        let status = self.voter.as_ref().map(|voter| voter.agreement.status());
        let count = self.attached_count(now, self.catalog.version());
        let voters = status.iter().flat_map(|status| &status.voters.voters);
        let group = match (&status, &self.uplink) {
            (Some(status), _) => status.group_id.0,
            (None, Some(uplink)) => uplink.child.group().0,
            (None, None) => 0,
        };
        let body = StatusBody {
            name: &settings.name,
            role: match &self.voter {
                Some(voter) => voter.role.into(),
                None => "replica",
            },
            zone: &settings.zone,
            region: &settings.region,
            leader: self
                .voter
                .as_ref()
                .and_then(|voter| voter.leader.as_ref().map(ToString::to_string)),
            term: status.as_ref().map_or(0, |status| status.term),
            group_id: format!("{group:016x}"),
            voters: voters
                .map(|voter| VoterBody {
                    name: voter.name.clone(),
                    disk_id: format!("{:016x}", voter.disk_id),
                })
                .collect(),
            commit_index: status.as_ref().map_or(0, |status| status.commit_index),
            applied_index: self.catalog.applied_index(),
            config_version: self.catalog.version().0,
            manifest_version: self.catalog.manifest_version(),
            children: self.parent.child_count(),
            attached: count.attached,
            applied: count.applied,
            connected_voters: self.peers.connected_count(),
            pending_requests: self.requests.len(),
        };
        HttpResponse::json(200, &body)
    }
}
