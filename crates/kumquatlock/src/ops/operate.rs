//! What operators ask of a group of control instances.
//!
//! An [`OperatorClient`] knows the HTTP addresses of some instances and tries one after the
//! other. Asking again is safe: the same manifest gets its first answer.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;
use ureq::Agent;

use crate::manifest::MAX_MANIFEST_BYTES;

/// Pause after every instance was tried once.
const ROUND_PAUSE: Duration = Duration::from_millis(200);
/// Interval between two questions whether a manifest is in force.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Longest exchange with one instance. Above the time after which an instance answers for sure.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(6);
/// Shortest exchange with one instance, so that instances late in the list are tried as well.
const MIN_EXCHANGE_TIMEOUT: Duration = Duration::from_millis(100);
/// Longest connect to one instance.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest answer, in bytes. Answers are a few hundred bytes.
const MAX_ANSWER_BYTES: u64 = 64 * 1024;

/// An answer with its HTTP status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorAnswer {
    /// HTTP status.
    pub status: u16,
    /// JSON text.
    pub json: String,
}

impl OperatorAnswer {
    /// The value of `state`, empty if there is none.
    pub fn state(&self) -> String {
        let value: Value = serde_json::from_str(&self.json).unwrap_or_default();
        value["state"].as_str().unwrap_or_default().to_owned()
    }

    /// Whether a control instance has decided. Another instance, or the same one later, may answer
    /// otherwise to a request that was not carried out; an answer without a state may also come
    /// from a process that is no control instance, and decides nothing.
    fn is_final(&self) -> bool {
        !self.state().is_empty()
    }
}

/// What became of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The manifest is accepted.
    Accepted(OperatorAnswer),
    /// The manifest is refused.
    Refused(OperatorAnswer),
}

/// What is known of a manifest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ShowOutcome {
    /// The manifest is in the asked state.
    Reached(OperatorAnswer),
    /// A later manifest replaced it before it was seen in force.
    Superseded(OperatorAnswer),
    /// The manifest is not known, or not in force in time.
    NotReached(OperatorAnswer),
}

/// No instance gave an answer.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    /// The time was up.
    #[error("no answer from any instance within {} ms; last: {last}", waited.as_millis())]
    NoAnswer {
        /// Time that was waited.
        waited: Duration,
        /// Answer or failure of the last attempt.
        last: String,
    },
    /// The file is larger than any manifest.
    #[error("manifest of {bytes} bytes is over the bound of {MAX_MANIFEST_BYTES}")]
    TooLarge {
        /// Size of the file.
        bytes: usize,
    },
}

type ExchangeResult = Result<ureq::http::Response<ureq::Body>, ureq::Error>;

/// Asks control instances over HTTP.
#[derive(Debug)]
pub struct OperatorClient {
    agent: Agent,
    /// Not empty.
    instances: Vec<SocketAddr>,
    timeout: Duration,
}

impl OperatorClient {
    /// A client that gives up after `timeout`.
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

    /// Submits a manifest, at one instance after the other until one decides.
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

    /// What the leader says of a manifest; `None` for the newest. With `wait`, asks until the
    /// manifest is in force.
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
            let waits = wait.is_some_and(|wait| started.elapsed() < wait);
            match (answer.state().as_str(), wait) {
                ("in_force", _) | ("accepted" | "superseded", None) => {
                    return Ok(ShowOutcome::Reached(answer));
                }
                ("superseded", Some(_)) => return Ok(ShowOutcome::Superseded(answer)),
                _ if waits => thread::sleep(POLL_INTERVAL),
                _ => return Ok(ShowOutcome::NotReached(answer)),
            }
        }
    }

    /// The state of each instance, or why it did not tell.
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

    /// Asks the instances in turn until one gives a final answer.
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

/// Time for the next exchange of a command that gives up at `deadline`.
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
