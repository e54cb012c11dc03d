//! Requests to stop while servers hang or clients go on sending, with deadlines that bring a kill soon.

use crate::stand_ins::*;
use serde_json::json;
use std::thread::{JoinHandle, spawn};
use std::time::Duration;

/// A kill comes no sooner after a request to stop than the longest deadline of the deployment and this.
const KILL_AFTER_LONGEST: Duration = Duration::from_millis(700);
/// What is sent so shortly before its connection is closed is sent again by its client.
const CROSSING: Duration = Duration::from_millis(50);

fn world_with_deadline(ms: u64) -> World {
    let mut world = World::new();
    for class in world.file["settings"]["Classes"].as_array_mut().unwrap() {
        class["HardLimit"] = json!(ms);
        class["Aim"] = json!(ms / 2);
    }
    world
}

/// All servers drain: whatever is asked is rejected at once.
fn all_leaving(mut world: World) -> World {
    let entries: Vec<_> = world
        .servers
        .iter()
        .map(|server| server.entry("leaving"))
        .collect();
    world.file["known"] =
        json!({"rev": 1, "notices": [{"rev": 1, "pool": {"whole": true, "hosts": entries}}]});
    world
}

/// What became of the requests of one client until its connection was closed.
#[derive(Default)]
struct Outcome {
    answered: usize,
    /// Longest time from a request to its final answer, beyond the client's own limit.
    latest: Duration,
    /// Sent longer before the close than what crosses it, and without an answer.
    lost: usize,
}

/// A client that keeps so many requests open and sends a new one for each answer until the router closes the
/// connection.
fn keeps_sending(
    program: &Program,
    open_most: usize,
    class: &'static str,
    limit_ms: u64,
) -> JoinHandle<Outcome> {
    let (mut client, program) = (program.client(), program.child.id());
    spawn(move || {
        let (mut outcome, mut open, mut tag) = (Outcome::default(), Vec::new(), 0);
        let limit = Duration::from_millis(limit_ms);
        loop {
            while open.len() < open_most {
                tag += 1;
                let sent = Moment::now(program);
                if !client.try_ask(tag, class, limit_ms) {
                    break;
                }
                open.push((tag, sent));
            }
            let Some((of, ..)) = client.try_answer() else {
                let crossed = |sent: &Moment| sent.elapsed() <= CROSSING + SLACK;
                outcome.lost = open.iter().filter(|(_, sent)| !crossed(sent)).count();
                return outcome;
            };
            let at = open
                .iter()
                .position(|(tag, _)| *tag == of)
                .expect("an answer to an open request");
            let (_, sent) = open.swap_remove(at);
            outcome.answered += 1;
            outcome.latest = outcome.latest.max(sent.elapsed().saturating_sub(limit));
        }
    })
}

/// Asks it to stop while these clients go on; all that they sent has its answer in time, and the program has
/// ended before it may be killed.
fn ends_in_time(mut program: Program, clients: Vec<JoinHandle<Outcome>>, longest_ms: u64) {
    let stopped = Moment::now(program.child.id());
    program.terminate();
    // What has ended and was not waited for still tells of its waits.
    wait_until("the program's end", || program.is_zombie());
    let took = stopped.elapsed();
    let (status, log) = program.ended();
    assert!(status.success(), "{log}");
    for client in clients {
        let Outcome {
            answered,
            latest,
            lost,
        } = client.join().expect("no connection was reset");
        assert!(answered > 0);
        assert_eq!(lost, 0, "lost, with {answered} answered");
        assert!(latest <= SLACK, "answered {latest:?} after its time");
    }
    assert!(
        took < Duration::from_millis(longest_ms) + KILL_AFTER_LONGEST,
        "ended after {took:?}"
    );
}

/// Short deadlines bring a kill soon. Clients that send the next request as soon as they have an answer, on
/// connections that stay open until the router closes them, keep every connection busy to the end.
#[test]
fn a_router_with_short_deadlines_ends_before_a_kill_though_clients_go_on_sending() {
    let mut world = all_leaving(world_with_deadline(400));
    let program = world.start();
    let clients = (0..16)
        .map(|_| keeps_sending(&program, 4, "page", 400))
        .collect();
    ends_in_time(program, clients, 400);
}

/// Servers take connections and read nothing, from before the request to stop until after the end.
#[test]
fn servers_that_hang_through_a_shutdown_leave_no_request_without_its_answer() {
    for longest in [400, 1000, 3000] {
        let mut world = world_with_deadline(longest);
        let program = world.start();
        let mut clients = Vec::new();
        for class in ["page", "confirm"] {
            clients.extend(
                [longest / 2, longest].map(|limit| keeps_sending(&program, 4, class, limit)),
            );
        }
        wait_until("requests at the servers", || {
            ["c1", "o1"].iter().all(|name| {
                world
                    .server(name)
                    .try_accept()
                    .is_some_and(|mut line| line.ready())
            })
        });
        ends_in_time(program, clients, longest);
    }
}
