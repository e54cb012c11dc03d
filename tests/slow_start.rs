//! The slow-start budget of a server, against the sum of what whole fleets of routers send it.
//!
//! The fleet consists of real routers in simulated time, with more demand than the server may take.
//! The sum is counted in requests of mean work. `SLOW_START=whole` plays more seeds and budgets.

use chalkhall::control::Router;
use chalkhall::interface::*;
use std::collections::VecDeque;
use std::time::Duration;

const WINDOW: Duration = Duration::from_millis(1000);
const WARM_WITHIN: Duration = Duration::from_millis(8000);
const COLD_FROM: f64 = 0.4;
const MULTIPLE: f64 = 2.0;
/// The sending time, in seconds, of a request of mean work, and the transfer rate of one answer in
/// KB per second.
const MEAN_WORK: f64 = 0.1;
const KB_PER_S: f64 = 1000.0;
/// The start time of the server; routers have run since zero.
const STARTED: Duration = Duration::from_millis(6000);
const WARMING: &str = "warming";
/// The number of connections on which usual clients send; the bad client uses one more.
const GOOD_CLIENTS: u64 = 6;
/// What the bad client sends with each request of the others.
const BAD_REQUESTS: usize = 8;
/// The size that the bad client states, in multiples of the mean. The answers are as large as the
/// others.
const TINY_SIZE: f64 = 1e-6;

/// The number of requests of mean work that may reach a server in one window when the settings
/// allow `allowed`.
fn bound(allowed: f64) -> f64 {
    let slack = if allowed < 30.0 { 3.0 } else { 2.0 };
    allowed + slack * allowed.sqrt() + slack
}

/// The work of requests, in multiples of the mean.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Sizes {
    Equal,
    /// Log-normal, with a median of 0.61 and a standard deviation of 1.3 times the mean.
    Spread,
    /// Three classes of 0.4, 1.0 and 1.6 on average.
    Classes,
    /// Two classes of 1.74 and 0.13 on average, each log-normal with a standard deviation of 2.1
    /// times its mean.
    HeavyTailed,
}

/// When routers send, and when they learn of the server.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Timing {
    /// All routers learn of it when it starts, and send continuously.
    Steady,
    /// All routers learn of it at the same time, this long after its start.
    ListedLate(Duration),
    /// Routers learn of it up to two windows late.
    ListedUnevenly,
    /// Routers send for 0.6 of a window only, around the end of every other window.
    Bursts,
    /// Seven in ten routers restart while it warms up, one after another or all at once.
    RoutersRestart { together: bool },
    /// The server restarts twice, the second time within a window.
    ServerRestarts,
    /// All routers learn of it when it starts. With each request a bad client sends several that
    /// state a size of almost nothing; it withdraws them, or has them answered.
    Understated { withdrawn: bool },
    /// No router has had a request until the server starts. An answer takes the longer the larger
    /// its object is.
    AfterQuietTime,
}

#[derive(Clone, Copy, Debug)]
struct Scenario {
    routers: usize,
    /// The number of requests of mean work that the settings allow in a window at the start.
    allowed: f64,
    tier: Tier,
    sizes: Sizes,
    timing: Timing,
    /// Requests per second at each router.
    demand: f64,
    /// How long the server is observed after its start.
    observed_for: Duration,
    seed: u64,
}

/// What a fleet sent to the server, relative to what it may send.
#[derive(Debug, Default)]
struct Measured {
    /// The maximum in one window, as a share of the bound at that time.
    worst: f64,
    /// The average per window, as a share of what the settings allow.
    used: f64,
}

#[derive(Default)]
struct Attempts {
    made: Vec<(Id, Id, Id)>,
}

impl ActionSink for Attempts {
    fn attempt(&mut self, request: &Id, server: &Id, _limits: AttemptLimits, fill: &Fill) {
        self.made
            .push((request.clone(), server.clone(), fill.source.clone()));
    }
    fn reject(&mut self, _request: &Id, _retry_after: Option<Duration>) {}
    fn fail(&mut self, _request: &Id) {}
    fn cancel(&mut self, _request: &Id, _attempt: usize) {}
    fn set_timer(&mut self, _at: Duration, _timer_id: u64) {}
    fn subscribe_list(&mut self) {}
}

