//! Clients that leave at every stage of a request.

use super::recording_server::*;
use crate::deployments::multi_tenant_environment;
use crate::support::*;
use std::time::Instant;

#[derive(Clone, Copy, Debug)]
enum Departure {
    Closes,
    CallsOff,
    Resets,
}

const DEPARTURES: [Departure; 3] = [Departure::Closes, Departure::CallsOff, Departure::Resets];

fn leave(client: &mut Option<TestClient>, how: Departure) -> Instant {
    match how {
        Departure::Closes => drop(client.take()),
        Departure::CallsOff => client.as_mut().unwrap().abort(1),
        Departure::Resets => client.take().unwrap().reset(),
    }
    Instant::now()
}

/// A request whose client has left.
struct AbandonedRequest {
    id: String,
    left_at: Instant,
}

/// A router before servers that respond only when they are told to.
struct Scene {
    router: RouterProcess,
    _environment: TestEnvironment,
    /// `c1`, `c2`, `p1` and `o1`.
    servers: [RecordingServer; 4],
}

impl Scene {
    fn new(may_cancel: bool) -> Scene {
        let servers = [
            ("c1", "cache"),
            ("c2", "cache"),
            ("p1", "parent"),
            ("o1", "origin"),
        ];
        let servers =
            servers.map(|(name, kind)| RecordingServer::of(FakeServer::new(name, kind), false));
        let environment = multi_tenant_environment()
            .with_setting("Limits", "MayCancel", may_cancel)
            .with_setting("Limits", "ConnectTimeout", 3000)
            .with_setting("Obligations", "DrainGrace", 3000)
            .with_setting("FamilyInfo", "ObeyAfter", 3000);
        let mut environment = environment_of(environment, &servers.each_ref());
        Scene {
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

    /// Waits for an attempt of a request at another server than one that has had it.
    fn wait_for_attempt(&self, id: &str, not_at: Option<&RecordingServer>) -> &RecordingServer {
        let is_other = |s: &RecordingServer| not_at.is_none_or(|n| n.server.name != s.server.name);
        let mut found = None;
        wait_until("an attempt", || {
            found = self.servers.iter().find(|s| is_other(s) && s.has(id));
            found.is_some()
        });
        found.unwrap()
    }

    fn attempts(&self) -> usize {
        self.servers.iter().map(|s| s.come().len()).sum()
    }

    /// A client leaves while the first attempt is out, or the second; then its server responds so
    /// that one more attempt would be allowed.
    fn leave_during_attempt(&self, attempt: usize, how: Departure) -> AbandonedRequest {
        let (mut client, id) = self.send_request("catalogue-card", b"");
        let mut server = self.wait_for_attempt(&id, None);
        if attempt == 2 {
            server.tell(&id, "BUSY");
            server = self.wait_for_attempt(&id, Some(server));
        }
        let descriptors = self.router.open_descriptors();
        let left_at = leave(&mut client, how);
        // The departure has arrived; the response that crosses it follows.
        if let Some(client) = &mut client {
            assert_eq!(client.health(), "GREEN");
        } else {
            wait_until("the departure", || {
                self.router.open_descriptors() < descriptors
            });
        }
        let before = self.attempts();
        server.tell(&id, "BUSY");
        wait_until("time for one more", || left_at.elapsed() > 130 * MS);
        assert_eq!(
            before,
            self.attempts(),
            "one more began for a client that had left ({how:?})"
        );
        AbandonedRequest { id, left_at }
    }

    /// Clients leave while the connection to the origin does not come up; it does a second later,
    /// when the sender tries anew.
    fn leave_while_connecting(&self, clients: usize) -> Vec<AbandonedRequest> {
        let [.., origin] = &self.servers;
        origin.hang(true);
        let others = origin.server.fill_accept_queue();
        let mut queued = Vec::new();
        for n in 0..clients {
            let (mut client, id) = self.send_request("loan-request", b"later");
            let state = client.as_mut().unwrap().health();
            assert_eq!(state, "GREEN", "it has been read");
            queued.push((client, id, DEPARTURES[n % DEPARTURES.len()]));
        }
        let leave_one = |(mut client, id, how)| {
            let left_at = leave(&mut client, how);
            // One that has only cancelled closes now.
            drop(client);
            AbandonedRequest { id, left_at }
        };
        let abandoned: Vec<AbandonedRequest> = queued.into_iter().map(leave_one).collect();
        let last = abandoned.last().unwrap().left_at;
        wait_until("0.3 s", || last.elapsed() > 300 * MS);
        origin.hang(false);
        drop(others);
        wait_until("the connection", || last.elapsed() > 1600 * MS);
        abandoned
    }

    /// The attempts that began over 0.1 s after the client of their request had left.
    fn begun_late(&self, abandoned: &[AbandonedRequest]) -> Vec<(String, Instant)> {
        let mut late = Vec::new();
        for AbandonedRequest { id, left_at } in abandoned {
            for server in &self.servers {
                let attempts = server.come();
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

/// Clients leave at every stage of a request; returns how many did, and of how many an attempt
/// began over 0.1 s later.
pub fn measure_departures(each: usize) -> (usize, usize) {
    let (mut left, mut late) = (0, Vec::new());
    for may_cancel in [true, false] {
        let scene = Scene::new(may_cancel);
        for n in 0..each {
            for attempt in [1, 2] {
                let how = DEPARTURES[n % DEPARTURES.len()];
                let abandoned = [scene.leave_during_attempt(attempt, how)];
                left += abandoned.len();
                late.extend(scene.begun_late(&abandoned));
            }
        }
        let abandoned = scene.leave_while_connecting(each);
        left += abandoned.len();
        late.extend(scene.begun_late(&abandoned));
    }
    assert!(late.is_empty(), "{} began late: {late:?}", late.len());
    (left, late.len())
}
