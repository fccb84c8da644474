//! HTTP requests of operators, between the event loop and the threads that translate them.
//!
//! The actor reads requests and writes responses in its event loop. Translating and parsing a
//! manifest of thousands of routes, and rendering one, takes so long that the actor would miss its
//! heartbeats meanwhile, so a few threads do that.

use std::panic::{self, AssertUnwindSafe};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use stakker::sync::Channel;

use super::actor::ControlActor;
use super::answer;
use super::metrics::ControlMetrics;
use super::operator::{OperatorAdapter, OperatorCall, OperatorRequest};
use super::requests::RequestAnswer;
use super::submission_log::DocumentSummary;
use crate::core::Timestamp;
use crate::http::{HttpEvent, HttpLimits, HttpRequest, HttpResponse, RequestId};
use crate::manifest::{MAX_MANIFEST_BYTES, ManifestDocument, ManifestError};

/// Number of threads that translate requests and responses.
const WORKERS: usize = 2;
/// Maximum number of requests that are being translated or answered. Further ones are refused.
const MAX_OPERATOR_REQUESTS: usize = 64;
/// Maximum number of forwarded submissions that wait to be parsed. Further ones are refused.
const MAX_FORWARDED_PARSES: usize = 64;
/// Limits on the requests of operators and upstreams.
pub(super) const OPERATOR_LIMITS: HttpLimits = HttpLimits {
    header_bytes: 64 * 1024,
    body_bytes: MAX_MANIFEST_BYTES as u64,
    header_timeout: Duration::from_secs(10),
    idle_timeout: Duration::from_secs(60),
};

/// Work for one of the threads.
enum WorkerJob {
    /// Translates and checks a request.
    Read { id: RequestId, request: HttpRequest },
    /// Parses the manifest of a submission that another instance has forwarded.
    Parse { request_id: u64, text: Bytes },
    /// Translates a response.
    Write {
        id: RequestId,
        request: OperatorRequest,
        response: HttpResponse,
    },
    /// Ends the thread that takes it.
    End,
}

/// Result of a [`WorkerJob`].
pub(super) enum WorkerResult {
    /// A request for the actor.
    Call(OperatorCall),
    /// A forwarded submission.
    Parsed {
        request_id: u64,
        /// `None` after a panic.
        parsed: Option<Result<Arc<ManifestDocument>, ManifestError>>,
    },
    /// A response to be sent.
    Response {
        id: RequestId,
        response: HttpResponse,
        /// Reason for which a submission was refused as invalid.
        invalid_reason: Option<&'static str>,
    },
}

impl WorkerResult {
    fn response(id: RequestId, response: HttpResponse) -> Self {
        WorkerResult::Response {
            id,
            response,
            invalid_reason: None,
        }
    }
}

/// Takes the response to one request of an operator.
#[derive(Debug)]
pub(super) struct ReplySender {
    id: RequestId,
    request: OperatorRequest,
    /// Present for a submission.
    pub(super) document: Option<DocumentSummary>,
    jobs: Sender<WorkerJob>,
}

impl ReplySender {
    /// Passes the response to a thread that translates it. Does nothing if the threads have ended.
    pub(super) fn send(self, response: HttpResponse) {
        let job = WorkerJob::Write {
            id: self.id,
            request: self.request,
            response,
        };
        let _ = self.jobs.send(job);
    }
}

/// The threads, and the requests that they and the actor are working on.
pub(super) struct OperatorWorkers {
    jobs: Sender<WorkerJob>,
    /// Number of requests without a response; at most [`MAX_OPERATOR_REQUESTS`].
    open_requests: usize,
    /// Number of forwarded submissions that are not parsed yet; at most [`MAX_FORWARDED_PARSES`].
    open_parses: usize,
}

impl OperatorWorkers {
    /// Starts the threads. They send their results to `results` and end when the workers are
    /// dropped.
    pub(super) fn start(
        adapter: OperatorAdapter,
        metrics: &Arc<ControlMetrics>,
        results: &Channel<WorkerResult>,
    ) -> std::io::Result<Self> {
        let (jobs, receiver) = channel();
        let receiver = Arc::new(Mutex::new(receiver));
        for _ in 0..WORKERS {
            let worker = OperatorWorker {
                adapter,
                metrics: metrics.clone(),
                jobs: receiver.clone(),
                replies: jobs.clone(),
                results: results.clone(),
            };
            thread::Builder::new()
                .name("operator-http".into())
                .spawn(move || worker.run())?;
        }
        Ok(OperatorWorkers {
            jobs,
            open_requests: 0,
            open_parses: 0,
        })
    }

    /// Lets a thread translate a request.
    pub(super) fn read(&mut self, id: RequestId, request: HttpRequest) {
        self.open_requests += 1;
        // The threads end only after the workers.
        let _ = self.jobs.send(WorkerJob::Read { id, request });
    }

    /// Lets a thread parse the manifest of a forwarded submission. Returns `false` if too many wait.
    pub(super) fn parse(&mut self, request_id: u64, text: Bytes) -> bool {
        if self.open_parses >= MAX_FORWARDED_PARSES {
            return false;
        }
        self.open_parses += 1;
        // The threads end only after the workers.
        let _ = self.jobs.send(WorkerJob::Parse { request_id, text });
        true
    }

