//! Wall clocks that are stepped by an hour: the stand-ins' stamps go forward or back, real time runs on.

use crate::stand_ins::*;
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
fn stamp(step_ms: i64) -> u64 {
    unix_ms().checked_add_signed(step_ms).unwrap()
}

/// A program that has heard discovery say that there is nothing newer than its list, and its watch.
fn started(directives: &str) -> (World, Program, Client, Line) {
    let mut world = World::new();
    world.directives = directives.to_owned();
    let program = world.start();
    let client = program.client();
    let (mut watch, _) = world.discovery.accept();
    watch.say("1\n");
    (world, program, client, watch)
}

fn purge(number: u64, ms: u64) -> String {
    format!(
        "{}\n",
        json!({"rev": number, "flush": {"collection": 1, "ms": ms}})
    )
}

/// Connections that the servers have accepted.
#[derive(Default)]
struct Connections(BTreeMap<String, Vec<Line>>);

impl Connections {
    /// Hands on each request that has come to any server, and its connection.
    fn each_request(&mut self, world: &World, mut take: impl FnMut(&str, &mut Line, Asked)) {
        for server in &world.servers {
            let lines = self.0.entry(server.name.clone()).or_default();
            lines.extend(server.try_accept());
            lines.retain_mut(|line| {
                while line.ready() {
                    let Some(asked) = line.asked_or_closed() else {
                        return false;
                    };
                    take(&server.name, line, asked);
                }
                true
            });
        }
    }

    /// Answers whatever comes until the client has its answer, which is returned, and the last `maxage`.
    fn serve_until_answered(
        &mut self,
        world: &World,
        client: &mut Client,
        fields: &str,
        body: &[u8],
    ) -> Served {
        let mut max_age = None;
        until("an answer", || {
            self.each_request(world, |_, line, asked| {
                max_age = asked.get("maxage").parse().ok();
                line.answer(&asked, "OK", fields, body);
            });
            client.ready()
        });
        Served {
            body: client.answer().3,
            max_age,
        }
    }

