//! Client accounts at the entry node of a request: which account sent it, and whether it may run.
//!
//! Callers identify themselves by an API key. If the configuration has accounts, a request needs the
//! key of one of them, unless its route is public. The key never leaves the entry node; the upstream
//! receives the name of the account instead. Requests that upstreams send carry no key, so their
//! routes have to be public.

mod key;
mod resolver;

pub use key::{KeyHeader, PresentedKey};
pub use resolver::{AccessDecision, AccountResolver};

#[cfg(test)]
mod tests;
