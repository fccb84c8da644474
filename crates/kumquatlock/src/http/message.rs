//! Requests and responses as the decisions see them.

use bytes::Bytes;
use serde::Serialize;

/// Largest body in either direction, in bytes.
pub const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Headers that one request may carry.
pub const MAX_HEADERS: usize = 100;

/// A whole HTTP request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HttpRequest {
    /// Method in capitals.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Header names and values, in order.
    pub headers: Vec<(String, String)>,
    /// Whole body, at most [`MAX_BODY_BYTES`].
    pub body: Bytes,
}

impl HttpRequest {
    /// First value of a header, whatever the case of its name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let entry = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        entry.map(|(_, value)| value.as_str())
    }

    /// The target without its query.
    pub fn path(&self) -> &str {
        self.target.split(['?', '#']).next().unwrap_or_default()
    }
}

/// A whole HTTP response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HttpResponse {
    /// Status code.
    pub status: u16,
    /// Header names and values, in order; `Content-Length` is added by the server.
    pub headers: Vec<(String, String)>,
    /// Whole body.
    pub body: Bytes,
}

impl HttpResponse {
    /// A response with a JSON body.
    pub fn json(status: u16, value: &impl Serialize) -> Self {
        let body = serde_json::to_vec(value).unwrap_or_default();
        HttpResponse::json_text(status, body)
    }

    /// A response with a body that is JSON text already.
    pub fn json_text(status: u16, body: impl Into<Bytes>) -> Self {
        let headers = vec![("Content-Type".to_owned(), "application/json".to_owned())];
        HttpResponse {
            status,
            headers,
            body: body.into(),
        }
    }

    /// Adds a header.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// First value of a header, whatever the case of its name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let entry = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        entry.map(|(_, value)| value.as_str())
    }
}
