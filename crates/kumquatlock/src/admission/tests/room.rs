//! Load pattern: more calls than the upstream can run, from several accounts, of several ranks and
//! from runs of other services.

use super::*;

const MILLISECOND: Duration = Duration::from_millis(1);
/// Calls per second of an account that asks for more than its share, and of the other four.
const HOT_INTERVAL: u64 = 5;
const LIGHT_INTERVAL: u64 = 80;

/// Plays 10 s of calls to an upstream that runs 80 calls per second. Returns the shares of its calls
/// that are served for the hot account and for the others.
fn served_shares(knows_accounts: bool) -> (f64, f64) {
    let service = Duration::from_millis(50);
    let mut queue = queue(4);
    let mut running: Vec<(Timestamp, AdmissionTicket)> = Vec::new();
    let mut accounts = indexmap::IndexMap::new();
    let (mut offered, mut served) = ([0; 2], [0; 2]);
    for step in 0..10_000 {
        let now = LATER + MILLISECOND * step as u32;
        let mut started = Vec::new();
        let ended = running.extract_if(.., |(end, _)| *end <= now);
        for (_, ticket) in ended.collect::<Vec<_>>() {
            served[accounts[&ticket]] += 1;
            started.push(queue.finished(now, ticket, ServiceOutcome::Answered));
        }
        started.push(queue.poll(now));
        for account in 0..5 {
            let interval = match account {
                0 => HOT_INTERVAL,
                _ => LIGHT_INTERVAL,
            };
            if (step + account * 7) % interval != 0 {
                continue;
            }
            let class = usize::from(account > 0);
            offered[class] += 1;
            let priority = RoutePriority {
                account: knows_accounts.then_some(AccountHash(account)),
                ..RoutePriority::default()
            };
            let deadline = now + Duration::from_millis(400);
            match queue.offer_with_priority(now, RequestClass::Lookup, priority, deadline) {
                AdmissionDecision::Start(ticket) => {
                    accounts.insert(ticket, class);
                    started.push(QueueStep::Start(ticket));
                }
                AdmissionDecision::Queued { ticket, .. } => {
                    accounts.insert(ticket, class);
                }
                AdmissionDecision::Refused(_) => {}
            }
        }
        for step in started {
            if let QueueStep::Start(ticket) = step {
                running.push((now + service, ticket));
            }
        }
    }
    let share = |class: usize| f64::from(served[class]) / f64::from(offered[class]);
    (share(0), share(1))
}

/// Guards against an account whose requests crowd out those of all others.
#[test]
fn a_hot_account_does_not_starve_the_others() {
    let (_, plain) = served_shares(false);
    let (hot, light) = served_shares(true);
    // The others ask for less than their share, so they are served; the rest is the hot one's.
    assert!(light > 0.9, "{light} of the light accounts are served");
    assert!(plain < 0.7, "{plain} without accounts: no overload");
    assert!(hot > 0.1, "{hot} of the hot account is served");
}

/// Guards against a call that is held until its deadline although more urgent calls have come before
/// it and it can't be answered in time any more.
#[test]
fn a_call_that_has_become_hopeless_is_refused_at_once() {
    let (mut queue, _, now) = queue_with_full_slots(4, 100);
    let priority = |rank| RoutePriority {
        rank,
        ..RoutePriority::default()
    };
    let deadline = now + Duration::from_millis(200);
    let offered = queue.offer_with_priority(now, RequestClass::Lookup, priority(2), deadline);
    let AdmissionDecision::Queued { ticket, .. } = offered else {
        panic!("{offered:?}");
    };
    assert_eq!(queue.poll(now), QueueStep::Idle);
    for _ in 0..6 {
        let urgent = priority(1);
        let offered = queue.offer_with_priority(now, RequestClass::Lookup, urgent, now + SECOND);
        assert!(matches!(
            offered,
            AdmissionDecision::Queued { evicted: None, .. }
        ));
    }
    let refuse = QueueStep::Refuse(ticket, CallReason::Overloaded);
    assert_eq!(queue.poll(now), refuse);
    assert_eq!(queue.poll(now), QueueStep::Idle);
}

/// Guards against a nested call that is refused, or waits, for calls of callers.
#[test]
fn a_nested_call_evicts_calls_of_callers_and_runs_first() {
    let (mut queue, running, now) = queue_with_full_slots(4, 10);
    let deadline = now + SECOND * 5;
    let waiting = (0..20).map(|_| queue.offer(now, RequestClass::Lookup, deadline));
    let queued = waiting.filter(|offer| matches!(offer, AdmissionDecision::Queued { .. }));
    assert!(queued.count() > 4);
    let nested = RoutePriority {
        depth: 1,
        rank: 9,
        ..RoutePriority::default()
    };
    let offered = queue.offer_with_priority(now, RequestClass::Internal, nested, deadline);
    let AdmissionDecision::Queued { ticket, evicted } = offered else {
        panic!("{offered:?}");
    };
    assert!(evicted.is_some());
    let step = queue.finished(now, running[0], ServiceOutcome::Ended);
    assert_eq!(step, QueueStep::Start(ticket));
}

/// Guards against calls of callers that take all slots while runs of this upstream wait for runs
/// whose calls need some, and against slots that stay empty when no such calls come any more.
#[test]
fn slots_are_kept_for_nested_calls_while_runs_wait_for_them() {
    let mut queue = queue(8);
    queue.keep_slots(LATER, 2);
    let deadline = LATER + SECOND * 9;
    let offers = (0..8).map(|_| queue.offer(LATER, RequestClass::Lookup, deadline));
    let started = offers.filter(|offer| matches!(offer, AdmissionDecision::Start(_)));
    assert_eq!(started.count(), 6);
    for (depth, starts) in [(1, 1), (2, 1)] {
        let nested = RoutePriority {
            depth,
            ..RoutePriority::default()
        };
        let offers = (0..2)
            .map(|_| queue.offer_with_priority(LATER, RequestClass::Internal, nested, deadline));
        let started = offers.filter(|offer| matches!(offer, AdmissionDecision::Start(_)));
        assert_eq!(started.count(), starts, "depth {depth}");
    }
    let later = LATER + SECOND * 3;
    let mut queue = queue_of_kept_slots();
    let offers = (0..8).map(|_| queue.offer(later, RequestClass::Lookup, later + SECOND));
    let started = offers.filter(|offer| matches!(offer, AdmissionDecision::Start(_)));
    assert_eq!(started.count(), 8);
}

fn queue_of_kept_slots() -> AdmissionQueue {
    let mut queue = queue(8);
    queue.keep_slots(LATER, 2);
    queue
}