const CLASS_MEANS: [f64; 3] = [0.4, 1.0, 1.6];
/// The classes of [`Sizes::HeavyTailed`], and the share of requests of the first.
const HEAVY_CLASS_MEANS: [f64; 2] = [1.74, 0.13];
const HEAVY_CLASS_SHARE: f64 = 0.54;
/// The standard deviation of the logarithm of their sizes.
const HEAVY_SIGMA: f64 = 1.3;
/// How long an answer of mean work takes where larger ones take longer.
const MEAN_ANSWER_SECONDS: f64 = 0.23;

impl Scenario {
    fn deployment(&self, number: usize) -> Deployment {
        let class = Class {
            soft_deadline: Duration::from_secs(5),
            deadline: Duration::from_secs(9),
            value: 1.0,
            cacheable: true,
            ..Class::default()
        };
        let cold = SlowStartSettings {
            initial_capacity: COLD_FROM,
            warm_up_time: WARM_WITHIN,
            overload_multiple: MULTIPLE,
            window: WINDOW,
        };
        Deployment {
            router_index: number as u64,
            seed: self.seed ^ (number as u64) << 32,
            routers: self.routers,
            zone: 0,
            routers_per_zone: vec![self.routers],
            classes: vec![class; CLASS_MEANS.len()],
            min_call_interval: Duration::from_millis(2),
            client_kb_per_s: KB_PER_S,
            max_attempts: 4,
            may_cancel: true,
            cold_cache: cold,
            cold_parent: cold,
            pass_through: false,
            ..Deployment::default()
        }
    }

    /// The capacity for which the settings allow `allowed` requests at the start.
    fn capacity(&self) -> f64 {
        self.allowed * MEAN_WORK / (MULTIPLE * COLD_FROM * WINDOW.as_secs_f64())
    }

    fn allowed_at(&self, age: Duration) -> f64 {
        let warmth = age.div_duration_f64(WARM_WITHIN).min(1.0);
        self.allowed / COLD_FROM * (COLD_FROM + (1.0 - COLD_FROM) * warmth)
    }

    fn name(&self) -> Id {
        format!("{WARMING}-{}", self.seed).into()
    }

    fn list(&self, started: Duration) -> Vec<Member> {
        let member = |server: Id, tier, started| Member {
            server,
            tier,
            capacity: self.capacity(),
            started,
            ..Member::default()
        };
        let mut list = vec![
            member(self.name(), self.tier, Some(started)),
            member("warm".into(), self.tier, None),
        ];
        if self.tier == Tier::Parent {
            list.push(member("cache".into(), Tier::Cache, None));
        }
        list
    }

    fn size(&self, rng: &mut fastrand::Rng) -> (usize, f64) {
        match self.sizes {
            Sizes::Equal => (1, 1.0),
            Sizes::Spread => (1, (normal(rng) - 0.5).exp()),
            Sizes::Classes => {
                let class = rng.usize(0..CLASS_MEANS.len());
                (class, CLASS_MEANS[class] * (0.5 + rng.f64()))
            }
            Sizes::HeavyTailed => {
                let class = usize::from(rng.f64() > HEAVY_CLASS_SHARE);
                let logarithm = HEAVY_SIGMA * normal(rng) - HEAVY_SIGMA * HEAVY_SIGMA / 2.0;
                (class, HEAVY_CLASS_MEANS[class] * logarithm.exp())
            }
        }
    }

    /// The work of one attempt, in requests of mean work.
    fn work_units(&self, class: usize, size: f64) -> f64 {
        match (self.tier, self.sizes) {
            (Tier::Cache, Sizes::Classes) => CLASS_MEANS[class],
            (Tier::Cache, Sizes::HeavyTailed) => HEAVY_CLASS_MEANS[class],
            (Tier::Cache, _) => 1.0,
            _ => size,
        }
    }

    fn sends_at(&self, now: Duration) -> bool {
        self.timing != Timing::Bursts
            || now < STARTED
            || (now + WINDOW * 2 - STARTED - WINDOW.mul_f64(0.7)).div_duration_f64(WINDOW) % 2.0
                < 0.6
    }

