//! Load pattern: runs call a service that has too little room for them.

use std::time::Duration;

use kumquatlock_wire::Body;
use kumquatlock_wire::call::{CallReason, CallRequest, HeaderField};
use kumquatlock_wire::distribution::WireClass;

use super::rate_limit::{call_request, new_destination};
use super::simulation::{CallSimulation, booking_request};
use crate::call::*;
use crate::core::Timestamp;
use crate::http::HttpResponse;
use crate::transport::LinkId;

const NOW: Timestamp = Timestamp(1_000_000);
const REQUEST_ID: &str = "request-id";

/// A destination node whose upstream marks the calls that it makes by their identifier.
struct CallingUpstream {
    calls: DestinationCalls,
    calls_sent: u64,
}

impl CallingUpstream {
    fn new() -> Self {
        let mut calls = new_destination(NOW);
        calls.set_header_names(HeaderNames {
            request_id: Some(REQUEST_ID),
            nested_id_separator: Some('.'),
            ..HeaderNames::default()
        });
        CallingUpstream {
            calls,
            calls_sent: 0,
        }
    }

    /// Sends a call and returns its run, or the reason why it was refused.
    fn send(&mut self, route: &str, callers: &[&str]) -> Result<RunId, CallReason> {
        self.calls_sent += 1;
        let request = CallRequest {
            headers: vec![HeaderField {
                name: REQUEST_ID.to_owned(),
                value: format!("r{}", self.calls_sent),
            }],
            route: route.to_owned(),
            inner: !callers.is_empty(),
            depth: callers.len() as u32,
            callers: callers.iter().map(|name| (*name).to_owned()).collect(),
            ..call_request(self.calls_sent)
        };
        let source = CallSource::Link(LinkId(0));
        for step in self.calls.on_call(NOW, source, request, false) {
            match step {
                DestinationStep::Run { run, .. } => return Ok(run),
                DestinationStep::Respond { response, .. } => return Err(response.reason()),
                _ => {}
            }
        }
        panic!("the call waits");
    }

    fn finish(&mut self, run: RunId) {
        let response = HttpResponse::json(200, &());
        self.calls.on_result(NOW, run, Ok(response));
    }
}

/// Guards against calls of callers that pass for nested ones, and so before all others, by the form
/// of their identifier.
#[test]
fn a_nested_call_names_a_request_that_the_upstream_is_running() {
    let mut upstream = CallingUpstream::new();
    let run = upstream.send("search", &["portal"]).unwrap();
    let parent = upstream.calls.parent_of("r1.7f").unwrap();
    assert_eq!((parent.run, parent.depth), (run, 1));
    let callers: Vec<&str> = parent.callers.iter().map(|name| &**name).collect();
    assert_eq!(callers, ["portal", "booking"]);
    for other in ["r1", "r2.7f", ".7f", "r1.7f.9"] {
        assert_eq!(upstream.calls.parent_of(other), None, "{other}");
    }
    upstream.finish(run);
    assert_eq!(upstream.calls.parent_of("r1.7f"), None);
}

/// Guards against starts whose runs would lose their calls, and against refusals of calls that lose
/// none: those of other routes, and nested ones.
#[test]
fn calls_are_held_back_while_runs_of_their_route_lose_calls() {
    let mut upstream = CallingUpstream::new();
    let mut refused = 0;
    for _ in 0..50 {
        match upstream.send("search", &[]) {
            Ok(run) => {
                let service = "payments".into();
                let end = NestedEnd {
                    run,
                    service,
                    lacked_room: true,
                };
                upstream.calls.on_nested_end(NOW, end);
                upstream.finish(run);
            }
            Err(reason) => {
                assert_eq!(reason, CallReason::DependencyOverloaded);
                refused += 1;
            }
        }
        let run = upstream.send("book", &[]).unwrap();
        upstream.finish(run);
        let run = upstream.send("search", &["portal"]).unwrap();
        upstream.finish(run);
    }
    assert!(refused > 10, "{refused} refused");
    assert_eq!(upstream.calls.held_back(), refused);
    assert_eq!(upstream.calls.throttled_routes(NOW), 1);
}

/// Guards against nested calls that outlast the caller above them, or whose rank is that of another
/// route than the caller's.
#[test]
fn a_nested_call_has_the_deadline_and_the_rank_of_the_run_that_makes_it() {
    let mut simulation = CallSimulation::new(WireClass::Lookup);
    let mut request = booking_request(Vec::new(), "crew 7");
    let now = simulation.now;
    let parent = ParentRun {
        run: RunId(1),
        depth: 1,
        rank: 4,
        deadline: now + Duration::from_millis(120),
        callers: vec!["portal".into(), "booking".into()],
    };
    request.set_parent(now, parent);
    let (_, steps) = simulation.entry.open(now, request, LocalRuns::default());
    let call = steps.into_iter().find_map(|step| match step {
        EntryStep::Send {
            body: Body::Call(call),
            ..
        } => Some(call),
        _ => None,
    });
    let call = call.unwrap();
    assert_eq!((call.rank, call.depth, call.inner), (4, 2, true));
    assert_eq!(call.deadline_us, 120_000);
    assert_eq!(call.callers, ["portal", "booking"]);
}
