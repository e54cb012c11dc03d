//! Several faults at once after a period without any. `docs/crossings.md` has a row for each case.

use crate::support::*;
use serde_json::json;
use std::collections::HashSet;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);

/// A request with a deadline of 60 ms whose server reads it and then stays silent or closes the
/// connection gets one final answer in time, also if it is not idempotent.
#[test]
fn a_request_near_its_deadline_is_answered_when_its_server_drops_it_silently() {
    for closes in [false, true] {
        for (class, name) in [("page", "c1"), ("confirm", "o1")] {
            let mut environment = TestEnvironment::new();
            let router = environment.start();
            let mut client = router.connect();
            let sent = ScheduledInstant::now(router.child.id());
            client.send_request(1, class, "d=60", b"");
            let mut server = environment.server(name).accept();
            server.read_request();
            let _silent = if closes { None } else { Some(server) };
            let (_, word, ..) = client.read_answer_tuple();
            assert!(
                sent.elapsed() <= 60 * MS + SLACK,
                "{class}, closes {closes}: after {:?}",
                sent.elapsed()
            );
            assert_eq!(
                word,
                if class == "page" { "NAK" } else { "FAIL" },
                "{class}, closes {closes}"
            );
            assert_eq!(client.health(), "GREEN", "a second answer was written");
        }
    }
}

/// Serves one request, then leaves its connection idle for long enough that non-idempotent requests
/// no longer use it.
fn open_idle_connection(
    environment: &TestEnvironment,
    client: &mut TestClient,
    class: &str,
    server: &str,
) -> LineConnection {
    client.send_request(1, class, "", b"");
    let mut connection = environment.server(server).accept();
    connection.respond_hit(b"first");
    assert_eq!(client.read_answer_word(), "ACK");
    let since = Instant::now();
    wait_until("the connection to be idle for 100 ms", || {
        since.elapsed() > 100 * MS
    });
    connection
}

/// A server has lost the state of an idle connection and resets it at the first byte. An idempotent
/// request is retried elsewhere in time; a non-idempotent one is never written there and runs once,
/// on a new connection.
#[test]
fn a_stale_idle_connection_loses_no_request_and_runs_none_twice() {
    let mut environment = TestEnvironment::new();
    let router = environment.start();
    let mut client = router.connect();
    let mut stale = open_idle_connection(&environment, &mut client, "page", "c1");
    client.send_request(2, "page", "d=1000", b"");
    wait_until("the first byte", || stale.has_unread_data());
    stale.reset();
    let mut retried = environment.server("p1").accept();
    retried.respond_hit(b"second");
    assert_eq!(
        client.read_answer_tuple(),
        (
            2,
            "ACK".into(),
            "ver=4be0c1927d55a6f3".into(),
            b"second".to_vec()
        )
    );

    let mut client = router.connect();
    let stale = open_idle_connection(&environment, &mut client, "confirm", "o1");
    stale.reset();
    client.send_request(2, "confirm", "d=1000", b"");
    let mut retried = environment.server("o1").accept();
    retried.respond_hit(b"once");
    assert_eq!(client.read_answer_tuple().3, b"once");
    assert!(
        environment.server("o1").try_accept().is_none(),
        "the request was sent to the origin twice"
    );
    assert!(
        environment.server("c1").try_accept().is_none(),
        "the request was sent to another server too"
    );
}

/// A machine becomes unreachable without closing its connections: data written to it is lost, and
/// no new connection is established. A non-idempotent request has not been written there and is
/// sent to another server in time.
#[test]
fn an_unreachable_machine_delays_a_request_by_at_most_the_connect_timeout() {
    let mut environment = TestEnvironment::new();
    environment.file["settings"]["Limits"]["ConnectTimeout"] = json!(200);
    let router = environment.start();
    let mut client = router.connect();
    let mut half_open = open_idle_connection(&environment, &mut client, "confirm", "o1");
    let _queue = environment.server("o1").fill_accept_queue();
    let sent = ScheduledInstant::now(router.child.id());
    client.send_request(2, "confirm", "d=1500", b"");
    let mut server = environment.server("c1").accept();
    let request = server.read_request();
    server.respond(&request, "OK", "tell=via_origin", b"once");
    assert_eq!(client.read_answer_tuple().3, b"once");
    assert!(sent.elapsed() < 1500 * MS, "{:?}", sent.elapsed());
    assert!(
        !half_open.has_unread_data(),
        "written to an idle connection"
    );
}

