//! Load pattern: a change of thousands of routes on its way over the narrow link of a node, which
//! also carries calls and signs of life.

use super::*;
use crate::catalog::Catalog;

/// Bytes that a link of 2.5 Mbit/s carries in one step of the harness.
const NARROW_LINK_BYTES_PER_STEP: usize = 3_125;
/// Number of routes of a large change.
const ROUTES: usize = 3_000;
/// Number of routes that a large change adds to them.
const MORE_ROUTES: usize = 2_000;
/// Time within which an accepted manifest must be in force.
const IN_FORCE_MS: u64 = 2_500;
/// Room for the fields of the chunks in a window, and for a pong, in bytes.
const OVERHEAD_BYTES: usize = 512;

fn manifest_of(version: u64, routes: usize) -> CatalogCommand {
    let routes: Vec<String> = (0..routes)
        .map(|number| {
            format!(
                "{{\"name\":\"route-{number}\",\"host\":\"host-{number}.region-{number}.services.example\",\
                 \"prefix\":\"/customers/{number}/orders/\",\"class\":\"lookup\",\"service\":\"a\"}}"
            )
        })
        .collect();
    let text = format!(
        "{{\"version\":{version},\"services\":[{{\"name\":\"a\",\"upstreams\":[\"a-*\"]}}],\
         \"routes\":[{}]}}",
        routes.join(",")
    );
    let kind = Some(Kind::Manifest(text.into()));
    CatalogCommand { kind }
}

fn large_catalog() -> Catalog {
    let mut catalog = catalog_of(3);
    catalog.apply(5, &manifest_of(2, ROUTES));
    catalog
}

fn assert_window_is_kept(harness: &StreamHarness) {
    assert!(
        harness.peak_bytes <= PACED_WINDOW_BYTES + OVERHEAD_BYTES,
        "{} bytes waited for the link at once",
        harness.peak_bytes
    );
}

/// Guards against a large delta that fills a narrow link, so that peers appear silent until it has
/// passed.
#[test]
fn a_large_change_leaves_room_for_other_messages_on_a_narrow_link() {
    let mut harness = StreamHarness::new(31, vec![large_catalog()], 1);
    harness.run(300);
    harness.bandwidth = NARROW_LINK_BYTES_PER_STEP;
    (harness.bytes, harness.peak_bytes) = (0, 0);
    harness.commit(0, &manifest_of(3, ROUTES + MORE_ROUTES));
    harness.run(IN_FORCE_MS);
    assert!(
        harness.is_converged(),
        "not in force after {IN_FORCE_MS} ms"
    );
    assert!(
        harness.bytes > 5 * PACED_WINDOW_BYTES,
        "the change is small"
    );
    assert_window_is_kept(&harness);
}

/// Guards against the same for the first configuration of a node that has restarted.
#[test]
fn a_first_configuration_leaves_room_for_other_messages_on_a_narrow_link() {
    let mut harness = StreamHarness::new(32, vec![large_catalog()], 1);
    harness.bandwidth = NARROW_LINK_BYTES_PER_STEP;
    harness.run(IN_FORCE_MS);
    assert!(
        harness.is_converged(),
        "no configuration after {IN_FORCE_MS} ms"
    );
    assert_window_is_kept(&harness);
}

/// Guards against a repeated chunk, or a connection that is lost in the middle of a change, that
/// leaves a node without the change or with a part of it.
#[test]
fn a_large_change_arrives_although_chunks_repeat_and_connections_are_lost() {
    for seed in 0..20 {
        let mut harness = StreamHarness::new(seed, vec![large_catalog()], 2);
        harness.bandwidth = NARROW_LINK_BYTES_PER_STEP;
        harness.run(IN_FORCE_MS);
        assert!(
            harness.is_converged(),
            "no first configuration, seed {seed}"
        );
        let mut random = SmallRng::seed_from_u64(seed);
        harness.delivery = Box::new(move |_| match random.random_bool(0.2) {
            true => Delivery::Duplicate,
            false => Delivery::Deliver,
        });
        harness.commit(0, &manifest_of(3, ROUTES + MORE_ROUTES));
        for lost in 0..2 {
            harness.run(100 + seed * 10);
            assert!(!harness.is_converged(), "the change is small");
            harness.disconnect(lost);
            let link = LinkId(u64::MAX);
            harness.proxies[lost].link = None;
            harness.handle_child_event(lost, ChildEvent::Disconnected { link });
        }
        harness.run(10_000);
        assert!(harness.is_converged(), "seed {seed}");
    }
}

/// Guards against a child of an earlier release, which acknowledges no chunks, that waits forever
/// for the rest of an update.
#[test]
fn a_child_that_acknowledges_no_chunks_gets_the_whole_delta_at_once() {
    let mut random = SmallRng::seed_from_u64(33);
    let mut catalog = large_catalog();
    let mut parent = ParentState::new("voter".into(), GROUP, 1);
    let child = ChildId(1);
    let hello = Hello {
        name: "node-0".into(),
        incarnation: 1,
        applied_version: catalog.version().0,
        applied_digest: catalog.digest(),
        ..Hello::default()
    };
    let received = ParentEvent::Received {
        child,
        body: Body::Hello(hello),
    };
    let now = Timestamp(1_000);
    parent.handle(now, received, &catalog, &mut random);
    let index = Some(catalog.applied_index());
    let proof = ParentEvent::ProofResult { round: 1, index };
    parent.handle(now, proof, &catalog, &mut random);
    catalog.apply(6, &manifest_of(3, ROUTES + MORE_ROUTES));
    let steps = parent.handle(now, ParentEvent::CatalogAdvanced, &catalog, &mut random);
    let [ParentStep::SendDelta { children, frame }] = &steps[..] else {
        panic!("expected one delta, not {} steps", steps.len());
    };
    assert_eq!(children, &[child]);
    assert!(frame.bytes().len() > PACED_WINDOW_BYTES);
}
