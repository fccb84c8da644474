//! Confirmation of the ends of runs that children report.

use kumquatlock_wire::distribution::{EndedStart, RecordedEnds, RunEnd};

use super::*;
use crate::catalog::{Catalog, ended_start};

fn run_end() -> RunEnd {
    RunEnd {
        name: "a-0".into(),
        instance: 5,
        latest_start_ms: 100,
        remove_below: 2,
    }
}

fn run_end_event(end: RunEnd) -> ChildEvent {
    let forward = Forward {
        request_id: 0,
        content: Some(Content::RunEnd(end)),
    };
    ChildEvent::Relay(Body::Forward(forward))
}

/// Returns a parent with one attached node.
fn attached() -> StreamHarness {
    let mut harness = StreamHarness::new(1, vec![catalog_of(1)], 1);
    harness.run(300);
    harness.transcript.clear();
    harness
}

fn confirmations(harness: &StreamHarness) -> usize {
    harness.transcript.matches("relay").count()
}

/// Guards against a node that acknowledges the end of a run which no log entry records, and against
/// one that gets no confirmation of an end that is recorded, also of one that it reports again.
#[test]
fn an_end_is_confirmed_once_its_entry_is_applied() {
    let mut draining = report("a-0", WireState::Draining);
    (draining.run, draining.is_run_ended) = (9, true);
    let run_command = CatalogCommand {
        kind: Some(Kind::Report(draining.clone())),
    };
    let start_command = CatalogCommand {
        kind: Some(Kind::RunEnd(run_end())),
    };
    let cases = [
        (ChildEvent::Report(draining), run_command),
        (run_end_event(run_end()), start_command),
    ];
    for (event, command) in cases {
        let mut harness = attached();
        harness.handle_child_event(0, event.clone());
        harness.commit(0, &serving("a-5"));
        harness.run(1_000);
        assert_eq!(confirmations(&harness), 0, "{event:?}");
        harness.commit(0, &command);
        harness.run(100);
        assert_eq!(confirmations(&harness), 1, "{event:?}");
        harness.handle_child_event(0, event.clone());
        harness.run(100);
        assert_eq!(confirmations(&harness), 2, "{event:?}");
    }
}

/// Guards against a replica whose nodes get no confirmation, and against the confirmation of an end
/// that covers fewer runs than the node reported.
#[test]
fn a_replica_passes_confirmations_on() {
    let mut harness = attached();
    harness.handle_child_event(0, run_end_event(run_end()));
    let mut confirm = |latest_start_ms| {
        let start = EndedStart {
            latest_start_ms,
            ..ended_start(&run_end())
        };
        let recorded = RecordedEnds {
            runs: Vec::new(),
            starts: vec![start],
        };
        harness.handle_parent_event(0, ParentEvent::EndsRecorded(recorded));
        harness.run(100);
        confirmations(&harness)
    };
    assert_eq!(confirm(99), 0);
    assert_eq!(confirm(100), 1);
    assert_eq!(confirm(100), 1);
}

/// Guards against a log snapshot without the ends that nodes reported.
#[test]
fn a_log_snapshot_keeps_the_ends() {
    let mut catalog = catalog_of(1);
    let command = CatalogCommand {
        kind: Some(Kind::RunEnd(run_end())),
    };
    catalog.apply(catalog.applied_index() + 1, &command);
    assert!(catalog.upstream("a-0").is_none());
    let restored = Catalog::from_state(&catalog.to_state()).unwrap();
    assert!(restored.records_start(&ended_start(&run_end())));
    assert_eq!(restored, catalog);
}
