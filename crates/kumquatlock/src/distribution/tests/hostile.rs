//! Well-formed messages with contents that no correct peer sends.

use kumquatlock_wire::agreement::ConfirmRequest;
use kumquatlock_wire::distribution::{
    Attachment, ChunkReceived, Delta, ParentLocation, Ping, Pong, Rejected, RetryAfter,
    UpstreamIncarnation, Welcome,
};

use super::super::compression::compress_update;
use super::*;
use crate::catalog::Catalog;
use crate::util::tests::arbitrary::{flag, number};

/// Number of sessions, each with other messages.
const SESSIONS: u64 = 60;
/// Number of messages in a session.
const MESSAGES: usize = 300;

/// Returns a byte string that decodes to nothing, or to an update without fields.
fn data(random: &mut SmallRng) -> bytes::Bytes {
    match random.random_range(0..4) {
        0 => bytes::Bytes::new(),
        1 => compress_update(&[8, 1]),
        2 => bytes::Bytes::from_static(&[8, 1]),
        _ => {
            let byte = random.random_range(0..=255);
            vec![byte; 3].into()
        }
    }
}

/// Returns a message that a child sends, with arbitrary contents.
fn message_of_child(random: &mut SmallRng) -> Body {
    let version = number(random);
    let incarnation = UpstreamIncarnation {
        name: format!("a-{}", version % 4),
        incarnation: number(random),
    };
    match random.random_range(0..8) {
        0 => Body::Hello(Hello {
            group_id: [0, GROUP.0, GROUP.0, version][random.random_range(0..4)],
            name: format!("node-{}", version % 3),
            incarnation: number(random),
            role: random.random_range(-1..4),
            applied_version: number(random),
            applied_digest: number(random),
            accepts_paced_updates: flag(random),
            ..Hello::default()
        }),
        1 => Body::Applied(Applied { version }),
        2 => Body::Rejected(Rejected {
            version,
            reason: String::new(),
        }),
        3 => Body::ChunkReceived(ChunkReceived {
            version,
            received_bytes: number(random),
        }),
        4 => Body::Progress(Progress {
            reporter: "voter".into(),
            nodes: number(random),
            lowest_applied: version,
            current_version: number(random),
            current_nodes: number(random),
        }),
        5 => Body::Attachment(Attachment {
            reporter: "voter".into(),
            complete: flag(random),
            attached: vec![incarnation.clone(); random.random_range(0..3)],
            detached: vec![incarnation; random.random_range(0..3)],
            sequence: version,
        }),
        6 => Body::Ping(Ping {
            number: version,
            prove: flag(random),
        }),
        _ => Body::Forward(Forward {
            request_id: version,
            content: flag(random).then(|| Content::ConfirmRequest(ConfirmRequest::default())),
        }),
    }
}

/// Returns a message that a parent sends, with arbitrary contents.
fn message_of_parent(random: &mut SmallRng) -> Body {
    let version = number(random);
    match random.random_range(0..6) {
        0 => Body::Welcome(Welcome {
            group_id: GROUP.0,
            floor: random.random_range(0..4),
            parents: vec![format!("127.0.0.1:{}", version % 70_000)],
            locations: vec![ParentLocation::default(); random.random_range(0..3)],
        }),
        1 => Body::Snapshot(SnapshotChunk {
            version,
            offset: number(random),
            total_bytes: number(random),
            digest: number(random),
            data: data(random),
            base: number(random),
            is_paced: flag(random),
            is_compressed: flag(random),
        }),
        2 => Body::Delta(Delta {
            base: number(random),
            version,
            changes: vec![CatalogChange::default(); random.random_range(0..2)],
            digest: number(random),
            quarantine: None,
            rollouts: None,
        }),
        3 => Body::Pong(Pong {
            number: version,
            version: number(random),
            proof_age_ms: flag(random).then(|| number(random)),
        }),
        4 => Body::RetryAfter(RetryAfter {
            delay_ms: u32::try_from(version).unwrap_or(u32::MAX),
            reason: random.random_range(-1..8),
        }),
        _ => Body::Applied(Applied { version }),
    }
}