/// One attempt hangs and is cancelled, and another is refused immediately, in either order. The
/// last attempt is served, and a late response to the cancelled one is discarded.
#[test]
fn a_retry_that_is_refused_immediately_leaves_one_answer() {
    // The hash of the object selects the first cache: some of these objects begin at either one.
    for object in 1..=6 {
        let mut environment = TestEnvironment::new();
        environment.file["settings"]["FamilyInfo"]["ClientKbPerS"] = json!(8800);
        let mut refusing = FakeServer::new("c2", "cache");
        refusing.dial = unused_address();
        environment.servers.push(refusing);
        let router = environment.start();
        let mut client = router.connect();
        let id = client.send_request(object, "page", "d=3000", b"");
        let mut hanging = environment.server("c1").accept();
        let request = hanging.read_request();
        assert_eq!(hanging.read_line(), format!("QUIT {id}"));
        let mut last = None;
        wait_until("another attempt", || {
            last = ["p1", "o1"]
                .iter()
                .find_map(|name| environment.server(name).try_accept());
            last.is_some()
        });
        last.unwrap().respond_hit(b"served");
        assert_eq!(client.read_answer_tuple().3, b"served");
        hanging.respond(&request, "OK", HIT_FIELDS, b"late");
        assert_eq!(client.health(), "GREEN", "a second answer was written");
    }
}

/// A request arrives together with the close of the connection that it would use: the router is
/// paused until both are pending. Whichever it sees first, there is one answer in time, and a
/// non-idempotent request is written on the old connection or on a new one, never on both.
#[test]
fn a_request_that_races_with_the_close_of_its_connection_gets_one_answer() {
    for (class, name) in [("page", "c1"), ("confirm", "o1")] {
        for resets in [false, true] {
            let mut environment = TestEnvironment::new();
            let router = environment.start();
            let mut client = router.connect();
            // An open request keeps the connection in use.
            client.send_request(1, class, "", b"");
            let mut old = environment.server(name).accept();
            old.read_request();
            router.signal("STOP");
            wait_until("the router to be paused", || router.is_stopped());
            let id = client.send_request(2, class, "d=2000", b"");
            let sent = ScheduledInstant::now(router.child.id());
            let mut connections = Vec::new();
            if resets {
                old.reset();
            } else {
                old.half_close();
                connections.push(old);
            }
            router.signal("CONT");
            let (mut attempts, mut answered) = (0, Vec::new());
            wait_until("both answers", || {
                connections.extend(
                    environment
                        .servers
                        .iter()
                        .filter_map(FakeServer::try_accept),
                );
                for connection in &mut connections {
                    let Some(request) = connection.try_read_request() else {
                        continue;
                    };
                    attempts += usize::from(request.id == id);
                    let _ =
                        connection.try_send(&format!("{} OK {HIT_FIELDS} 1\r\nx\r\n", request.id));
                }
                if client.has_unread_data() {
                    answered.push(client.read_answer_tuple());
                }
                answered.len() == 2
            });
            assert!(
                sent.elapsed() < 2000 * MS,
                "{class}, resets {resets}: {:?}",
                sent.elapsed()
            );
            answered.sort();
            let words: Vec<(u64, &str)> = answered
                .iter()
                .map(|(tag, word, ..)| (*tag, word.as_str()))
                .collect();
            match class {
                "page" => assert_eq!(words, [(1, "ACK"), (2, "ACK")], "resets {resets}"),
                _ => assert!(
                    attempts <= 1 && words[0] == (1, "FAIL"),
                    "resets {resets}: written {attempts} times, {words:?}"
                ),
            }
            assert_eq!(client.health(), "GREEN", "a third answer was written");
        }
    }
}

/// How long the slow discovery service sends nothing on a new watch.
const FIRST_EVENT_DELAY: Duration = Duration::from_millis(5000);

/// An event of discovery must have reached the router within 7 s.
const EVENT_TIME_LIMIT: Duration = Duration::from_millis(7000);

/// The router waits for a discovery service that takes seconds to send its first event. If it
/// always reconnected before that, it would never get one.
#[test]
fn a_discovery_service_slow_to_send_its_first_event_is_followed() {
    let mut environment = TestEnvironment::new();
    let router = environment.start();
    let (started_at, mut watches) = (Instant::now(), Vec::new());
    wait_until("a watch that outlasts the delay", || {
        if environment.discovery.has_pending_watch() {
            watches.push((
                Instant::now(),
                environment.discovery.accept_watch_connection().0,
            ));
        }
        // A watch that the router has closed has its end to read.
        watches.retain_mut(|(_, watch)| !watch.has_unread_data());
        watches
            .first()
            .is_some_and(|(since, _)| since.elapsed() > FIRST_EVENT_DELAY)
    });
    watches[0].1.send(endpoints_event(
        2,
        &[environment.server("c1").entry("leaving")],
    ));
    assert!(
        started_at.elapsed() < EVENT_TIME_LIMIT,
        "{:?}",
        started_at.elapsed()
    );
    wait_until_drained(&environment, &mut router.connect(), None);
}

