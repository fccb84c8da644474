//! Requests to the upstream beside this node.

use std::io::{self, Read};
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use bytes::Bytes;
use ureq::Agent;
use ureq::http::Request;

use super::message::{HttpRequest, HttpResponse, MAX_BODY_BYTES};

/// Idle connections are closed before usual upstreams close them, so that a request rarely
/// meets a connection that is being closed.
const MAX_IDLE_AGE: Duration = Duration::from_secs(4);

/// One request for the upstream.
#[derive(Debug)]
pub struct UpstreamJob<T> {
    /// Returned with the result.
    pub tag: T,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// The request.
    pub request: HttpRequest,
    /// Time left for the whole exchange.
    pub timeout: Duration,
}

/// Result of one [`UpstreamJob`].
#[derive(Debug)]
pub struct UpstreamResult<T> {
    /// Tag of the job.
    pub tag: T,
    /// The whole answer, or why there is none.
    pub outcome: Result<HttpResponse, UpstreamFailure>,
}

/// Why the upstream gave no whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum UpstreamFailure {
    /// No connection could be made, so the request did not reach the upstream.
    Unreachable,
    /// The request cannot be expressed in HTTP; nothing was sent.
    InvalidRequest,
    /// The time for the exchange ran out after the request may have been sent.
    Timeout,
    /// The connection broke after the request may have been sent.
    Broken,
    /// The body ended before its announced length.
    Truncated,
    /// The body exceeds the bound.
    TooLarge,
}

impl UpstreamFailure {
    /// Whether the upstream cannot have seen the request.
    pub fn proves_not_run(self) -> bool {
        matches!(
            self,
            UpstreamFailure::Unreachable | UpstreamFailure::InvalidRequest
        )
    }
}

/// Threads that carry requests to the upstream, one request each at a time.
pub struct UpstreamPool<T> {
    jobs: Option<Sender<UpstreamJob<T>>>,
    threads: Vec<JoinHandle<()>>,
}

impl<T: Send + 'static> UpstreamPool<T> {
    /// Starts `connections` threads that report results through `report`.
    pub fn start<R>(connections: usize, report: R) -> io::Result<Self>
    where
        R: Fn(UpstreamResult<T>) + Clone + Send + 'static,
    {
        let (jobs, queue) = channel();
        let queue = Arc::new(Mutex::new(queue));
        let agent = new_agent(connections);
        let mut threads = Vec::with_capacity(connections);
        for _ in 0..connections {
            let (queue, agent, report) = (queue.clone(), agent.clone(), report.clone());
            let worker = move || run_jobs(&queue, &agent, &report);
            threads.push(
                thread::Builder::new()
                    .name("upstream-client".into())
                    .spawn(worker)?,
            );
        }
        Ok(UpstreamPool {
            jobs: Some(jobs),
            threads,
        })
    }

    /// Hands a job to the next free thread. Admission keeps the number of jobs within the pool.
    pub fn submit(&self, job: UpstreamJob<T>) {
        if let Some(jobs) = &self.jobs {
            // Threads end only when the pool is dropped, so the queue is open.
            let _ = jobs.send(job);
        }
    }
}

impl<T> Drop for UpstreamPool<T> {
    fn drop(&mut self) {
        self.jobs = None;
        for thread in self.threads.drain(..) {
            // A worker that panicked has already been reported by the panic hook.
            let _ = thread.join();
        }
    }
}

fn new_agent(connections: usize) -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .user_agent("")
        .accept("")
        .no_delay(true)
        .max_idle_connections(connections)
        .max_idle_connections_per_host(connections)
        .max_idle_age(MAX_IDLE_AGE)
        .allow_non_standard_methods(true)
        .build()
        .into()
}

fn run_jobs<T, R: Fn(UpstreamResult<T>)>(
    queue: &Mutex<Receiver<UpstreamJob<T>>>,
    agent: &Agent,
    report: &R,
) {
    loop {
        let next = queue.lock().unwrap_or_else(PoisonError::into_inner).recv();
        let Ok(job) = next else { return };
        let outcome = exchange(agent, job.address, job.request, job.timeout);
        report(UpstreamResult {
            tag: job.tag,
            outcome,
        });
    }
}

fn exchange(
    agent: &Agent,
    address: SocketAddr,
    request: HttpRequest,
    timeout: Duration,
) -> Result<HttpResponse, UpstreamFailure> {
    let mut builder = Request::builder()
        .method(request.method.as_str())
        .uri(format!("http://{address}{}", request.target));
    for (name, value) in &request.headers {
        builder = builder.header(name, value);
    }
    // The body is a slice, so its length is announced to the upstream.
    let outgoing = builder
        .body(&request.body[..])
        .map_err(|_| UpstreamFailure::InvalidRequest)?;
    let outgoing = agent
        .configure_request(outgoing)
        .timeout_global(Some(timeout))
        .build();
    let response = agent
        .run(outgoing)
        .map_err(|error| classify_error(&error))?;
    let (parts, body) = response.into_parts();
    let headers = parts.headers.iter();
    let headers = headers
        .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_owned())))
        .collect();
    Ok(HttpResponse {
        status: parts.status.as_u16(),
        headers,
        body: read_whole(body)?,
    })
}

fn read_whole(body: ureq::Body) -> Result<Bytes, UpstreamFailure> {
    let mut whole = Vec::new();
    let mut reader = body.into_reader().take(MAX_BODY_BYTES as u64 + 1);
    reader
        .read_to_end(&mut whole)
        .map_err(|error| match error.kind() {
            io::ErrorKind::UnexpectedEof => UpstreamFailure::Truncated,
            io::ErrorKind::TimedOut => UpstreamFailure::Timeout,
            _ => UpstreamFailure::Broken,
        })?;
    if whole.len() > MAX_BODY_BYTES {
        return Err(UpstreamFailure::TooLarge);
    }
    Ok(whole.into())
}

fn classify_error(error: &ureq::Error) -> UpstreamFailure {
    match error {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::Timeout(ureq::Timeout::Connect) => UpstreamFailure::Unreachable,
        ureq::Error::Io(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
            UpstreamFailure::Unreachable
        }
        ureq::Error::Http(_) | ureq::Error::BadUri(_) => UpstreamFailure::InvalidRequest,
        ureq::Error::Timeout(_) => UpstreamFailure::Timeout,
        _ => UpstreamFailure::Broken,
    }
}
