//! Log lines of submissions.

use kumquatlock_testkit::process::{ControlInstance, Mesh, wait_for};
use serde_json::{Value, json};

use crate::group::{
    WAIT_TIMEOUT, builder, conflicting_manifest, manifest, start, submit_until_decided, wait_leader,
};

/// Waits for a line of this event whose fields have the `expected` values.
fn wait_line(instance: &ControlInstance, event: &str, expected: &Value) -> Value {
    let is_expected = |record: &Value| {
        let mut fields = expected.as_object().unwrap().iter();
        record["event"] == event && fields.all(|(name, value)| record[name] == *value)
    };
    wait_for(&format!("{event} {expected}"), WAIT_TIMEOUT, || {
        let records = instance.process.log_records();
        let found = records.into_iter().find(is_expected);
        found.ok_or_else(|| instance.process.log_tail())
    })
    .unwrap()
}

/// Returns the voters: the leader and a follower.
fn leader_and_follower(mesh: &Mesh) -> (&ControlInstance, &ControlInstance) {
    let leader = wait_leader(mesh, &[0, 1, 2]);
    (&mesh.controls[leader], &mesh.controls[(leader + 1) % 3])
}

/// Guards against a submission that cannot be followed from the instance that received it to the
/// leader that decided it.
#[test]
fn a_forwarded_submission_has_a_line_at_each_step() {
    let mesh = start(builder());
    let (leader, follower) = leader_and_follower(&mesh);
    let (code, answer) = submit_until_decided(follower, &manifest(1));
    assert_eq!(code, 200, "{answer}");
    let document = json!({ "manifest_version": 1, "base": 0, "sender": "operator" });
    let received = wait_line(follower, "submission_received", &document);
    let id = &received["id"];
    let forwarded = wait_line(follower, "submission_forwarded", &json!({ "id": id }));
    assert_eq!(forwarded["to"], json!(leader.flags.name));
    let sent = json!({
        "sender": "voter", "sender_name": follower.flags.name, "sender_id": id,
    });
    wait_line(leader, "submission_received", &sent);
    let proposed = wait_line(leader, "submission_proposed", &sent);
    assert_eq!(proposed["digest"], received["digest"]);
    let decided = wait_line(leader, "submission_answered", &sent);
    assert_eq!(
        (&decided["basis"], &decided["outcome"], &decided["status"]),
        (&json!("proposal"), &json!("accepted"), &json!(200))
    );
    let term_start = decided["term_start"].as_u64().unwrap();
    assert!((1..=decided["applied"].as_u64().unwrap()).contains(&term_start));
    let accepted = json!({ "id": id, "basis": "forwarded", "outcome": "accepted" });
    let told = wait_line(follower, "submission_answered", &accepted);
    assert_eq!(told["term_start"], 0);
}

/// Guards against a refusal whose line does not tell from which state it was given.
#[test]
fn refused_submissions_have_lines_with_the_known_state() {
    let mesh = start(builder());
    let (leader, _) = leader_and_follower(&mesh);
    let (code, answer) = submit_until_decided(leader, &manifest(2));
    assert_eq!(code, 200, "{answer}");
    let mut other_base = manifest(3);
    other_base["follows"] = json!(1);
    let mut invalid = manifest(4);
    invalid["routes"][0]["service"] = json!("missing");
    for (submitted, reason, version, base, status, basis) in [
        (
            conflicting_manifest(2),
            "conflict",
            2,
            0,
            409,
            "applied_state",
        ),
        (manifest(1), "stale", 1, 0, 409, "applied_state"),
        (other_base, "other_base", 3, 1, 409, "applied_state"),
        (invalid, "dangling_service", 0, 0, 422, "local"),
    ] {
        assert_eq!(leader.submit(&submitted).unwrap().status, status);
        let line = wait_line(leader, "submission_answered", &json!({ "reason": reason }));
        assert_eq!(
            (&line["manifest_version"], &line["base"], &line["status"]),
            (&json!(version), &json!(base), &json!(status))
        );
        assert_eq!(
            (&line["basis"], &line["outcome"], &line["newest_version"]),
            (&json!(basis), &json!("refused"), &json!(2))
        );
        let applied = line["applied"].as_u64().unwrap();
        assert!(applied >= line["term_start"].as_u64().unwrap(), "{line}");
    }
}

/// Guards against a submission with an unknown outcome that leaves no trace.
#[test]
fn a_submission_without_a_quorum_is_logged_as_lost() {
    let mut mesh = start(builder());
    let leader = wait_leader(&mesh, &[0, 1, 2]);
    for other in [(leader + 1) % 3, (leader + 2) % 3] {
        mesh.controls[other].process.kill().unwrap();
    }
    let answer = mesh.controls[leader].submit(&manifest(1)).unwrap();
    assert_eq!(answer.status, 504, "{}", answer.text());
    let lost = json!({ "manifest_version": 1, "basis": "proposal", "status": 504 });
    let line = wait_line(&mesh.controls[leader], "submission_lost", &lost);
    assert_eq!(line["reason"], answer.json()["reason"]);
}
