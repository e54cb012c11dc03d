//! The budget of a server in slow start, against the sum of what whole fleets of routers send it.
//!
//! Every router of the fleet is the real one, in simulated time, with more demand than the server
//! may take. The sum counts in requests of mean work. `SLOW_START=whole` plays more seeds and
//! budgets.

use chalkhall::control::Router;
use chalkhall::interface::*;
use std::collections::VecDeque;
use std::time::Duration;

const SPAN: Duration = Duration::from_millis(1000);
const WARM_WITHIN: Duration = Duration::from_millis(8000);
const COLD_FROM: f64 = 0.4;
const MULTIPLE: f64 = 2.0;
/// Sending time of a request of mean work, and how many KB a second one answer runs at.
const MEAN_WORK: f64 = 0.1;
const KB_PER_S: f64 = 1000.0;
/// The server starts at this time; routers have run since zero.
const STARTED: Duration = Duration::from_millis(6000);
const WARMING: &str = "warming";

/// How many requests of mean work may reach a server in one span when the settings allow it
/// `allowed`.
fn bound(allowed: f64) -> f64 {
    let slack = if allowed < 30.0 { 3.0 } else { 2.0 };
    allowed + slack * allowed.sqrt() + slack
}

/// What requests weigh, in multiples of the mean work.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Sizes {
    Equal,
    /// Log-normal, with a median of 0.61 and a standard deviation of 1.3 times the mean.
    Spread,
    /// Three classes of 0.4, 1.0 and 1.6 on average.
    Classes,
}

/// When routers send, and when they hear of the server.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Moment {
    /// All hear of it as it starts, and ask all the time.
    Steady,
    /// All hear of it together, so long after its start.
    ToldLate(Duration),
    /// Some hear of it up to two spans late.
    ToldUnevenly,
    /// They ask for 0.6 of a span only, about the end of every other span.
    Bursts,
    /// Seven in ten routers, one after the other or all at once, restart while it warms up.
    RoutersRestart { together: bool },
    /// It starts again, twice, the second time within a span.
    ServerReturns,
}

#[derive(Clone, Copy, Debug)]
struct Scenario {
    routers: usize,
    /// How many requests of mean work the settings allow in a span at the start.
    allowed: f64,
    tier: Tier,
    sizes: Sizes,
    moment: Moment,
    /// Requests a second that each router gets.
    demand: f64,
    /// How long it is watched from its start.
    watched: Duration,
    seed: u64,
}

/// What a fleet sent to the server.
#[derive(Debug, Default)]
struct Measured {
    /// The most in one span, as a share of the bound then.
    worst: f64,
    /// The average in a span, as a share of what the settings allow.
    used: f64,
}

#[derive(Default)]
struct Attempts {
    made: Vec<(Id, Id, Id)>,
}

impl Outlet for Attempts {
    fn attempt(&mut self, request: &Id, server: &Id, _limit: Duration, fill: &Fill) {
        self.made
            .push((request.clone(), server.clone(), fill.source.clone()));
    }
    fn reject(&mut self, _request: &Id, _advice: Option<Duration>) {}
    fn fail(&mut self, _request: &Id) {}
    fn cancel(&mut self, _request: &Id, _attempt: usize) {}
    fn wake_at(&mut self, _at: Duration, _mark: u64) {}
    fn watch_list(&mut self) {}
}

const CLASS_MEANS: [f64; 3] = [0.4, 1.0, 1.6];

impl Scenario {
    fn deployment(&self, number: usize) -> Deployment {
        let class = Class {
            soft_deadline: Duration::from_secs(5),
            deadline: Duration::from_secs(9),
            value: 1.0,
            cacheable: true,
            ..Class::default()
        };
        let cold = ColdStart {
            from: COLD_FROM,
            warm_within: WARM_WITHIN,
            multiple: MULTIPLE,
            span: SPAN,
        };
        Deployment {
            number: number as u64,
            seed: self.seed ^ (number as u64) << 32,
            routers: self.routers,
            zone: 0,
            routers_at: vec![self.routers],
            classes: vec![class; CLASS_MEANS.len()],
            tick: Duration::from_millis(2),
            client_kb_per_s: KB_PER_S,
            max_attempts: 4,
            may_cancel: true,
            cold_cache: cold,
            cold_parent: cold,
            pass_through: false,
            ..Deployment::default()
        }
    }

