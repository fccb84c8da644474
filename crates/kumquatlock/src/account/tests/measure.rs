//! Costs of accounts at the size of the design target. Run with `cargo test --release -p kumquatlock
//! account::tests::measure -- --ignored --nocapture`.

use std::time::Instant;

use kumquatlock_wire::agreement::forward::Content;
use kumquatlock_wire::agreement::{ConfirmReply, ConfirmRequest, Forward};
use kumquatlock_wire::distribution::{AccountItem, CatalogChange, Delta, catalog_change::Kind};
use kumquatlock_wire::{Body, Envelope};
use prost::Message;

use super::decisions::configuration;
use crate::account::{AccountResolver, KeyHeader, PresentedKey};
use crate::core::{KeyDigest, Timestamp, account_digest};

const ACCOUNTS: usize = 10_000;
const LOOKUPS: u32 = 100_000;

fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1));
    kib.unwrap().parse().unwrap()
}

#[test]
#[ignore = "benchmark; prints costs and checks nothing"]
fn cost_of_accounts_at_a_node() {
    let keys: Vec<[String; 2]> = (0..ACCOUNTS)
        .map(|number| [format!("key-{number}-a"), format!("key-{number}-b")])
        .collect();
    let names: Vec<String> = (0..ACCOUNTS)
        .map(|number| format!("account-{number}"))
        .collect();
    let keys: Vec<[&str; 2]> = keys.iter().map(|[a, b]| [a.as_str(), b.as_str()]).collect();
    let accounts: Vec<(&str, &[&str])> = names
        .iter()
        .zip(&keys)
        .map(|(name, keys)| (name.as_str(), &keys[..]))
        .collect();
    let before = resident_kib();
    let snapshot = configuration(1, &accounts);
    println!(
        "{} KiB for {ACCOUNTS} accounts of 2 keys, one copy",
        resident_kib() - before
    );

    let item = AccountItem {
        name: "account-7".into(),
        key_digests: vec![KeyDigest::of(b"key-7-a").as_bytes().to_vec().into()],
        ..AccountItem::default()
    };
    let digest = snapshot.digest.wrapping_add(account_digest(&item));
    let change = CatalogChange {
        kind: Some(Kind::UpsertAccount(item)),
    };
    println!(
        "{} B for one changed account of 1 key",
        change.encoded_len()
    );
    let delta = Delta {
        base: 1,
        version: 2,
        changes: vec![change],
        digest,
        ..Delta::default()
    };
    let started = Instant::now();
    // The digest does not match, which is checked last.
    let _ = snapshot.apply(&delta);
    println!("{:?} to apply it", started.elapsed());

    let header = KeyHeader {
        name: "authorization",
        scheme: "Bearer",
    };
    let resolver = AccountResolver::default();
    let route = &snapshot.routes["members"];
    let started = Instant::now();
    for number in 0..LOOKUPS as usize {
        let field = kumquatlock_wire::call::HeaderField {
            name: "authorization".into(),
            value: format!("Bearer {}", keys[number % ACCOUNTS][0]),
        };
        let key = PresentedKey::new(vec![field]).digest(header);
        std::hint::black_box(resolver.resolve(Timestamp::default(), &snapshot, route, key));
    }
    println!("{:?} to resolve a request", started.elapsed() / LOOKUPS);

    let forward = |content| {
        let forward = Forward {
            request_id: 10_000,
            content: Some(content),
        };
        Envelope::from(Body::Forward(forward)).encoded_len()
    };
    let request = forward(Content::ConfirmRequest(ConfirmRequest::default()));
    let index = Some(1_000_000);
    let reply = forward(Content::ConfirmReply(ConfirmReply { index }));
    println!("{request} B for a request for a proof, {reply} B for its answer");
}
