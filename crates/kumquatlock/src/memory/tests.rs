//! Tests of the budget of held bytes.

use bytes::Bytes;

use super::*;

fn budget() -> MemoryBudget {
    MemoryBudget::new(ProcessLimits::new(64, 0))
}

/// Guards against bytes that count as held after their last clone is gone, and against those that
/// count no more while a clone is in use.
#[test]
fn content_is_charged_until_its_last_clone_is_dropped() {
    let budget = budget();
    let content = budget.charge(10).hold(Bytes::from_static(b"content"));
    let part = content.slice(1..3);
    drop(content);
    assert_eq!(budget.held_bytes(), 10);
    drop(part);
    assert_eq!(budget.held_bytes(), 0);
}

/// Guards against large bodies that leave no room for small requests.
#[test]
fn large_bodies_leave_room_for_small_ones() {
    let budget = budget();
    let large = budget.limit_for(HoldSize::Large);
    let mut first = budget.empty_charge();
    assert!(budget.try_raise(&mut first, large, HoldSize::Large));
    let mut second = budget.empty_charge();
    assert!(!budget.try_raise(&mut second, 1, HoldSize::Large));
    assert_eq!(second.bytes(), 0);
    let rest = budget.limit_bytes() - large;
    assert!(rest > 0 && budget.try_raise(&mut second, rest, HoldSize::Small));
    assert!(!budget.is_exceeded());
    second.resize(rest + 1);
    assert!(budget.is_exceeded());
}
