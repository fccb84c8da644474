//! Errors of manifests.

use std::fmt;

/// Why a manifest was refused: the fault and its location.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{path}: {fault}")]
pub struct ManifestError {
    /// JSON path of the fault, such as `$.services[3].name`.
    pub path: String,
    /// What is wrong at this path.
    pub fault: ManifestFault,
}

/// What is wrong with a manifest. The variant's name in snake case is the reason that operators
/// see.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ManifestFault {
    /// The text is not JSON, or ends early.
    #[error("not valid JSON: {detail}")]
    Syntax {
        /// Position and cause.
        detail: String,
    },
    /// The text contains a field that manifests do not have.
    #[error("unknown field")]
    UnknownField,
    /// A field is missing or duplicated, or a value has the wrong type.
    #[error("wrong shape: {detail}")]
    WrongShape {
        /// Position and cause.
        detail: String,
    },
    /// The version is zero. The first version is 1.
    #[error("version must be at least 1")]
    BadVersion,
    /// A name contains a character that is not allowed, is empty, or is too long.
    #[error("{name:?} is not a valid name")]
    BadName {
        /// The refused name.
        name: String,
    },
    /// A prefix does not start with `/`, is too long, or contains a character that cannot occur in
    /// a path.
    #[error("{prefix:?} is not a valid path prefix")]
    BadPrefix {
        /// The refused prefix.
        prefix: String,
    },
    /// Two services, two routes or two patterns of a service have the same name.
    #[error("name {name} is used twice")]
    DuplicateName {
        /// The duplicate name.
        name: String,
    },
    /// Two routes match the same requests.
    #[error("host {host:?} and prefix {prefix:?} are used by another route")]
    DuplicateMatch {
        /// Host of both routes; empty if the routes match any host.
        host: String,
        /// Prefix of both routes.
        prefix: String,
    },
    /// A route refers to a service that the manifest does not contain.
    #[error("service {service} does not exist")]
    DanglingService {
        /// The missing service.
        service: String,
    },
    /// A route has neither a service nor a split, or both.
    #[error("needs either a service or a split")]
    BadSplit,
    /// A timeout is zero or more than ten minutes.
    #[error("timeout is not in 1..={} ms", super::MAX_ROUTE_TIMEOUT_MS)]
    BadTimeout,
    /// A target latency is so far above the timeout that no answer can take that long.
    #[error(
        "target is {} ms or more above the timeout",
        super::MAX_TARGET_EXCESS_MS
    )]
    BadTarget,
    /// An API key is empty, too long, or contains a character that a header can't carry.
    #[error("not a valid API key")]
    BadApiKey,
    /// Two accounts have the same API key, or one has it twice.
    #[error("the API key is used twice")]
    SharedApiKey,
    /// A rate or burst is negative, not a number or too large.
    #[error("not in 0..={}", super::MAX_QUOTA)]
    BadQuota,
    /// The manifest contains no services.
    #[error("no services")]
    NoServices,
    /// The text or a list in it exceeds its limit.
    #[error("over the bound of {limit}")]
    TooLarge {
        /// Maximum size of the text in bytes, or maximum number of items in the list.
        limit: usize,
    },
}

impl ManifestError {
    pub(super) fn at(path: impl fmt::Display, fault: ManifestFault) -> Self {
        ManifestError {
            path: path.to_string(),
            fault,
        }
    }

    /// Converts an error of the JSON parser. `path` is relative to the document's root and has no
    /// leading `$.`.
    pub(super) fn from_json(path: &str, error: &serde_json::Error) -> Self {
        let detail = error.to_string();
        // serde reports an unknown field as a data error, which only its text distinguishes from
        // other data errors.
        let fault = if detail.starts_with("unknown field") {
            ManifestFault::UnknownField
        } else if error.is_data() {
            ManifestFault::WrongShape { detail }
        } else {
            ManifestFault::Syntax { detail }
        };
        // If the text ends or is malformed before a value, the path ends with a question mark in
        // place of that value.
        let path = match fault {
            ManifestFault::Syntax { .. } => path.trim_end_matches('?').trim_end_matches('.'),
            _ => path,
        };
        match path {
            "" | "." => ManifestError::at("$", fault),
            path => ManifestError::at(format_args!("$.{path}"), fault),
        }
    }

    /// Returns the reason for operators, such as `dangling_service`.
    pub fn reason(&self) -> &'static str {
        (&self.fault).into()
    }
}
