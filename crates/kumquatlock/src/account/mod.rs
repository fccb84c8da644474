//! Client accounts at the entry node of a request: which account sent it, and whether it may run.
//!
//! Callers identify themselves by an API key. If the configuration has accounts, a request needs the
//! key of one of them, unless its route is public. The key never leaves the entry node; the upstream
//! receives the name of the account instead. Requests that upstreams send carry no key, so their
//! routes have to be public.
//!
//! Where a key that was taken away has to stop within a limit, a node accepts keys only while its
//! configuration is proved recent ([`KeyLease`]).

mod key;
mod lease;
mod resolver;

pub use key::{KeyHeader, PresentedKey};
pub use lease::{KeyLease, LeaseState};
pub use resolver::{AccessDecision, AccountResolver};

#[cfg(test)]
mod tests;