    /// The capacity of which a cold start leaves what is allowed.
    fn capacity(&self) -> f64 {
        self.allowed * MEAN_WORK / (MULTIPLE * COLD_FROM * SPAN.as_secs_f64())
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

    fn size(&self, chance: &mut fastrand::Rng) -> (usize, f64) {
        match self.sizes {
            Sizes::Equal => (1, 1.0),
            Sizes::Spread => {
                let normal = (-2.0 * (1.0 - chance.f64()).ln()).sqrt()
                    * (std::f64::consts::TAU * chance.f64()).cos();
                (1, (normal - 0.5).exp())
            }
            Sizes::Classes => {
                let class = chance.usize(0..CLASS_MEANS.len());
                (class, CLASS_MEANS[class] * (0.5 + chance.f64()))
            }
        }
    }

    /// What one attempt counts, in requests of mean work.
    fn counts(&self, class: usize, size: f64) -> f64 {
        match (self.tier, self.sizes) {
            (Tier::Cache, Sizes::Classes) => CLASS_MEANS[class],
            (Tier::Cache, _) => 1.0,
            _ => size,
        }
    }

    fn asks_at(&self, now: Duration) -> bool {
        self.moment != Moment::Bursts
            || now < STARTED
            || (now + SPAN * 2 - STARTED - SPAN.mul_f64(0.7)).div_duration_f64(SPAN) % 2.0 < 0.6
    }

    /// Everything that happens, in order of time.
    fn events(&self, chance: &mut fastrand::Rng) -> Vec<(Duration, Event)> {
        let mut events = Vec::new();
        for router in 0..self.routers {
            let end = STARTED + self.watched;
            // A router that has run for some time has seen some requests.
            let mut now = STARTED - SPAN / 4;
            while now < end {
                now += Duration::from_secs_f64(-(1.0 - chance.f64()).ln() / self.demand);
                if now < end && self.asks_at(now) {
                    events.push((now, Event::Request(router)));
                }
            }
            let told = match self.moment {
                Moment::ToldLate(late) => STARTED + late,
                Moment::ToldUnevenly => STARTED + SPAN.mul_f64(2.0 * chance.f64()),
                _ => STARTED,
            };
            events.push((told, Event::Told(router, STARTED)));
            if let Moment::RoutersRestart { together } = self.moment
                && chance.f64() < 0.7
            {
                let after = if together {
                    0.6
                } else {
                    0.3 + 2.0 * chance.f64()
                };
                events.push((STARTED + SPAN.mul_f64(after), Event::Restart(router)));
            }
            if self.moment == Moment::ServerReturns {
                for again in [STARTED + SPAN.mul_f64(1.2), STARTED + SPAN.mul_f64(1.8)] {
                    events.push((again, Event::Told(router, again)));
                }
            }
        }
        events.sort_by_key(|(at, _)| *at);
        events
    }

    fn play(&self) -> Measured {
        let mut chance = fastrand::Rng::with_seed(self.seed ^ 0x510e);
        let mut attempts = Attempts::default();
        let boot = |router, now, attempts: &mut Attempts| {
            Router::start(now, &self.deployment(router), attempts)
        };
        let mut routers: Vec<Router> = (0..self.routers)
            .map(|router| boot(router, Duration::ZERO, &mut attempts))
            .collect();
        let (mut started, mut watch) = (STARTED, Watch::new(*self));
        for (n, (now, event)) in self.events(&mut chance).into_iter().enumerate() {
            match event {
                Event::Told(router, since) => {
                    started = since;
                    watch.restarted(since);
                    routers[router].list(now, ListKind::Whole, &self.list(since), &mut attempts);
                }
                Event::Restart(router) => {
                    routers[router] = boot(router, now, &mut attempts);
                    routers[router].list(now, ListKind::Whole, &self.list(started), &mut attempts);
                }
                Event::Request(router) => {
                    let (class, size) = self.size(&mut chance);
                    let id: Id = n.to_string().into();
                    let kb = size * MEAN_WORK * KB_PER_S;
                    let left = Duration::from_secs(9);
                    let object = id.clone();
                    let arrival = Arrival {
                        id,
                        class,
                        object,
                        kb,
                        left,
                        ..Arrival::default()
                    };
                    routers[router].request(now, arrival, &mut attempts);
                    for (id, server, source) in std::mem::take(&mut attempts.made) {
                        if *server == *self.name() || *source == *self.name() {
                            watch.sent(now, self.counts(class, size));
                        }
                        routers[router].result(now, &id, 0, &served(), &mut attempts);
                    }
                }
            }
        }
        watch.measured()
    }
}

#[derive(Clone, Copy)]
enum Event {
    Request(usize),
    /// A router gets the list, with the server's start.
    Told(usize, Duration),
    Restart(usize),
}

fn served() -> Ended {
    Ended {
        outcome: Outcome::Served,
        remark: Remark::Filled,
        took: Duration::from_millis(50),
        first_byte: Some(Duration::from_millis(10)),
        over: true,
        load: Load::default(),
    }
}

/// Counts what reaches the server in each sliding span.
struct Watch {
    scenario: Scenario,
    started: Duration,
    within: VecDeque<(Duration, f64)>,
    worst: f64,
    total: f64,
}

impl Watch {
    fn new(scenario: Scenario) -> Watch {
        Watch {
            scenario,
            started: STARTED,
            within: VecDeque::new(),
            worst: 0.0,
            total: 0.0,
        }
    }

