//! Wall clocks that are stepped by an hour: the stand-ins' stamps go forward or back, real time
//! runs on.

use crate::support::*;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;

const HOUR_MS: i64 = 3_600_000;
const TAG: &str = "etag=4be0c1927d55a6f3";
/// More than a cold server of the stand-ins' capacity takes in a second, by far.
const ASKED_AT_ONCE: usize = 30;
/// The fresh time of a page in the stand-ins' settings.
const FRESH_MS: u64 = 12_000;

/// By how much the clock that stamps is off: it is right, or was stepped back or forward.
const STEPS_MS: [i64; 3] = [0, -HOUR_MS, HOUR_MS];

/// The time by such a clock.
fn shifted_unix_ms(step_ms: i64) -> u64 {
    unix_ms().checked_add_signed(step_ms).unwrap()
}

/// Starts a router that has heard from discovery that there is nothing newer than its list; the
/// last part is its watch.
fn start_up_to_date_router(
    directives: &str,
) -> (TestEnvironment, RouterProcess, TestClient, Watch) {
    let (environment, router, client) = start_router_with(directives);
    let mut watch = environment.discovery.accept_watch();
    watch.send("1\n");
    (environment, router, client, watch)
}

/// Connections that the servers have accepted.
#[derive(Default)]
struct Connections(BTreeMap<String, Vec<LineConnection>>);

impl Connections {
    /// Hands on each request that has come to any server, and its connection.
    fn each_request(
        &mut self,
        environment: &TestEnvironment,
        mut take: impl FnMut(&str, &mut LineConnection, ReceivedRequest),
    ) {
        for server in &environment.servers {
            let lines = self.0.entry(server.name.clone()).or_default();
            lines.extend(server.try_accept());
            lines.retain_mut(|line| {
                while line.has_unread_data() {
                    let Some(request) = line.read_request_or_close() else {
                        return false;
                    };
                    take(&server.name, line, request);
                }
                true
            });
        }
    }

    /// Answers whatever comes until the client has its answer, which is returned, and the last
    /// `maxage`.
    fn serve_until_answered(
        &mut self,
        environment: &TestEnvironment,
        client: &mut TestClient,
        fields: &str,
        body: &[u8],
    ) -> Served {
        let mut max_age = None;
        wait_until("an answer", || {
            self.each_request(environment, |_, line, request| {
                max_age = request.field("maxage").parse().ok();
                line.respond(&request, "OK", fields, body);
            });
            client.has_unread_data()
        });
        Served {
            body: client.read_answer().body,
            max_age,
        }
    }

    /// Asks for other objects until a request carries the bound of a purge.
    fn until_the_purge_is_heeded(
        &mut self,
        environment: &TestEnvironment,
        client: &mut TestClient,
    ) {
        let mut tag = 1000;
        wait_until("a request with the bound of the purge", || {
            tag += 1;
            client.send_request(tag, "page", "", b"");
            let served = self.serve_until_answered(environment, client, HIT_FIELDS, b"x");
            served.max_age.is_some_and(|bound: u64| bound < FRESH_MS)
        });
    }
}

/// What a client got, and which age the request for it allowed; none: no server was asked.
struct Served {
    body: Vec<u8>,
    max_age: Option<u64>,
}

/// How many of many requests at once go to a server whose start was told just before.
fn requests_taken_at_once_after_a_start(stamp: impl Fn() -> u64) -> usize {
    let (environment, _router, mut client, mut watch) = start_up_to_date_router("");
    let mut entry = environment.server("c1").entry("active");
    entry["born_ms"] = json!(stamp());
    watch.send(endpoints_event(2, &[entry]));
    watch.send(purge_event(3, unix_ms()));
    let mut connections = Connections::default();
    connections.until_the_purge_is_heeded(&environment, &mut client);
    for tag in 1..=ASKED_AT_ONCE {
        client.send_request(tag as u64, "page", "", b"");
    }
    let (mut taken, mut all) = (0, 0);
    wait_until("all requests", || {
        connections.each_request(&environment, |server, _, _| {
            taken += usize::from(server == "c1");
            all += 1;
        });
        all >= ASKED_AT_ONCE
    });
    taken
}

#[test]
fn a_server_notified_to_start_now_is_in_slow_start_whatever_its_timestamp() {
    assert_eq!(
        requests_taken_at_once_after_a_start(|| 0),
        ASKED_AT_ONCE,
        "warm"
    );
    for step in STEPS_MS {
        let taken = requests_taken_at_once_after_a_start(|| shifted_unix_ms(step));
        assert!(
            taken < ASKED_AT_ONCE / 2,
            "{taken} at once, stepped by {step} ms"
        );
    }
}

#[test]
fn a_purge_notified_now_is_kept_whatever_its_timestamp() {
    for step in STEPS_MS {
        let (environment, _router, mut client, mut watch) =
            start_up_to_date_router("store {\n memory 10MB\n}\n");
        let mut connections = Connections::default();
        let copy = format!("tell=filled,{TAG},made={}", shifted_unix_ms(0));
        for _ in 0..2 {
            client.send_request(7, "page", "", b"");
            connections.serve_until_answered(&environment, &mut client, &copy, b"old");
        }
        client.send_request(7, "page", "", b"");
        let own =
            connections.serve_until_answered(&environment, &mut client, &copy, b"not asked for");
        assert_eq!(
            (own.body, own.max_age),
            (b"old".to_vec(), None),
            "it is a copy of the router's own"
        );
        watch.send(purge_event(2, shifted_unix_ms(step)));
        connections.until_the_purge_is_heeded(&environment, &mut client);
        client.send_request(7, "page", "", b"");
        let served =
            connections.serve_until_answered(&environment, &mut client, HIT_FIELDS, b"new");
        assert_eq!(served.body, b"new", "stepped by {step} ms");
    }
}

