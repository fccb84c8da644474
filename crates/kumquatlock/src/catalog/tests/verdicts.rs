//! Property test: what an old state says about a submitted manifest, and what later states say.

use std::hash::{BuildHasher, RandomState};

use indexmap::IndexSet;
use kumquatlock_wire::distribution::{CatalogCommand, catalog_command::Kind};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::catalog::{ApplyOutcome, Catalog, ManifestDecision, ManifestVerdict};
use crate::manifest::ManifestDocument;

/// Number of logs in an ordinary run, which should take no more than a few seconds.
const DEFAULT_CASES: u64 = 200;

const LOG_ENTRIES: usize = 14;

const MAX_VERSION: u64 = 6;

/// A submitted manifest.
struct TestManifest {
    text: String,
    document: ManifestDocument,
}

impl TestManifest {
    fn new(version: u64, follows: Option<u64>, service: &str) -> Self {
        let follows = follows.map_or(String::new(), |base| format!(r#""follows":{base},"#));
        let text = format!(
            r#"{{"version":{version},{follows}"services":[{{"name":"{service}","upstreams":["{service}-*"]}}],"routes":[]}}"#
        );
        let document = ManifestDocument::parse(text.as_bytes()).unwrap();
        TestManifest { text, document }
    }

    /// Returns every combination of version, base and content.
    fn all() -> Vec<Self> {
        let mut manifests = Vec::new();
        for version in 1..=MAX_VERSION {
            for follows in std::iter::once(None).chain((0..=MAX_VERSION).map(Some)) {
                for service in ["a", "b"] {
                    manifests.push(TestManifest::new(version, follows, service));
                }
            }
        }
        manifests
    }

    /// Returns the entry with which a leader that has applied `catalog` proposes the manifest, or
    /// `None` if such a leader doesn't propose it.
    fn change_from(&self, catalog: &Catalog) -> Option<CatalogCommand> {
        let verdict = catalog.assess_manifest(&self.document);
        let is_proposed = verdict == ManifestVerdict::Acceptable;
        is_proposed.then(|| CatalogCommand {
            kind: Some(Kind::Change(catalog.diff_manifest(&self.document))),
        })
    }

    /// Returns the entry that an earlier release proposes in any state.
    fn whole_text(&self) -> CatalogCommand {
        CatalogCommand {
            kind: Some(Kind::Manifest(self.text.clone().into())),
        }
    }

    fn is_accepted_in(&self, catalog: &Catalog) -> bool {
        let record = catalog.accepted(self.document.version);
        record.is_some_and(|record| record.digest == self.document.digest)
    }
}

/// Returns the states of a random log, the empty one first. The proposers are leaders that have
/// applied any part of the log.
fn random_states(rng: &mut SmallRng, manifests: &[TestManifest]) -> Vec<Catalog> {
    let mut states = vec![Catalog::new()];
    while states.len() <= LOG_ENTRIES {
        let proposer = &states[rng.random_range(0..states.len())];
        let manifest = &manifests[rng.random_range(0..manifests.len())];
        let command = match rng.random_ratio(1, 8) {
            true => Some(manifest.whole_text()),
            false => manifest.change_from(proposer),
        };
        let Some(command) = command else {
            continue;
        };
        let mut next = states[states.len() - 1].clone();
        let outcome = next.apply(next.applied_index() + 1, &command);
        check_outcome(&states[states.len() - 1], &next, manifest, &outcome);
        states.push(next);
    }
    states
}

/// Checks that an entry leads to the decision of the state that it is applied to, and that it leads
/// to the same content as the whole manifest.
fn check_outcome(
    before: &Catalog,
    after: &Catalog,
    manifest: &TestManifest,
    outcome: &ApplyOutcome,
) {
    let ApplyOutcome::Manifest(decision) = outcome else {
        panic!("{outcome:?}");
    };
    match before.assess_manifest(&manifest.document) {
        ManifestVerdict::Acceptable => {
            let mut whole = before.clone();
            whole.apply(after.applied_index(), &manifest.whole_text());
            let is_overtaken = *decision == ManifestDecision::Overtaken;
            assert!(is_overtaken || *after == whole, "{}", manifest.text);
        }
        _ => assert_eq!(after.manifest_version(), before.manifest_version()),
    }
}

/// Checks one manifest against a state and a later one of the same log.
fn check_verdicts(manifest: &TestManifest, state: &Catalog, later: &Catalog) {
    let verdict = state.assess_manifest(&manifest.document);
    let later_verdict = later.assess_manifest(&manifest.document);
    let ManifestVerdict::Final(decision) = verdict else {
        return;
    };
    let text = &manifest.text;
    if matches!(decision, ManifestDecision::Accepted { .. }) {
        assert_eq!(later_verdict, ManifestVerdict::Final(decision), "{text}");
        return;
    }
    let is_refused = matches!(&later_verdict, ManifestVerdict::Final(decision)
        if !matches!(decision, ManifestDecision::Accepted { .. }));
    assert!(is_refused, "{text}: {decision:?}, then {later_verdict:?}");
    assert!(!manifest.is_accepted_in(later), "{text}: {decision:?}");
}

/// Guards against a refusal that is answered from an old state as final although a later state
/// accepts the manifest, and against an acceptance that a later state denies.
///
/// `KUMQUATLOCK_TEST_CASES` sets the number of logs. A failure prints its seed; set
/// `KUMQUATLOCK_TEST_SEED` to it and the number to 1 to repeat it.
#[test]
fn a_final_verdict_holds_in_every_later_state() {
    let number = |name: &str| std::env::var(name).ok().map(|text| text.parse().unwrap());
    let seed = number("KUMQUATLOCK_TEST_SEED").unwrap_or_else(|| RandomState::new().hash_one(0));
    let manifests = TestManifest::all();
    let mut accepted_later = IndexSet::new();
    for case in 0..number("KUMQUATLOCK_TEST_CASES").unwrap_or(DEFAULT_CASES) {
        let seed = seed.wrapping_add(case);
        println!("KUMQUATLOCK_TEST_SEED={seed}");
        let states = random_states(&mut SmallRng::seed_from_u64(seed), &manifests);
        for (position, state) in states.iter().enumerate() {
            let restored = Catalog::from_state(&state.to_state()).unwrap();
            for manifest in &manifests {
                let verdict = state.assess_manifest(&manifest.document);
                assert_eq!(restored.assess_manifest(&manifest.document), verdict);
                for later in &states[position..] {
                    check_verdicts(manifest, state, later);
                    if manifest.is_accepted_in(later) {
                        accepted_later.insert(std::mem::discriminant(&verdict));
                    }
                }
            }
        }
    }
    // Otherwise the logs don't contain the cases that this test guards against.
    assert_eq!(
        accepted_later.len(),
        3,
        "final, acceptable and unknown base"
    );
}
