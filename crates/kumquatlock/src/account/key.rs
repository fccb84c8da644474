//! API keys as callers present them.

use std::fmt;

use kumquatlock_wire::call::HeaderField;

use crate::core::KeyDigest;

/// Header in which a caller presents its API key: the scheme, a space and the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyHeader {
    /// Name of the header.
    pub name: &'static str,
    /// Authentication scheme, compared without regard to case.
    pub scheme: &'static str,
}

impl KeyHeader {
    /// Returns the key in a header value, or `None` if the value has another scheme or no key.
    fn key_in(self, value: &str) -> Option<&str> {
        let (scheme, key) = value.trim().split_once(' ')?;
        let key = key.trim_start();
        let is_key = scheme.eq_ignore_ascii_case(self.scheme) && !key.is_empty();
        is_key.then_some(key)
    }
}

/// The header fields of one request that may contain an API key. They are kept apart from the fields
/// that are forwarded, and are not shown in debug output.
#[derive(Clone, Default)]
pub struct PresentedKey {
    fields: Vec<HeaderField>,
}

impl PresentedKey {
    /// Collects the fields in which a key may stand.
    pub fn new(fields: Vec<HeaderField>) -> Self {
        PresentedKey { fields }
    }

    /// Returns the digest of the key. `None` if there is no key, or if it is ambiguous because the
    /// header is repeated.
    pub fn digest(&self, header: KeyHeader) -> Option<KeyDigest> {
        let [field] = &self.fields[..] else {
            return None;
        };
        let key = header.key_in(&field.value)?;
        Some(KeyDigest::of(key.as_bytes()))
    }

    /// Returns the fields, to forward them unchanged.
    pub fn into_fields(self) -> Vec<HeaderField> {
        self.fields
    }
}

impl fmt::Debug for PresentedKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("PresentedKey(..)")
    }
}
