//! A short soak of one seed: the real programs under faults from outside.

use std::time::Duration;

use kumquatlock_testkit::soak::plan::FaultKind;
use kumquatlock_testkit::soak::{SoakOptions, run_soak};

/// Faults of the short run: at least one of every side, none that needs long to be noticed.
const FAULTS: [FaultKind; 8] = [
    FaultKind::ControlKill,
    FaultKind::ControlPause,
    FaultKind::ControlWipe,
    FaultKind::NodeKill,
    FaultKind::NodePause,
    FaultKind::NodeReset,
    FaultKind::NodeMute,
    FaultKind::UpstreamCut,
];

/// Guards against a promise of the pages that one seed of faults breaks. Longer runs and other
/// seeds are played by the example `soak`; a seed that ever failed is added here.
#[test]
fn a_short_soak_breaks_no_promise() {
    let options = SoakOptions {
        seed: 1,
        duration: Duration::from_secs(8),
        voters: 3,
        upstreams_per_region: 1,
        callers_per_node: 1,
        mean_fault_interval: Duration::from_millis(600),
        faults: FAULTS.to_vec(),
        keep_logs: false,
    };
    let report = run_soak(&options).unwrap();
    assert!(report.faults.len() >= 3, "{report:?}");
    assert!(report.accepted > 1, "{report:?}");
    assert!(report.calls["lookup answered"] > 100, "{report:?}");
    assert!(
        report.is_clean(),
        "{:#?}\nlogs: {}",
        report.broken,
        report.logs
    );
}