    /// Returns whether no request waits for its response.
    pub(super) fn is_idle(&self) -> bool {
        self.open_requests == 0
    }
}

impl Drop for OperatorWorkers {
    /// Ends the threads. They hold senders of jobs themselves, so the channel never closes.
    fn drop(&mut self) {
        for _ in 0..WORKERS {
            let _ = self.jobs.send(WorkerJob::End);
        }
    }
}

struct OperatorWorker {
    adapter: OperatorAdapter,
    metrics: Arc<ControlMetrics>,
    jobs: Arc<Mutex<Receiver<WorkerJob>>>,
    replies: Sender<WorkerJob>,
    results: Channel<WorkerResult>,
}

impl OperatorWorker {
    fn run(&self) {
        loop {
            let jobs = self.jobs.lock().unwrap_or_else(PoisonError::into_inner);
            let Ok(job) = jobs.recv() else {
                return;
            };
            drop(jobs);
            let result = match job {
                WorkerJob::Read { id, request } => {
                    let failed = answer::not_run("internal_error");
                    isolate(id, failed, || self.read(id, request))
                }
                WorkerJob::Parse { request_id, text } => parse_forwarded(request_id, &text),
                WorkerJob::Write {
                    id,
                    request,
                    response,
                } => {
                    let failed = answer::unknown("internal_error");
                    isolate(id, failed, || {
                        let response = (self.adapter.write)(&request, response);
                        WorkerResult::response(id, response)
                    })
                }
                WorkerJob::End => return,
            };
            if !self.results.send(result) {
                return;
            }
        }
    }

    fn read(&self, id: RequestId, request: HttpRequest) -> WorkerResult {
        let request = match (self.adapter.read)(request) {
            Ok(OperatorRequest::Metrics) => {
                let response = self.metrics.response();
                return WorkerResult::response(id, response);
            }
            Ok(request) => request,
            Err(response) => return WorkerResult::response(id, response),
        };
        match parse_manifest(&request) {
            Ok(document) => WorkerResult::Call(OperatorCall {
                reply: ReplySender {
                    id,
                    request: request.clone(),
                    document: document.as_deref().map(DocumentSummary::from),
                    jobs: self.replies.clone(),
                },
                document,
                request,
            }),
            Err(error) => {
                let response = answer::response(answer::invalid_manifest(&error));
                self.metrics.count_submission(response.status.code());
                WorkerResult::Response {
                    id,
                    response: (self.adapter.write)(&request, response),
                    invalid_reason: Some(error.reason()),
                }
            }
        }
    }
}

/// Does the work for one request. A panic ends this request with `failed`, and not the thread: it
/// would leave no thread for later requests.
fn isolate(
    id: RequestId,
    failed: RequestAnswer,
    work: impl FnOnce() -> WorkerResult,
) -> WorkerResult {
    // The work owns what it changes, apart from counters.
    panic::catch_unwind(AssertUnwindSafe(work)).unwrap_or_else(|_| {
        log::error!("operator_request_panicked");
        let response = answer::response(failed);
        WorkerResult::response(id, response)
    })
}

/// Parses the manifest of a forwarded submission. A panic ends this submission, and not the thread.
fn parse_forwarded(request_id: u64, text: &[u8]) -> WorkerResult {
    let parse = || ManifestDocument::parse(text).map(Arc::new);
    let parsed = panic::catch_unwind(parse).inspect_err(|_| {
        log::error!("operator_request_panicked");
    });
    WorkerResult::Parsed {
        request_id,
        parsed: parsed.ok(),
    }
}

/// Parses the manifest of a submission. The receiving instance does this, so that an invalid
/// manifest puts no load on the leader.
fn parse_manifest(
    request: &OperatorRequest,
) -> Result<Option<Arc<ManifestDocument>>, ManifestError> {
    match request {
        OperatorRequest::Submit(text) => {
            let document = ManifestDocument::parse(text)?;
            Ok(Some(Arc::new(document)))
        }
        _ => Ok(None),
    }
}

impl ControlActor {
    pub(super) fn handle_http_event(&mut self, now: Timestamp, event: HttpEvent<()>) {
        // An operator that disconnects does not cancel its request.
        let HttpEvent::Request { id, request, .. } = event else {
            return;
        };
        let workers = &mut self.workers;
        if workers.open_requests >= MAX_OPERATOR_REQUESTS {
            let busy = answer::response(answer::not_run("busy"));
            return self.http.respond(now, id, busy);
        }
        workers.read(id, request);
    }

    pub(super) fn handle_worker_result(&mut self, now: Timestamp, result: WorkerResult) {
        match result {
            WorkerResult::Call(call) => self.answer_operator(now, call),
            WorkerResult::Parsed { request_id, parsed } => {
                self.workers.open_parses = self.workers.open_parses.saturating_sub(1);
                self.handle_parsed(now, request_id, parsed);
            }
            WorkerResult::Response {
                id,
                response,
                invalid_reason,
            } => {
                if let Some(reason) = invalid_reason {
                    self.invalid_submission_received(now, reason);
                }
                self.workers.open_requests = self.workers.open_requests.saturating_sub(1);
                self.http.respond(now, id, response);
            }
        }
    }
}