    /// Asks for other objects until a request carries the bound of a purge.
    fn until_the_purge_is_heeded(&mut self, world: &World, client: &mut Client) {
        let mut tag = 1000;
        until("a request with the bound of the purge", || {
            tag += 1;
            client.ask(tag, "page", "", b"");
            let served = self.serve_until_answered(world, client, HIT, b"x");
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
fn taken_at_once_after_a_start(stamp: impl Fn() -> u64) -> usize {
    let (world, _program, mut client, mut watch) = started("");
    let mut entry = world.server("c1").entry("active");
    entry["born_ms"] = json!(stamp());
    watch.say(list(2, &[entry]));
    watch.say(purge(3, unix_ms()));
    let mut connections = Connections::default();
    connections.until_the_purge_is_heeded(&world, &mut client);
    for tag in 1..=ASKED_AT_ONCE {
        client.ask(tag as u64, "page", "", b"");
    }
    let (mut taken, mut all) = (0, 0);
    until("all requests", || {
        connections.each_request(&world, |server, _, _| {
            taken += usize::from(server == "c1");
            all += 1;
        });
        all >= ASKED_AT_ONCE
    });
    taken
}

#[test]
fn a_server_that_starts_now_is_cold_whatever_hour_its_stamp_says() {
    assert_eq!(taken_at_once_after_a_start(|| 0), ASKED_AT_ONCE, "warm");
    for step in STEPS_MS {
        let taken = taken_at_once_after_a_start(|| stamp(step));
        assert!(
            taken < ASKED_AT_ONCE / 2,
            "{taken} at once, stepped by {step} ms"
        );
    }
}

#[test]
fn a_purge_told_now_is_kept_whatever_hour_its_stamp_says() {
    for step in STEPS_MS {
        let (world, _program, mut client, mut watch) = started("store {\n memory 10MB\n}\n");
        let mut connections = Connections::default();
        let copy = format!("tell=filled,{TAG},made={}", stamp(0));
        for _ in 0..2 {
            client.ask(7, "page", "", b"");
            connections.serve_until_answered(&world, &mut client, &copy, b"old");
        }
        client.ask(7, "page", "", b"");
        let own = connections.serve_until_answered(&world, &mut client, &copy, b"not asked for");
        assert_eq!(
            (own.body, own.max_age),
            (b"old".to_vec(), None),
            "it is a copy of the router's own"
        );
        watch.say(purge(2, stamp(step)));
        connections.until_the_purge_is_heeded(&world, &mut client);
        client.ask(7, "page", "", b"");
        let served = connections.serve_until_answered(&world, &mut client, HIT, b"new");
        assert_eq!(served.body, b"new", "stepped by {step} ms");
    }
}

#[test]
fn a_copy_stamped_in_the_future_is_not_kept_and_later_ones_are_by_the_clock_that_is_ahead() {
    let (world, _program, mut client, _watch) = started("store {\n memory 10MB\n}\n");
    let mut connections = Connections::default();
    // The second sighting would be kept, were its age known; then it is known how far that clock is ahead.
    for (step, body) in [(0, "first"), (HOUR_MS, "second"), (HOUR_MS, "third")] {
        client.ask(7, "page", "", b"");
        let made = format!("tell=filled,{TAG},made={}", stamp(step));
        let served = connections.serve_until_answered(&world, &mut client, &made, body.as_bytes());
        assert_eq!(served.body, body.as_bytes(), "the server was asked");
    }
    client.ask(7, "page", "", b"");
    let own = connections.serve_until_answered(&world, &mut client, HIT, b"not asked for");
    assert_eq!(
        (own.body, own.max_age),
        (b"third".to_vec(), None),
        "kept by its stamp less the lead"
    );
}

/// Waits until a router has found out what an earlier life left on its disk.
fn until_recovered(control: &Path) {
    until("the recovery", || {
        let Ok(mut stream) = UnixStream::connect(control) else {
            return false;
        };
        stream.write_all(b"store stat\n").unwrap();
        let mut said = String::new();
        stream.read_to_string(&mut said).unwrap();
        serde_json::from_str::<Value>(&said).unwrap()["disk"]["phase"] == "ready"
    });
}

/// Makes a directory of own copies say of the clock of the starts before that it was off by a step since: ahead
/// by what it was set back.
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
    let mut world = World::new();
    let [disk, control] = ["copies", "control"].map(|name| world.path().with_file_name(name));
    world.directives = format!(
        "control {}\nstore {{\n disk {} 64MB\n segment 1MB\n sync-after 20ms\n least-fresh 0\n \
         known-purges 1h\n}}\n",
        control.display(),
        disk.display()
    );
    let mut connections = Connections::default();
    let mut ask = |world: &World, client: &mut Client, body: &[u8]| {
        client.ask(7, "page", "", b"");
        let made = format!("tell=filled,{TAG},made={}", unix_ms());
        connections.serve_until_answered(world, client, &made, body)
    };
    let mut program = world.start();
    let mut client = program.client();
    until("a copy on disk", || {
        ask(&world, &mut client, b"before").max_age.is_none()
    });
    program.terminate();
    program.ended();
    step_since_the_last_start(&disk, step_ms);
    let program = world.start();
    until_recovered(&control);
    ask(&world, &mut program.client(), b"after")
}

#[test]
fn a_copy_on_disk_is_served_after_a_restart_unless_the_clock_was_set_back_before() {
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

/// A purge told by a clock that was set back has to reach what is on disk of the clock that was ahead. So until
/// the step is over nothing that is made counts as newer than the purge, told before the disk was open or after.
#[test]
fn a_purge_told_by_a_clock_that_was_set_back_reaches_the_copies_of_the_one_before() {
    for known_at_the_start in [false, true] {
        let mut world = World::new();
        let [disk, control] = ["copies", "control"].map(|name| world.path().with_file_name(name));
        world.directives = format!(
            "control {}\nstore {{\n memory 10MB\n disk {} 64MB\n segment 1MB\n}}\n",
            control.display(),
            disk.display()
        );
        let mut program = world.start();
        until_recovered(&control);
        program.terminate();
        program.ended();
        while world.discovery.is_watched() {
            drop(world.discovery.accept());
        }
        step_since_the_last_start(&disk, -HOUR_MS);
        let event = purge(2, unix_ms());
        if known_at_the_start {
            let known: Value = serde_json::from_str(&event).unwrap();
            world.file["known"]["rev"] = json!(2);
            world.file["known"]["notices"]
                .as_array_mut()
                .unwrap()
                .push(known);
        }
        let program = world.start();
        until_recovered(&control);
        let (mut client, mut connections) = (program.client(), Connections::default());
        let mut watch = (!known_at_the_start).then(|| world.discovery.accept().0);
        if let Some(watch) = &mut watch {
            watch.say(event);
            connections.until_the_purge_is_heeded(&world, &mut client);
        }
        for _ in 0..4 {
            client.ask(7, "page", "", b"");
            let made = format!("tell=filled,{TAG},made={}", unix_ms());
            let served = connections.serve_until_answered(&world, &mut client, &made, b"new");
            assert!(
                served.max_age.is_some(),
                "kept; known at the start: {known_at_the_start}"
            );
        }
    }
}
