//! Wall clocks that are stepped, most by an hour: the timestamps of the fakes jump forward or back
//! while real time goes on.

use crate::support::*;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;

const HOUR_MS: i64 = 3_600_000;
const TAG: &str = "etag=4be0c1927d55a6f3";
/// Requests sent at once: many more than a fake server in slow start may get in a second.
const CONCURRENT_REQUESTS: usize = 30;
/// The time for which a page is fresh by the default settings of the tests.
const FRESH_MS: u64 = 12_000;

/// Offsets of the clock behind the timestamps: correct, stepped back, and stepped forward.
const STEPS_MS: [i64; 3] = [0, -HOUR_MS, HOUR_MS];

/// The time by a clock with this offset.
fn shifted_unix_ms(step_ms: i64) -> u64 {
    unix_ms().checked_add_signed(step_ms).unwrap()
}

/// Starts a router to which discovery has confirmed that its endpoint list is current.
fn start_up_to_date_router(
    directives: &str,
) -> (TestEnvironment, RouterProcess, TestClient, RunningDiscovery) {
    let (environment, router, client) = start_router_with(directives);
    let discovery = RunningDiscovery::start(&environment.discovery);
    wait_until("the first heartbeat", || discovery.has_sent_heartbeat());
    (environment, router, client, discovery)
}

/// Connections that the servers have accepted, by the name of the server.
#[derive(Default)]
struct Connections(BTreeMap<String, Vec<LineConnection>>);

impl Connections {
    /// Passes each request that any server has received to `take`, with the name of the server and
    /// the connection.
    fn each_request(
        &mut self,
        environment: &TestEnvironment,
        mut take: impl FnMut(&str, &mut LineConnection, ReceivedRequest),
    ) {
        for server in &environment.servers {
            let connections = self.0.entry(server.name.clone()).or_default();
            connections.extend(server.try_accept());
            connections.retain_mut(|connection| {
                while connection.has_unread_data() {
                    let Some(request) = connection.read_request_or_close() else {
                        return false;
                    };
                    take(&server.name, connection, request);
                }
                true
            });
        }
    }

    /// Answers every request until the client has its answer; returns the body of that answer and
    /// the `maxage` of the last request.
    fn serve_until_answered(
        &mut self,
        environment: &TestEnvironment,
        client: &mut TestClient,
        fields: &str,
        body: &[u8],
    ) -> Served {
        let mut max_age = None;
        wait_until("an answer", || {
            self.each_request(environment, |_, connection, request| {
                max_age = request.field("maxage").parse().ok();
                connection.respond(&request, "OK", fields, body);
            });
            client.has_unread_data()
        });
        Served {
            body: client.read_answer().body,
            max_age,
        }
    }

    /// Requests other objects until a request carries a `maxage` that a purge has lowered.
    fn wait_until_purge_is_applied(
        &mut self,
        environment: &TestEnvironment,
        client: &mut TestClient,
    ) {
        let mut tag = 1000;
        wait_until("a request with a maxage lowered by the purge", || {
            tag += 1;
            client.send_request(tag, "page", "", b"");
            let served = self.serve_until_answered(environment, client, HIT_FIELDS, b"x");
            served
                .max_age
                .is_some_and(|max_age: u64| max_age < FRESH_MS)
        });
    }
}

/// An answer to a client.
struct Served {
    body: Vec<u8>,
    /// The `maxage` of the request to the server; `None` if the answer came from the local cache.
    max_age: Option<u64>,
}

/// Returns how many of [`CONCURRENT_REQUESTS`] requests go to a server whose start was announced
/// just before.
fn concurrent_requests_sent_after_a_start(stamp: impl Fn() -> u64) -> usize {
    let (environment, _router, mut client, discovery) = start_up_to_date_router("");
    let mut entry = environment.server("c1").entry("active");
    entry["born_ms"] = json!(stamp());
    discovery.publish(2, endpoints_event(2, &[entry]));
    discovery.publish(3, purge_event(3, unix_ms()));
    let mut connections = Connections::default();
    connections.wait_until_purge_is_applied(&environment, &mut client);
    for tag in 1..=CONCURRENT_REQUESTS {
        client.send_request(tag as u64, "page", "", b"");
    }
    let (mut sent, mut all) = (0, 0);
    wait_until("all requests", || {
        connections.each_request(&environment, |server, _, _| {
            sent += usize::from(server == "c1");
            all += 1;
        });
        all >= CONCURRENT_REQUESTS
    });
    sent
}