    /// All events, in chronological order.
    fn events(&self, rng: &mut fastrand::Rng) -> Vec<(Duration, Event)> {
        let mut events = Vec::new();
        for router in 0..self.routers {
            let end = STARTED + self.observed_for;
            // A router that has run for some time has already received some requests.
            let mut now = match self.timing {
                Timing::AfterQuietTime => STARTED,
                _ => STARTED - WINDOW / 4,
            };
            while now < end {
                now += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / self.demand);
                if now < end && self.sends_at(now) {
                    events.push((now, Event::Request(router)));
                }
            }
            let listed_at = match self.timing {
                Timing::ListedLate(late) => STARTED + late,
                Timing::ListedUnevenly => STARTED + WINDOW.mul_f64(2.0 * rng.f64()),
                _ => STARTED,
            };
            events.push((listed_at, Event::Listed(router, STARTED)));
            if let Timing::RoutersRestart { together } = self.timing
                && rng.f64() < 0.7
            {
                let after = if together { 0.6 } else { 0.3 + 2.0 * rng.f64() };
                events.push((STARTED + WINDOW.mul_f64(after), Event::Restart(router)));
            }
            if self.timing == Timing::ServerRestarts {
                for restarted_at in [STARTED + WINDOW.mul_f64(1.2), STARTED + WINDOW.mul_f64(1.8)] {
                    events.push((restarted_at, Event::Listed(router, restarted_at)));
                }
            }
        }
        events.sort_by_key(|(at, _)| *at);
        events
    }

    /// How long a server takes to answer.
    fn answer_time(&self, size: f64) -> Duration {
        match self.timing {
            Timing::AfterQuietTime => Duration::from_secs_f64(MEAN_ANSWER_SECONDS * size),
            _ => Duration::ZERO,
        }
    }

    fn play(&self) -> Measured {
        let mut rng = fastrand::Rng::with_seed(self.seed ^ 0x510e);
        let mut attempts = Attempts::default();
        let start_router = |router, now, attempts: &mut Attempts| {
            Router::start(now, &self.deployment(router), attempts)
        };
        let mut routers: Vec<Router> = (0..self.routers)
            .map(|router| start_router(router, Duration::ZERO, &mut attempts))
            .collect();
        let (mut started, mut observer) = (STARTED, Observer::new(*self));
        let mut unanswered: Vec<Unanswered> = Vec::new();
        for (n, (now, event)) in self.events(&mut rng).into_iter().enumerate() {
            for answered in take_answered(&mut unanswered, now) {
                routers[answered.router].attempt_ended(
                    answered.at,
                    &answered.request,
                    0,
                    &served(),
                    &mut attempts,
                );
            }
            match event {
                Event::Listed(router, since) => {
                    started = since;
                    observer.restarted(since);
                    routers[router].update_list(
                        now,
                        ListKind::Snapshot,
                        &self.list(since),
                        &mut attempts,
                    );
                }
                Event::Restart(router) => {
                    routers[router] = start_router(router, now, &mut attempts);
                    routers[router].update_list(
                        now,
                        ListKind::Snapshot,
                        &self.list(started),
                        &mut attempts,
                    );
                }
                Event::Request(router) => {
                    let (class, size) = self.size(&mut rng);
                    let arrival = request(n.to_string(), class, size, rng.u64(1..=GOOD_CLIENTS));
                    routers[router].request(now, arrival, &mut attempts);
                    for (id, server, source) in std::mem::take(&mut attempts.made) {
                        if *server == *self.name() || *source == *self.name() {
                            observer.sent(now, self.work_units(class, size));
                        }
                        let answer_time = self.answer_time(size);
                        if answer_time.is_zero() {
                            routers[router].attempt_ended(now, &id, 0, &served(), &mut attempts);
                            continue;
                        }
                        unanswered.push(Unanswered {
                            at: now + answer_time,
                            router,
                            request: id,
                        });
                    }
                    if let Timing::Understated { withdrawn } = self.timing {
                        for bad in 0..BAD_REQUESTS {
                            let arrival = request(format!("{n}-{bad}"), class, TINY_SIZE, 0);
                            let id = arrival.id.clone();
                            routers[router].request(now, arrival, &mut attempts);
                            let made = std::mem::take(&mut attempts.made);
                            if withdrawn {
                                routers[router].client_left(now, &id, &mut attempts);
                            }
                            let outcome = if withdrawn { cancelled() } else { served() };
                            for (id, server, source) in made {
                                if *server == *self.name() || *source == *self.name() {
                                    observer.sent(now, self.work_units(class, size));
                                }
                                routers[router].attempt_ended(now, &id, 0, &outcome, &mut attempts);
                            }
                        }
                    }
                }
            }
        }
        observer.measured()
    }
}

/// An attempt that a server has not answered yet.
struct Unanswered {
    at: Duration,
    router: usize,
    request: Id,
}

