//! Types of setting values and their validation.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use indexmap::IndexMap;
use strum::IntoEnumIterator;
use thiserror::Error;

use crate::core::SharedName;
use crate::util::logging::LogFilter;

/// Maximum length of a name in bytes.
pub const MAX_NAME_BYTES: u64 = 63;

/// Maximum number of entries of a list setting.
pub const MAX_LIST_ENTRIES: u64 = 64;

/// Maximum length of a path in bytes; the operating system refuses longer paths.
pub const MAX_PATH_BYTES: u64 = 4_095;

/// Allowed range of a quantity; both bounds are inclusive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ValueRange {
    /// Minimum.
    pub min: u64,
    /// Maximum.
    pub max: u64,
}

impl ValueRange {
    fn check(self, quantity: u64) -> Result<(), ValueProblem> {
        if (self.min..=self.max).contains(&quantity) {
            Ok(())
        } else {
            Err(ValueProblem::OutOfRange {
                quantity,
                min: self.min,
                max: self.max,
            })
        }
    }

    fn check_len(self, len: usize) -> Result<(), ValueProblem> {
        self.check(u64::try_from(len).unwrap_or(u64::MAX))
    }
}

/// Reason why the text of a setting is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ValueProblem {
    /// Neither a flag nor a variable is given, and there is no default.
    #[error("is required but not given")]
    Missing,
    /// The text is empty.
    #[error("it is empty")]
    Empty,
    /// The value of the environment variable is not valid UTF-8.
    #[error("it is not UTF-8")]
    NotUnicode,
    /// The text is not a plain decimal number.
    #[error("it is not a whole decimal number")]
    NotNumber,
    /// The limited quantity is outside of its range.
    #[error("{quantity} is outside of {min}..={max}")]
    OutOfRange {
        /// Quantity of the given value.
        quantity: u64,
        /// Allowed minimum.
        min: u64,
        /// Allowed maximum.
        max: u64,
    },
    /// The text is not an IP address with a port.
    #[error("`{0}` is not an address of the form <ip>:<port>")]
    BadAddress(String),
    /// No process can be reached at this address.
    #[error("`{0}` cannot be connected to")]
    UnreachableAddress(String),
    /// An entry of a list of named addresses has no name.
    #[error("`{0}` is not of the form <name>=<ip>:<port>")]
    BadEntry(String),
    /// The same name or address is given twice.
    #[error("`{0}` is given twice")]
    Duplicate(String),
    /// A name contains a character that is not allowed in names.
    #[error("`{0}` has characters outside of [a-z0-9-.]")]
    BadName(String),
    /// The text is not one of the allowed choices.
    #[error("it is none of {0}")]
    UnknownChoice(String),
    /// A path contains a NUL byte.
    #[error("it contains a NUL byte")]
    NulByte,
    /// A log filter cannot be parsed.
    #[error("{0}")]
    BadLogFilter(String),
}

/// Type of the value of a setting.
pub trait SettingValue: Sized {
    /// Quantity that the range of a setting of this type limits, as shown in the help text.
    const QUANTITY: &'static str;

    /// Default range of a setting of this type.
    const RANGE: ValueRange;

    /// Parses and validates the text of a setting.
    fn parse(text: &str, range: ValueRange) -> Result<Self, ValueProblem>;
}

fn parse_number(text: &str, range: ValueRange) -> Result<u64, ValueProblem> {
    if text.is_empty() {
        return Err(ValueProblem::Empty);
    }
    // `u64::from_str` accepts a sign, so that "+5" would be accepted as 5.
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(ValueProblem::NotNumber);
    }
    let number = text.parse().map_err(|_| ValueProblem::OutOfRange {
        quantity: u64::MAX,
        min: range.min,
        max: range.max,
    })?;
    range.check(number)?;
    Ok(number)
}

fn split_list(text: &str, range: ValueRange) -> Result<Vec<&str>, ValueProblem> {
    if text.is_empty() {
        return Err(ValueProblem::Empty);
    }
    range.check_len(text.split(',').count())?;
    Ok(text.split(',').collect())
}

fn parse_address(text: &str) -> Result<SocketAddr, ValueProblem> {
    text.parse()
        .map_err(|_| ValueProblem::BadAddress(text.to_owned()))
}

fn parse_remote_address(text: &str) -> Result<SocketAddr, ValueProblem> {
    let address = parse_address(text)?;
    if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
        return Err(ValueProblem::UnreachableAddress(text.to_owned()));
    }
    Ok(address)
}

/// A duration in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DurationMillis(pub u64);

impl DurationMillis {
    /// Returns the value as a [`Duration`].
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl SettingValue for DurationMillis {
    const QUANTITY: &'static str = "value";
    /// Up to one hour, the maximum time that a request may wait.
    const RANGE: ValueRange = ValueRange {
        min: 1,
        max: 3_600_000,
    };

    fn parse(text: &str, range: ValueRange) -> Result<Self, ValueProblem> {
        parse_number(text, range).map(DurationMillis)
    }
}

/// Number of items.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ItemCount(pub u64);

impl SettingValue for ItemCount {
    const QUANTITY: &'static str = "value";
    const RANGE: ValueRange = ValueRange {
        min: 0,
        max: u32::MAX as u64,
    };

    fn parse(text: &str, range: ValueRange) -> Result<Self, ValueProblem> {
        parse_number(text, range).map(ItemCount)
    }
}

/// Name of an instance, node, upstream, zone or region: 1 to 63 characters of `[a-z0-9-.]`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CheckedName(pub SharedName);

impl SettingValue for CheckedName {
    const QUANTITY: &'static str = "length in bytes";
    const RANGE: ValueRange = ValueRange {
        min: 1,
        max: MAX_NAME_BYTES,
    };

