//! Names of the headers by which callers and upstreams speak of a call.

use super::request::{ATTEMPT_HEADER, DEPTH_HEADER, KEY_HEADER, TIMEOUT_HEADER};

/// Headers with a meaning for the mesh. One that is absent here has none and is passed on.
///
/// Where the mesh meets an environment that has names of its own, these are exchanged as a whole;
/// the decisions are the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// Time that the caller waits, in milliseconds. Passed on with the time that is left.
    pub timeout: &'static str,
    /// Names a request, so that a resend is recognised.
    pub key: Option<&'static str>,
    /// Calls above this one in the chain.
    pub depth: Option<&'static str>,
    /// Names one attempt towards the upstream, for its cancellation by a request. Without it, an
    /// attempt is cancelled by closing its connection.
    pub attempt: Option<&'static str>,
    /// Outcome of a call, on every answer.
    pub outcome: Option<&'static str>,
    /// Names the attempt of a caller. The upstream repeats it in its answer.
    pub request_id: Option<&'static str>,
    /// Instance that the request is meant for; another one refuses it.
    pub expected_instance: Option<&'static str>,
    /// Service beside which the request entered the mesh.
    pub origin: Option<&'static str>,
    /// Marks an answer of an upstream that did not run the request.
    pub not_executed: Option<&'static str>,
    /// Marks a whole answer of an upstream. A success without it is not believed.
    pub response_signature: Option<&'static str>,
}

impl Default for HeaderNames {
    fn default() -> Self {
        HeaderNames {
            timeout: TIMEOUT_HEADER,
            key: Some(KEY_HEADER),
            depth: Some(DEPTH_HEADER),
            attempt: Some(ATTEMPT_HEADER),
            outcome: Some(super::OUTCOME_HEADER),
            request_id: None,
            expected_instance: None,
            origin: None,
            not_executed: None,
            response_signature: None,
        }
    }
}

impl HeaderNames {
    /// Whether the mesh sets the header of a request itself, whatever the caller sent.
    pub(super) fn is_own(&self, name: &str) -> bool {
        let own = [
            Some(self.timeout),
            self.key,
            self.depth,
            self.attempt,
            self.expected_instance,
            self.origin,
        ];
        let mut own = own.into_iter().flatten();
        own.any(|header| name.eq_ignore_ascii_case(header))
    }
}