#[test]
fn a_newly_announced_server_is_in_slow_start_whatever_its_timestamp() {
    assert_eq!(
        concurrent_requests_sent_after_a_start(|| 0),
        CONCURRENT_REQUESTS,
        "a server that is not in slow start gets all requests"
    );
    for step in STEPS_MS {
        let sent = concurrent_requests_sent_after_a_start(|| shifted_unix_ms(step));
        assert!(
            sent < CONCURRENT_REQUESTS / 2,
            "{sent} concurrent requests, clock stepped by {step} ms"
        );
    }
}

#[test]
fn a_purge_applies_on_notification_whatever_its_timestamp() {
    for step in STEPS_MS {
        let (environment, _router, mut client, discovery) =
            start_up_to_date_router("store {\n memory 10MB\n}\n");
        let mut connections = Connections::default();
        let fields = format!("tell=filled,{TAG},made={}", shifted_unix_ms(0));
        for _ in 0..2 {
            client.send_request(7, "page", "", b"");
            connections.serve_until_answered(&environment, &mut client, &fields, b"old");
        }
        client.send_request(7, "page", "", b"");
        let cached =
            connections.serve_until_answered(&environment, &mut client, &fields, b"not requested");
        assert_eq!(
            (cached.body, cached.max_age),
            (b"old".to_vec(), None),
            "not served from the local cache"
        );
        discovery.publish(2, purge_event(2, shifted_unix_ms(step)));
        connections.wait_until_purge_is_applied(&environment, &mut client);
        client.send_request(7, "page", "", b"");
        let served =
            connections.serve_until_answered(&environment, &mut client, HIT_FIELDS, b"new");
        assert_eq!(served.body, b"new", "clock stepped by {step} ms");
    }
}

#[test]
fn a_copy_from_the_future_is_not_cached_and_later_ones_are_corrected_by_the_clock_offset() {
    let (environment, _router, mut client, _discovery) =
        start_up_to_date_router("store {\n memory 10MB\n}\n");
    let mut connections = Connections::default();
    // The copy would be admitted at its second request, were its age known; from then on the offset
    // of that clock is known.
    for (step, body) in [(0, "first"), (HOUR_MS, "second"), (HOUR_MS, "third")] {
        client.send_request(7, "page", "", b"");
        let fields = format!("tell=filled,{TAG},made={}", shifted_unix_ms(step));
        let served =
            connections.serve_until_answered(&environment, &mut client, &fields, body.as_bytes());
        assert_eq!(served.body, body.as_bytes(), "not served by the server");
    }
    client.send_request(7, "page", "", b"");
    let cached =
        connections.serve_until_answered(&environment, &mut client, HIT_FIELDS, b"not requested");
    assert_eq!(
        (cached.body, cached.max_age),
        (b"third".to_vec(), None),
        "not cached by its timestamp less the clock offset"
    );
}

/// Waits until a router has recovered the copies that an earlier process left on disk.
fn wait_until_recovered(control: &Path) {
    wait_until("the recovery to finish", || {
        let Ok(mut stream) = UnixStream::connect(control) else {
            return false;
        };
        stream.write_all(b"store stat\n").unwrap();
        let mut reply = String::new();
        stream.read_to_string(&mut reply).unwrap();
        serde_json::from_str::<Value>(&reply).unwrap()["disk"]["phase"] == "ready"
    });
}

/// Rewrites the clock record of a cache directory as if the wall clock had been stepped by this
/// much since the last start: the recorded time is moved in the other direction.
fn record_clock_step(disk: &Path, step_ms: i64) {
    let file = disk.join("clock");
    let recorded = std::fs::read_to_string(&file).unwrap();
    let (boot, unix_ms) = recorded.trim().split_once(' ').unwrap();
    let shifted = unix_ms
        .parse::<u64>()
        .unwrap()
        .checked_add_signed(-step_ms)
        .unwrap();
    std::fs::write(&file, format!("{boot} {shifted}\n")).unwrap();
}

