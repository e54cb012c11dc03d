//! The watch of the discovery service: gaps, silence, outages, and moving to another service at a
//! reload.

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
    assert_eq!(
        discovery.after_revision, 2,
        "after a break of the connection"
    );
    // An event that was already applied, then one behind a gap.
    discovery.send(endpoints_event(
        2,
        &[environment.server("c1").entry("active")],
    ));
    discovery.send(endpoints_event(4, &[]));
    let mut discovery = environment.discovery.accept_watch();
    assert_eq!(discovery.after_revision, 2, "after a gap");
    let sent_at = Instant::now();
    discovery.send("7\n");
    let mut discovery = environment.discovery.accept_watch();
    assert_eq!(
        discovery.after_revision, 2,
        "after a revision that is ahead"
    );
    assert!(
        sent_at.elapsed() < Duration::from_secs(2),
        "reconnected only after the silence timeout"
    );
    discovery.send("{nonsense\n");
    let mut discovery = environment.discovery.accept_watch();
    assert_eq!(discovery.after_revision, 2, "after an invalid line");
    // An event that cannot be read delays later ones by one reconnection only.
    let unreadable = json!({"rev": 3, "pool": {"hosts": [{"host": "c9"}]}});
    discovery.send(format!("{unreadable}\n"));
    let mut discovery = environment.discovery.accept_watch();
    assert_eq!(
        discovery.after_revision, 2,
        "after an event that cannot be read"
    );
    discovery.send(format!("{unreadable}\n{}", endpoints_event(4, &[])));
    drop(discovery);
    assert_eq!(environment.discovery.accept_watch().after_revision, 4);
    let mut client = router.connect();
    // All requests go to the cache that does not drain, whichever one the hash selects.
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

/// A discovery service that sends only revisions that are behind, events that were already applied,
/// or partial lines counts as silent.
#[test]
fn discovery_without_new_events_is_reconnected() {
    let mut environment = TestEnvironment::new();
    let _router = environment.start();
    let old = endpoints_event(1, &[]);
    for text in ["0\n", &old, "{\"rev\":"] {
        let mut discovery = environment.discovery.accept_watch();
        assert_eq!(discovery.after_revision, 1);
        let started_at = Instant::now();
        wait_until("a new watch", || {
            let _ = discovery.try_send(text);
            wait_for(50 * MS);
            environment.discovery.has_pending_watch()
        });
        assert!(
            started_at.elapsed() < 2600 * MS,
            "{text:?}: {:?}",
            started_at.elapsed()
        );
    }
}

/// The descriptors of the watch are reserved before the first client connects.
#[test]
fn discovery_that_is_down_at_the_start_is_followed_once_it_listens() {
    let mut environment = TestEnvironment::new();
    let at = unused_address();
    environment.file["board"] = json!(at.to_string());
    let router = environment.start();
    let mut client = router.connect();
    client.send_request(1, "page", "", b"");
    environment.server("c1").accept().respond_hit(b"x");
    assert_eq!(
        client.read_answer_word(),
        "ACK",
        "not served by the configured endpoint list"
    );
    let returned = Instant::now();
    environment.discovery.listen_again(at);
    assert_eq!(environment.discovery.accept_watch().after_revision, 1);
    assert!(returned.elapsed() < 1000 * MS, "{:?}", returned.elapsed());
}

#[test]
fn a_purge_bounds_the_max_age_sent_to_servers() {
    let mut environment = TestEnvironment::new();
    let router = environment.start();
    let mut discovery = environment.discovery.accept_watch();
    let purged = unix_ms();
    discovery.send(purge_event(2, purged));
    let mut client = router.connect();
    client.send_request(1, "page", "", b"");
    let mut server = environment.server("c1").accept();
    let (mut tag, mut request) = (1, server.read_request());
    wait_until("the purge to be applied", || {
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

/// A reload that names another discovery service closes the connection to the old one, and events
/// that the old one still sends are ignored.
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
        // The old service continues with different events under the same revisions.
        let mut is_open = true;
        wait_until("the old watch to be closed", || {
            is_open = is_open && old.try_send(&endpoints_event(2, std::slice::from_ref(&leaving)));
            !is_open
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
            "sent to a server that drains"
        );
    }
}

#[test]
fn a_reloaded_configuration_moves_to_its_discovery_service() {
    let mut environment = TestEnvironment::new().with_server("c2", "cache");
    let mut router = environment.start();
    // The old service is silent in the middle of an event.
    let mut old = environment.discovery.accept_watch();
    old.send("{\"rev\":2,");
    // The new file has an event with the revision that the old service was sending, and a changed
    // limit that needs a restart.
    environment.move_discovery();
    let leaving = endpoints_event(2, &[environment.server("c1").entry("leaving")]);
    environment.push_known_event(2, &leaving);
    environment.file["limits"]["sockets"] = json!(512);
    environment.write_configuration();
    let reloaded = Instant::now();
    for _ in 0..3 {
        router.reload();
    }
    let discovery = environment.discovery.accept_watch();
    assert_eq!(discovery.after_revision, 2);
    assert!(
        reloaded.elapsed() < Duration::from_millis(1500),
        "reconnected only after the silence timeout: {:?}",
        reloaded.elapsed()
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
    // A reload of an invalid file changes nothing.
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