#[test]
fn a_copy_from_the_future_is_not_cached_and_later_ones_are_corrected_by_the_clock_offset() {
    let (environment, _router, mut client, _watch) =
        start_up_to_date_router("store {\n memory 10MB\n}\n");
    let mut connections = Connections::default();
    // The second sighting would be kept, were its age known; then it is known how far that clock is
    // ahead.
    for (step, body) in [(0, "first"), (HOUR_MS, "second"), (HOUR_MS, "third")] {
        client.send_request(7, "page", "", b"");
        let made = format!("tell=filled,{TAG},made={}", shifted_unix_ms(step));
        let served =
            connections.serve_until_answered(&environment, &mut client, &made, body.as_bytes());
        assert_eq!(served.body, body.as_bytes(), "the server was asked");
    }
    client.send_request(7, "page", "", b"");
    let own =
        connections.serve_until_answered(&environment, &mut client, HIT_FIELDS, b"not asked for");
    assert_eq!(
        (own.body, own.max_age),
        (b"third".to_vec(), None),
        "kept by its stamp less the lead"
    );
}

/// Waits until a router has found out what an earlier life left on its disk.
fn until_recovered(control: &Path) {
    wait_until("the recovery", || {
        let Ok(mut stream) = UnixStream::connect(control) else {
            return false;
        };
        stream.write_all(b"store stat\n").unwrap();
        let mut said = String::new();
        stream.read_to_string(&mut said).unwrap();
        serde_json::from_str::<Value>(&said).unwrap()["disk"]["phase"] == "ready"
    });
}

/// Makes a directory of own copies say of the clock of the starts before that it was off by a step
/// since: ahead by what it was set back.
fn step_since_the_last_start(disk: &Path, step_ms: i64) {
    let file = disk.join("clock");
    let recorded = std::fs::read_to_string(&file).unwrap();
    let (boot, unix_ms) = recorded.trim().split_once(' ').unwrap();
    let other = unix_ms
        .parse::<u64>()
        .unwrap()
        .checked_add_signed(-step_ms)
        .unwrap();
    std::fs::write(&file, format!("{boot} {other}\n")).unwrap();
}

/// Keeps a copy on disk, steps the wall clock, starts the program anew and asks for the copy.
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
    let mut connections = Connections::default();
    let mut ask = |environment: &TestEnvironment, client: &mut TestClient, body: &[u8]| {
        client.send_request(7, "page", "", b"");
        let made = format!("tell=filled,{TAG},made={}", unix_ms());
        connections.serve_until_answered(environment, client, &made, body)
    };
    let mut router = environment.start();
    let mut client = router.connect();
    wait_until("a copy on disk", || {
        ask(&environment, &mut client, b"before").max_age.is_none()
    });
    router.terminate();
    router.wait_for_exit();
    step_since_the_last_start(&disk, step_ms);
    let router = environment.start();
    until_recovered(&control);
    ask(&environment, &mut router.connect(), b"after")
}

#[test]
fn a_copy_on_disk_is_served_after_a_restart_unless_the_clock_was_set_back() {
    // Set forward, what is on disk only looks older than it is.
    for step in [0, 2000] {
        let served = served_after_a_step_and_a_restart(step);
        assert_eq!(
            (&served.body[..], served.max_age),
            (&b"before"[..], None),
            "stepped by {step} ms"
        );
    }
    for step in [-2000, -HOUR_MS] {
        let served = served_after_a_step_and_a_restart(step);
        assert_eq!(served.body, b"after", "stepped by {step} ms");
    }
}

/// A purge told by a clock that was set back has to reach what is on disk of the clock that was
/// ahead. So until the step is over nothing that is made counts as newer than the purge, told
/// before the disk was open or after.
#[test]
fn a_purge_by_a_clock_that_was_set_back_covers_copies_stamped_before_the_step() {
    for known_at_the_start in [false, true] {
        let mut environment = TestEnvironment::new();
        let [disk, control] =
            ["copies", "control"].map(|name| environment.configuration_path().with_file_name(name));
        environment.directives = format!(
            "control {}\nstore {{\n memory 10MB\n disk {} 64MB\n segment 1MB\n}}\n",
            control.display(),
            disk.display()
        );
        let mut router = environment.start();
        until_recovered(&control);
        router.terminate();
        router.wait_for_exit();
        while environment.discovery.has_pending_watch() {
            drop(environment.discovery.accept_watch());
        }
        step_since_the_last_start(&disk, -HOUR_MS);
        let event = purge_event(2, unix_ms());
        if known_at_the_start {
            environment.push_known_event(2, &event);
        }
        let router = environment.start();
        until_recovered(&control);
        let (mut client, mut connections) = (router.connect(), Connections::default());
        let mut watch = (!known_at_the_start).then(|| environment.discovery.accept_watch());
        if let Some(watch) = &mut watch {
            watch.send(event);
            connections.until_the_purge_is_heeded(&environment, &mut client);
        }
        for _ in 0..4 {
            client.send_request(7, "page", "", b"");
            let made = format!("tell=filled,{TAG},made={}", unix_ms());
            let served = connections.serve_until_answered(&environment, &mut client, &made, b"new");
            assert!(
                served.max_age.is_some(),
                "kept; known at the start: {known_at_the_start}"
            );
        }
    }
}