/// Takes the attempts that have been answered by now, in the order of their answers.
fn take_answered(unanswered: &mut Vec<Unanswered>, now: Duration) -> Vec<Unanswered> {
    let mut answered: Vec<Unanswered> = unanswered.extract_if(.., |one| one.at <= now).collect();
    answered.sort_by_key(|one| one.at);
    answered
}

fn normal(rng: &mut fastrand::Rng) -> f64 {
    (-2.0 * (1.0 - rng.f64()).ln()).sqrt() * (std::f64::consts::TAU * rng.f64()).cos()
}

/// A request of this size, in multiples of the mean, on this connection.
fn request(id: String, class: usize, size: f64, connection: u64) -> IncomingRequest {
    IncomingRequest {
        id: id.as_str().into(),
        class,
        object: id.as_str().into(),
        kb: size * MEAN_WORK * KB_PER_S,
        connection,
        time_left: Duration::from_secs(9),
        ..IncomingRequest::default()
    }
}

#[derive(Clone, Copy)]
enum Event {
    Request(usize),
    /// A router receives the list, with the server's start time.
    Listed(usize, Duration),
    Restart(usize),
}

fn served() -> AttemptResult {
    AttemptResult {
        outcome: Outcome::Served,
        remark: Remark::Filled,
        duration: Duration::from_millis(50),
        first_byte: Some(Duration::from_millis(10)),
        is_complete: true,
        load: Load::default(),
    }
}

fn cancelled() -> AttemptResult {
    AttemptResult {
        outcome: Outcome::Cancelled,
        remark: Remark::None,
        is_complete: false,
        ..served()
    }
}

/// Measures the work that reaches the server in each sliding window.
struct Observer {
    scenario: Scenario,
    started: Duration,
    within: VecDeque<(Duration, f64)>,
    worst: f64,
    total: f64,
}

impl Observer {
    fn new(scenario: Scenario) -> Observer {
        Observer {
            scenario,
            started: STARTED,
            within: VecDeque::new(),
            worst: 0.0,
            total: 0.0,
        }
    }

    /// Work sent to an earlier incarnation of the server does not count.
    fn restarted(&mut self, started: Duration) {
        if started != self.started {
            self.within.clear();
        }
        self.started = started;
    }

    fn sent(&mut self, now: Duration, weight: f64) {
        self.within.push_back((now, weight));
        self.total += weight;
        while self
            .within
            .front()
            .is_some_and(|(at, _)| *at + WINDOW <= now)
        {
            self.within.pop_front();
        }
        let sum: f64 = self.within.iter().map(|(_, weight)| weight).sum();
        // What the settings allow grows within the window; its lowest value counts.
        let least = self
            .scenario
            .allowed_at(self.within[0].0.saturating_sub(self.started));
        self.worst = self.worst.max(sum / bound(least));
    }

    fn measured(&self) -> Measured {
        let windows = self.scenario.observed_for.div_duration_f64(WINDOW);
        let allowed = self.scenario.allowed_at(self.scenario.observed_for / 2);
        Measured {
            worst: self.worst,
            used: self.total / windows / allowed,
        }
    }
}

/// The maximum and the mean of a scenario over several seeds.
fn summarize_seeds(scenario: Scenario, seeds: u64) -> Measured {
    let mut all = Measured::default();
    for seed in 0..seeds {
        let one = Scenario {
            seed: seed * 7919 + scenario.seed,
            ..scenario
        }
        .play();
        all.worst = all.worst.max(one.worst);
        all.used += one.used / seeds as f64;
    }
    all
}

/// The number of seeds, which is larger with `SLOW_START=whole`.
fn seeds(quick: u64, whole: u64) -> u64 {
    if is_whole() { whole } else { quick }
}

fn is_whole() -> bool {
    std::env::var("SLOW_START").is_ok_and(|form| form == "whole")
}

/// A demand that exceeds every budget here, and is as high as one router is likely to see.
fn high_demand(routers: usize, allowed: f64) -> f64 {
    (6.0 * bound(allowed / COLD_FROM) / routers as f64).max(if routers > 300 { 4.0 } else { 8.0 })
}

const LATE_BY: Duration = Duration::from_millis(800);
const LATE: Timing = Timing::ListedLate(LATE_BY);

