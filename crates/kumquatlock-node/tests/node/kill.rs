//! Nodes that are killed while they process bookings.

use std::time::{Duration, Instant};

use kumquatlock_testkit::caller::HttpRequest;
use kumquatlock_testkit::process::{Mesh, ProcessError, wait_for, wait_until};

use crate::booking::{BookingLoop, check_bookings};
use crate::support::{
    WAIT_TIMEOUT, builder, config_version, start, wait_claim_shards_active, wait_serving,
};

/// Guards against a booking that runs twice, or that is answered `not_run` although it ran, when
/// nodes are killed and restarted under load. Each node is both entry and destination, so callers
/// that lose their entry resend through another node. Verifies P4, P5 and P6.
#[test]
fn bookings_survive_killed_and_restarted_nodes() {
    let mut mesh = start(builder());
    let entries: Vec<_> = mesh.nodes.iter().map(|node| node.flags.http).collect();
    let load = BookingLoop::start(&entries);
    for round in 0..3 {
        load.wait_more_bookings(150);
        let restarted = round % 2;
        let version = config_version(&mesh, 2);
        mesh.nodes[restarted].process.restart().unwrap();
        mesh.nodes[restarted].wait_ready().unwrap();
        let serving_after = wait_serving(&mesh, restarted, &format!("round-{round}"));
        let claims_after = wait_claim_shards_active(&mesh, version);
        println!(
            "restarted node serves keyed bookings after {serving_after:?}, all shards \
             {claims_after:?} later"
        );
    }
    load.wait_more_bookings(150);
    let bookings = load.finish();
    let counts = check_bookings(&mesh, &bookings, &entries[..2]);
    println!("{} bookings: {counts:?}", bookings.len());
    assert!(
        counts["answered 200"] * 10 > bookings.len() * 8,
        "{counts:?}"
    );
}

/// Guards against a resend that runs again because the entry of the first run was killed.
/// Verifies P6.
#[test]
fn a_resend_after_the_entry_was_killed_does_not_run_again() -> Result<(), ProcessError> {
    let mut mesh = start(builder());
    set_service_time(&mesh, Duration::from_millis(1_000));
    let request = HttpRequest::post("/booking", "order")
        .key("key")
        .timeout(WAIT_TIMEOUT / 4);
    let first = mesh.nodes[0].caller();
    let call = {
        let request = request.clone();
        std::thread::spawn(move || first.send(&request))
    };
    let ledger = mesh.ledger().clone();
    wait_until("run started", WAIT_TIMEOUT, || {
        ledger.runs_of_body(b"order").started == 1
    })?;
    // The upstream beside the entry may be running the booking, but it outlives the node process.
    mesh.nodes[0].process.kill()?;
    assert!(call.join().unwrap().is_err());
    let started = Instant::now();
    let answer = mesh.nodes[1].caller().send(&request)?;
    println!("resend: {} after {:?}", answer.text(), started.elapsed());
    assert!(matches!(answer.status, 200 | 504), "{}", answer.text());
    assert_eq!(ledger.runs_of_body(b"order").started, 1);
    Ok(())
}

/// Guards against a second run, or a wrong answer `not_run`, of bookings whose destination is
/// killed while it runs them. Verifies P5 and P6.
#[test]
fn a_killed_destination_leaves_running_bookings_unknown() -> Result<(), ProcessError> {
    let mut mesh = start(builder());
    set_service_time(&mesh, Duration::from_millis(600));
    let caller = mesh.nodes[0].caller();
    let bodies: Vec<String> = (0..24).map(|number| format!("order-{number}")).collect();
    let calls: Vec<_> = bodies
        .iter()
        .enumerate()
        .map(|(number, body)| {
            let mut request = HttpRequest::post("/booking", body.as_str());
            if number % 2 == 0 {
                request = request.key(body);
            }
            let caller = caller.clone();
            std::thread::spawn(move || caller.send(&request).unwrap())
        })
        .collect();
    // An upstream that joined last gets few calls, so none in particular is certain to run one.
    let running = |mesh: &Mesh| (1..4).find(|node| mesh.nodes[*node].upstream.in_flight() > 0);
    let destination = wait_for("another node runs bookings", WAIT_TIMEOUT, || {
        running(&mesh).ok_or("no other node")
    })
    .unwrap();
    mesh.nodes[destination].process.kill()?;
    let answers: Vec<_> = calls
        .into_iter()
        .map(|thread| thread.join().unwrap())
        .collect();
    assert!(mesh.nodes[destination].upstream.wait_idle(WAIT_TIMEOUT));
    let mut unknown = 0;
    for (body, answer) in bodies.iter().zip(&answers) {
        let runs = mesh.ledger().runs_of_body(body.as_bytes()).started;
        match answer.status {
            200 => assert_eq!((runs, answer.json()["body"].as_str()), (1, Some(&body[..]))),
            503 => assert_eq!(runs, 0, "P5: {body}: {}", answer.text()),
            504 => unknown += 1,
            status => panic!("{status}: {}", answer.text()),
        }
        assert!(runs <= 1, "P6: {body}");
    }
    assert!(unknown > 0, "no booking was running at the killed node");
    Ok(())
}

/// Sets the service time of all upstreams.
fn set_service_time(mesh: &Mesh, service_time: Duration) {
    for node in &mesh.nodes {
        node.upstream.set_service_time(service_time);
    }
}
