//! Load pattern: a service is overloaded for seconds, and refused callers have two further chances.

use super::*;

const LEFT: Duration = Duration::from_secs(5);

fn pacing(calls: usize, refused: usize) -> ReturnPacing {
    let mut pacing = ReturnPacing::default();
    for call in 0..calls {
        let now = Timestamp::from_millis(60_000 + call as u64);
        pacing.record(now, call * refused / calls != (call + 1) * refused / calls);
    }
    pacing
}

fn delays(pacing: &ReturnPacing, left: Duration) -> (Duration, Duration) {
    let mut random = SmallRng::seed_from_u64(7);
    let delays: Vec<_> = (0..1_000)
        .map(|_| pacing.delay(&mut random, left))
        .collect();
    (*delays.iter().min().unwrap(), *delays.iter().max().unwrap())
}

/// Guards against callers that come back during the same overload until they have no chance left,
/// and against ones that come back too late for another try.
#[test]
fn callers_spread_over_their_time_while_most_calls_are_refused() {
    let (min, max) = delays(&pacing(200, 200), LEFT);
    assert!(
        min >= LEFT / 10 && max <= LEFT * 3 / 10,
        "{min:?} to {max:?}"
    );
    assert!(max - min > LEFT / 6, "{min:?} to {max:?}");
}

/// Guards against callers that wait for long because of a few refusals in a short peak.
#[test]
fn callers_return_soon_while_few_calls_are_refused() {
    let (min, max) = delays(&pacing(200, 4), LEFT);
    assert!(min >= Duration::from_millis(150), "{min:?}");
    assert!(max <= Duration::from_millis(500), "{max:?}");
}

/// Guards against a long delay for callers that have little time.
#[test]
fn callers_with_little_time_return_soon() {
    let (_, max) = delays(&pacing(200, 200), Duration::from_millis(600));
    assert!(max <= Duration::from_millis(450), "{max:?}");
}
