//! Cost of one change for a parent with many children, printed. Run with
//! `cargo test --release -p kumquatlock distribution::tests::measure -- --ignored --nocapture`.

use std::time::Instant;

use bytes::BytesMut;
use kumquatlock_wire::distribution::{Applied, Hello};
use kumquatlock_wire::{Body, EncodedFrame, Envelope, EnvelopeCodec};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio_util::codec::Encoder;

use super::super::*;
use super::bench::{GROUP, catalog_of, decode, serving};
use crate::catalog::Catalog;
use crate::core::Timestamp;

const CHILDREN: u64 = 594;
/// Upstreams of the catalog.
const UPSTREAMS: usize = 1_000;
const ROUNDS: usize = 50;

/// A parent whose children all hold the catalog's version.
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
    let mut rounds = Vec::new();
    for number in 0..children {
        let hello = Hello {
            name: format!("node-{number}"),
            applied_version: catalog.version().0,
            ..Hello::default()
        };
        let (child, body) = (ChildId(number), Body::Hello(hello));
        let event = ParentEvent::Received { child, body };
        rounds.extend(parent.handle(now, event, &catalog, &mut random));
    }
    while let Some(step) = rounds.pop() {
        if let ParentStep::RequestProof { round } = step {
            let index = Some(catalog.applied_index());
            let event = ParentEvent::ProofResult { round, index };
            rounds.extend(parent.handle(now, event, &catalog, &mut random));
        }
    }
    (parent, catalog, random)
}

/// Every child holds the present version.
pub(super) fn confirm_all(parent: &mut ParentState, catalog: &Catalog, random: &mut SmallRng) {
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

/// What it costs to send each child the same delta of `changes` changes.
fn costs_of(changes: usize) -> (u128, u128) {
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
        confirm_all(&mut parent, &catalog, &mut random);
    }
    (median(shared), median(separate))
}

/// What it costs to copy and encode the message for each child.
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
#[ignore = "prints costs"]
fn cost_of_one_change_for_all_children() {
    for changes in [1, 10, 100] {
        let (shared, separate) = costs_of(changes);
        println!(
            "{CHILDREN} children, {changes} changes: {shared} us encoded once with the merge, \
             {separate} us encoded for each child"
        );
    }
}
