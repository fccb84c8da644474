//! Status codes of responses.

use std::fmt;

/// Status of a final response, 200 to 599.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FinalStatus(u16);

/// A status that a response cannot have where it was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:03} is not the status of a response here")]
pub struct InvalidStatus(pub u32);

/// Status of a response of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResponseStatus {
    /// Precedes the final response.
    Interim,
    Final(FinalStatus),
}

impl FinalStatus {
    /// 200, the status of a response that has no other.
    pub const OK: FinalStatus = FinalStatus(200);
    /// 400, for a request that is invalid.
    pub const BAD_REQUEST: FinalStatus = FinalStatus(400);
    /// 412, for a request that assumes another state.
    pub const PRECONDITION_FAILED: FinalStatus = FinalStatus(412);
    /// 502, for a response whose status is not known.
    pub const BAD_GATEWAY: FinalStatus = FinalStatus(502);

    /// Returns the code.
    pub fn code(self) -> u16 {
        self.0
    }
}

impl Default for FinalStatus {
    fn default() -> Self {
        FinalStatus::OK
    }
}

impl TryFrom<u32> for FinalStatus {
    type Error = InvalidStatus;

    fn try_from(code: u32) -> Result<Self, InvalidStatus> {
        match code {
            200..=599 => Ok(FinalStatus(code as u16)),
            _ => Err(InvalidStatus(code)),
        }
    }
}

impl PartialEq<u16> for FinalStatus {
    fn eq(&self, code: &u16) -> bool {
        self.0 == *code
    }
}

impl fmt::Display for FinalStatus {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl TryFrom<u16> for ResponseStatus {
    type Error = InvalidStatus;

    /// 101 is invalid: no request of this process asks for another protocol.
    fn try_from(code: u16) -> Result<Self, InvalidStatus> {
        match code {
            101 => Err(InvalidStatus(code.into())),
            100..=199 => Ok(ResponseStatus::Interim),
            _ => FinalStatus::try_from(u32::from(code)).map(ResponseStatus::Final),
        }
    }
}
