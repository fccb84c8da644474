//! Upstreams that close connections, truncate their answers or hang.

use std::time::Duration;

use kumquatlock_testkit::caller::HttpRequest;
use kumquatlock_testkit::upstream::ResponseFault;

use crate::booking::{BookingLoop, check_bookings};
use crate::support::{WAIT_TIMEOUT, builder, start};

/// Guards against a truncated answer that is forwarded to the caller, and against a second run
/// after an upstream that may have run the booking gave no answer. Verifies P4 and P6.
#[test]
fn an_incomplete_upstream_answer_is_reported_unknown() {
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
            let mut request = HttpRequest::post("/booking", body.as_str());
            request = request.timeout(Duration::from_millis(700));
            if let Some(key) = &key {
                request = request.key(key);
            }
            let entry = mesh.nodes[number % 3].caller();
            let first = entry.send(&request).unwrap().text();
            answers.push(format!("{fault:?} keyed={} {first}", key.is_some()));
            if key.is_some() {
                let resend = entry.send(&request).unwrap();
                // It is not determined whether a cancelled run has been answered by the deadline.
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

/// Guards against a caller that waits for its whole time because a status that no final answer has
/// was taken for an interim one, and against such a status that is passed on. Verifies P4 and P6.
#[test]
fn an_answer_with_an_invalid_status_ends_the_call() {
    let mesh = start(builder().upstreams_per_region(3));
    for status in [0, 1, 99, 101, 600, 999] {
        for node in &mesh.nodes {
            node.upstream.set_fault(ResponseFault::Status(status));
        }
        let body = format!("status-{status}");
        let request = HttpRequest::post("/booking", body.as_str());
        let answer = mesh.nodes[0].caller().send(&request).unwrap();
        assert_eq!(
            (answer.status, answer.text().as_str()),
            (504, r#"{"outcome":"unknown","reason":"upstream_failed"}"#),
            "status {status}"
        );
        assert_eq!(mesh.ledger().runs_of_body(body.as_bytes()).started, 1);
    }
}

/// Guards against answers that are delivered to the wrong request when upstreams fail under load.
/// Verifies P4, P5 and P6.
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
        load.wait_more_bookings(150);
    }
    let bookings = load.finish();
    for node in &mesh.nodes {
        assert!(node.upstream.wait_idle(WAIT_TIMEOUT));
    }
    let counts = check_bookings(&mesh, &bookings, &[]);
    println!("{} bookings: {counts:?}", bookings.len());
}
