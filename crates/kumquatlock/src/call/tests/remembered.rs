//! Load pattern: a node refuses bookings for a long time, and then has room again.

use std::time::Duration;

use kumquatlock_wire::call::CallRequest;
use kumquatlock_wire::distribution::WireClass;

use super::attempt_counters::{destination, request};
use super::simulation::endpoint;
use crate::call::{CallSource, DestinationStep};
use crate::claim::ClaimSettings;
use crate::core::Timestamp;
use crate::http::HttpResponse;
use crate::transport::LinkId;

/// Attempts that fill the table of outcomes.
const MAX_ATTEMPTS: u64 = 100;

fn booking(call_id: u64) -> CallRequest {
    request(call_id, 1, WireClass::AtMostOnce)
}

/// Returns whether a booking runs after as many others, run or refused on arrival, as the table
/// holds, and as much time as those that ran are remembered.
fn runs_after(is_refused: bool) -> bool {
    let start = Timestamp::from_millis(1);
    let settings = ClaimSettings {
        max_keys: MAX_ATTEMPTS as usize,
        ..ClaimSettings::default()
    };
    let source = CallSource::Link(LinkId(1));
    let mut calls = destination(start, settings.clone());
    for call_id in 1..=MAX_ATTEMPTS {
        // What is read after a freeze is refused before it is admitted.
        let steps = calls.on_call(start, source, booking(call_id), is_refused);
        for step in steps {
            if let DestinationStep::Run { run, .. } = step {
                calls.on_result(start, run, Ok(HttpResponse::default()));
            }
        }
    }
    let later = start + settings.retention * 2 + Duration::from_secs(2);
    calls.on_tick(later);
    calls.on_announce(later, endpoint());
    let steps = calls.on_call(later, source, booking(MAX_ATTEMPTS + 1), false);
    let mut steps = steps.iter();
    steps.any(|step| matches!(step, DestinationStep::Run { .. }))
}

/// Guards against bookings that ran and keep later ones out for good.
#[test]
fn bookings_that_ran_make_room_for_later_ones() {
    assert!(runs_after(false));
}

/// Guards against a node that refuses all bookings because it remembers those that it refused on
/// arrival for longer than those that ran.
#[test]
fn bookings_refused_on_arrival_make_room_for_later_ones() {
    assert!(runs_after(true));
}
