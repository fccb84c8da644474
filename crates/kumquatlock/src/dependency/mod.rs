//! Holds back calls whose runs need a service that has no room.
//!
//! A run that loses a call of its own fails, and everything that was done for it is wasted: its slot,
//! and the calls that it made before. The node beside an upstream sees the calls that the upstream
//! makes and how they end. [`DependencyThrottle`] derives from it, for each route, which share of the
//! route's calls may start, so that about as many runs start as the services below can serve. The
//! others are refused before they have cost anything.
//!
//! The share falls while runs lose calls for lack of room and rises by itself, so a route whose
//! callees have room again is served in full a few seconds later, whatever was observed before. A
//! route whose runs make no calls, or lose none, is not affected.

mod share;
mod throttle;

pub use share::StartShare;
pub use throttle::{DependencyThrottle, RunFate, StartDecision};

#[cfg(test)]
mod tests;
