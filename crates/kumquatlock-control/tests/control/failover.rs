//! Accepted manifests and submissions when voters are killed.

use std::thread;

use kumquatlock_testkit::caller::HttpRequest;
use serde_json::json;

use crate::group::{
    builder, builder_with_election_timeout, conflicting_manifest, manifest, show, start,
    submit_until_decided, wait_leader, wait_status,
};

/// Guards against the loss of an accepted manifest with its leader, and against a resend that is
/// treated as a new submission.
#[test]
fn a_resend_after_the_leader_was_killed_gets_the_first_answer() {
    let mut mesh = start(builder());
    let leader = wait_leader(&mesh, &[0, 1, 2]);
    let first = mesh.controls[leader].submit(&manifest(1)).unwrap();
    assert_eq!(first.status, 200);
    mesh.controls[leader].process.kill().unwrap();
    let other = (leader + 1) % 3;
    let (code, answer) = submit_until_decided(&mesh.controls[other], &manifest(1));
    assert_eq!((code, answer), (200, first.json()));
    let (code, answer) = submit_until_decided(&mesh.controls[other], &conflicting_manifest(1));
    assert_eq!((code, &answer["reason"]), (409, &json!("conflict")));
}

/// Guards against two different decisions on a submission whose answer was lost because the
/// leader was killed while it was in progress.
#[test]
fn a_submission_in_progress_is_decided_once() {
    let mut mesh = start(builder());
    for version in 1..=4 {
        let leader = wait_leader(&mesh, &[0, 1, 2]);
        let follower = (leader + 1) % 3;
        let body = manifest(version).to_string();
        let request = HttpRequest::post("/v1/manifests", body);
        let callers = [leader, follower].map(|index| mesh.controls[index].caller());
        let submissions = callers.map(|caller| {
            let request = request.clone();
            thread::spawn(move || caller.send(&request))
        });
        mesh.controls[leader].process.kill().unwrap();
        let (code, decided) = submit_until_decided(&mesh.controls[follower], &manifest(version));
        assert_eq!(code, 200, "{decided}");
        for thread in submissions {
            // The answer may be missing, 503 or 504; a decision must be the same.
            if let Ok(answer) = thread.join().unwrap()
                && !matches!(answer.status, 503 | 504)
            {
                assert_eq!((answer.status, answer.json()), (200, decided.clone()));
            }
        }
        mesh.controls[leader].process.restart().unwrap();
        mesh.controls[leader].wait_ready().unwrap();
        for instance in &mesh.controls {
            wait_status(instance, "config_version", &decided["config_version"]);
        }
    }
}

/// Guards against accepting a manifest before it is durable.
#[test]
fn a_restart_of_all_voters_keeps_the_accepted_manifest() {
    let mut mesh = start(builder());
    let accepted = mesh.controls[0].submit(&manifest(7)).unwrap().json();
    for instance in &mut mesh.controls {
        instance.process.kill().unwrap();
    }
    for instance in &mut mesh.controls {
        instance.process.restart().unwrap();
    }
    for instance in &mut mesh.controls {
        instance.wait_ready().unwrap();
    }
    wait_leader(&mesh, &[0, 1, 2]);
    for instance in &mesh.controls {
        let shown = show(instance, "latest");
        assert_eq!(shown["manifest_version"], 7);
        assert_eq!(shown["config_version"], accepted["config_version"]);
        let (code, answer) = submit_until_decided(instance, &manifest(7));
        assert_eq!((code, answer), (200, accepted.clone()));
    }
}

/// Guards against a leader that continues without a quorum, and against a decision on a submission
/// that no quorum has stored.
#[test]
fn without_a_quorum_no_manifest_is_accepted() {
    // The leader must get the submission before it notices that the others are gone.
    let mut mesh = start(builder_with_election_timeout("2000"));
    let leader = wait_leader(&mesh, &[0, 1, 2]);
    let others = [(leader + 1) % 3, (leader + 2) % 3];
    for other in others {
        mesh.controls[other].process.kill().unwrap();
    }
    let answer = mesh.controls[leader].submit(&manifest(1)).unwrap();
    assert_eq!(
        (answer.status, &answer.json()["outcome"]),
        (504, &json!("unknown"))
    );
    wait_status(&mesh.controls[leader], "leader", &json!(null));
    let answer = mesh.controls[leader].submit(&manifest(1)).unwrap();
    assert_eq!(
        (answer.status, answer.json()),
        (503, json!({ "outcome": "not_run", "reason": "no_leader" }))
    );
    for other in others {
        mesh.controls[other].process.restart().unwrap();
    }
    for instance in &mut mesh.controls {
        instance.wait_ready().unwrap();
    }
    let (code, answer) = submit_until_decided(&mesh.controls[leader], &manifest(1));
    assert_eq!(code, 200, "{answer}");
}
