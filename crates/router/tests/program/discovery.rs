//! The watch of the discovery service: gaps, silence, outages, and another service after a reload.

use crate::deployments::{multi_tenant_environment, short_deadline_environment};
use crate::support::*;
use serde_json::json;
use std::time::{Duration, Instant};

#[test]
fn discovery_events_are_applied_in_order_without_gaps() {
    let mut environment = TestEnvironment::new().with_server("c2", "cache");
    let router = environment.start();
    let mut discovery = environment.discovery.accept_watch();
    assert_eq!(discovery.after_revision, 1);
    discovery.send(endpoints_event(
        2,
        &[environment.server("c1").entry("leaving")],
    ));
    drop(discovery);
    let mut discovery = environment.discovery.accept_watch();
    assert_eq!(discovery.after_revision, 2, "after a break");
    // One that came before, then one past a gap.
    discovery.send(endpoints_event(
        2,
        &[environment.server("c1").entry("active")],
    ));
    discovery.send(endpoints_event(4, &[]));
    let mut discovery = environment.discovery.accept_watch();
    assert_eq!(discovery.after_revision, 2, "after a gap");
    let said = Instant::now();
    discovery.send("7\n");
    let mut discovery = environment.discovery.accept_watch();
    assert_eq!(discovery.after_revision, 2, "after a number ahead");
    assert!(said.elapsed() < Duration::from_secs(2), "not for silence");
    discovery.send("{nonsense\n");
    let mut discovery = environment.discovery.accept_watch();
    assert_eq!(discovery.after_revision, 2, "after nonsense");
    // An event that cannot be used hides those after it no longer than once.
    let odd = json!({"rev": 3, "pool": {"hosts": [{"host": "c9"}]}});
    discovery.send(format!("{odd}\n"));
    let mut discovery = environment.discovery.accept_watch();
    assert_eq!(
        discovery.after_revision, 2,
        "after an event that cannot be read"
    );
    discovery.send(format!("{odd}\n{}", endpoints_event(4, &[])));
    drop(discovery);
    assert_eq!(environment.discovery.accept_watch().after_revision, 4);
    let mut client = router.connect();
    // All go to the cache that does not drain, whichever the hash would take.
    client.send_request(1, "page", "", b"");
    let mut server = environment.server("c2").accept();
    for tag in 2..=9 {
        server.respond_hit(b"x");
        assert_eq!(client.read_answer_word(), "ACK");
        client.send_request(tag, "page", "", b"");
    }
    server.respond_hit(b"x");
}

#[test]
fn silent_discovery_is_reconnected() {
    let mut environment = TestEnvironment::new();
    let _router = environment.start();
    let _silent = environment.discovery.accept_watch();
    assert_eq!(environment.discovery.accept_watch().after_revision, 1);
}

/// Numbers that stay behind, events that were told before, half lines: a discovery service that
/// goes on like this holds back as much as a silent one.
#[test]
fn discovery_without_new_events_is_reconnected() {
    let mut environment = TestEnvironment::new();
    let _router = environment.start();
    let old = endpoints_event(1, &[]);
    for words in ["0\n", &old, "{\"rev\":"] {
        let mut discovery = environment.discovery.accept_watch();
        assert_eq!(discovery.after_revision, 1);
        let begun = Instant::now();
        wait_until("a watch anew", || {
            let _ = discovery.try_send(words);
            wait_for(50 * MS);
            environment.discovery.has_pending_watch()
        });
        assert!(
            begun.elapsed() < 2600 * MS,
            "{words:?}: {:?}",
            begun.elapsed()
        );
    }
}

/// Discovery's descriptors are there before the first client is.
#[test]
fn discovery_that_is_down_at_the_start_is_followed_once_it_listens() {
    let mut environment = TestEnvironment::new();
    let at = unused_address();
    environment.file["board"] = json!(at.to_string());
    let router = environment.start();
    let mut client = router.connect();
    client.send_request(1, "page", "", b"");
    environment.server("c1").accept().respond_hit(b"x");
    assert_eq!(client.read_answer_word(), "ACK", "by the list of the start");
    let back = Instant::now();
    environment.discovery.listen_again(at);
    assert_eq!(environment.discovery.accept_watch().after_revision, 1);
    assert!(back.elapsed() < 1000 * MS, "{:?}", back.elapsed());
}

