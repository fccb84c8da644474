//! Counts of what ran.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use indexmap::IndexMap;
use kumquatlock::core::stable_hash;
use thiserror::Error;

/// Bound on the keys and on the bodies of one ledger, in entries.
pub const MAX_LEDGER_ENTRIES: usize = 2_000_000;

/// The ledger cannot count another key or body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the run ledger holds {MAX_LEDGER_ENTRIES} entries")]
pub struct LedgerFull;

/// How often something ran.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunCount {
    /// Runs that began. A run that began counts as run, whatever became of its answer.
    pub started: u64,
    /// Runs that came to their end.
    pub finished: u64,
}

/// Counts the runs of each Idempotency-Key and of each body. Clones share the counts, so that
/// several upstreams can be checked together.
#[derive(Clone, Debug, Default)]
pub struct RunLedger {
    counts: Arc<Mutex<LedgerCounts>>,
}

#[derive(Debug, Default)]
struct LedgerCounts {
    total: RunCount,
    by_key: IndexMap<String, RunCount>,
    /// By the hash of the body. Empty bodies are not counted.
    by_body: IndexMap<u64, RunCount>,
}

/// One run that began.
#[derive(Clone, Debug)]
pub(crate) struct LedgerRun {
    key: Option<String>,
    body: Option<u64>,
}

impl RunLedger {
    /// Runs of all requests.
    pub fn total(&self) -> RunCount {
        self.lock().total
    }

    /// Runs of a key.
    pub fn runs_of_key(&self, key: &str) -> RunCount {
        self.lock().by_key.get(key).copied().unwrap_or_default()
    }

    /// Runs of a body that is not empty.
    pub fn runs_of_body(&self, body: &[u8]) -> RunCount {
        let hash = stable_hash(body);
        self.lock().by_body.get(&hash).copied().unwrap_or_default()
    }

    /// Keys that began more than once.
    pub fn repeated_keys(&self) -> Vec<(String, RunCount)> {
        let counts = self.lock();
        let repeated = counts.by_key.iter().filter(|(_, count)| count.started > 1);
        repeated.map(|(key, count)| (key.clone(), *count)).collect()
    }

    /// Number of bodies that began more than once.
    pub fn repeated_bodies(&self) -> usize {
        let counts = self.lock();
        let repeated = counts.by_body.values().filter(|count| count.started > 1);
        repeated.count()
    }

    pub(crate) fn start(&self, key: Option<&str>, body: &[u8]) -> Result<LedgerRun, LedgerFull> {
        let run = LedgerRun {
            key: key.map(str::to_owned),
            body: (!body.is_empty()).then(|| stable_hash(body)),
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
    fn update(&mut self, run: &LedgerRun, change: impl Fn(&mut RunCount)) {
        change(&mut self.total);
        if let Some(key) = &run.key {
            change(self.by_key.entry(key.clone()).or_default());
        }
        if let Some(body) = run.body {
            change(self.by_body.entry(body).or_default());
        }
    }
}
