//! Idle clients that exhaust the descriptors of the router.

use crate::support::*;
use std::time::{Duration, Instant};

/// Idle clients take every descriptor while discovery is down. It is followed again within a second
/// of its return, and a client with an open request is served.
#[test]
fn discovery_is_followed_on_its_return_with_no_descriptor_left() {
    for (descriptors, clients) in [(48, 300), (320, 700)] {
        follow_returning_discovery_without_descriptors(descriptors, clients);
    }
}

fn follow_returning_discovery_without_descriptors(descriptors: u32, clients: usize) {
    let mut environment = TestEnvironment::new().with_machine_limit("sockets", 1024);
    let router = environment.spawn(&format!("ulimit -n {descriptors};"));
    let discovery = environment.discovery.accept_watch();
    assert_eq!(discovery.after_revision, 1);
    let mut busy = router.connect();
    busy.send_request(1, "page", "", b"");
    let mut server = environment.server("c1").accept();
    let request = server.read_request();
    let at = environment.discovery.stop_listening();
    drop(discovery);
    // They reconnect whenever they are evicted.
    let idle_clients = IdleClients::connect(clients, router.address(), true);
    wait_until("descriptors to run out", || {
        router.open_descriptors() + 2 >= descriptors as usize
    });
    wait_until("reconnections of evicted clients", || {
        idle_clients.established() as usize >= clients * 2 / 3
    });
    wait_for(1000 * MS);
    let returned = Instant::now();
    environment.discovery.listen_again(at);
    let mut discovery = environment.discovery.accept_watch();
    assert!(
        returned.elapsed() < 1000 * MS,
        "followed {:?} after its return",
        returned.elapsed()
    );
    assert_eq!(discovery.after_revision, 1);
    discovery.send("1\n");
    server.respond(&request, "OK", HIT_FIELDS, b"x");
    assert_eq!(busy.read_answer_word(), "ACK");
    // A reload that names another discovery service takes effect too.
    environment.move_discovery();
    environment.write_configuration();
    router.reload();
    let reloaded = Instant::now();
    assert_eq!(environment.discovery.accept_watch().after_revision, 1);
    assert!(
        reloaded.elapsed() < 1000 * MS,
        "the new discovery service was followed {:?} after SIGHUP",
        reloaded.elapsed()
    );
    drop(idle_clients);
}

/// A failed accept does not delay requests on established connections.
#[test]
fn open_connections_are_served_while_accept_fails() {
    let mut environment = all_servers_draining().with_machine_limit("sockets", 1024);
    // More idle clients than are evicted at once: those with a recent request stay.
    let router = environment.spawn("ulimit -n 96;");
    router.wait_until_ready();
    let mut busy = router.connect();
    busy.send_request(1, "page", "", b"");
    assert_eq!(busy.read_answer_word(), "NAK");
    let idle_clients = IdleClients::connect(300, router.address(), false);
    wait_until("descriptors to run out", || {
        idle_clients.established() >= 200
    });
    let mut latencies: Vec<Duration> = Vec::new();
    for tag in 2..=400 {
        let sent_at = Instant::now();
        busy.send_request(tag, "page", "", b"");
        assert_eq!(busy.read_answer_word(), "NAK");
        latencies.push(sent_at.elapsed());
    }
    // The router pauses for 20 ms after a failed accept, which is to delay new connections only.
    let delayed = latencies
        .iter()
        .filter(|latency| **latency >= 19 * MS)
        .count();
    assert!(
        delayed < 10,
        "{delayed} of {} were delayed",
        latencies.len()
    );
    drop(idle_clients);
}
