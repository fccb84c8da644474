//! Counts how often each request ran, to check that no request runs twice.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use indexmap::IndexMap;
use kumquatlock::core::stable_hash;
use thiserror::Error;

/// Maximum number of keys, and of bodies, that one ledger counts.
pub const MAX_LEDGER_ENTRIES: usize = 2_000_000;

/// Error of a ledger that already holds [`MAX_LEDGER_ENTRIES`] keys or bodies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the run ledger is full: it holds {MAX_LEDGER_ENTRIES} keys or bodies")]
pub struct LedgerFull;

/// Number of runs of a key, of a body or of all requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunCount {
    /// Number of runs that started. A run counts from its start, even if its caller gets no
    /// response.
    pub started: u64,
    /// Number of runs that finished.
    pub finished: u64,
}

/// Counts the runs per `Idempotency-Key` and per request body. Clones share the counts, so that a
/// test can check several upstreams together.
#[derive(Clone, Debug, Default)]
pub struct RunLedger {
    counts: Arc<Mutex<LedgerCounts>>,
}

#[derive(Debug, Default)]
struct LedgerCounts {
    total: RunCount,
    by_key: IndexMap<String, RunCount>,
    /// Counts by the hash of the request body. Empty bodies are not counted.
    by_body: IndexMap<u64, RunCount>,
}

/// Key and body hash of a run that has started.
#[derive(Clone, Debug)]
pub(crate) struct LedgerRun {
    key: Option<String>,
    body_hash: Option<u64>,
}

impl RunLedger {
    /// Returns the number of runs of all requests.
    pub fn total(&self) -> RunCount {
        self.lock().total
    }

    /// Returns the number of runs with this idempotency key.
    pub fn runs_of_key(&self, key: &str) -> RunCount {
        self.lock().by_key.get(key).copied().unwrap_or_default()
    }

    /// Returns the number of runs with this body. Empty bodies are not counted.
    pub fn runs_of_body(&self, body: &[u8]) -> RunCount {
        let hash = stable_hash(body);
        self.lock().by_body.get(&hash).copied().unwrap_or_default()
    }

    /// Returns the keys whose runs started more than once.
    pub fn repeated_keys(&self) -> Vec<(String, RunCount)> {
        let counts = self.lock();
        let repeated = counts.by_key.iter().filter(|(_, count)| count.started > 1);
        repeated.map(|(key, count)| (key.clone(), *count)).collect()
    }

    /// Returns the number of bodies whose runs started more than once.
    pub fn repeated_bodies(&self) -> usize {
        let counts = self.lock();
        let repeated = counts.by_body.values().filter(|count| count.started > 1);
        repeated.count()
    }

    pub(crate) fn start(&self, key: Option<&str>, body: &[u8]) -> Result<LedgerRun, LedgerFull> {
        let run = LedgerRun {
            key: key.map(str::to_owned),
            body_hash: (!body.is_empty()).then(|| stable_hash(body)),
        };
        let mut counts = self.lock();
        if counts.by_key.len() >= MAX_LEDGER_ENTRIES || counts.by_body.len() >= MAX_LEDGER_ENTRIES {
            return Err(LedgerFull);
        }
        counts.update(&run, |count| count.started += 1);
        Ok(run)
    }

    pub(super) fn finish(&self, run: &LedgerRun) {
        self.lock().update(run, |count| count.finished += 1);
    }

    fn lock(&self) -> MutexGuard<'_, LedgerCounts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl LedgerCounts {
    fn update(&mut self, run: &LedgerRun, update_count: impl Fn(&mut RunCount)) {
        update_count(&mut self.total);
        if let Some(key) = &run.key {
            update_count(self.by_key.entry(key.clone()).or_default());
        }
        if let Some(hash) = run.body_hash {
            update_count(self.by_body.entry(hash).or_default());
        }
    }
}
