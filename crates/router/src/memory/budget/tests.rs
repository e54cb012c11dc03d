use super::*;

const PROCESS_MEMORY: u64 = 4000;
const LIMIT: usize = 3000;

fn budget_with_1000_allocated() -> Rc<MemoryBudget> {
    MemoryBudget::with_meter(PROCESS_MEMORY, || 1000)
}

#[test]
fn allocated_and_reserved_bytes_count_together() {
    let budget = budget_with_1000_allocated();
    assert_eq!(budget.limit(), LIMIT);
    assert!(budget.has_room(2000) && !budget.has_room(2001));
    let reservation = budget.reserve(500);
    assert!(budget.has_room(1500));
    assert_eq!(budget.excess_with(1600), 100);
    drop(reservation);
    assert!(budget.has_room(2000));
}

#[test]
fn an_answer_has_room_where_memory_was_reserved_for_it() {
    let budget = budget_with_1000_allocated();
    let (first, other) = (budget.reserve(1000), budget.reserve(1000));
    assert!(!budget.has_room(1));
    assert!(first.exchange(1000));
    assert!(!other.exchange(2001));
    assert_eq!((first.bytes(), budget.reserved()), (0, 0));
}

#[test]
fn a_reservation_ends_once() {
    let budget = budget_with_1000_allocated();
    let _other = budget.reserve(300);
    let reservation = budget.reserve(500);
    reservation.release();
    reservation.release();
    drop(reservation);
    assert_eq!(budget.reserved(), 300);
}