/// Lets a correct child attach, and returns whether it was sent a configuration.
fn serves_another_child(
    parent: &mut ParentState,
    mut now: Timestamp,
    catalog: &Catalog,
    random: &mut SmallRng,
) -> bool {
    let child = ChildId(u64::MAX);
    let hello = Hello {
        name: "node-9".into(),
        incarnation: 1,
        ..Hello::default()
    };
    for _ in 0..600 {
        let body = Body::Hello(hello.clone());
        let mut steps = parent.handle(now, ParentEvent::Received { child, body }, catalog, random);
        let mut next = 0;
        while next < steps.len() {
            match &steps[next] {
                ParentStep::Send { children, body } if children.contains(&child) => {
                    if matches!(body, Body::Snapshot(_)) {
                        return true;
                    }
                }
                &ParentStep::RequestProof { round } => {
                    let index = Some(catalog.applied_index());
                    let proof = ParentEvent::ProofResult { round, index };
                    steps.extend(parent.handle(now, proof, catalog, random));
                }
                _ => {}
            }
            next += 1;
        }
        now = now + TICK_INTERVAL;
        parent.handle(now, ParentEvent::Tick, catalog, random);
    }
    false
}

/// Guards against a message of one child that ends the process, or keeps the parent from serving
/// other children.
#[test]
fn arbitrary_messages_of_children_do_not_stop_a_parent() {
    for session in 0..SESSIONS {
        let mut random = SmallRng::seed_from_u64(session);
        let mut catalog = catalog_of(3);
        let mut parent = ParentState::new("voter".into(), GROUP, 1);
        let mut now = Timestamp::from_millis(10_000);
        let mut requested = 0;
        for message in 0..MESSAGES {
            let child = ChildId(random.random_range(0..4));
            let event = match random.random_range(0..6) {
                0 => ParentEvent::Tick,
                1 => ParentEvent::Writable { child },
                2 => ParentEvent::ProofResult {
                    round: requested,
                    index: flag(&mut random).then(|| number(&mut random) % 8),
                },
                _ => ParentEvent::Received {
                    child,
                    body: message_of_child(&mut random),
                },
            };
            for step in parent.handle(now, event, &catalog, &mut random) {
                if let ParentStep::RequestProof { round } = step {
                    requested = round;
                }
            }
            if message % 50 == 0 {
                let index = catalog.applied_index() + 1;
                catalog.apply(index, &serving(&format!("a-{}", 10 + message)));
                parent.handle(now, ParentEvent::CatalogAdvanced, &catalog, &mut random);
            }
            now = now + TICK_INTERVAL / 4;
        }
        assert!(
            serves_another_child(&mut parent, now, &catalog, &mut random),
            "session {session}"
        );
    }
}

/// Guards against a message of a parent that ends the process, or gives a child an older version.
#[test]
fn arbitrary_messages_of_a_parent_do_not_stop_or_revert_a_child() {
    for session in 0..SESSIONS {
        let mut random = SmallRng::seed_from_u64(session);
        let mut child = child_state(0, &[1, 2]);
        let mut now = Timestamp::from_millis(10_000);
        let mut links = Vec::new();
        let mut applied = ConfigVersion(0);
        for _ in 0..MESSAGES {
            let link = match links.len() {
                0 => None,
                count => Some(links[random.random_range(0..count)]),
            };
            let event = match (link, random.random_range(0..8)) {
                (None, _) | (_, 0) => ChildEvent::Tick,
                (Some(link), 1) => ChildEvent::Disconnected { link },
                (Some(link), 2 | 3) => ChildEvent::Connected { link },
                (Some(link), _) => ChildEvent::Received {
                    link,
                    body: message_of_parent(&mut random),
                },
            };
            for step in child.handle(now, event, &mut random) {
                if let ChildStep::Connect { link, .. } | ChildStep::Probe { link, .. } = step {
                    links.push(link);
                }
            }
            let version = child
                .applied_config()
                .map_or(applied, |config| config.version);
            assert!(version >= applied, "session {session}");
            applied = version;
            now = now + TICK_INTERVAL / 4;
        }
    }
}