const TIMINGS: [Timing; 7] = [
    Timing::Steady,
    LATE,
    Timing::ListedUnevenly,
    Timing::Bursts,
    Timing::RoutersRestart { together: true },
    Timing::RoutersRestart { together: false },
    Timing::ServerRestarts,
];

const LOADS: [(Tier, Sizes); 5] = [
    (Tier::Cache, Sizes::Equal),
    (Tier::Cache, Sizes::Spread),
    (Tier::Cache, Sizes::Classes),
    (Tier::Parent, Sizes::Spread),
    (Tier::Parent, Sizes::Classes),
];

/// Each seed plays every fleet size with every budget, and takes the next timing and load for each
/// combination.
#[test]
fn no_fleet_exceeds_the_budget_of_a_server_in_slow_start() {
    let mut worst = (0.0, String::new());
    for seed in 0..seeds(1, 105) {
        let mut turn = seed as usize;
        for routers in [1, 2, 6, 30, 300, 900] {
            for allowed in [
                1.0, 2.0, 5.0, 12.0, 18.0, 24.0, 29.0, 30.0, 36.0, 45.0, 60.0,
            ] {
                turn += 1;
                let timing = TIMINGS[turn % TIMINGS.len()];
                let (tier, sizes) = LOADS[turn % LOADS.len()];
                let demand = high_demand(routers, allowed);
                let observed_for = if routers > 30 { WINDOW * 3 } else { WINDOW * 5 };
                let scenario = Scenario {
                    routers,
                    allowed,
                    tier,
                    sizes,
                    timing,
                    demand,
                    observed_for,
                    seed: seed + 1,
                };
                let measured = scenario.play();
                assert!(
                    measured.worst <= 1.0,
                    "{:.2} of the bound: {scenario:?}",
                    measured.worst
                );
                if measured.worst > worst.0 {
                    worst = (measured.worst, format!("{scenario:?}"));
                }
            }
        }
    }
    println!("maximum {:.2} of the bound: {}", worst.0, worst.1);
}

/// Guards against a fault: the weight of a request was learned from requests when they came, so
/// that a client that stated sizes of almost nothing, and withdrew its requests, made a cold server
/// look as if it bore any number of them.
#[test]
fn a_client_that_understates_sizes_does_not_raise_the_budget() {
    for (tier, sizes) in [
        (Tier::Cache, Sizes::Equal),
        (Tier::Cache, Sizes::Classes),
        (Tier::Parent, Sizes::Equal),
        (Tier::Parent, Sizes::Classes),
    ] {
        for withdrawn in [true, false] {
            for (routers, allowed) in [(1, 30.0), (6, 30.0), (30, 60.0)] {
                let scenario = Scenario {
                    routers,
                    allowed,
                    tier,
                    sizes,
                    timing: Timing::Understated { withdrawn },
                    demand: high_demand(routers, allowed),
                    observed_for: WINDOW * 3,
                    seed: 1,
                };
                let measured = summarize_seeds(scenario, seeds(2, 40));
                assert!(
                    measured.worst <= 1.0,
                    "{:.2} of the bound: {scenario:?}",
                    measured.worst
                );
            }
        }
    }
}

/// Guards against a fault: what requests weigh was learned from the first answers, which are those
/// of the smallest objects, and from too few of them.
#[test]
fn routers_without_traffic_before_a_server_starts_stay_within_its_budget() {
    for (routers, allowed, demand) in [(30, 50.0, 30.0), (30, 24.0, 30.0), (6, 30.0, 60.0)] {
        let scenario = Scenario {
            routers,
            allowed,
            tier: Tier::Cache,
            sizes: Sizes::HeavyTailed,
            timing: Timing::AfterQuietTime,
            demand,
            observed_for: WINDOW * 4,
            seed: 1,
        };
        let measured = summarize_seeds(scenario, seeds(8, 60));
        println!(
            "{routers} routers: {:.2} of the bound, {:.2} of what is allowed is used",
            measured.worst, measured.used
        );
        assert!(
            measured.worst <= 1.0,
            "{:.2} of the bound: {scenario:?}",
            measured.worst
        );
    }
}

