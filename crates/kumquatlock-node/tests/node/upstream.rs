//! Upstreams that close, cut their answers short or hang.

use std::time::Duration;

use kumquatlock_testkit::caller::HttpRequest;
use kumquatlock_testkit::upstream::ResponseFault;

use crate::booking::{BookingLoop, check};
use crate::support::{LONG, builder, start};

/// Guards against a cut answer that is passed on, and against another run after an upstream
/// that may have run the booking gave no answer. Shows P4 and P6.
#[test]
fn a_broken_answer_of_the_upstream_is_unknown() {
    let mesh = start(builder().upstreams_per_region(3));
    let faults = [
        ResponseFault::CloseBeforeRun,
        ResponseFault::CloseAfterRun,
        ResponseFault::Truncate { missing: 7 },
        ResponseFault::Hang,
    ];
    let mut answers = Vec::new();
    for (number, fault) in faults.into_iter().enumerate() {
        for node in &mesh.nodes {
            node.upstream.set_fault(fault);
        }
        for key in [None, Some(format!("key-{number}"))] {
            let body = format!("fault-{number}-{}", key.is_some());
            let mut plan = HttpRequest::post("/booking", body.as_str());
            plan = plan.timeout(Duration::from_millis(700));
            if let Some(key) = &key {
                plan = plan.key(key);
            }
            let entry = mesh.nodes[number % 3].caller();
            let first = entry.send(&plan).unwrap().text();
            answers.push(format!("{fault:?} keyed={} {first}", key.is_some()));
            if key.is_some() {
                let resend = entry.send(&plan).unwrap();
                // A cancelled run may or may not have been answered when its time ends.
                if fault != ResponseFault::Hang {
                    answers.push(format!("{fault:?} resend {}", resend.text()));
                }
            }
            let runs = mesh.ledger().runs_of_body(body.as_bytes()).started;
            let expected = u64::from(fault != ResponseFault::CloseBeforeRun);
            assert_eq!(runs, expected, "P6: {body}");
        }
    }
    for node in &mesh.nodes {
        node.upstream.clear_fault();
    }
    insta::assert_snapshot!(answers.join("\n"));
}

/// Guards against answers that reach another request after failures of the upstreams under load.
/// Shows P4, P5 and P6.
#[test]
fn bookings_survive_failing_upstreams() {
    let mesh = start(builder());
    let entries: Vec<_> = mesh.nodes.iter().map(|node| node.flags.http).collect();
    let load = BookingLoop::start(&entries);
    let faults = [
        ResponseFault::CloseBeforeRun,
        ResponseFault::CloseAfterRun,
        ResponseFault::Truncate { missing: 3 },
    ];
    for round in 0..4 {
        for (node, fault) in mesh
            .nodes
            .iter()
            .zip(faults.into_iter().cycle().skip(round))
        {
            node.upstream.inject_faults(5, fault);
        }
        load.wait_more(150);
    }
    let bookings = load.finish();
    for node in &mesh.nodes {
        assert!(node.upstream.wait_idle(LONG));
    }
    let counts = check(&mesh, &bookings, &[]);
    println!("{} bookings: {counts:?}", bookings.len());
}
