//! Why a manifest was refused.

use std::fmt;

/// A refused manifest: what is wrong and where.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{path}: {fault}")]
pub struct ManifestError {
    /// JSON path such as `$.services[3].name`.
    pub path: String,
    /// What is wrong there.
    pub fault: ManifestFault,
}

/// What is wrong with a manifest. The name in snake case is the reason that operators read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ManifestFault {
    /// The text is not JSON, or ends early.
    #[error("not valid JSON: {detail}")]
    Syntax {
        /// Position and cause.
        detail: String,
    },
    /// A field that the manifest does not have.
    #[error("unknown field")]
    UnknownField,
    /// A missing or doubled field, or a value of the wrong type.
    #[error("wrong shape: {detail}")]
    WrongShape {
        /// Position and cause.
        detail: String,
    },
    /// Version zero; the first version is 1.
    #[error("version must be at least 1")]
    BadVersion,
    /// A name outside the alphabet or the length bound.
    #[error("{name:?} is not a valid name")]
    BadName {
        /// The refused name.
        name: String,
    },
    /// A prefix that does not start with `/` or holds a character that no path has.
    #[error("{prefix:?} is not a valid path prefix")]
    BadPrefix {
        /// The refused prefix.
        prefix: String,
    },
    /// Two services, two routes or two patterns of a service have the same name.
    #[error("name {name} is used twice")]
    DuplicateName {
        /// The doubled name.
        name: String,
    },
    /// Two routes match the same requests.
    #[error("host {host:?} and prefix {prefix:?} are used by another route")]
    DuplicateMatch {
        /// Host of both routes; empty for any.
        host: String,
        /// Prefix of both routes.
        prefix: String,
    },
    /// A route names a service that the manifest does not hold.
    #[error("service {service} does not exist")]
    DanglingService {
        /// The missing service.
        service: String,
    },
    /// A route names neither one service nor a split, or both.
    #[error("needs either a service or a split")]
    BadSplit,
    /// A timeout of zero or above ten minutes.
    #[error("timeout is not in 1..={} ms", super::MAX_ROUTE_TIMEOUT_MS)]
    BadTimeout,
    /// A target latency far above the timeout, which no answer could need.
    #[error(
        "target is {} ms or more above the timeout",
        super::MAX_TARGET_EXCESS_MS
    )]
    BadTarget,
    /// The manifest holds no service.
    #[error("no services")]
    NoServices,
    /// The text, or a list in it, is over its bound.
    #[error("over the bound of {limit}")]
    TooLarge {
        /// Most bytes of the text, or most items of the list.
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

    /// Names a parser error; `path` is relative to the document.
    pub(super) fn from_json(path: &str, error: &serde_json::Error) -> Self {
        let detail = error.to_string();
        // serde reports unknown fields as data errors and gives no other way to tell them apart.
        let fault = if detail.starts_with("unknown field") {
            ManifestFault::UnknownField
        } else if error.is_data() {
            ManifestFault::WrongShape { detail }
        } else {
            ManifestFault::Syntax { detail }
        };
        // Where the text ends or breaks before a value, its place is given as a question mark.
        let path = match fault {
            ManifestFault::Syntax { .. } => path.trim_end_matches('?').trim_end_matches('.'),
            _ => path,
        };
        match path {
            "" | "." => ManifestError::at("$", fault),
            path => ManifestError::at(format_args!("$.{path}"), fault),
        }
    }

    /// Reason word for operators, such as `dangling_service`.
    pub fn reason(&self) -> &'static str {
        (&self.fault).into()
    }
}