#[test]
fn a_purge_bounds_the_max_age_told_to_servers() {
    let mut environment = TestEnvironment::new();
    let router = environment.start();
    let mut discovery = environment.discovery.accept_watch();
    let purged = unix_ms();
    discovery.send(purge_event(2, purged));
    let mut client = router.connect();
    client.send_request(1, "page", "", b"");
    let mut server = environment.server("c1").accept();
    let (mut tag, mut request) = (1, server.read_request());
    wait_until("the purge", || {
        server.respond(&request, "OK", "tell=hit", b"x");
        assert_eq!(client.read_answer_word(), "ACK");
        tag += 1;
        client.send_request(tag, "page", "", b"");
        request = server.read_request();
        request.field("maxage") != "12000"
    });
    let oldest: u64 = request.field("maxage").parse().unwrap();
    assert!(oldest > 0 && unix_ms() - oldest >= purged, "{oldest}");
}

/// Nothing of an old file's discovery remains after a new one: not its connection, nor what it
/// still says.
#[test]
fn events_of_a_replaced_discovery_service_are_ignored() {
    for mut environment in [
        TestEnvironment::new(),
        short_deadline_environment(),
        multi_tenant_environment(),
    ] {
        environment.servers.push(FakeServer::new("c2", "cache"));
        let router = environment.start();
        let mut old = environment.discovery.accept_watch();
        let leaving = environment.server("c1").entry("leaving");
        environment.move_discovery();
        environment.write_configuration();
        router.reload();
        let mut new = environment.discovery.accept_watch();
        assert_eq!(new.after_revision, 1);
        // The old one goes on with another history of the same numbers.
        let mut took = true;
        wait_until("the old one's close", || {
            took = took && old.try_send(&endpoints_event(2, std::slice::from_ref(&leaving)));
            !took
        });
        new.send(endpoints_event(
            2,
            &[environment.server("c2").entry("leaving")],
        ));
        new.send("2\n");
        drop(new);
        assert_eq!(environment.discovery.accept_watch().after_revision, 2);
        let class = environment.file["settings"]["Classes"][0]["Name"]
            .as_str()
            .unwrap()
            .to_owned();
        let mut client = router.connect();
        for tag in 1..=4 {
            client.send_request(
                tag,
                &class,
                if class == "picture" {
                    "t=archive"
                } else {
                    "d=800"
                },
                b"",
            );
        }
        let mut server = environment.server("c1").accept();
        for _ in 1..=4 {
            server.respond_hit(b"x");
            assert_eq!(client.read_answer_word(), "ACK");
        }
        assert!(
            environment.server("c2").try_accept().is_none(),
            "sent to one that drains"
        );
    }
}

#[test]
fn a_reloaded_configuration_moves_to_its_discovery_service() {
    let mut environment = TestEnvironment::new().with_server("c2", "cache");
    let mut router = environment.start();
    // Silent, and in the middle of an event.
    let mut old = environment.discovery.accept_watch();
    old.send("{\"rev\":2,");
    // An event of the new file, one that both have, and one that the new discovery service alone
    // tells.
    environment.move_discovery();
    let leaving = endpoints_event(2, &[environment.server("c1").entry("leaving")]);
    environment.push_known_event(2, &leaving);
    environment.file["limits"]["sockets"] = json!(512);
    environment.write_configuration();
    let told = Instant::now();
    for _ in 0..3 {
        router.reload();
    }
    let discovery = environment.discovery.accept_watch();
    assert_eq!(discovery.after_revision, 2);
    assert!(
        told.elapsed() < Duration::from_millis(1500),
        "not for silence: {:?}",
        told.elapsed()
    );
    let mut client = router.connect();
    client.send_request(1, "page", "", b"");
    let mut server = environment.server("c2").accept();
    for tag in 2..=9 {
        server.respond_hit(b"x");
        assert_eq!(client.read_answer_word(), "ACK");
        client.send_request(tag, "page", "", b"");
    }
    router.terminate();
    router.wait_until_draining();
    // One that is faulty changes nothing.
    environment.file["board"] = json!("nowhere");
    environment.write_configuration();
    router.reload();
    server.respond_hit(b"x");
    assert_eq!(client.read_answer_word(), "ACK");
    let RouterExit { status, log } = router.wait_for_exit();
    assert!(status.success(), "{log}");
    assert!(
        log.contains("board is not an address") && log.contains("limits: a restart is needed"),
        "{log}"
    );
}
