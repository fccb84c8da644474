//! Request classes and upstream states.

use kumquatlock_wire::distribution::{WireClass, WireState};

/// Determines how a request may be treated. Set by the route.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
    strum::IntoStaticStr,
    serde::Serialize,
    serde::Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum RequestClass {
    /// May be repeated. If an answer is stale, the caller only has to ask again.
    Lookup,
    /// Runs at most once while its caller waits.
    AtMostOnce,
    /// A quick check between services; may be repeated.
    Internal,
    /// Runs at most once and may wait for up to an hour.
    Deferred,
}

impl RequestClass {
    /// Whether the request may run more than once.
    pub fn is_repeatable(self) -> bool {
        matches!(self, RequestClass::Lookup | RequestClass::Internal)
    }
}

impl From<WireClass> for RequestClass {
    fn from(class: WireClass) -> Self {
        match class {
            WireClass::Lookup => RequestClass::Lookup,
            WireClass::AtMostOnce => RequestClass::AtMostOnce,
            WireClass::Internal => RequestClass::Internal,
            WireClass::Deferred => RequestClass::Deferred,
        }
    }
}

impl From<RequestClass> for WireClass {
    fn from(class: RequestClass) -> Self {
        match class {
            RequestClass::Lookup => WireClass::Lookup,
            RequestClass::AtMostOnce => WireClass::AtMostOnce,
            RequestClass::Internal => WireClass::Internal,
            RequestClass::Deferred => WireClass::Deferred,
        }
    }
}

/// Whether an upstream in the catalog accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum UpstreamState {
    /// Accepts new work.
    Serving,
    /// Finishes the work in flight and accepts no new work.
    Draining,
}

impl From<UpstreamState> for WireState {
    fn from(state: UpstreamState) -> Self {
        match state {
            UpstreamState::Serving => WireState::Serving,
            UpstreamState::Draining => WireState::Draining,
        }
    }
}
