//! HTTP client with which operators submit manifests to a group of control instances and query it.
//!
//! An [`OperatorClient`] knows the HTTP addresses of some instances and tries them in turn.
//! Repeating a submission is safe: a manifest that was decided before gets the same answer again.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;
use ureq::Agent;

use crate::manifest::MAX_MANIFEST_BYTES;

/// Pause after all instances have been tried once.
const ROUND_PAUSE: Duration = Duration::from_millis(200);
/// Interval between two checks of whether a manifest is in force.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum duration of one HTTP exchange with an instance. Longer than the time within which an
/// instance answers in any case.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(6);
/// Minimum timeout of one HTTP exchange, so that instances late in the list are also tried when the
/// deadline is near or past.
const MIN_EXCHANGE_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum time to connect to one instance.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of an answer, in bytes. Usual answers have a few hundred bytes.
const MAX_ANSWER_BYTES: u64 = 64 * 1024;

/// Answer of a control instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorAnswer {
    /// HTTP status.
    pub status: u16,
    /// Body, as JSON text.
    pub json: String,
}

impl OperatorAnswer {
    /// Returns the value of the field `state`, or an empty string if there is none.
    pub fn state(&self) -> String {
        let value: Value = serde_json::from_str(&self.json).unwrap_or_default();
        value["state"].as_str().unwrap_or_default().to_owned()
    }

    /// Returns whether the answer is a control instance's decision. An answer without a state is
    /// not: the request was not carried out and may succeed at another instance or later, or the
    /// answer came from a process that is not a control instance.
    fn is_final(&self) -> bool {
        !self.state().is_empty()
    }
}

/// Outcome of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The manifest was accepted.
    Accepted(OperatorAnswer),
    /// The manifest was refused.
    Refused(OperatorAnswer),
}

/// Outcome of a query for the state of a manifest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ShowOutcome {
    /// The manifest is in force; without waiting, it may also be accepted or superseded.
    Reached(OperatorAnswer),
    /// A later manifest replaced this one before it was observed in force.
    Superseded(OperatorAnswer),
    /// The manifest is unknown, or did not come into force in time.
    NotReached(OperatorAnswer),
}

/// Outcome of an order of a rollout, or of a query for its state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutOutcome {
    /// The rollout is running or completed.
    Accepted(OperatorAnswer),
    /// The order was refused, or the version was rolled back.
    Refused(OperatorAnswer),
    /// No rollout of the service is known.
    Unknown(OperatorAnswer),
}

/// Error of a request to the control instances.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    /// No instance gave a final answer before the timeout.
    #[error("no answer from any instance within {} ms; last: {last}", waited.as_millis())]
    NoAnswer {
        /// Time spent waiting.
        waited: Duration,
        /// Answer or error of the last attempt.
        last: String,
    },
    /// The manifest exceeds the size limit.
    #[error("manifest has {bytes} bytes, more than the limit of {MAX_MANIFEST_BYTES}")]
    TooLarge {
        /// Size of the manifest.
        bytes: usize,
    },
}

type ExchangeResult = Result<ureq::http::Response<ureq::Body>, ureq::Error>;

/// HTTP client for a group of control instances.
#[derive(Debug)]
pub struct OperatorClient {
    agent: Agent,
    /// HTTP addresses of the instances; not empty.
    instances: Vec<SocketAddr>,
    timeout: Duration,
}

