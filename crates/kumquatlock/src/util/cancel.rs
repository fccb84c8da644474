//! Cancellation tokens, passed from a process down to its threads and calls.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Token that tells the holders of its clones and child tokens to stop.
///
/// Cancelling a token cancels its children but not its parent. A cancelled token stays cancelled.
#[derive(Clone, Debug, Default)]
pub struct CancelToken {
    node: Arc<TokenNode>,
}

#[derive(Debug, Default)]
struct TokenNode {
    cancelled: AtomicBool,
    parent: Option<Arc<TokenNode>>,
    /// Shared by the whole tree of tokens, so that a parent can wake the waiters of its children
    /// without a list of children, whose size would have to be bounded.
    wakeup: Arc<TreeWakeup>,
}

#[derive(Debug, Default)]
struct TreeWakeup {
    lock: Mutex<()>,
    condvar: Condvar,
}

impl TreeWakeup {
    fn lock(&self) -> MutexGuard<'_, ()> {
        // The mutex protects no data, so a poisoned lock can be used.
        self.lock.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl TokenNode {
    fn is_cancelled(&self) -> bool {
        let mut node = self;
        loop {
            if node.cancelled.load(Ordering::Acquire) {
                return true;
            }
            match &node.parent {
                Some(parent) => node = parent,
                None => return false,
            }
        }
    }
}

impl CancelToken {
    /// Creates a token without a parent.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a child token. It is cancelled together with this one and can also be cancelled
    /// alone.
    pub fn child(&self) -> CancelToken {
        CancelToken {
            node: Arc::new(TokenNode {
                cancelled: AtomicBool::new(false),
                parent: Some(Arc::clone(&self.node)),
                wakeup: Arc::clone(&self.node.wakeup),
            }),
        }
    }

    /// Returns whether this token or one of its ancestors is cancelled.
    pub fn is_cancelled(&self) -> bool {
        self.node.is_cancelled()
    }

    /// Cancels this token and its children and wakes their waiters.
    pub fn cancel(&self) {
        // The lock is held so that a waiter cannot miss the cancellation between its check and its
        // wait.
        let _guard = self.node.wakeup.lock();
        self.node.cancelled.store(true, Ordering::Release);
        self.node.wakeup.condvar.notify_all();
    }

    /// Waits until the token is cancelled or `timeout` has passed. Returns whether the token is
    /// cancelled.
    pub fn wait_timeout(&self, timeout: Duration) -> bool {
        let started = Instant::now();
        let mut guard = self.node.wakeup.lock();
        while !self.is_cancelled() {
            let Some(rest) = timeout.checked_sub(started.elapsed()) else {
                return false;
            };
            let waited = self.node.wakeup.condvar.wait_timeout(guard, rest);
            guard = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        true
    }
}
