//! Benchmark of the cost that one change causes at a parent with many children. Run with
//! `cargo test --release -p kumquatlock distribution::tests::measure -- --ignored --nocapture`.

use std::time::Instant;

use bytes::BytesMut;
use kumquatlock_wire::distribution::{Applied, Hello};
use kumquatlock_wire::{Body, EncodedFrame, Envelope, EnvelopeCodec};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio_util::codec::Encoder;

use super::super::*;
use super::harness::{GROUP, catalog_of, decode, serving};
use crate::catalog::Catalog;
use crate::core::Timestamp;

const CHILDREN: u64 = 594;
/// Number of upstreams in the catalog.
const UPSTREAMS: usize = 1_000;
const ROUNDS: usize = 50;

/// Returns a parent whose children have all applied the catalog's version.
pub(super) fn parent_of(children: u64) -> (ParentState, Catalog, SmallRng) {
    let mut random = SmallRng::seed_from_u64(20);
    let catalog = catalog_of(UPSTREAMS);
    let limits = AdmissionLimits {
        hello_rate: 1_000_000,
        hello_burst: 100_000,
        ..AdmissionLimits::default()
    };
    let mut parent = ParentState::with_limits("voter".into(), GROUP, 1, limits);
    let now = Timestamp::from_millis(1_000);
    let mut pending_steps = Vec::new();
    for number in 0..children {
        let hello = Hello {
            name: format!("node-{number}"),
            applied_version: catalog.version().0,
            ..Hello::default()
        };
        let (child, body) = (ChildId(number), Body::Hello(hello));
        let event = ParentEvent::Received { child, body };
        pending_steps.extend(parent.handle(now, event, &catalog, &mut random));
    }
    while let Some(step) = pending_steps.pop() {
        if let ParentStep::RequestProof { round } = step {
            let index = Some(catalog.applied_index());
            let event = ParentEvent::ProofResult { round, index };
            pending_steps.extend(parent.handle(now, event, &catalog, &mut random));
        }
    }
    (parent, catalog, random)
}

/// Acknowledges the current version on behalf of every child.
pub(super) fn acknowledge_all(parent: &mut ParentState, catalog: &Catalog, random: &mut SmallRng) {
    let version = catalog.version().0;
    for number in 0..CHILDREN {
        let (child, body) = (ChildId(number), Body::Applied(Applied { version }));
        let event = ParentEvent::Received { child, body };
        parent.handle(Timestamp::from_millis(1_000), event, catalog, random);
    }
}

fn median(mut costs: Vec<u128>) -> u128 {
    costs.sort_unstable();
    costs[costs.len() / 2]
}

/// Returns the median cost of sending a delta with `changes` changes to every child, in
/// microseconds: with one shared encoding, and with a separate encoding for each child.
fn median_costs(changes: usize) -> (u128, u128) {
    let (mut parent, mut catalog, mut random) = parent_of(CHILDREN);
    let (mut shared, mut separate) = (Vec::new(), Vec::new());
    for round in 0..ROUNDS {
        for number in 0..changes {
            let name = format!("a-{round}-{number}");
            catalog.apply(catalog.applied_index() + 1, &serving(&name));
        }
        let mut buffers = vec![BytesMut::with_capacity(256 * 1024); CHILDREN as usize];
        let (started, now) = (Instant::now(), Timestamp::from_millis(1_000));
        let steps = parent.handle(now, ParentEvent::CatalogAdvanced, &catalog, &mut random);
        let Some(ParentStep::SendDelta { children, frame }) = steps.first() else {
            panic!("{steps:?}");
        };
        for child in children {
            buffers[child.0 as usize].extend_from_slice(frame.bytes());
        }
        shared.push(started.elapsed().as_micros());
        separate.push(separate_cost(frame, &mut buffers));
        acknowledge_all(&mut parent, &catalog, &mut random);
    }
    (median(shared), median(separate))
}

/// Returns the cost of copying and encoding the message separately for each child, in microseconds.
fn separate_cost(frame: &EncodedFrame, buffers: &mut [BytesMut]) -> u128 {
    let body = decode(frame);
    let mut codec = EnvelopeCodec::default();
    let started = Instant::now();
    for buffer in buffers {
        buffer.clear();
        let envelope = Envelope::from(body.clone());
        codec.encode(&envelope, buffer).unwrap();
    }
    started.elapsed().as_micros()
}

#[test]
#[ignore = "benchmark; prints costs and checks nothing"]
fn cost_of_one_change_for_all_children() {
    for changes in [1, 10, 100] {
        let (shared, separate) = median_costs(changes);
        println!(
            "{CHILDREN} children, {changes} changes: {shared} us for the merge and one shared \
             encoding, {separate} us for a separate encoding per child"
        );
    }
}