/// Guards against two faults. When all routers changed their draws within the same window, the
/// routers of both draws sent. With several sizes, a router sent the first size that its draw
/// allowed, more on average than its share.
#[test]
fn hundreds_of_routers_that_learn_of_a_server_mid_window_stay_well_below_the_bound() {
    for (tier, sizes) in [
        (Tier::Cache, Sizes::Classes),
        (Tier::Parent, Sizes::Classes),
    ] {
        for allowed in [30.0, 60.0] {
            let (routers, timing, demand, observed_for) = (300, LATE, 40.0, WINDOW * 2);
            let scenario = Scenario {
                routers,
                allowed,
                tier,
                sizes,
                timing,
                demand,
                observed_for,
                seed: 1,
            };
            let measured = summarize_seeds(scenario, seeds(1, 40));
            println!("{tier:?} {allowed}: {:.2} of the bound", measured.worst);
            assert!(
                measured.worst < 0.9,
                "{:.2} of the bound: {scenario:?}",
                measured.worst
            );
        }
    }
}

/// The probability that a Poisson variable with this mean exceeds the limit.
fn poisson_exceedance(mean: f64, limit: f64) -> f64 {
    let (mut term, mut count, mut over) = ((-mean).exp(), 0.0, 0.0);
    while count <= limit {
        count += 1.0;
        term *= mean / count;
    }
    // Summed from the limit upwards, as 1 minus the sum below it would be lost to rounding.
    while term > over * 1e-12 {
        over += term;
        count += 1.0;
        term *= mean / count;
    }
    over
}

/// The work of randomly drawn routers varies. In the worst case, in which all routers learn of a
/// server and send at once, the count per window is spread no wider than a Poisson variable, which
/// exceeds the bound with a probability of less than one in a million.
#[test]
fn fewer_than_one_slow_start_in_a_million_exceeds_the_bound_by_chance() {
    let mut highest_probability: f64 = 0.0;
    // The bound is nearest to the mean at 30, where its slack becomes smaller.
    let all: &[f64] = if is_whole() {
        &[18.0, 24.0, 29.0, 30.0, 45.0, 60.0]
    } else {
        &[18.0, 30.0]
    };
    for allowed in all.iter().copied() {
        let (tier, sizes, observed_for) = (Tier::Cache, Sizes::Equal, WINDOW.mul_f64(1.8));
        let scenario = Scenario {
            routers: 300,
            allowed,
            tier,
            sizes,
            timing: LATE,
            demand: 10.0,
            observed_for,
            seed: 1,
        };
        let plays = seeds(24, 150);
        let work_units: Vec<f64> = (0..plays)
            .map(|seed| {
                let scenario = Scenario {
                    seed: seed * 104_729,
                    ..scenario
                };
                scenario.play().used * 1.8 * scenario.allowed_at(observed_for / 2)
            })
            .collect();
        let mean = work_units.iter().sum::<f64>() / plays as f64;
        let variance = work_units
            .iter()
            .map(|count| (count - mean).powi(2))
            .sum::<f64>()
            / (plays - 1) as f64;
        // An upper estimate of the mean: three standard errors above the mean of the runs.
        let highest = mean + 3.0 * (variance / plays as f64).sqrt();
        let probability = poisson_exceedance(highest, bound(scenario.allowed_at(LATE_BY)));
        println!(
            "{allowed}: mean {mean:.1} (at most {highest:.1}), variance {variance:.1}, probability {probability:.1e}"
        );
        assert!(
            variance < 2.0 * mean,
            "{allowed}: mean {mean:.1}, variance {variance:.1}"
        );
        highest_probability = highest_probability.max(probability);
    }
    assert!(
        highest_probability < 1e-6,
        "the probability is {highest_probability:.1e}"
    );
}

/// A server that is sent too little stays cold: no rule is violated, but capacity is lost.
#[test]
fn a_fleet_with_high_demand_uses_two_fifths_of_the_allowance_of_a_warming_server() {
    for routers in [1, 6, 30, 300] {
        for (tier, sizes) in [(Tier::Cache, Sizes::Equal), (Tier::Parent, Sizes::Classes)] {
            let (allowed, timing) = (36.0, Timing::Steady);
            let (demand, observed_for) = (high_demand(routers, allowed).max(20.0), WINDOW * 3);
            let scenario = Scenario {
                routers,
                allowed,
                tier,
                sizes,
                timing,
                demand,
                observed_for,
                seed: 1,
            };
            let used = summarize_seeds(scenario, seeds(1, 20)).used;
            println!("{routers} routers, {tier:?}: {used:.2} of what is allowed");
            assert!(
                (0.35..0.65).contains(&used),
                "{used:.2} of what is allowed: {scenario:?}"
            );
        }
    }
}