/// Stores a copy on disk, steps the wall clock, restarts the router and requests the copy.
fn served_after_a_step_and_a_restart(step_ms: i64) -> Served {
    let mut environment = TestEnvironment::new();
    let [disk, control] =
        ["copies", "control"].map(|name| environment.configuration_path().with_file_name(name));
    environment.directives = format!(
        "control {}\nstore {{\n disk {} 64MB\n segment 1MB\n sync-after 20ms\n least-fresh 0\n \
         known-purges 1h\n}}\n",
        control.display(),
        disk.display()
    );
    let _discovery = RunningDiscovery::start(&environment.discovery);
    let mut connections = Connections::default();
    let mut request_copy = |environment: &TestEnvironment, client: &mut TestClient, body: &[u8]| {
        client.send_request(7, "page", "", b"");
        let fields = format!("tell=filled,{TAG},made={}", unix_ms());
        connections.serve_until_answered(environment, client, &fields, body)
    };
    let mut router = environment.start();
    let mut client = router.connect();
    wait_until("the copy to be served from the cache", || {
        request_copy(&environment, &mut client, b"before")
            .max_age
            .is_none()
    });
    router.terminate();
    router.wait_for_exit();
    record_clock_step(&disk, step_ms);
    let router = environment.start();
    wait_until_recovered(&control);
    request_copy(&environment, &mut router.connect(), b"after")
}

#[test]
fn a_copy_on_disk_is_served_after_a_restart_unless_the_clock_was_set_back() {
    // After a step forward the copies on disk only look older than they are.
    for step in [0, 2000] {
        let served = served_after_a_step_and_a_restart(step);
        assert_eq!(
            (&served.body[..], served.max_age),
            (&b"before"[..], None),
            "clock stepped by {step} ms"
        );
    }
    for step in [-2000, -HOUR_MS] {
        let served = served_after_a_step_and_a_restart(step);
        assert_eq!(served.body, b"after", "clock stepped by {step} ms");
    }
}

/// A purge stamped by a clock that was set back must cover copies on disk that were stamped before
/// the step. So until the step is over no new copy counts as newer than the purge, whether the
/// purge is notified before the disk is opened or afterwards.
#[test]
fn a_purge_by_a_clock_that_was_set_back_covers_copies_stamped_before_the_step() {
    for known_at_startup in [false, true] {
        let mut environment = TestEnvironment::new();
        let [disk, control] =
            ["copies", "control"].map(|name| environment.configuration_path().with_file_name(name));
        environment.directives = format!(
            "control {}\nstore {{\n memory 10MB\n disk {} 64MB\n segment 1MB\n}}\n",
            control.display(),
            disk.display()
        );
        let mut router = environment.start();
        wait_until_recovered(&control);
        router.terminate();
        router.wait_for_exit();
        while environment.discovery.has_pending_watch() {
            drop(environment.discovery.accept_watch());
        }
        record_clock_step(&disk, -HOUR_MS);
        let event = purge_event(2, unix_ms());
        if known_at_startup {
            environment.push_known_event(2, &event);
        }
        let router = environment.start();
        wait_until_recovered(&control);
        let (mut client, mut connections) = (router.connect(), Connections::default());
        let mut watch = (!known_at_startup).then(|| environment.discovery.accept_watch());
        if let Some(watch) = &mut watch {
            watch.send(event);
            connections.wait_until_purge_is_applied(&environment, &mut client);
        }
        for _ in 0..4 {
            client.send_request(7, "page", "", b"");
            let fields = format!("tell=filled,{TAG},made={}", unix_ms());
            let served =
                connections.serve_until_answered(&environment, &mut client, &fields, b"new");
            assert!(
                served.max_age.is_some(),
                "served from the cache; purge known at startup: {known_at_startup}"
            );
        }
    }
}
