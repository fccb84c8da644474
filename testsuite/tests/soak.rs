//! A short soak with one seed: the real programs run while faults are injected from outside.

use std::time::Duration;

use kumquatlock_testkit::soak::plan::FaultKind;
use kumquatlock_testkit::soak::{SoakOptions, run_soak};

/// Faults of the short run: at least one that affects control instances, one that affects nodes and
/// one that affects upstreams, and none that takes long to be detected.
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

/// Guards against violations of the documented invariants while the faults of one seed are injected.
/// The example `soak` runs longer and with other seeds. Every seed that has failed is added here.
#[test]
fn a_short_soak_violates_no_invariant() {
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
