//! Clients that cancel or disconnect at every stage of a request.

use super::recording_server::*;
use crate::deployments::multi_tenant_environment;
use crate::support::*;
use std::time::Instant;

#[derive(Clone, Copy, Debug)]
enum Departure {
    Closes,
    Cancels,
    Resets,
}

const DEPARTURES: [Departure; 3] = [Departure::Closes, Departure::Cancels, Departure::Resets];

fn leave(client: &mut Option<TestClient>, departure: Departure) -> Instant {
    match departure {
        Departure::Closes => drop(client.take()),
        Departure::Cancels => client.as_mut().unwrap().abort(1),
        Departure::Resets => client.take().unwrap().reset(),
    }
    Instant::now()
}

/// A request whose client has left.
struct AbandonedRequest {
    id: String,
    left_at: Instant,
}

/// A router with servers that respond only on demand.
struct Scenario {
    router: RouterProcess,
    _environment: TestEnvironment,
    /// `c1`, `c2`, `p1` and `o1`.
    servers: [RecordingServer; 4],
}

impl Scenario {
    fn new(may_cancel: bool) -> Scenario {
        let servers = [
            ("c1", "cache"),
            ("c2", "cache"),
            ("p1", "parent"),
            ("o1", "origin"),
        ];
        let servers =
            servers.map(|(name, kind)| RecordingServer::start(FakeServer::new(name, kind), false));
        let environment = multi_tenant_environment()
            .with_setting("Limits", "MayCancel", may_cancel)
            .with_setting("Limits", "ConnectTimeout", 3000)
            .with_setting("Obligations", "DrainGrace", 3000)
            .with_setting("FamilyInfo", "ObeyAfter", 3000);
        let mut environment = environment_with_servers(environment, &servers.each_ref());
        Scenario {
            router: environment.start(),
            _environment: environment,
            servers,
        }
    }

    fn send_request(&self, class: &str, body: &[u8]) -> (Option<TestClient>, String) {
        let mut client = self.router.connect();
        let id = client.send_request(1, class, "t=archive", body);
        (Some(client), id)
    }

    /// Waits for an attempt at a request at any server but `not_at`.
    fn wait_for_attempt(&self, id: &str, not_at: Option<&RecordingServer>) -> &RecordingServer {
        let is_other = |s: &RecordingServer| not_at.is_none_or(|n| n.server.name != s.server.name);
        let mut found = None;
        wait_until("an attempt", || {
            found = self
                .servers
                .iter()
                .find(|s| is_other(s) && s.has_received(id));
            found.is_some()
        });
        found.unwrap()
    }

    fn attempts(&self) -> usize {
        self.servers.iter().map(|s| s.received().len()).sum()
    }

    /// A client leaves during the first or second attempt; then the server of that attempt responds
    /// `BUSY`, after which a retry would be allowed.
    fn leave_during_attempt(&self, attempt: usize, departure: Departure) -> AbandonedRequest {
        let (mut client, id) = self.send_request("catalogue-card", b"");
        let mut server = self.wait_for_attempt(&id, None);
        if attempt == 2 {
            server.respond(&id, "BUSY");
            server = self.wait_for_attempt(&id, Some(server));
        }
        let descriptors = self.router.open_descriptors();
        let left_at = leave(&mut client, departure);
        // The router has noticed the departure before the response follows.
        if let Some(client) = &mut client {
            assert_eq!(client.health(), "GREEN");
        } else {
            wait_until("the departure", || {
                self.router.open_descriptors() < descriptors
            });
        }
        let before = self.attempts();
        server.respond(&id, "BUSY");
        wait_until("the time in which a retry would begin", || {
            left_at.elapsed() > 130 * MS
        });
        assert_eq!(
            before,
            self.attempts(),
            "a retry began for a client that had left ({departure:?})"
        );
        AbandonedRequest { id, left_at }
    }

    /// Clients leave while the connection to the origin is not established; it is a second later,
    /// when the kernel retransmits the SYN.
    fn leave_while_connecting(&self, clients: usize) -> Vec<AbandonedRequest> {
        let [.., origin] = &self.servers;
        origin.set_hanging(true);
        let others = origin.server.fill_accept_queue();
        let mut queued = Vec::new();
        for n in 0..clients {
            let (mut client, id) = self.send_request("loan-request", b"later");
            let state = client.as_mut().unwrap().health();
            assert_eq!(state, "GREEN", "the request has been read");
            queued.push((client, id, DEPARTURES[n % DEPARTURES.len()]));
        }
        let leave_one = |(mut client, id, departure)| {
            let left_at = leave(&mut client, departure);
            // A client that only cancelled disconnects now.
            drop(client);
            AbandonedRequest { id, left_at }
        };
        let abandoned: Vec<AbandonedRequest> = queued.into_iter().map(leave_one).collect();
        let last = abandoned.last().unwrap().left_at;
        wait_until("0.3 s after the last departure", || {
            last.elapsed() > 300 * MS
        });
        origin.set_hanging(false);
        drop(others);
        wait_until("the retransmission of the SYN", || {
            last.elapsed() > 1600 * MS
        });
        abandoned
    }

    /// The attempts that began more than 0.1 s after the client of their request had left.
    fn late_attempts(&self, abandoned: &[AbandonedRequest]) -> Vec<(String, Instant)> {
        let mut late = Vec::new();
        for AbandonedRequest { id, left_at } in abandoned {
            for server in &self.servers {
                let attempts = server.received();
                let is_late = |a: &&RecordedRequest| a.id == *id && a.at > *left_at + 100 * MS;
                late.extend(
                    attempts
                        .iter()
                        .filter(is_late)
                        .map(|a| (a.id.clone(), a.at)),
                );
            }
        }
        late
    }
}

/// Clients leave at every stage of a request. Returns how many did, and how many attempts began
/// more than 0.1 s later.
pub fn measure_departures(each: usize) -> (usize, usize) {
    let (mut left, mut late) = (0, Vec::new());
    for may_cancel in [true, false] {
        let scenario = Scenario::new(may_cancel);
        for n in 0..each {
            for attempt in [1, 2] {
                let departure = DEPARTURES[n % DEPARTURES.len()];
                let abandoned = [scenario.leave_during_attempt(attempt, departure)];
                left += abandoned.len();
                late.extend(scenario.late_attempts(&abandoned));
            }
        }
        let abandoned = scenario.leave_while_connecting(each);
        left += abandoned.len();
        late.extend(scenario.late_attempts(&abandoned));
    }
    assert!(
        late.is_empty(),
        "{} attempts began after their clients had left: {late:?}",
        late.len()
    );
    (left, late.len())
}