/// Sends a request, answers it, and returns the server that it reached, on any of its connections.
fn server_of_request(
    environment: &TestEnvironment,
    client: &mut TestClient,
    connections: &mut Vec<(&'static str, LineConnection)>,
    tag: u64,
) -> &'static str {
    client.send_request(tag, "page", "", b"");
    let mut reached = "";
    wait_until("the request to reach a server", || {
        let accepted =
            ["c1", "p1"].map(|name| Some((name, environment.server(name).try_accept()?)));
        connections.extend(accepted.into_iter().flatten());
        for (name, connection) in &mut *connections {
            if let Some(request) = connection.try_read_request() {
                connection.respond(&request, "OK", HIT_FIELDS, b"x");
                reached = *name;
            }
        }
        !reached.is_empty()
    });
    assert_eq!(client.read_answer_word(), "ACK");
    reached
}

/// Sends requests until one is not sent to `c1`, which drains. `accepted` is a connection to `c1`
/// that was accepted before. If the router reconnects to discovery meanwhile, it is sent the drain
/// again.
fn wait_until_drained(
    environment: &TestEnvironment,
    client: &mut TestClient,
    accepted: Option<LineConnection>,
) {
    let (mut connections, mut tag) = (
        accepted
            .into_iter()
            .map(|connection| ("c1", connection))
            .collect::<Vec<_>>(),
        10_000,
    );
    let mut watch = None;
    wait_until("the drain to be applied", || {
        if environment.discovery.has_pending_watch() {
            let (mut new_watch, after) = environment.discovery.accept_watch_connection();
            if after == 1 {
                new_watch.send(endpoints_event(
                    2,
                    &[environment.server("c1").entry("leaving")],
                ));
            }
            watch = Some(new_watch);
        }
        tag += 1;
        server_of_request(environment, client, &mut connections, tag) == "p1"
    });
    drop(watch);
}

/// The local addresses of connections to this address that are still being established.
fn syn_sent_addresses(to: SocketAddr) -> HashSet<String> {
    const SYN_SENT: &str = "02";
    let SocketAddr::V4(to) = to else {
        return HashSet::new();
    };
    let remote = format!(
        "{:08X}:{:04X}",
        u32::from_le_bytes(to.ip().octets()),
        to.port()
    );
    let sockets = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let local_address = |line: &str| match line.split_whitespace().collect::<Vec<_>>()[..] {
        [_, local, peer, SYN_SENT, ..] if peer == remote => Some(local.to_owned()),
        _ => None,
    };
    sockets.lines().filter_map(local_address).collect()
}

/// Three reloads in a row, the second and third while the router is still connecting to the
/// discovery service of the first, whose accept queue is full. The last one applies: its service is
/// followed at once, and requests are served meanwhile.
#[test]
fn the_last_of_three_reloads_applies_while_the_first_is_still_connecting() {
    let mut environment = TestEnvironment::new();
    let router = environment.start();
    let (_old, _) = environment.discovery.accept_watch_connection();
    let mut client = router.connect();
    client.send_request(1, "page", "", b"");
    let mut server = environment.server("c1").accept();
    let open_request = server.read_request();
    // It accepts nothing, and its accept queue is full.
    let overloaded = FakeServer::new("overloaded", "discovery");
    let _queue = overloaded.fill_accept_queue();
    environment.file["board"] = json!(overloaded.dial.to_string());
    environment.write_configuration();
    router.signal("HUP");
    wait_until("the router to connect to it", || {
        !syn_sent_addresses(overloaded.dial).is_empty()
    });
    // The second configuration names an address without a listener.
    environment.file["board"] = json!(unused_address().to_string());
    environment.write_configuration();
    router.signal("HUP");
    environment.move_discovery();
    environment.write_configuration();
    let last = ScheduledInstant::now(router.child.id());
    router.signal("HUP");
    let (mut discovery, after) = environment.discovery.accept_watch_connection();
    assert!(
        last.elapsed() < 1000 * MS,
        "followed {:?} after the last",
        last.elapsed()
    );
    assert_eq!(after, 1);
    server.respond(&open_request, "OK", HIT_FIELDS, b"x");
    assert_eq!(client.read_answer_word(), "ACK");
    // The router may have read the last file at the second signal already and reconnect at the
    // third.
    let _ = discovery.try_send(&endpoints_event(
        2,
        &[environment.server("c1").entry("leaving")],
    ));
    wait_until_drained(&environment, &mut client, Some(server));
}

/// How an overloaded discovery service fails to accept connections.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Overload {
    Refuses,
    /// Its accept queue is full: connections are not established.
    QueueFull,
    ClosesAtOnce,
}