impl OperatorClient {
    /// Creates a client that gives up after `timeout`.
    pub fn new(instances: Vec<SocketAddr>, timeout: Duration) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .max_redirects(0)
            .timeout_connect(Some(CONNECT_TIMEOUT.min(timeout)));
        OperatorClient {
            agent: config.build().into(),
            instances,
            timeout,
        }
    }

    /// Submits a manifest to the instances in turn until one of them decides on it.
    pub fn submit_manifest(&self, text: &[u8]) -> Result<SubmitOutcome, OperatorError> {
        if text.len() > MAX_MANIFEST_BYTES {
            return Err(OperatorError::TooLarge { bytes: text.len() });
        }
        let answer = self.ask_until(Instant::now() + self.timeout, |instance, timeout| {
            let url = format!("http://{instance}/v1/manifests");
            let request = self.agent.post(url).content_type("application/json");
            request
                .config()
                .timeout_global(Some(timeout))
                .build()
                .send(text)
        })?;
        Ok(match answer.status {
            200 => SubmitOutcome::Accepted(answer),
            _ => SubmitOutcome::Refused(answer),
        })
    }

    /// Returns the state of a manifest as the leader reports it; `None` selects the newest
    /// manifest. With `wait`, polls for at most that long until the manifest is in force.
    pub fn show_manifest(
        &self,
        version: Option<u64>,
        wait: Option<Duration>,
    ) -> Result<ShowOutcome, OperatorError> {
        let version = version.map_or_else(|| "latest".to_owned(), |version| version.to_string());
        let started = Instant::now();
        loop {
            let answer = self.ask_until(Instant::now() + self.timeout, |instance, timeout| {
                let url = format!("http://{instance}/v1/manifests/{version}");
                self.get(&url, timeout)
            })?;
            let may_wait = wait.is_some_and(|wait| started.elapsed() < wait);
            match (answer.state().as_str(), wait) {
                ("in_force", _) | ("accepted" | "superseded", None) => {
                    return Ok(ShowOutcome::Reached(answer));
                }
                ("superseded", Some(_)) => return Ok(ShowOutcome::Superseded(answer)),
                _ if may_wait => thread::sleep(POLL_INTERVAL),
                _ => return Ok(ShowOutcome::NotReached(answer)),
            }
        }
    }

    /// Orders a rollout at the instances in turn until one of them decides on it.
    pub fn order_rollout(
        &self,
        service: &str,
        version: &str,
        duration: Duration,
    ) -> Result<RolloutOutcome, OperatorError> {
        let body = serde_json::json!({
            "service": service,
            "target_version": version,
            "duration_ms": u64::try_from(duration.as_millis()).unwrap_or(u64::MAX),
        });
        let text = body.to_string();
        let answer = self.ask_until(Instant::now() + self.timeout, |instance, timeout| {
            let url = format!("http://{instance}/v1/rollouts");
            let request = self.agent.post(url).content_type("application/json");
            let request = request.config().timeout_global(Some(timeout)).build();
            request.send(&text)
        })?;
        Ok(rollout_outcome(answer))
    }

    /// Returns the state of the latest rollout of a service.
    pub fn show_rollout(&self, service: &str) -> Result<RolloutOutcome, OperatorError> {
        let answer = self.ask_until(Instant::now() + self.timeout, |instance, timeout| {
            self.get(&format!("http://{instance}/v1/rollouts/{service}"), timeout)
        })?;
        Ok(rollout_outcome(answer))
    }

    /// Returns the status of each instance, or the error of the request for it.
    pub fn show_status(&self) -> Vec<(SocketAddr, Result<OperatorAnswer, String>)> {
        let deadline = Instant::now() + self.timeout;
        let ask = |instance: &SocketAddr| {
            let url = format!("http://{instance}/v1/status");
            let answer = read_answer(self.get(&url, exchange_timeout(deadline)));
            (*instance, answer)
        };
        self.instances.iter().map(ask).collect()
    }

    fn get(&self, url: &str, timeout: Duration) -> ExchangeResult {
        let request = self.agent.get(url).config();
        request.timeout_global(Some(timeout)).build().call()
    }

    /// Sends a request to the instances in turn until one gives a final answer.
    fn ask_until(
        &self,
        deadline: Instant,
        ask: impl Fn(SocketAddr, Duration) -> ExchangeResult,
    ) -> Result<OperatorAnswer, OperatorError> {
        let started = Instant::now();
        loop {
            let mut last = String::new();
            for instance in &self.instances {
                match read_answer(ask(*instance, exchange_timeout(deadline))) {
                    Ok(answer) if answer.is_final() => return Ok(answer),
                    Ok(answer) => last = format!("{instance} answered {}", answer.json),
                    Err(error) => last = format!("{instance}: {error}"),
                }
            }
            if Instant::now() + ROUND_PAUSE >= deadline {
                let waited = started.elapsed();
                return Err(OperatorError::NoAnswer { waited, last });
            }
            thread::sleep(ROUND_PAUSE);
        }
    }
}

fn rollout_outcome(answer: OperatorAnswer) -> RolloutOutcome {
    match answer.state().as_str() {
        "running" | "completed" => RolloutOutcome::Accepted(answer),
        "unknown" => RolloutOutcome::Unknown(answer),
        _ => RolloutOutcome::Refused(answer),
    }
}

/// Returns the timeout of the next HTTP exchange of a command that gives up at `deadline`.
fn exchange_timeout(deadline: Instant) -> Duration {
    deadline
        .saturating_duration_since(Instant::now())
        .clamp(MIN_EXCHANGE_TIMEOUT, EXCHANGE_TIMEOUT)
}

fn read_answer(response: ExchangeResult) -> Result<OperatorAnswer, String> {
    let (head, body) = response.map_err(|error| error.to_string())?.into_parts();
    let body = body.into_with_config().limit(MAX_ANSWER_BYTES);
    let json = body.lossy_utf8(true).read_to_string();
    Ok(OperatorAnswer {
        status: head.status.as_u16(),
        json: json.map_err(|error| error.to_string())?,
    })
}
