//! Compares `docs/OPERATIONS.md` with the program.

use std::process::Command;

use kumquatlock_testkit::process::ProgramName;
use kumquatlock_testkit::reference::{documented_names, flags_of, metrics_of};
use kumquatlock_wire::Body;
use kumquatlock_wire::distribution::Hello;

use crate::child::RawChild;
use crate::group::{builder, conflicting_manifest, manifest, start, submit_until_decided};

const PAGE: &str = include_str!("../../../../docs/OPERATIONS.md");

/// ID that no group of these tests has; the chance that a group gets it is 1 in 2^64.
const UNKNOWN_GROUP_ID: u64 = 1;

/// Guards against flags that are missing on the operations page, and against removed flags that it
/// still lists.
#[test]
fn the_operations_page_lists_the_flags_of_every_command() {
    for command in ["serve", "submit", "show", "status"] {
        let mut program = Command::new(ProgramName::Control.locate().unwrap());
        let output = program.args([command, "--help"]).output().unwrap();
        let flags = flags_of(&String::from_utf8(output.stdout).unwrap());
        assert!(!flags.is_empty());
        let heading = format!("### kumquatlock-control {command}");
        assert_eq!(flags, documented_names(PAGE, &heading), "{command}");
    }
}

/// Guards against metrics that are missing on the operations page, and against removed metrics that
/// it still lists.
#[test]
fn the_operations_page_lists_every_metric() {
    let mesh = start(builder());
    // Metric families with labels appear with their first value, so the test causes an accepted
    // and a refused submission and a refused child.
    submit_until_decided(&mesh.controls[0], &manifest(1));
    submit_until_decided(&mesh.controls[0], &conflicting_manifest(1));
    let mut child = RawChild::connect(mesh.controls[0].flags.listen);
    child.send(Body::Hello(Hello {
        group_id: UNKNOWN_GROUP_ID,
        name: "child".to_owned(),
        incarnation: 1,
        zone: "z".to_owned(),
        region: "r".to_owned(),
        ..Hello::default()
    }));
    let refusal = child.receive();
    assert!(matches!(refusal, Some(Body::RetryAfter(_))), "{refusal:?}");
    let page = mesh.controls[0].caller().get("/metrics").unwrap();
    let documented = documented_names(PAGE, "### Metrics of a control instance");
    assert_eq!(metrics_of(&page.text()), documented);
}