/// A discovery service is overloaded for seconds: the router reconnects at a bounded rate, requests
/// are served by the last endpoint list meanwhile, and a drain is applied as soon as the service
/// returns.
#[test]
fn an_overloaded_discovery_service_is_followed_on_its_return() {
    for how in [
        Overload::Refuses,
        Overload::QueueFull,
        Overload::ClosesAtOnce,
    ] {
        let mut environment = TestEnvironment::new();
        let router = environment.start();
        let (watch, _) = environment.discovery.accept_watch_connection();
        let at = environment.discovery.stop_listening_and_close(watch);
        let listener = (how != Overload::Refuses).then(|| TcpListener::bind(at).unwrap());
        let queue = (how == Overload::QueueFull).then(|| fill_accept_queue(at));
        let closing = listener.as_ref().filter(|_| how == Overload::ClosesAtOnce);
        closing
            .into_iter()
            .for_each(|listener| listener.set_nonblocking(true).unwrap());
        let (started_at, mut client, mut server) = (Instant::now(), router.connect(), None);
        let (mut tag, mut closed, mut connecting_from) = (0, 0, HashSet::new());
        wait_until("three seconds of overload", || {
            tag += 1;
            client.send_request(tag, "page", "", b"");
            server
                .get_or_insert_with(|| environment.server("c1").accept())
                .respond_hit(b"x");
            assert_eq!(client.read_answer_word(), "ACK");
            closed += closing.map_or(0, |listener| {
                std::iter::from_fn(|| listener.accept().ok()).count()
            });
            connecting_from.extend(syn_sent_addresses(at));
            started_at.elapsed() > 3000 * MS
        });
        // After the first few attempts each backoff is at least half of 320 ms, and each attempt to
        // connect lasts 500 ms.
        match how {
            Overload::Refuses => {}
            Overload::QueueFull => assert!(
                (2..=8).contains(&connecting_from.len()),
                "{} attempts to connect",
                connecting_from.len()
            ),
            Overload::ClosesAtOnce => assert!((6..=32).contains(&closed), "{closed} connections"),
        }
        drop((queue, listener));
        let returned = ScheduledInstant::now(router.child.id());
        environment.discovery.listen_again(at);
        let (mut discovery, after) = environment.discovery.accept_watch_connection();
        let within = if how == Overload::QueueFull {
            1000 * MS
        } else {
            500 * MS
        };
        assert!(
            returned.elapsed() < within,
            "{how:?}: followed after {:?}",
            returned.elapsed()
        );
        assert_eq!(after, 1);
        discovery.send(endpoints_event(
            2,
            &[environment.server("c1").entry("leaving")],
        ));
        wait_until_drained(&environment, &mut client, server);
    }
}

/// An idle period, shortened from an hour: after some load all idle connections are closed; then
/// discovery is down, and on its return it sends a drain. No descriptor leaks in the idle period,
/// requests are served on new connections during the outage, and the drain is applied on the
/// return.
#[test]
fn an_outage_and_a_drain_after_an_idle_period_are_handled_as_at_startup() {
    let mut environment = TestEnvironment::new();
    environment.file["settings"]["Limits"]["IdleClose"] = json!(300);
    let router = environment.start();
    let (mut watch, _) = environment.discovery.accept_watch_connection();
    let mut client = router.connect();
    assert_eq!(client.health(), "GREEN");
    let idle_descriptors = router.open_descriptors();
    for tag in 1..=32 {
        client.send_request(tag, "page", "", b"");
    }
    let mut used = Vec::new();
    let mut left = 32;
    wait_until("all requests", || {
        used.extend(environment.server("c1").try_accept());
        for connection in &mut used {
            // A connection that is idle meanwhile is closed and has its end to read.
            while let Some(request) = connection.try_read_request() {
                connection.respond(&request, "OK", HIT_FIELDS, b"x");
                left -= 1;
            }
        }
        left == 0
    });
    (0..32).for_each(|_| assert_eq!(client.read_answer_word(), "ACK"));
    assert!(
        router.open_descriptors() > idle_descriptors,
        "no connection to a server is open"
    );
    wait_until("the idle connections to be closed", || {
        let _ = watch.try_send("1\n");
        assert_eq!(client.health(), "GREEN");
        router.open_descriptors() <= idle_descriptors
    });
    assert!(
        used.iter_mut()
            .all(|connection| connection.read_line().is_empty()),
        "the router wrote on a connection before it closed it"
    );

    let at = environment.discovery.stop_listening_and_close(watch);
    assert_eq!(
        server_of_request(&environment, &mut client, &mut Vec::new(), 33),
        "c1"
    );
    environment.discovery.listen_again(at);
    let (mut watch, after) = environment.discovery.accept_watch_connection();
    assert_eq!(after, 1);
    watch.send(endpoints_event(
        2,
        &[environment.server("c1").entry("leaving")],
    ));
    wait_until_drained(&environment, &mut client, None);
}
