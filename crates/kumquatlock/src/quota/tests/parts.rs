//! The parts by themselves.

use std::time::Duration;

use crate::core::Timestamp;
use crate::quota::{
    AccountId, AskSession, GrantCapacity, HeldTokens, ParentShare, QuotaGranter, QuotaSettings,
    QuotaShares, ShareStart, WindowLedger,
};

/// Guards against shares that are together more than the limit, for any size of the mesh.
#[test]
fn shares_are_together_at_most_the_limit() {
    for limit in [0, 1, 19, 38, 72, 500, 4_000, 1_000_000] {
        for nodes in [1, 30, 82, 300, 19_000] {
            for voters in [1, 3, 5, 9] {
                let shares = QuotaShares::divide(limit, nodes, voters);
                let sum = shares.node * nodes as u64 + shares.voter * voters as u64 + shares.pool;
                assert!(sum <= limit, "{shares:?} of {limit} for {nodes} nodes");
            }
        }
    }
}

/// Guards against the two users of one part of the limit: nodes that know fewer nodes than the
/// leader.
#[test]
fn nodes_and_leader_never_use_the_same_part() {
    for limit in 1..5_000 {
        let known = QuotaShares::divide(limit, 80, 5);
        let grown = QuotaShares::divide(limit, 100, 5);
        let sum = known.node * 80 + grown.node * 20 + grown.voter * 5 + grown.pool;
        assert!(sum <= limit, "{known:?} and {grown:?} of {limit}");
    }
}

/// Guards against a refund that makes room for a request while its own token still counts.
#[test]
fn refund_never_shortens_the_count_of_others() {
    let window = Duration::from_secs(5);
    let mut ledger = WindowLedger::default();
    ledger.spend(Timestamp::from_millis(0), 1, window);
    ledger.spend(Timestamp::from_millis(3_000), 1, window);
    ledger.refund(1);
    assert_eq!(ledger.spent(Timestamp::from_millis(4_000)), 1);
    assert_eq!(ledger.spent(Timestamp::from_millis(7_900)), 1);
    assert_eq!(ledger.spent(Timestamp::from_millis(8_100)), 0);
}

/// Guards against tokens that are spent in another order than they expire.
#[test]
fn tokens_that_expire_first_are_taken_first() {
    let mut held = HeldTokens::default();
    held.add(Timestamp(300), 2);
    held.add(Timestamp(100), 1);
    held.add(Timestamp(300), 1);
    let taken = held.take(2);
    let taken: Vec<_> = taken.batches().collect();
    assert_eq!(taken, [(Timestamp(100), 1), (Timestamp(300), 1)]);
    assert_eq!(held.take_expired(Timestamp(300)).count(), 2);
    assert!(held.is_empty());
}

/// Guards against two voters with the share of one: a voter that joins, or whose set becomes
/// smaller, waits until a former holder can't use the share any more; a larger set counts at once.
#[test]
fn larger_share_waits_for_former_holders() {
    let settings = QuotaSettings::default();
    let start = Timestamp::from_millis(1_000);
    let mut share = ParentShare::new(start, ShareStart::Joining);
    let mut now = start;
    while now < start + settings.takeover_time() {
        share.update(now, &settings, Some(5), Some(now));
        assert_eq!(share.voters(now, &settings), None);
        now = now + Duration::from_millis(100);
    }
    share.update(now, &settings, Some(5), Some(now));
    assert_eq!(share.voters(now, &settings), Some(5));
    share.update(now, &settings, Some(7), Some(now));
    assert_eq!(share.voters(now, &settings), Some(7));
    share.update(now, &settings, Some(5), Some(now));
    assert_eq!(share.voters(now, &settings), Some(7));
    share.update(now, &settings, None, Some(now));
    assert_eq!(share.voters(now, &settings), None);
}

/// Guards against a share that a voter goes on using after it was replaced without knowing it, and
/// against one that is used twice by two processes of a voter. A founder has no one to wait for.
#[test]
fn share_needs_a_current_voter_set() {
    let settings = QuotaSettings::default();
    let start = Timestamp::from_millis(1_000);
    let mut share = ParentShare::new(start, ShareStart::Restarted(5));
    share.update(start, &settings, Some(5), Some(start));
    assert_eq!(share.voters(start, &settings), None);
    let now = start + settings.settle_time();
    assert_eq!(share.voters(now, &settings), None);
    share.update(now, &settings, Some(5), Some(now));
    assert_eq!(share.voters(now, &settings), Some(5));
    assert_eq!(share.voters(now + settings.contact_life, &settings), None);
    let mut share = ParentShare::new(start, ShareStart::Founding);
    share.update(start, &settings, None, None);
    share.update(start, &settings, Some(3), Some(start));
    assert_eq!(share.voters(start, &settings), Some(3));
}

/// Guards against tokens whose life is prolonged by a late answer: the granter counts them as spent
/// from their expiry on, which it counts from the ask or later.
#[test]
fn life_of_a_token_begins_with_the_ask() {
    let settings = QuotaSettings::default();
    let account = AccountId::of("retail");
    let mut session = AskSession::new(1);
    let mut granter = QuotaGranter::new(settings);
    let asked_at = Timestamp::from_millis(1_000);
    let ask = session.ask(asked_at, [(account, 1, 0)].into_iter());
    let granted_at = Timestamp::from_millis(1_400);
    assert!(granter.accept(granted_at, &"node", &ask));
    let capacity = GrantCapacity::Tokens(10);
    let items = granter.grant(granted_at, &"node", account, capacity, 1, 0);
    let grant = super::super::granter::grant_message((ask.session, ask.number), items);
    let received = session.receive(&grant);
    assert_eq!(received[0].expires_at, asked_at + settings.token_life);
}

/// Guards against reports that are applied twice, or to another session: a duplicate ask, and a
/// requester that has begun a new session.
#[test]
fn reports_count_once_and_in_their_session() {
    let settings = QuotaSettings::default();
    let account = AccountId::of("retail");
    let mut session = AskSession::new(1);
    let mut granter = QuotaGranter::new(settings);
    let now = Timestamp::from_millis(1_000);
    let capacity = GrantCapacity::Tokens(10);
    let ask = session.ask(now, [(account, 4, 0)].into_iter());
    assert!(granter.accept(now, &"node", &ask));
    assert_eq!(
        granter.grant(now, &"node", account, capacity, 4, 0).len(),
        1
    );
    session.report(account).returned = 2;
    let report = session.ask(now, std::iter::empty());
    assert!(granter.accept(now, &"node", &report));
    assert!(!granter.accept(now, &"node", &report));
    assert_eq!(granter.committed(now, account), 2);
    session.restart();
    session.report(account).returned = 2;
    let stale = session.ask(now, std::iter::empty());
    assert!(granter.accept(now, &"node", &stale));
    assert_eq!(granter.committed(now, account), 2);
    let settled = now + settings.settle_time() + Duration::from_millis(100);
    granter.tick(now + settings.token_life);
    assert_eq!(granter.committed(settled, account), 0);
    granter.tick(settled);
    assert_eq!(granter.sizes().0, 0);
}