    /// What reached an earlier life does not weigh on this one.
    fn restarted(&mut self, started: Duration) {
        if started != self.started {
            self.within.clear();
        }
        self.started = started;
    }

    fn sent(&mut self, now: Duration, weight: f64) {
        self.within.push_back((now, weight));
        self.total += weight;
        while self.within.front().is_some_and(|(at, _)| *at + SPAN <= now) {
            self.within.pop_front();
        }
        let sum: f64 = self.within.iter().map(|(_, weight)| weight).sum();
        // What the settings allow grows: the least of it counts.
        let least = self
            .scenario
            .allowed_at(self.within[0].0.saturating_sub(self.started));
        self.worst = self.worst.max(sum / bound(least));
    }

    fn measured(&self) -> Measured {
        let spans = self.scenario.watched.div_duration_f64(SPAN);
        let allowed = self.scenario.allowed_at(self.scenario.watched / 2);
        Measured {
            worst: self.worst,
            used: self.total / spans / allowed,
        }
    }
}

/// The worst and the mean of a scenario over seeds.
fn over_seeds(scenario: Scenario, seeds: u64) -> Measured {
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

/// So many seeds: more in the whole form.
fn seeds(quick: u64, whole: u64) -> u64 {
    if is_whole() { whole } else { quick }
}

fn is_whole() -> bool {
    std::env::var("SLOW_START").is_ok_and(|form| form == "whole")
}

/// Plenty for any budget here, and as much as one router is likely to get.
fn plenty(routers: usize, allowed: f64) -> f64 {
    (6.0 * bound(allowed / COLD_FROM) / routers as f64).max(if routers > 300 { 4.0 } else { 8.0 })
}

const LATE_BY: Duration = Duration::from_millis(800);
const LATE: Moment = Moment::ToldLate(LATE_BY);

const MOMENTS: [Moment; 7] = [
    Moment::Steady,
    LATE,
    Moment::ToldUnevenly,
    Moment::Bursts,
    Moment::RoutersRestart { together: true },
    Moment::RoutersRestart { together: false },
    Moment::ServerReturns,
];

const LOADS: [(Tier, Sizes); 5] = [
    (Tier::Cache, Sizes::Equal),
    (Tier::Cache, Sizes::Spread),
    (Tier::Cache, Sizes::Classes),
    (Tier::Parent, Sizes::Spread),
    (Tier::Parent, Sizes::Classes),
];

/// Every seed plays every number of routers before every budget, each with the next moment and load
/// in turn.
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
                let moment = MOMENTS[turn % MOMENTS.len()];
                let (tier, sizes) = LOADS[turn % LOADS.len()];
                let demand = plenty(routers, allowed);
                let watched = if routers > 30 { SPAN * 3 } else { SPAN * 5 };
                let scenario = Scenario {
                    routers,
                    allowed,
                    tier,
                    sizes,
                    moment,
                    demand,
                    watched,
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
    println!("at most {:.2} of the bound: {}", worst.0, worst.1);
}

/// Where two draws of all routers met within a span, those of both sent; and of several sizes a
/// router sent the first that its draw allowed, more on average than its share.
#[test]
fn hundreds_of_routers_told_in_the_middle_of_a_span_stay_well_under_the_bound() {
    for (tier, sizes) in [
        (Tier::Cache, Sizes::Classes),
        (Tier::Parent, Sizes::Classes),
    ] {
        for allowed in [30.0, 60.0] {
            let (routers, moment, demand, watched) = (300, LATE, 40.0, SPAN * 2);
            let scenario = Scenario {
                routers,
                allowed,
                tier,
                sizes,
                moment,
                demand,
                watched,
                seed: 1,
            };
            let measured = over_seeds(scenario, seeds(1, 40));
            println!("{tier:?} {allowed}: {:.2} of the bound", measured.worst);
            assert!(
                measured.worst < 0.9,
                "{:.2} of the bound: {scenario:?}",
                measured.worst
            );
        }
    }
}

/// The chance that a Poisson variable of this mean is over the limit.
fn poisson_over(mean: f64, limit: f64) -> f64 {
    let (mut term, mut count, mut over) = ((-mean).exp(), 0.0, 0.0);
    while count <= limit {
        count += 1.0;
        term *= mean / count;
    }
    // Summed from the limit up: one less what is under would be lost in rounding.
    while term > over * 1e-12 {
        over += term;
        count += 1.0;
        term *= mean / count;
    }
    over
}

/// What is drawn strays: in the worst moment, as all hear of a server and ask at once, the count of
/// a span is no wider spread than a Poisson variable, and for that the bound is a matter of less
/// than one in a million.
#[test]
fn less_than_one_slow_start_in_a_million_would_exceed_the_bound_by_chance() {
    let mut most_likely: f64 = 0.0;
    // The bound is nearest to the mean at 30, where its slack becomes smaller.
    let all: &[f64] = if is_whole() {
        &[18.0, 24.0, 29.0, 30.0, 45.0, 60.0]
    } else {
        &[18.0, 30.0]
    };
    for allowed in all.iter().copied() {
        let (tier, sizes, watched) = (Tier::Cache, Sizes::Equal, SPAN.mul_f64(1.8));
        let scenario = Scenario {
            routers: 300,
            allowed,
            tier,
            sizes,
            moment: LATE,
            demand: 10.0,
            watched,
            seed: 1,
        };
        let plays = seeds(24, 150);
        let counts: Vec<f64> = (0..plays)
            .map(|seed| {
                let scenario = Scenario {
                    seed: seed * 104_729,
                    ..scenario
                };
                scenario.play().used * 1.8 * scenario.allowed_at(watched / 2)
            })
            .collect();
        let mean = counts.iter().sum::<f64>() / plays as f64;
        let variance = counts
            .iter()
            .map(|count| (count - mean).powi(2))
            .sum::<f64>()
            / (plays - 1) as f64;
        // Of the mean of so many plays, no less than it can be by chance.
        let highest = mean + 3.0 * (variance / plays as f64).sqrt();
        let chance = poisson_over(highest, bound(scenario.allowed_at(LATE_BY)));
        println!(
            "{allowed}: mean {mean:.1} (at most {highest:.1}), variance {variance:.1}, chance {chance:.1e}"
        );
        assert!(
            variance < 2.0 * mean,
            "{allowed}: mean {mean:.1}, variance {variance:.1}"
        );
        most_likely = most_likely.max(chance);
    }
    assert!(most_likely < 1e-6, "the chance is {most_likely:.1e}");
}

/// A server that is sent too little stays cold: no rule is broken, and service is lost.
#[test]
fn a_fleet_with_plenty_to_send_uses_two_fifths_of_what_a_warming_server_is_allowed() {
    for routers in [1, 6, 30, 300] {
        for (tier, sizes) in [(Tier::Cache, Sizes::Equal), (Tier::Parent, Sizes::Classes)] {
            let (allowed, moment) = (36.0, Moment::Steady);
            let (demand, watched) = (plenty(routers, allowed).max(20.0), SPAN * 3);
            let scenario = Scenario {
                routers,
                allowed,
                tier,
                sizes,
                moment,
                demand,
                watched,
                seed: 1,
            };
            let used = over_seeds(scenario, seeds(1, 20)).used;
            println!("{routers} routers, {tier:?}: {used:.2} of what is allowed");
            assert!(
                (0.35..0.65).contains(&used),
                "{used:.2} of what is allowed: {scenario:?}"
            );
        }
    }
}
