//! The router's machine can send nothing for a while: every attempt is at once reported as never
//! sent.

use chalkhall::control::Router;
use chalkhall::interface::*;
use std::collections::VecDeque;
use std::time::Duration;

const MAX_ATTEMPTS: usize = 6;
const SERVERS: usize = 20;

/// Records the attempts and the final answers of the request under test.
#[derive(Default)]
struct Recorder {
    attempts: VecDeque<usize>,
    sent: usize,
    rejected: usize,
    failed: usize,
}

impl ActionSink for Recorder {
    fn attempt(&mut self, _: &Id, _: &Id, _: AttemptLimits, _: &Fill) {
        self.attempts.push_back(self.sent);
        self.sent += 1;
    }
    fn reject(&mut self, _: &Id, _: Option<Duration>) {
        self.rejected += 1;
    }
    fn fail(&mut self, _: &Id) {
        self.failed += 1;
    }
    fn cancel(&mut self, _: &Id, _: usize) {}
    fn set_timer(&mut self, _: Duration, _: u64) {}
    fn subscribe_list(&mut self) {}
}

fn deployment() -> Deployment {
    let ms = Duration::from_millis;
    let class = |effect, cacheable| Class {
        effect,
        dedup_window: ms(2000),
        soft_deadline: ms(500),
        soft_deadline_multiple: 2.0,
        deadline: ms(4000),
        value: 1.0,
        late_value: 0.2,
        cacheable,
        ..Class::default()
    };
    let classes = vec![
        class(Effect::Idempotent, true),
        class(Effect::NonIdempotent, false),
        class(Effect::Deduplicated, false),
    ];
    Deployment {
        routers: 1,
        routers_per_zone: vec![1],
        classes,
        min_call_interval: ms(2),
        client_kb_per_s: 1000.0,
        max_attempts: MAX_ATTEMPTS,
        may_cancel: true,
        pass_through: true,
        ..Deployment::default()
    }
}

fn list_servers(router: &mut Router, now: Duration, recorder: &mut Recorder) {
    let member = |name: String, tier| Member {
        server: name.as_str().into(),
        tier,
        capacity: 4.0,
        ..Member::default()
    };
    let caches = (0..SERVERS).map(|n| member(format!("c{n}"), Tier::Cache));
    let sources = [
        member("p1".into(), Tier::Parent),
        member("o1".into(), Tier::Origin),
    ];
    let list: Vec<Member> = caches.chain(sources).collect();
    router.update_list(now, ListKind::Snapshot, &list, recorder);
}

fn arrival(n: usize, class: usize) -> IncomingRequest {
    IncomingRequest {
        id: format!("a{n}").as_str().into(),
        class,
        object: format!("x{n}").as_str().into(),
        kb: 20.0,
        time_left: Duration::from_millis(4000),
        ..IncomingRequest::default()
    }
}

fn never_sent() -> AttemptResult {
    AttemptResult {
        outcome: Outcome::NeverSent,
        remark: Remark::None,
        duration: Duration::ZERO,
        first_byte: None,
        is_complete: false,
        load: Load::default(),
    }
}

/// Attempts end without any time passing, so that only the attempt limit stops them.
#[test]
fn a_request_that_can_never_be_sent_is_rejected_after_a_bounded_number_of_attempts() {
    let now = Duration::from_secs(100);
    let mut recorder = Recorder::default();
    let mut router = Router::start(Duration::from_secs(1), &deployment(), &mut recorder);
    list_servers(&mut router, now, &mut recorder);
    for n in 0..60 {
        recorder = Recorder::default();
        let arrival = arrival(n, n % 3);
        let id = arrival.id.clone();
        router.request(now, arrival, &mut recorder);
        while let Some(attempt) = recorder.attempts.pop_front() {
            router.attempt_ended(now, &id, attempt, &never_sent(), &mut recorder);
        }
        assert!(
            (1..=MAX_ATTEMPTS).contains(&recorder.sent),
            "request {n}: {} attempts",
            recorder.sent
        );
        assert_eq!(
            (recorder.rejected, recorder.failed),
            (1, 0),
            "request {n}: nothing was executed, so a retry is safe"
        );
    }
}

/// Failures of this machine eject no server: the next request goes to the server that the hash
/// prefers.
#[test]
fn attempts_never_sent_do_not_change_the_selection() {
    let now = Duration::from_secs(100);
    let first_choice = |failures: usize| {
        let mut recorder = Recorder::default();
        let mut router = Router::start(Duration::from_secs(1), &deployment(), &mut recorder);
        list_servers(&mut router, now, &mut recorder);
        for n in 0..failures {
            recorder = Recorder::default();
            let arrival = arrival(n, 0);
            let id = arrival.id.clone();
            router.request(now, arrival, &mut recorder);
            while let Some(attempt) = recorder.attempts.pop_front() {
                router.attempt_ended(now, &id, attempt, &never_sent(), &mut recorder);
            }
        }
        let mut servers = ChosenServers::default();
        for n in 0..200 {
            router.request(now, arrival(1000 + n, 0), &mut servers);
        }
        servers.0
    };
    assert_eq!(first_choice(0), first_choice(200));
}

/// Records the server of each request's first attempt.
#[derive(Default)]
struct ChosenServers(Vec<Id>);

impl ActionSink for ChosenServers {
    fn attempt(&mut self, _: &Id, server: &Id, _: AttemptLimits, _: &Fill) {
        self.0.push(server.clone());
    }
    fn reject(&mut self, _: &Id, _: Option<Duration>) {}
    fn fail(&mut self, _: &Id) {}
    fn cancel(&mut self, _: &Id, _: usize) {}
    fn set_timer(&mut self, _: Duration, _: u64) {}
    fn subscribe_list(&mut self) {}
}
