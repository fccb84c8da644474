//! Load pattern: a change of thousands of routes on its way over the narrow link of a node, which
//! also carries calls and signs of life.

use super::super::compression::compress_update;
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
            // Keeps the compressed change larger than the window.
            let hash = crate::core::stable_hash(format!("{number}").as_bytes());
            let id = hash.rotate_left(7).wrapping_mul(hash | 1);
            format!(
                "{{\"name\":\"route-{number}\",\"host\":\"{hash:016x}.region-{number}.services.example\",\
                 \"prefix\":\"/customers/{id:016x}/\",\"class\":\"lookup\",\"service\":\"a\"}}"
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
        harness.bytes > 2 * PACED_WINDOW_BYTES,
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

/// Guards against nodes that wait for the transfers of others after all of them have restarted: each
/// transfer takes the time of the child's own narrow link, and the parent's link is wide.
#[test]
fn all_nodes_get_their_first_configuration_at_once() {
    let mut harness = StreamHarness::new(34, vec![large_catalog()], 120);
    harness.child_bandwidth = NARROW_LINK_BYTES_PER_STEP;
    harness.run(IN_FORCE_MS);
    let waiting = (0..120).filter(|child| harness.applied_version(*child) == 0);
    assert_eq!(
        waiting.count(),
        0,
        "without a configuration after {IN_FORCE_MS} ms"
    );
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
        harness.bandwidth = NARROW_LINK_BYTES_PER_STEP / 4;
        let mut random = SmallRng::seed_from_u64(seed);
        harness.delivery = Box::new(move |_| match random.random_bool(0.2) {
            true => Delivery::Duplicate,
            false => Delivery::Deliver,
        });
        harness.commit(0, &manifest_of(3, ROUTES + MORE_ROUTES));
        for lost in 0..2 {
            harness.run(60 + seed * 5);
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

/// Guards against compressed bytes that expand without end and exhaust the memory of a node.
#[test]
fn an_update_that_expands_beyond_the_limit_is_malformed() {
    let zeros = vec![0; usize::try_from(MAX_SNAPSHOT_BYTES).unwrap() + 1];
    let data = compress_update(&zeros);
    assert!(data.len() < 1 << 20);
    let chunk = SnapshotChunk {
        version: 1,
        total_bytes: data.len() as u64,
        is_compressed: true,
        data,
        ..SnapshotChunk::default()
    };
    let result = UpdateAssembly::accept(&mut None, &chunk);
    assert_eq!(result.unwrap_err(), ChunkError::Malformed);
}
