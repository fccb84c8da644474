//! Types of setting values and their checks.

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

/// Bound on the length of a name in bytes.
pub const MAX_NAME_BYTES: u64 = 63;

/// Bound on the length of a list setting, in entries.
pub const MAX_LIST_ENTRIES: u64 = 64;

/// Bound on the length of a path in bytes; longer ones are refused by the platform.
pub const MAX_PATH_BYTES: u64 = 4_095;

/// Inclusive bounds of a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ValueRange {
    /// Smallest allowed measure.
    pub min: u64,
    /// Largest allowed measure.
    pub max: u64,
}

impl ValueRange {
    fn check(self, measure: u64) -> Result<(), ValueProblem> {
        if (self.min..=self.max).contains(&measure) {
            Ok(())
        } else {
            Err(ValueProblem::OutOfRange {
                measure,
                min: self.min,
                max: self.max,
            })
        }
    }

    fn check_len(self, len: usize) -> Result<(), ValueProblem> {
        self.check(u64::try_from(len).unwrap_or(u64::MAX))
    }
}

/// What is wrong with the text of a setting.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ValueProblem {
    /// Neither flag, variable nor default is given.
    #[error("is required but not given")]
    Missing,
    /// The text is empty.
    #[error("it is empty")]
    Empty,
    /// The environment variable is not UTF-8.
    #[error("it is not UTF-8")]
    NotUnicode,
    /// Not a plain decimal number.
    #[error("it is not a whole decimal number")]
    NotNumber,
    /// The measure of the value is outside of its range.
    #[error("{measure} is outside of {min}..={max}")]
    OutOfRange {
        /// Measure of the value.
        measure: u64,
        /// Smallest allowed measure.
        min: u64,
        /// Largest allowed measure.
        max: u64,
    },
    /// Not an IP address with a port.
    #[error("`{0}` is not an address of the form <ip>:<port>")]
    BadAddress(String),
    /// An address that no process can be reached at.
    #[error("`{0}` cannot be connected to")]
    UnreachableAddress(String),
    /// An entry of a list without a name.
    #[error("`{0}` is not of the form <name>=<ip>:<port>")]
    BadEntry(String),
    /// The same name or address twice.
    #[error("`{0}` is given twice")]
    Duplicate(String),
    /// A name with a character that names may not have.
    #[error("`{0}` has characters outside of [a-z0-9-.]")]
    BadName(String),
    /// Not one of the words that are allowed.
    #[error("it is none of {0}")]
    UnknownChoice(String),
    /// A path with a NUL byte.
    #[error("it holds a NUL byte")]
    NulByte,
    /// A log filter that cannot be read.
    #[error("{0}")]
    BadLogFilter(String),
}

/// A type that a setting may have.
pub trait SettingValue: Sized {
    /// What the range of a setting of this type bounds.
    const MEASURE: &'static str;

    /// Range of a setting that declares none.
    const RANGE: ValueRange;

    /// Parses and checks the text of a setting.
    fn parse(text: &str, range: ValueRange) -> Result<Self, ValueProblem>;
}

fn parse_number(text: &str, range: ValueRange) -> Result<u64, ValueProblem> {
    if text.is_empty() {
        return Err(ValueProblem::Empty);
    }
    // `u64::from_str` accepts a sign, which would make "+5" and "5" the same setting.
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(ValueProblem::NotNumber);
    }
    let number = text.parse().map_err(|_| ValueProblem::OutOfRange {
        measure: u64::MAX,
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
    /// The duration.
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl SettingValue for DurationMillis {
    const MEASURE: &'static str = "value";
    /// Up to one hour, the longest time that a request may wait.
    const RANGE: ValueRange = ValueRange {
        min: 1,
        max: 3_600_000,
    };

    fn parse(text: &str, range: ValueRange) -> Result<Self, ValueProblem> {
        parse_number(text, range).map(DurationMillis)
    }
}

/// A number of things.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ItemCount(pub u64);

impl SettingValue for ItemCount {
    const MEASURE: &'static str = "value";
    const RANGE: ValueRange = ValueRange {
        min: 0,
        max: u32::MAX as u64,
    };

    fn parse(text: &str, range: ValueRange) -> Result<Self, ValueProblem> {
        parse_number(text, range).map(ItemCount)
    }
}

/// The name of an instance, node, upstream, zone or region: 1..=63 of `[a-z0-9-.]`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CheckedName(pub SharedName);

impl SettingValue for CheckedName {
    const MEASURE: &'static str = "length in bytes";
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

/// An address to listen at; port 0 asks the platform for a free port.
impl SettingValue for SocketAddr {
    const MEASURE: &'static str = "port";
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

/// An address to listen at that is also given to other processes, so they must be able to connect
/// to it: neither port 0 nor an unspecified or multicast address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReachableAddress(pub SocketAddr);

impl SettingValue for ReachableAddress {
    const MEASURE: &'static str = "port";
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

/// Addresses to connect to, as `<ip>:<port>,<ip>:<port>`, without duplicates and in the order
/// given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressList(pub Vec<SocketAddr>);

impl SettingValue for AddressList {
    const MEASURE: &'static str = "entries";
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

/// Addresses of named instances, as `<name>=<ip>:<port>,...`, with names and addresses unique.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedAddresses(pub IndexMap<SharedName, SocketAddr>);

impl SettingValue for NamedAddresses {
    const MEASURE: &'static str = "entries";
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
    const MEASURE: &'static str = "length in bytes";
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

/// One word of an enumeration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EnumChoice<E>(pub E);

impl<E> SettingValue for EnumChoice<E>
where
    E: FromStr + IntoEnumIterator + fmt::Display,
{
    const MEASURE: &'static str = "length in bytes";
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
    const MEASURE: &'static str = "length in bytes";
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
