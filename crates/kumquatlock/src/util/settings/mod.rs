//! Settings, which are validated at startup.
//!
//! A setting is declared once as a constant [`SettingSpec`]. The commands accept every flag as an
//! optional string and resolve it here, so that flags, environment variables and defaults are
//! validated by the same rules and errors are reported in the same form:
//!
//! ```
//! use kumquatlock::util::settings::{DurationMillis, ProcessEnvironment, SettingSpec};
//!
//! const HEARTBEAT: SettingSpec<DurationMillis> =
//!     SettingSpec::new("heartbeat-ms", "interval between heartbeats of the leader")
//!         .unit("ms")
//!         .range(10, 10_000)
//!         .default_value("150");
//!
//! let heartbeat = HEARTBEAT.resolve(Some("200"), &ProcessEnvironment).unwrap();
//! assert_eq!(heartbeat.duration().as_millis(), 200);
//! ```

mod value;

use std::ffi::OsString;
use std::fmt;
use std::marker::PhantomData;

use indexmap::IndexMap;
use thiserror::Error;

pub use value::{
    AddressList, CheckedName, DurationMillis, EnumChoice, ItemCount, MAX_LIST_ENTRIES,
    MAX_NAME_BYTES, MAX_PATH_BYTES, NamedAddresses, ReachableAddress, SettingValue, ValueProblem,
    ValueRange,
};

/// Prefix of the environment variable of every setting.
pub const VARIABLE_PREFIX: &str = "KUMQUATLOCK_";

/// Origin of the text of a setting.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum SettingOrigin {
    /// The command line.
    Flag,
    /// The environment variable.
    Variable,
    /// The default of the setting.
    Default,
}

/// Error in the value of a setting.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub struct SettingError {
    /// Name of the setting, without leading dashes.
    pub name: &'static str,
    /// Environment variable of the setting.
    pub variable: String,
    /// Rejected text with its origin; `None` if the setting is missing.
    pub rejected: Option<(SettingOrigin, String)>,
    /// Why the text was rejected.
    pub problem: ValueProblem,
}

impl fmt::Display for SettingError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "setting --{} ({})", self.name, self.variable)?;
        match &self.rejected {
            Some((origin, text)) => write!(
                formatter,
                ": {origin} value {text:?} is invalid: {}",
                self.problem
            ),
            None => write!(formatter, " {}", self.problem),
        }
    }
}

/// Source of environment variables.
pub trait VariableSource {
    /// Returns the value of the variable, if it is set.
    fn variable(&self, name: &str) -> Option<OsString>;
}

/// The environment of this process.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessEnvironment;

impl VariableSource for ProcessEnvironment {
    fn variable(&self, name: &str) -> Option<OsString> {
        std::env::var_os(name)
    }
}

impl VariableSource for IndexMap<String, OsString> {
    fn variable(&self, name: &str) -> Option<OsString> {
        self.get(name).cloned()
    }
}

/// Declaration of one setting.
#[derive(Debug)]
pub struct SettingSpec<T> {
    /// Name in kebab case; the flag is `--<name>`.
    pub name: &'static str,
    /// One-line description for the operator.
    pub description: &'static str,
    /// Unit of the value; empty if it has none.
    pub unit: &'static str,
    /// Allowed range. The value type determines to which quantity it applies, for example to the
    /// length of a text: see [`SettingValue::QUANTITY`].
    pub range: ValueRange,
    /// Text that applies if neither flag nor variable is given. Validated like any other value.
    pub default: Option<&'static str>,
    value: PhantomData<fn() -> T>,
}

impl<T: SettingValue> SettingSpec<T> {
    /// Declares a setting without unit and default, with the default range of its type.
    pub const fn new(name: &'static str, description: &'static str) -> Self {
        SettingSpec {
            name,
            description,
            unit: "",
            range: T::RANGE,
            default: None,
            value: PhantomData,
        }
    }

    /// Sets the unit.
    pub const fn unit(mut self, unit: &'static str) -> Self {
        self.unit = unit;
        self
    }

    /// Sets the allowed range; both bounds are inclusive.
    pub const fn range(mut self, min: u64, max: u64) -> Self {
        self.range = ValueRange { min, max };
        self
    }

    /// Sets the default.
    pub const fn default_value(mut self, text: &'static str) -> Self {
        self.default = Some(text);
        self
    }

    /// Returns the name of the environment variable.
    pub fn variable(&self) -> String {
        let name = self.name.replace('-', "_").to_ascii_uppercase();
        format!("{VARIABLE_PREFIX}{name}")
    }

    /// Returns a line with the description, range, unit, default and variable of the setting.
    pub fn describe(&self) -> String {
        let unit = match self.unit {
            "" => String::new(),
            unit => format!(" {unit}"),
        };
        let default = self.default.unwrap_or("none");
        format!(
            "--{}: {} ({} {}..={}{unit}, default {default}, variable {})",
            self.name,
            self.description,
            T::QUANTITY,
            self.range.min,
            self.range.max,
            self.variable()
        )
    }

    /// Returns the value of a required setting.
    pub fn resolve(
        &self,
        flag: Option<&str>,
        variables: &impl VariableSource,
    ) -> Result<T, SettingError> {
        self.resolve_optional(flag, variables)?
            .ok_or_else(|| self.error(None, ValueProblem::Missing))
    }

    /// Returns the value of an optional setting, or `None` if it is not given.
    pub fn resolve_optional(
        &self,
        flag: Option<&str>,
        variables: &impl VariableSource,
    ) -> Result<Option<T>, SettingError> {
        if let Some(text) = flag {
            return self.check(SettingOrigin::Flag, text).map(Some);
        }
        if let Some(text) = variables.variable(&self.variable()) {
            let text = text.into_string().map_err(|text| {
                let rejected = text.to_string_lossy().into_owned();
                let rejected = Some((SettingOrigin::Variable, rejected));
                self.error(rejected, ValueProblem::NotUnicode)
            })?;
            return self.check(SettingOrigin::Variable, &text).map(Some);
        }
        match self.default {
            Some(text) => self.check(SettingOrigin::Default, text).map(Some),
            None => Ok(None),
        }
    }

    fn check(&self, origin: SettingOrigin, text: &str) -> Result<T, SettingError> {
        T::parse(text, self.range)
            .map_err(|problem| self.error(Some((origin, text.to_owned())), problem))
    }

    fn error(
        &self,
        rejected: Option<(SettingOrigin, String)>,
        problem: ValueProblem,
    ) -> SettingError {
        SettingError {
            name: self.name,
            variable: self.variable(),
            rejected,
            problem,
        }
    }
}
