//! Idle clients that hold every descriptor the router may open.

use crate::support::*;
use std::time::{Duration, Instant};

/// Clients that rest take every descriptor while discovery is down: it is followed again within a
/// second of its return, and who has something open is served meanwhile.
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
    // They come again as often as they are let go of.
    let idle_clients = IdleClients::connect(clients, router.address(), true);
    wait_until("no descriptor left", || {
        router.open_descriptors() + 2 >= descriptors as usize
    });
    wait_until("more than there are", || {
        idle_clients.established() as usize >= clients * 2 / 3
    });
    wait_for(1000 * MS);
    let back = Instant::now();
    environment.discovery.listen_again(at);
    let mut discovery = environment.discovery.accept_watch();
    assert!(
        back.elapsed() < 1000 * MS,
        "followed {:?} after its return",
        back.elapsed()
    );
    assert_eq!(discovery.after_revision, 1);
    discovery.send("1\n");
    server.respond(&request, "OK", HIT_FIELDS, b"x");
    assert_eq!(busy.read_answer_word(), "ACK");
    // And a new file that moves it is read.
    environment.move_discovery();
    environment.write_configuration();
    router.reload();
    let moved = Instant::now();
    assert_eq!(environment.discovery.accept_watch().after_revision, 1);
    assert!(
        moved.elapsed() < 1000 * MS,
        "moved {:?} after SIGHUP",
        moved.elapsed()
    );
    drop(idle_clients);
}

/// After a failed accept nobody is kept from saying what he has to: requests on open connections go
/// on at their pace.
#[test]
fn open_connections_are_served_while_accept_fails() {
    let mut environment = all_servers_draining().with_machine_limit("sockets", 1024);
    // More rest than are let go of at once: who has asked for something stays.
    let router = environment.spawn("ulimit -n 96;");
    router.wait_until_ready();
    let mut busy = router.connect();
    busy.send_request(1, "page", "", b"");
    assert_eq!(busy.read_answer_word(), "NAK");
    let idle_clients = IdleClients::connect(300, router.address(), false);
    wait_until("no descriptor left", || idle_clients.established() >= 200);
    let mut took: Vec<Duration> = Vec::new();
    for tag in 2..=400 {
        let sent_at = Instant::now();
        busy.send_request(tag, "page", "", b"");
        assert_eq!(busy.read_answer_word(), "NAK");
        took.push(sent_at.elapsed());
    }
    // That long it is waited after an accept that failed: by the connections that come, by nobody
    // else.
    let held_up = took.iter().filter(|took| **took >= 19 * MS).count();
    assert!(held_up < 10, "{held_up} of {} were held up", took.len());
    drop(idle_clients);
}
