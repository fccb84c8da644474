//! `docs/OPERATIONS.md` against the program.

use std::process::Command;

use kumquatlock_testkit::process::ProgramName;
use kumquatlock_testkit::reference::{documented_names, flags_of, metrics_of};
use kumquatlock_wire::Body;
use kumquatlock_wire::distribution::Hello;

use crate::child::RawChild;
use crate::group::{builder, manifest, start, submit_until_decided};

const PAGE: &str = include_str!("../../../../docs/OPERATIONS.md");

/// Group of no test; the chance that a group gets this id is 1 in 2^64.
const OTHER_GROUP: u64 = 1;

/// Guards against flags that the operators' page lacks, or still has.
#[test]
fn the_page_has_the_flags_of_every_command() {
    for command in ["serve", "submit", "show", "status"] {
        let mut program = Command::new(ProgramName::Control.locate().unwrap());
        let output = program.args([command, "--help"]).output().unwrap();
        let flags = flags_of(&String::from_utf8(output.stdout).unwrap());
        assert!(!flags.is_empty());
        let heading = format!("### kumquatlock-control {command}");
        assert_eq!(flags, documented_names(PAGE, &heading), "{command}");
    }
}

/// Guards against metrics that the operators' page lacks, or still has.
#[test]
fn the_page_has_every_metric() {
    let mesh = start(builder());
    // Families with labels appear with their first value: a submission and a refused child.
    submit_until_decided(&mesh.controls[0], &manifest(1));
    let mut child = RawChild::connect(mesh.controls[0].flags.listen);
    child.send(Body::Hello(Hello {
        group_id: OTHER_GROUP,
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
