//! HTTP requests and responses, independent of their encoding.

use bytes::Bytes;
use serde::Serialize;

use super::status::FinalStatus;

/// Maximum size of the body of a response, and of that of a call without a limit in the manifest, in
/// bytes.
pub const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Maximum size of the body of a call whatever limit the manifest sets, in bytes. A body is held
/// whole, and travels between nodes in one frame.
pub const MAX_CALL_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Maximum number of headers of a request or response.
pub const MAX_HEADERS: usize = 100;

/// A complete HTTP request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HttpRequest {
    /// Method in upper case.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Header names and values, in order.
    pub headers: Vec<(String, String)>,
    /// Complete body, no longer than the limit of the listener.
    pub body: Bytes,
}

impl HttpRequest {
    /// Returns the first value of a header. The case of `name` does not matter.
    pub fn header(&self, name: &str) -> Option<&str> {
        let entry = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        entry.map(|(_, value)| value.as_str())
    }

    /// Returns the target without its query and fragment.
    pub fn path(&self) -> &str {
        self.target.split(['?', '#']).next().unwrap_or_default()
    }
}

/// A complete HTTP response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HttpResponse {
    /// Status code.
    pub status: FinalStatus,
    /// Header names and values, in order. The server adds `Content-Length`.
    pub headers: Vec<(String, String)>,
    /// Complete body.
    pub body: Bytes,
}

impl HttpResponse {
    /// Creates a response with `value` as its JSON body. A `status` that no final response has
    /// becomes 502.
    pub fn json(status: u16, value: &impl Serialize) -> Self {
        let body = serde_json::to_vec(value).unwrap_or_default();
        HttpResponse::json_text(status, body)
    }

    /// Creates a response from a body that is already encoded as JSON. A `status` that no final
    /// response has becomes 502.
    pub fn json_text(status: u16, body: impl Into<Bytes>) -> Self {
        let headers = vec![("Content-Type".to_owned(), "application/json".to_owned())];
        HttpResponse {
            status: u32::from(status)
                .try_into()
                .unwrap_or(FinalStatus::BAD_GATEWAY),
            headers,
            body: body.into(),
        }
    }

    /// Appends a header.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Returns the first value of a header. The case of `name` does not matter.
    pub fn header(&self, name: &str) -> Option<&str> {
        let entry = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        entry.map(|(_, value)| value.as_str())
    }
}
