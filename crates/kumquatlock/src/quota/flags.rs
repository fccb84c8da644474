//! Settings of the quotas that operators may change, the same for control instances and nodes.

use super::QuotaSettings;
use crate::util::settings::{DurationMillis, ItemCount, SettingError, SettingSpec, VariableSource};

/// Setting of the window in which requests are counted.
pub const QUOTA_WINDOW: SettingSpec<DurationMillis> = SettingSpec::new(
    "quota-window-ms",
    "window in which the requests of a client account are counted; the same for all instances and \
     nodes",
)
.unit("ms")
.range(2_000, 3_600_000)
.default_value("5000");

/// Setting of how much the requests of a window may exceed the quota.
pub const QUOTA_OVERAGE: SettingSpec<ItemCount> = SettingSpec::new(
    "quota-overage-percent",
    "how much the requests of a window may exceed the quota; the same for all instances and nodes",
)
.unit("percent")
.range(0, 100)
.default_value("10");

/// Setting of the number of requests by which those of a window may also exceed the quota.
pub const QUOTA_SLACK: SettingSpec<ItemCount> = SettingSpec::new(
    "quota-slack",
    "requests by which those of a window may also exceed the quota; the same for all instances and \
     nodes",
)
.unit("requests")
.range(0, 1_000_000)
.default_value("20");

impl QuotaSettings {
    /// Resolves the settings [`QUOTA_WINDOW`], [`QUOTA_OVERAGE`] and [`QUOTA_SLACK`].
    pub fn resolve(
        window_ms: Option<&str>,
        overage_percent: Option<&str>,
        slack: Option<&str>,
        variables: &impl VariableSource,
    ) -> Result<Self, SettingError> {
        let window = QUOTA_WINDOW.resolve(window_ms, variables)?;
        let overage = QUOTA_OVERAGE.resolve(overage_percent, variables)?;
        let slack = QUOTA_SLACK.resolve(slack, variables)?;
        Ok(QuotaSettings {
            window: window.duration(),
            overage_percent: overage.0 as u32,
            slack: slack.0,
            ..QuotaSettings::default()
        })
    }
}
