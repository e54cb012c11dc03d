use super::*;
use bytes::Bytes;
use chalkhall::interface::{Load, Outcome, Remark};

const MEMORY: u64 = 8_000_000;

/// An account that has learned from small answers: 100 bytes for a stated KB.
fn account() -> MemoryAccount {
    let mut account = MemoryAccount::new(MEMORY);
    for _ in 0..2000 {
        account.record_answer(1.0, 100);
    }
    account
}

/// An answer with a body of this length.
fn answer(body_length: usize) -> Answer {
    Answer {
        id: Bytes::new(),
        outcome: Outcome::Served,
        is_not_modified: false,
        remark: Remark::None,
        first_byte: None,
        load: Load::default(),
        etag: None,
        created_at_unix_ms: None,
        body: vec![0; body_length].into(),
        body_length,
    }
}

#[test]
fn an_account_without_experience_expects_the_largest_body() {
    let account = MemoryAccount::new(MEMORY);
    let held = account.held_with(10, 0.0);
    assert_eq!(held, REQUEST_BYTES + 10 + MAX_BODY_BYTES as usize);
}

#[test]
fn bodies_answers_and_requests_count_until_they_are_released() {
    let mut account = account();
    account.open_request(48_000);
    let reserved = account.reserve(50.0);
    account.add_unwritten(1000);
    let expected = reserved.bytes();
    assert_eq!(account.held(), REQUEST_BYTES + 48_000 + expected + 1000);
    assert!((5000..5010).contains(&expected), "{expected}");
    reserved.release();
    account.remove_unwritten(1000);
    account.close_request(48_000);
    assert_eq!(account.held(), 0);
}

#[test]
fn a_large_request_is_admitted_by_its_stated_size_and_not_by_the_mean() {
    let mut account = account();
    let small = account.held_with(0, 1.0);
    let large = account.held_with(0, 2000.0);
    assert!(large > small + 190_000, "{large}, {small}");
    assert!(large <= REQUEST_BYTES + MAX_BODY_BYTES as usize);
    let mut reservations = Vec::new();
    while account.held_with(0, 2000.0) <= (MEMORY / 2) as usize {
        reservations.push(account.reserve(2000.0));
    }
    assert!(!account.admits(0, 2000.0));
    assert_eq!(account.report(0)["rejected"], 1);
}

#[test]
fn a_larger_proportion_of_bytes_counts_at_once() {
    let mut account = account();
    account.record_answer(10.0, 10_000);
    let expected = account.held_with(0, 100.0) - REQUEST_BYTES;
    assert!(expected >= 100_000, "{expected}");
    account.record_answer(0.001, 240_000);
    let bounded = account.held_with(0, 100.0) - REQUEST_BYTES;
    assert_eq!(bounded, 102_400, "no more than the protocol allows");
}

#[test]
fn an_answer_beyond_the_limit_is_dropped_although_little_was_expected() {
    let mut account = account();
    let _reservation = account.reserve(0.01);
    let largest = answer(MAX_BODY_BYTES as usize);
    while account.admits_answer(&largest) {
        account.add_unwritten(MAX_BODY_BYTES as usize);
    }
    assert!(account.present() <= (MEMORY / 2) as usize);
    assert_eq!(account.report(0)["dropped_answers"], 1);
    account.remove_unwritten(MAX_BODY_BYTES as usize);
    assert!(account.admits_answer(&largest));
}

#[test]
fn an_answer_without_a_body_is_admitted_however_much_is_held() {
    let mut account = account();
    account.add_unwritten(MEMORY as usize);
    assert!(account.admits_answer(&answer(0)));
    assert!(!account.admits_answer(&answer(1)));
}

#[test]
fn an_answer_whose_body_was_discarded_is_dropped() {
    let mut account = account();
    let discarded = Answer {
        body: Bytes::new(),
        ..answer(100)
    };
    assert!(!account.admits_answer(&discarded));
    assert_eq!(account.report(0)["dropped_answers"], 1);
}
