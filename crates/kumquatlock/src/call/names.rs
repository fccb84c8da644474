//! Names of the headers that the mesh exchanges with callers and upstreams.

use super::request::{
    ACCOUNT_HEADER, API_KEY_HEADER, ATTEMPT_HEADER, DEPTH_HEADER, KEY_HEADER, LEAVING_HEADER,
    RATE_LIMIT_HEADER, TIMEOUT_HEADER,
};
use crate::account::KeyHeader;

/// Names of the headers that have a meaning for the mesh. `None` means that the mesh neither reads
/// nor sets such a header; one sent by a caller is treated like any other header.
///
/// A platform with its own header names replaces the whole set. Calls are handled in the same way
/// with every set, except where the description of a field says otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// Time that the caller waits, in milliseconds. Forwarded with the remaining time.
    pub timeout: &'static str,
    /// Idempotency key, by which a resend of the same request is recognised.
    pub key: Option<&'static str>,
    /// Header with the caller's API key. Never forwarded if the configuration has client accounts, and
    /// a header like any other if it has none.
    pub api_key: Option<KeyHeader>,
    /// Name of the client account that sent the request; set for the upstream.
    pub account: Option<&'static str>,
    /// Number of calls above this one in the call chain.
    pub depth: Option<&'static str>,
    /// Identifies one attempt to the upstream, so that a separate request can cancel it. If `None`,
    /// an attempt is cancelled by closing its connection.
    pub attempt: Option<&'static str>,
    /// Outcome of a call; set on every answer. If `None`, callers take the statuses 408, 421, 429 and
    /// 503 for "not run", so that a request that may have run is never answered with one of them.
    pub outcome: Option<&'static str>,
    /// Identifies the caller's attempt. The upstream repeats the value in its answer.
    pub request_id: Option<&'static str>,
    /// Separates the identifier of a request from what an upstream appends to it to identify a call
    /// that it makes while running that request. `None` if the identifiers don't show it.
    pub nested_id_separator: Option<char>,
    /// Instance that the request is addressed to; any other instance refuses it.
    pub expected_instance: Option<&'static str>,
    /// Service beside the node at which the request entered the mesh.
    pub origin: Option<&'static str>,
    /// Set by an upstream on an answer to a request that it did not run.
    pub not_executed: Option<&'static str>,
    /// Set by an upstream on every complete answer. A success status without it is not trusted.
    pub response_signature: Option<&'static str>,
    /// Set by an upstream on its answers while it limits the requests per second that it takes from
    /// all nodes together; a decimal number.
    pub rate_limit: Option<&'static str>,
    /// Set by an upstream on its answers once it is leaving.
    pub leaving: Option<&'static str>,
}

impl Default for HeaderNames {
    fn default() -> Self {
        HeaderNames {
            timeout: TIMEOUT_HEADER,
            key: Some(KEY_HEADER),
            api_key: Some(API_KEY_HEADER),
            account: Some(ACCOUNT_HEADER),
            depth: Some(DEPTH_HEADER),
            attempt: Some(ATTEMPT_HEADER),
            outcome: Some(super::OUTCOME_HEADER),
            request_id: None,
            nested_id_separator: None,
            expected_instance: None,
            origin: None,
            not_executed: None,
            response_signature: None,
            rate_limit: Some(RATE_LIMIT_HEADER),
            leaving: Some(LEAVING_HEADER),
        }
    }
}

impl HeaderNames {
    /// Whether the mesh sets this request header itself instead of forwarding the caller's.
    pub(super) fn is_set_by_mesh(&self, name: &str) -> bool {
        let set_headers = [
            Some(self.timeout),
            self.key,
            self.account,
            self.depth,
            self.attempt,
            self.expected_instance,
            self.origin,
        ];
        let mut set_headers = set_headers.into_iter().flatten();
        set_headers.any(|header| name.eq_ignore_ascii_case(header))
    }

    /// Whether a request header may contain the caller's API key.
    pub(super) fn is_api_key(&self, name: &str) -> bool {
        let header = self.api_key;
        header.is_some_and(|header| name.eq_ignore_ascii_case(header.name))
    }
}
