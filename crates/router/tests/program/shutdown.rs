//! Time limits of the graceful shutdown, while servers hang or clients keep sending.

use crate::support::*;
use serde_json::json;
use std::thread::{JoinHandle, spawn};
use std::time::Duration;

/// A router is killed no sooner than this, plus the longest deadline of the deployment, after its
/// stop signal.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// A client sends a request again if it was sent no longer than this before the connection was
/// closed.
const RESEND_WINDOW: Duration = Duration::from_millis(50);

fn environment_with_deadline(ms: u64) -> TestEnvironment {
    let mut environment = TestEnvironment::new();
    for class in environment.file["settings"]["Classes"]
        .as_array_mut()
        .unwrap()
    {
        class["HardLimit"] = json!(ms);
        class["Aim"] = json!(ms / 2);
    }
    environment
}

/// Makes every server drain, so that all requests are rejected at once.
fn with_all_servers_draining(mut environment: TestEnvironment) -> TestEnvironment {
    let entries: Vec<_> = environment
        .servers
        .iter()
        .map(|server| server.entry("leaving"))
        .collect();
    environment.file["known"] =
        json!({"rev": 1, "notices": [{"rev": 1, "pool": {"whole": true, "hosts": entries}}]});
    environment
}

/// The results of one client until its connection was closed.
#[derive(Default)]
struct Outcome {
    answered: usize,
    /// The longest time by which an answer exceeded the client's time limit.
    max_overrun: Duration,
    /// Requests without an answer that were sent before the resend window.
    lost: usize,
}

/// Starts a client that keeps this many requests open, and sends a new one for each answer, until
/// the router closes the connection.
fn spawn_sending_client(
    router: &RouterProcess,
    max_open: usize,
    class: &'static str,
    limit_ms: u64,
) -> JoinHandle<Outcome> {
    let (mut client, process) = (router.connect(), router.child.id());
    spawn(move || {
        let (mut outcome, mut open, mut tag) = (Outcome::default(), Vec::new(), 0);
        let limit = Duration::from_millis(limit_ms);
        loop {
            while open.len() < max_open {
                tag += 1;
                let sent = ScheduledInstant::now(process);
                if !client.try_send_request(tag, class, limit_ms) {
                    break;
                }
                open.push((tag, sent));
            }
            let Some((answered_tag, ..)) = client.try_read_answer_tuple() else {
                let is_resent = |sent: &ScheduledInstant| sent.elapsed() <= RESEND_WINDOW + SLACK;
                outcome.lost = open.iter().filter(|(_, sent)| !is_resent(sent)).count();
                return outcome;
            };
            let at = open
                .iter()
                .position(|(tag, _)| *tag == answered_tag)
                .expect("an answer to an open request");
            let (_, sent) = open.swap_remove(at);
            outcome.answered += 1;
            outcome.max_overrun = outcome
                .max_overrun
                .max(sent.elapsed().saturating_sub(limit));
        }
    })
}

/// Stops the router while these clients keep sending, and checks that all of their requests are
/// answered in time and that the router exits before it may be killed.
fn expect_exit_in_time(
    mut router: RouterProcess,
    clients: Vec<JoinHandle<Outcome>>,
    longest_ms: u64,
) {
    let stopped = ScheduledInstant::now(router.child.id());
    router.terminate();
    // A zombie process still has the scheduling statistics that `elapsed` reads.
    wait_until("the router to exit", || router.is_zombie());
    let took = stopped.elapsed();
    let (status, log) = router.wait_for_status_and_log();
    assert!(status.success(), "{log}");
    for client in clients {
        let Outcome {
            answered,
            max_overrun,
            lost,
        } = client.join().expect("a connection was reset");
        assert!(answered > 0);
        assert_eq!(
            lost, 0,
            "requests without an answer; {answered} were answered"
        );
        assert!(
            max_overrun <= SLACK,
            "a request was answered {max_overrun:?} after its time limit"
        );
    }
    assert!(
        took < Duration::from_millis(longest_ms) + KILL_GRACE,
        "the router exited after {took:?}"
    );
}

/// With short deadlines the router may be killed soon after its stop signal, while clients that
/// send a request for each answer keep every connection busy until the router closes it.
#[test]
fn a_router_with_short_deadlines_exits_before_the_kill_while_clients_keep_sending() {
    let mut environment = with_all_servers_draining(environment_with_deadline(400));
    let router = environment.start();
    let clients = (0..16)
        .map(|_| spawn_sending_client(&router, 4, "page", 400))
        .collect();
    expect_exit_in_time(router, clients, 400);
}

/// Servers accept connections and read nothing, from before the stop signal until after the exit.
#[test]
fn every_request_is_answered_when_servers_hang_through_a_shutdown() {
    for longest_ms in [400, 1000, 3000] {
        let mut environment = environment_with_deadline(longest_ms);
        let router = environment.start();
        let mut clients = Vec::new();
        for class in ["page", "confirm"] {
            clients.extend(
                [longest_ms / 2, longest_ms]
                    .map(|limit| spawn_sending_client(&router, 4, class, limit)),
            );
        }
        wait_until("requests at the servers", || {
            ["c1", "o1"].iter().all(|name| {
                environment
                    .server(name)
                    .try_accept()
                    .is_some_and(|mut connection| connection.has_unread_data())
            })
        });
        expect_exit_in_time(router, clients, longest_ms);
    }
}
