//! Memory that must not grow with what bad clients do.

use crate::support::*;
use std::io::{Read, sink};
use std::net::TcpListener;
use std::thread::spawn;

/// The number of open requests that a connection may carry.
const OPEN_REQUESTS: u64 = 32;
/// Requests withdrawn before the first measurement, by which every page of the buffers and tables
/// whose sizes are bounded has been used once.
const WARM_UP_ROUNDS: u64 = 2400;
const ROUNDS: u64 = 1600;
/// The limit for the growth of memory per withdrawn request. A timer alone takes more.
const MAX_BYTES_PER_REQUEST: u64 = 16;

/// Accepts connections and reads from them without an answer.
fn discard_requests(listener: TcpListener) {
    spawn(move || {
        listener.set_nonblocking(false).unwrap();
        for mut stream in listener.incoming().flatten() {
            spawn(move || drop(std::io::copy(&mut stream.by_ref(), &mut sink())));
        }
    });
}

/// Sends as many requests as the connection may carry and withdraws them all, again and again.
/// After each round the router has read them.
fn withdraw_requests(client: &mut TestClient, rounds: u64, next_tag: &mut u64) {
    for _ in 0..rounds {
        let tags = *next_tag..*next_tag + OPEN_REQUESTS;
        for tag in tags.clone() {
            // All for one object: the access history has a bound of its own.
            let fields = format!("i={tag:016x},d=60000,o=00000000000000b1,lot=7,m=9");
            client.send_raw_request(tag, "page", fields, b"");
        }
        tags.clone().for_each(|tag| client.abort(tag));
        assert_eq!(client.health(), "GREEN");
        *next_tag = tags.end;
    }
}

/// Guards against a router that is killed for its memory: one client withdrew requests with long
/// deadlines, and something of each was kept until its deadline.
#[test]
fn memory_does_not_grow_with_the_requests_that_a_client_withdraws() {
    let (environment, router, mut client) = start_router();
    for server in &environment.servers {
        discard_requests(server.listener.try_clone().unwrap());
    }
    let mut next_tag = 10_000;
    withdraw_requests(&mut client, WARM_UP_ROUNDS, &mut next_tag);
    let before_kb = router.anonymous_kb();
    withdraw_requests(&mut client, ROUNDS, &mut next_tag);
    let growth_kb = router.anonymous_kb().saturating_sub(before_kb);
    let limit_kb = ROUNDS * OPEN_REQUESTS * MAX_BYTES_PER_REQUEST / 1024;
    assert!(
        growth_kb < limit_kb,
        "memory grew by {growth_kb} KB, over {limit_kb} KB, from {before_kb} KB"
    );
}
