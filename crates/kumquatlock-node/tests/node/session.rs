//! End-to-end test, from a submitted manifest to the answers of bookings.

use kumquatlock_testkit::caller::{HttpRequest, HttpResponse};

use super::support::{builder, start};

/// Guards against components that work separately but not together.
#[test]
fn bookings_are_routed_by_an_accepted_manifest() {
    let mesh = start(builder());
    let mut lines = Vec::new();
    let control = &mesh.controls[0];
    let mut record_answer = |step: &str, answer: &HttpResponse, fields: &[&str]| {
        let json = answer.json();
        let fields = fields
            .iter()
            .map(|field| format!("{field}={}", json[*field]));
        let outcome = answer.outcome.as_deref().unwrap_or("-");
        let fields = fields.collect::<Vec<_>>().join(" ");
        lines.push(format!("{step}: {} {outcome} {fields}", answer.status));
    };

    let first = control.submit(&mesh.manifest(1)).unwrap();
    record_answer(
        "operator submits manifest 1 again",
        &first,
        &["state", "manifest_version"],
    );
    let shown = control.show(1).unwrap();
    record_answer(
        "operator reads manifest 1",
        &shown,
        &["state", "attached", "applied"],
    );

    let request = HttpRequest::post("/booking", "order-7").key("osrednja:order-7");
    let booked = mesh.nodes[0].caller().send(&request).unwrap();
    record_answer("caller books at node 1", &booked, &["service"]);
    let resent = mesh.nodes[3].caller().send(&request).unwrap();
    record_answer("caller resends at node 4", &resent, &["service"]);
    assert_eq!(resent.body, booked.body);
    let conflicting = HttpRequest::post("/booking", "order-8").key("osrednja:order-7");
    let reused = mesh.nodes[1].caller().send(&conflicting).unwrap();
    record_answer(
        "caller uses the key for another order",
        &reused,
        &["reason"],
    );
    let unrouted = mesh.nodes[1].caller().get("/nothing").unwrap();
    record_answer(
        "caller asks for a path without a route",
        &unrouted,
        &["reason"],
    );

    let second = control.submit(&mesh.manifest(2)).unwrap();
    record_answer(
        "operator submits manifest 2",
        &second,
        &["state", "manifest_version"],
    );
    let shown = control
        .wait_in_force(2, mesh.nodes.len(), super::support::WAIT_TIMEOUT)
        .unwrap();
    let stale = control.submit(&mesh.manifest(1)).unwrap();
    record_answer(
        "operator submits manifest 1 again",
        &stale,
        &["state", "manifest_version"],
    );
    let old = control.show(1).unwrap();
    record_answer("operator reads manifest 1", &old, &["state"]);
    lines.push(format!(
        "manifest 2 is {} on {} nodes",
        shown["state"], shown["applied"]
    ));
    let runs = mesh.ledger().runs_of_body(b"order-7").started;
    lines.push(format!("order-7 ran {runs} time(s), order-8 {} times", {
        mesh.ledger().runs_of_body(b"order-8").started
    }));
    insta::assert_snapshot!(lines.join("\n"));
}