    fn parse(text: &str, range: ValueRange) -> Result<Self, ValueProblem> {
        if text.is_empty() {
            return Err(ValueProblem::Empty);
        }
        range.check_len(text.len())?;
        let is_allowed = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'.');
        if !text.bytes().all(is_allowed) {
            return Err(ValueProblem::BadName(text.to_owned()));
        }
        Ok(CheckedName(text.into()))
    }
}

/// An address to listen on; with port 0, the operating system chooses a free port.
impl SettingValue for SocketAddr {
    const QUANTITY: &'static str = "port";
    const RANGE: ValueRange = ValueRange {
        min: 0,
        max: u16::MAX as u64,
    };

    fn parse(text: &str, range: ValueRange) -> Result<Self, ValueProblem> {
        if text.is_empty() {
            return Err(ValueProblem::Empty);
        }
        let address = parse_address(text)?;
        range.check(u64::from(address.port()))?;
        Ok(address)
    }
}

/// Listen address that is also announced to other processes. They must be able to connect to it, so
/// port 0 and unspecified and multicast addresses are not allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReachableAddress(pub SocketAddr);

impl SettingValue for ReachableAddress {
    const QUANTITY: &'static str = "port";
    const RANGE: ValueRange = ValueRange {
        min: 1,
        max: u16::MAX as u64,
    };

    fn parse(text: &str, range: ValueRange) -> Result<Self, ValueProblem> {
        if text.is_empty() {
            return Err(ValueProblem::Empty);
        }
        let address = parse_remote_address(text)?;
        range.check(u64::from(address.port()))?;
        Ok(ReachableAddress(address))
    }
}

/// Addresses to connect to, written as `<ip>:<port>,<ip>:<port>`. Duplicates are not allowed, and
/// the order is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressList(pub Vec<SocketAddr>);

impl SettingValue for AddressList {
    const QUANTITY: &'static str = "entries";
    const RANGE: ValueRange = ValueRange {
        min: 1,
        max: MAX_LIST_ENTRIES,
    };

    fn parse(text: &str, range: ValueRange) -> Result<Self, ValueProblem> {
        let mut addresses = Vec::new();
        for entry in split_list(text, range)? {
            let address = parse_remote_address(entry)?;
            if addresses.contains(&address) {
                return Err(ValueProblem::Duplicate(entry.to_owned()));
            }
            addresses.push(address);
        }
        Ok(AddressList(addresses))
    }
}

/// Addresses of named instances, written as `<name>=<ip>:<port>,...`. Names and addresses must be
/// unique.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedAddresses(pub IndexMap<SharedName, SocketAddr>);

impl SettingValue for NamedAddresses {
    const QUANTITY: &'static str = "entries";
    const RANGE: ValueRange = AddressList::RANGE;

    fn parse(text: &str, range: ValueRange) -> Result<Self, ValueProblem> {
        let mut addresses = IndexMap::new();
        for entry in split_list(text, range)? {
            let (name, address) = entry
                .split_once('=')
                .ok_or_else(|| ValueProblem::BadEntry(entry.to_owned()))?;
            let CheckedName(name) = CheckedName::parse(name, CheckedName::RANGE)?;
            let address = parse_remote_address(address)?;
            let is_known = addresses.values().any(|known| *known == address);
            if is_known || addresses.insert(name, address).is_some() {
                return Err(ValueProblem::Duplicate(entry.to_owned()));
            }
        }
        Ok(NamedAddresses(addresses))
    }
}

impl SettingValue for PathBuf {
    const QUANTITY: &'static str = "length in bytes";
    const RANGE: ValueRange = ValueRange {
        min: 1,
        max: MAX_PATH_BYTES,
    };

    fn parse(text: &str, range: ValueRange) -> Result<Self, ValueProblem> {
        if text.is_empty() {
            return Err(ValueProblem::Empty);
        }
        if text.contains('\0') {
            return Err(ValueProblem::NulByte);
        }
        range.check_len(text.len())?;
        Ok(PathBuf::from(text))
    }
}

/// One of the values of an enumeration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EnumChoice<E>(pub E);

impl<E> SettingValue for EnumChoice<E>
where
    E: FromStr + IntoEnumIterator + fmt::Display,
{
    const QUANTITY: &'static str = "length in bytes";
    const RANGE: ValueRange = ValueRange {
        min: 1,
        max: MAX_NAME_BYTES,
    };

    fn parse(text: &str, range: ValueRange) -> Result<Self, ValueProblem> {
        if text.is_empty() {
            return Err(ValueProblem::Empty);
        }
        range.check_len(text.len())?;
        text.parse().map(EnumChoice).map_err(|_| {
            let words: Vec<String> = E::iter().map(|word| word.to_string()).collect();
            ValueProblem::UnknownChoice(words.join(", "))
        })
    }
}

impl SettingValue for LogFilter {
    const QUANTITY: &'static str = "length in bytes";
    const RANGE: ValueRange = ValueRange { min: 1, max: 1_024 };

    fn parse(text: &str, range: ValueRange) -> Result<Self, ValueProblem> {
        if text.is_empty() {
            return Err(ValueProblem::Empty);
        }
        range.check_len(text.len())?;
        text.parse::<LogFilter>()
            .map_err(|error| ValueProblem::BadLogFilter(error.to_string()))
    }
}
