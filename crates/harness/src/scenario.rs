//! A scenario file (a play): the fleet, its workload, faults and requirements. It is line-based like the
//! operator's file and read by the same reader, which reports all errors at once, each with its position and
//! the closest known word.
//!
//! ```
//! let text = "faults {\n at 2s for 3s slow caches 1/8 by 4\n}\n";
//! let (scenario, faults) = chalkhall_harness::scenario::read_text(text);
//! assert!(faults.is_empty());
//! assert_eq!(scenario.faults.len(), 1);
//!
//! let (_, faults) = chalkhall_harness::scenario::read_text("work {\n secnds 4\n}\n");
//! assert_eq!(faults[0].to_string(), "2:2: secnds is not a directive of work; seconds is");
//! ```

use chalkhall_config::{Directive, Fault as FileFault, Table, values};
use std::path::Path;
use std::time::Duration;

/// A share or a number of the members of a set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Amount {
    Share(f64),
    Count(usize),
}

impl Amount {
    /// How many of `whole` members; at least one.
    pub fn of(self, whole: usize) -> usize {
        let found = match self {
            Amount::Share(share) => (share * whole as f64).round() as usize,
            Amount::Count(count) => count,
        };
        found.clamp(whole.min(1), whole)
    }
}

/// The kind and number of members that a fault affects; which ones is drawn from the seed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Target {
    Caches(Amount),
    Parents(Amount),
    Routers(Amount),
    /// All caches of a zone.
    Zone(usize),
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// Servers take this many times as long, without reporting it.
    Slow(Target, f64),
    /// Servers answer every attempt with an error at once, so they look idle.
    Errors(Target),
    /// Servers accept attempts and never answer.
    Silent(Target),
    /// Like `Silent`, but towards some of the routers only.
    Apart(Target, Amount),
    /// This share of the attempts has its connection reset.
    Resets(Target, f64),
    /// Servers stop, and come back empty and cold.
    Lose(Target),
    Drain(Target),
    /// Servers leave the list and are replaced by empty ones with other names, in steps over the
    /// duration.
    Replace(Target),
    /// This many empty caches join at once.
    Join(usize),
    /// Routers are killed (SIGKILL) and started again after the duration.
    Kill(Target),
    /// Routers are stopped (SIGSTOP) for the duration.
    Freeze(Target),
    /// Routers are ended by SIGTERM and started again, in steps over the duration.
    Restart(Target),
    /// Routers reload their files (SIGHUP).
    Reload(Target),
    /// This many of the most popular objects are purged.
    Purge(usize),
    /// Discovery sends events this much later, sends every event twice, or closes its connections.
    ListsLate(Duration),
    ListsDoubled,
    ListsCut,
    /// This share of the datagrams among routers is lost, duplicated, or held back until after the next
    /// one.
    Lost(f64),
    Doubled(f64),
    Turned(f64),
    /// Datagrams are delayed by up to this.
    Late(Duration),
    /// Some routers receive no datagrams, but still send them.
    Deaf(Target),
    /// Forged, well-formed datagrams in the name of a peer.
    Lie(Target),
    /// This share of the requests is for one object, another one each second.
    Hot(f64),
    /// All requests of one zone go to another one.
    Shift(usize, usize),
    /// All caches of a region's zones stop, as with `Lose`.
    LoseRegion(usize),
    /// The network from one zone to another (none: all zones) is this many times as slow, cut, or loses
    /// this share.
    WaysSlow(Option<usize>, Option<usize>, f64),
    WaysCut(Option<usize>, Option<usize>),
    WaysLose(Option<usize>, Option<usize>, f64),
}

/// A fault, its start and its duration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    pub start: Duration,
    pub duration: Duration,
    pub kind: FaultKind,
}

#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    pub routers: usize,
    pub zones: usize,
    pub caches: usize,
    pub parents: usize,
    /// In concurrent transfers at the client rate.
    pub cache_capacity: f64,
    pub parent_capacity: f64,
    pub origin_capacity: f64,
    /// Concurrent transfers that the fills of one zone share.
    pub link_capacity: f64,
    /// Memory of a cache.
    pub memory_kb: f64,
    /// Rate of one transfer to a client.
    pub client_kb_per_s: f64,
    pub initial_capacity_share: f64,
    pub slow_start: Duration,
    /// Lines of the operator's file with which every router is started.
    pub directives: Vec<(String, String)>,
    /// Number of router groups that reach servers by different addresses. With a network between zones,
    /// each zone is such a group.
    pub groups: usize,
    /// Number of regions; each consists of consecutive zones.
    pub regions: usize,
    /// One-way delay between zones of the same region and of different regions; if both are zero,
    /// messages are not delayed at all.
    pub intra_region_delay: Duration,
    pub inter_region_delay: Duration,
    /// A delay is longer by up to this share.
    pub jitter: f64,
    /// Parents and the origin accept attempts too.
    pub pass_through: bool,
}

impl FleetSettings {
    /// Number of router groups that reach servers by different addresses.
    pub fn address_groups(&self) -> usize {
        if self.intra_region_delay.is_zero() && self.inter_region_delay.is_zero() {
            self.groups
        } else {
            self.zones
        }
    }

    pub fn address_group(&self, router: usize) -> usize {
        if self.address_groups() == self.groups
            && self.intra_region_delay.is_zero()
            && self.inter_region_delay.is_zero()
        {
            (router / self.zones) % self.groups
        } else {
            router % self.zones
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Workload {
    pub duration: Duration,
    /// Measurements begin after this.
    pub warmup: Duration,
    /// Over all routers.
    pub requests_per_s: f64,
    /// Rate of the busiest router over the mean rate.
    pub peak_to_mean: f64,
    pub objects: usize,
    /// Zipf exponent of object popularity.
    pub zipf_exponent: f64,
    /// Mean object size; sizes are exponentially distributed, bounded at six times the mean.
    pub mean_object_kb: f64,
    /// Share of requests that must not be executed twice.
    pub write_share: f64,
    pub client_timeout: Duration,
    pub soft_deadline: Duration,
    /// How often a client retries, and the share of clients that honor the retry-after time.
    pub max_retries: usize,
    pub retry_after_share: f64,
    pub max_age: Duration,
}

/// Requirements beside the rules; a figure without one is only reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Requirements {
    pub service: Option<f64>,
    /// `peak` over that of the assignment with full knowledge.
    pub peak: Option<f64>,
    pub idle: Option<f64>,
    pub herd: Option<f64>,
    pub swing: Option<f64>,
    /// Share served of what lost zones requested, from the loss until five seconds after their return.
    pub lost_service: Option<f64>,
    /// From a zone's loss until four in five of its requests go to other zones.
    pub plan: Option<Duration>,
    /// Share of requests that left their zone without need.
    pub needless: Option<f64>,
    /// The second measurement begins this long after the end of the last fault.
    pub after: Option<Duration>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    pub fleet: FleetSettings,
    pub workload: Workload,
    pub faults: Vec<Fault>,
    pub requirements: Requirements,
}

impl Default for Scenario {
    fn default() -> Scenario {
        let seconds = Duration::from_secs;
        Scenario {
            fleet: FleetSettings {
                routers: 40,
                zones: 4,
                caches: 16,
                parents: 4,
                cache_capacity: 4.0,
                parent_capacity: 12.0,
                origin_capacity: 24.0,
                link_capacity: 8.0,
                memory_kb: 12_000.0,
                client_kb_per_s: 500.0,
                initial_capacity_share: 0.3,
                slow_start: seconds(10),
                directives: Vec::new(),
                groups: 4,
                regions: 1,
                intra_region_delay: Duration::ZERO,
                inter_region_delay: Duration::ZERO,
                jitter: 0.2,
                pass_through: true,
            },
            workload: Workload {
                duration: seconds(10),
                warmup: seconds(2),
                requests_per_s: 300.0,
                peak_to_mean: 6.0,
                objects: 4000,
                zipf_exponent: 0.8,
                mean_object_kb: 40.0,
                write_share: 0.03,
                client_timeout: Duration::from_millis(2500),
                soft_deadline: Duration::from_millis(700),
                max_retries: 2,
                retry_after_share: 0.7,
                max_age: seconds(60),
            },
            faults: Vec::new(),
            requirements: Requirements::default(),
        }
    }
}

impl Scenario {
    /// Start of the second measurement: this long after the end of the last fault, or after the start
    /// of a fault that lasts to the end of the run.
    pub fn second_measurement_start(&self) -> Duration {
        let (warmup, duration) = (self.workload.warmup, self.workload.duration);
        let after = self.requirements.after.unwrap_or(Duration::from_secs(3));
        let over = self
            .faults
            .iter()
            .map(|fault| match fault.start + fault.duration {
                end if end >= duration => fault.start,
                end => end,
            });
        let again = over.max().map_or(warmup, |over| (over + after).max(warmup));
        again.min(duration.saturating_sub(Duration::from_secs(1)))
    }

    /// Describes what cannot be played although it was parsed.
    pub fn inconsistencies(&self) -> Vec<String> {
        let (fleet, mut found) = (&self.fleet, Vec::new());
        let mut wrong = |is: bool, what: String| found.extend(is.then_some(what));
        wrong(
            fleet.routers < fleet.zones,
            format!("{} zones need at least as many routers", fleet.zones),
        );
        wrong(
            fleet.caches < fleet.zones,
            format!("{} zones need at least as many caches", fleet.zones),
        );
        wrong(
            self.workload.warmup >= self.workload.duration,
            "lead is not shorter than seconds: nothing would be measured".into(),
        );
        for fault in &self.faults {
            wrong(
                fault.start > self.workload.duration,
                format!(
                    "a fault at {:?} starts after the end of the run",
                    fault.start
                ),
            );
            let zones: Vec<usize> = match fault.kind {
                FaultKind::Shift(from, to) => vec![from, to],
                FaultKind::WaysSlow(a, b, _)
                | FaultKind::WaysCut(a, b)
                | FaultKind::WaysLose(a, b, _) => {
                    let no_time =
                        fleet.intra_region_delay.is_zero() && fleet.inter_region_delay.is_zero();
                    wrong(no_time, "faults of ways need near or far to be set".into());
                    a.into_iter().chain(b).collect()
                }
                FaultKind::Slow(Target::Zone(at), _) | FaultKind::Lose(Target::Zone(at)) => {
                    vec![at]
                }
                _ => Vec::new(),
            };
            let beyond = zones.into_iter().filter(|at| *at >= fleet.zones);
            beyond.for_each(|at| {
                wrong(
                    true,
                    format!(
                        "zone {at} does not exist: zones are numbered from 0 to {}",
                        fleet.zones - 1
                    ),
                )
            });
        }
        found
    }
}

pub fn read(path: &Path) -> (Scenario, Vec<FileFault>) {
    chalkhall_config::read_with(&DIRECTIVES, path)
}

pub fn read_text(text: &str) -> (Scenario, Vec<FileFault>) {
    chalkhall_config::read_text_with(&DIRECTIVES, text)
}

type ParseError = (usize, String);

fn at_word<T>(place: usize, found: Result<T, String>) -> Result<T, ParseError> {
    found.map_err(|what| (place, what))
}

/// Parses `1/8`, `30%` or a count.
fn parse_amount(word: &str) -> Result<Amount, String> {
    if let Some((a, b)) = word.split_once('/') {
        let (a, b) = (
            values::integer(a, 1, 1 << 20)?,
            values::integer(b, 1, 1 << 20)?,
        );
        return if a <= b {
            Ok(Amount::Share(a as f64 / b as f64))
        } else {
            Err(format!("{word} is more than 1"))
        };
    }
    if word.ends_with('%') {
        return values::share(word).map(Amount::Share);
    }
    let count = values::integer(word, 1, 1 << 20);
    count
        .map(|n| Amount::Count(n as usize))
        .map_err(|_| format!("{word:?} is not a share or a count, such as 1/8, 30% or 3"))
}

/// Parses `caches 1/8`, `parents 1`, `routers 70%` or `location 2`.
fn parse_target(place: usize, words: &[&str]) -> Result<Target, ParseError> {
    let [kind, of] = words else {
        return Err((
            place,
            "expected a target: caches, parents or routers PART, or location N".into(),
        ));
    };
    let of_all = at_word(place + 1, parse_amount(of));
    match *kind {
        "caches" => Ok(Target::Caches(of_all?)),
        "parents" => Ok(Target::Parents(of_all?)),
        "routers" => Ok(Target::Routers(of_all?)),
        "location" => Ok(Target::Zone(
            at_word(place + 1, values::integer(of, 0, 10_000))? as usize,
        )),
        other => Err((
            place,
            format!("{other:?} is not caches, parents, routers or location"),
        )),
    }
}

fn parse_factor(place: usize, word: &str) -> Result<f64, ParseError> {
    let found = word
        .parse::<f64>()
        .ok()
        .filter(|by| (0.0..=1000.0).contains(by));
    found.ok_or_else(|| (place, format!("{word:?} is not a number from 0 to 1000")))
}

/// Parses `at SPAN [for|over SPAN] WHAT ...` without its first word.
fn parse_fault(words: &[&str]) -> Result<Fault, ParseError> {
    let starts_at = at_word(0, values::duration(words[0]))?;
    let (duration, next_word) = match words.get(1) {
        Some(&"for" | &"over") => {
            let span = words.get(2).ok_or((1, "expected a duration".to_owned()))?;
            (at_word(2, values::duration(span))?, 3)
        }
        _ => (Duration::ZERO, 1),
    };
    let rest = words.get(next_word..).unwrap_or_default();
    let Some((verb, rest)) = rest.split_first() else {
        return Err((0, "expected a fault".into()));
    };
    let place = next_word + 1;
    let share = |place: usize, word: &str| at_word(place, values::share(word));
    let kind = match (*verb, rest) {
        ("slow", [w @ .., "by", by]) => {
            FaultKind::Slow(parse_target(place, w)?, parse_factor(place + 3, by)?)
        }
        ("errors", w) => FaultKind::Errors(parse_target(place, w)?),
        ("silent", [w @ .., "to", "routers", of]) => FaultKind::Apart(
            parse_target(place, w)?,
            at_word(place + 4, parse_amount(of))?,
        ),
        ("silent", w) => FaultKind::Silent(parse_target(place, w)?),
        ("resets", [w @ .., of]) => {
            FaultKind::Resets(parse_target(place, w)?, share(place + 2, of)?)
        }
        ("lose", ["region", of]) => {
            FaultKind::LoseRegion(at_word(place + 1, values::integer(of, 0, 100))? as usize)
        }
        ("lose", w) => FaultKind::Lose(parse_target(place, w)?),
        ("ways", [from, to, effect @ ..]) => {
            let zone_or_all = |place: usize, word: &str| match word {
                "all" => Ok(None),
                word => at_word(place, values::integer(word, 0, 10_000)).map(|n| Some(n as usize)),
            };
            let (from, to) = (zone_or_all(place, from)?, zone_or_all(place + 1, to)?);
            match effect {
                ["slow", "by", by] => FaultKind::WaysSlow(from, to, parse_factor(place + 4, by)?),
                ["cut"] => FaultKind::WaysCut(from, to),
                ["lose", of] => FaultKind::WaysLose(from, to, share(place + 3, of)?),
                _ => {
                    return Err((
                        place + 2,
                        "expected slow by NUMBER, cut, or lose SHARE".into(),
                    ));
                }
            }
        }
        ("drain", w) => FaultKind::Drain(parse_target(place, w)?),
        ("replace", w) => FaultKind::Replace(parse_target(place, w)?),
        ("join", [count]) => {
            FaultKind::Join(at_word(place, values::integer(count, 1, 1000))? as usize)
        }
        ("kill", w) => FaultKind::Kill(parse_target(place, w)?),
        ("freeze", w) => FaultKind::Freeze(parse_target(place, w)?),
        ("restart", w) => FaultKind::Restart(parse_target(place, w)?),
        ("reload", w) => FaultKind::Reload(parse_target(place, w)?),
        ("purge", [count]) => {
            FaultKind::Purge(at_word(place, values::integer(count, 1, 10_000))? as usize)
        }
        ("lists", ["late", span]) => {
            FaultKind::ListsLate(at_word(place + 1, values::duration(span))?)
        }
        ("lists", ["doubled"]) => FaultKind::ListsDoubled,
        ("lists", ["cut"]) => FaultKind::ListsCut,
        ("datagrams", ["lost", of]) => FaultKind::Lost(share(place + 1, of)?),
        ("datagrams", ["doubled", of]) => FaultKind::Doubled(share(place + 1, of)?),
        ("datagrams", ["turned", of]) => FaultKind::Turned(share(place + 1, of)?),
        ("datagrams", ["late", span]) => {
            FaultKind::Late(at_word(place + 1, values::duration(span))?)
        }
        ("deaf", w) => FaultKind::Deaf(parse_target(place, w)?),
        ("lie", w) => FaultKind::Lie(parse_target(place, w)?),
        ("hot", [of]) => FaultKind::Hot(share(place, of)?),
        ("shift", ["location", from, "to", to]) => {
            let zone = |place, word| at_word(place, values::integer(word, 0, 10_000));
            FaultKind::Shift(
                zone(place + 1, from)? as usize,
                zone(place + 3, to)? as usize,
            )
        }
        (other, _) => {
            return Err((
                next_word,
                format!("unknown fault or wrong arguments: {other:?}"),
            ));
        }
    };
    Ok(Fault {
        start: starts_at,
        duration,
        kind,
    })
}

const fn entry(
    section: &'static str,
    name: &'static str,
    usage: &'static str,
    help: &'static str,
    set: fn(&mut Scenario, &[&str]) -> Result<(), ParseError>,
) -> Directive<Scenario> {
    Directive {
        section,
        name,
        usage,
        count: 1..=1,
        repeatable: false,
        help,
        set,
    }
}

fn parse_count(word: &str, lower: u64, upper: u64) -> Result<usize, ParseError> {
    at_word(0, values::integer(word, lower, upper)).map(|n| n as usize)
}

fn parse_number(word: &str, lower: f64, upper: f64) -> Result<f64, ParseError> {
    let found = word
        .parse::<f64>()
        .ok()
        .filter(|n| (lower..=upper).contains(n));
    found.ok_or_else(|| {
        (
            0,
            format!("{word:?} is not a number from {lower} to {upper}"),
        )
    })
}

/// All directives of a scenario file.
pub const DIRECTIVES: Table<Scenario> = Table::new(
    &["fleet", "work", "faults", "must"],
    &[
        entry("fleet", "routers", "COUNT", "router processes", |p, w| {
            p.fleet.routers = parse_count(w[0], 2, 500)?;
            Ok(())
        }),
        entry(
            "fleet",
            "locations",
            "COUNT",
            "number of zones among which routers and caches are distributed",
            |p, w| {
                p.fleet.zones = parse_count(w[0], 1, 100)?;
                Ok(())
            },
        ),
        entry(
            "fleet",
            "caches",
            "COUNT",
            "cache servers of all zones",
            |p, w| {
                p.fleet.caches = parse_count(w[0], 1, 500)?;
                Ok(())
            },
        ),
        entry(
            "fleet",
            "parents",
            "COUNT",
            "parents of all zones",
            |p, w| {
                p.fleet.parents = parse_count(w[0], 1, 100)?;
                Ok(())
            },
        ),
        entry(
            "fleet",
            "cache-capacity",
            "NUMBER",
            "concurrent transfers of a cache at the client rate",
            |p, w| {
                p.fleet.cache_capacity = parse_number(w[0], 0.1, 1e6)?;
                Ok(())
            },
        ),
        entry(
            "fleet",
            "parent-capacity",
            "NUMBER",
            "the same for a parent",
            |p, w| {
                p.fleet.parent_capacity = parse_number(w[0], 0.1, 1e6)?;
                Ok(())
            },
        ),
        entry(
            "fleet",
            "origin-capacity",
            "NUMBER",
            "the same for the origin",
            |p, w| {
                p.fleet.origin_capacity = parse_number(w[0], 0.1, 1e6)?;
                Ok(())
            },
        ),
        entry(
            "fleet",
            "link",
            "NUMBER",
            "concurrent transfers that the fills of one zone share",
            |p, w| {
                p.fleet.link_capacity = parse_number(w[0], 0.1, 1e6)?;
                Ok(())
            },
        ),
        entry("fleet", "memory", "KB", "memory of a cache", |p, w| {
            p.fleet.memory_kb = parse_number(w[0], 1.0, 1e9)?;
            Ok(())
        }),
        entry(
            "fleet",
            "pace",
            "KB",
            "rate per second of one transfer to a client",
            |p, w| {
                p.fleet.client_kb_per_s = parse_number(w[0], 1.0, 1e6)?;
                Ok(())
            },
        ),
        entry(
            "fleet",
            "cold-from",
            "SHARE",
            "share of its capacity that a starting server has",
            |p, w| {
                p.fleet.initial_capacity_share = at_word(0, values::share(w[0]))?.max(0.01);
                Ok(())
            },
        ),
        entry(
            "fleet",
            "warm-within",
            "SPAN",
            "time until a starting server has all of its capacity",
            |p, w| {
                p.fleet.slow_start =
                    at_word(0, values::duration(w[0]))?.max(Duration::from_millis(100));
                Ok(())
            },
        ),
        entry(
            "fleet",
            "groups",
            "COUNT",
            "groups of routers that reach servers by different addresses",
            |p, w| {
                p.fleet.groups = parse_count(w[0], 1, 16)?;
                Ok(())
            },
        ),
        entry(
            "fleet",
            "pass-through",
            "on|off",
            "whether parents and the origin accept attempts too",
            |p, w| {
                p.fleet.pass_through = match w[0] {
                    "on" => true,
                    "off" => false,
                    other => return Err((0, format!("{other:?} is neither on nor off"))),
                };
                Ok(())
            },
        ),
        entry(
            "fleet",
            "regions",
            "COUNT",
            "number of regions; each consists of consecutive zones",
            |p, w| {
                p.fleet.regions = parse_count(w[0], 1, 100)?;
                Ok(())
            },
        ),
        entry(
            "fleet",
            "near",
            "SPAN",
            "one-way delay between zones of a region",
            |p, w| {
                p.fleet.intra_region_delay = at_word(0, values::duration(w[0]))?;
                Ok(())
            },
        ),
        entry(
            "fleet",
            "far",
            "SPAN",
            "one-way delay between regions",
            |p, w| {
                p.fleet.inter_region_delay = at_word(0, values::duration(w[0]))?;
                Ok(())
            },
        ),
        entry(
            "fleet",
            "jitter",
            "SHARE",
            "maximum share by which a delay is longer",
            |p, w| {
                p.fleet.jitter = at_word(0, values::share(w[0]))?;
                Ok(())
            },
        ),
        Directive {
            section: "fleet",
            name: "directive",
            usage: "SECTION NAME VALUE..",
            count: 3..=8,
            repeatable: true,
            help: "a line of every router's operator's file",
            set: |p, w| {
                p.fleet.directives.push((w[0].to_owned(), w[1..].join(" ")));
                Ok(())
            },
        },
        entry(
            "work",
            "seconds",
            "COUNT",
            "duration of the workload",
            |p, w| {
                p.workload.duration = Duration::from_secs(parse_count(w[0], 2, 3600)? as u64);
                Ok(())
            },
        ),
        entry(
            "work",
            "lead",
            "SPAN",
            "warm-up before measurements begin",
            |p, w| {
                p.workload.warmup = at_word(0, values::duration(w[0]))?;
                Ok(())
            },
        ),
        entry(
            "work",
            "rate",
            "NUMBER",
            "requests per second over all routers",
            |p, w| {
                p.workload.requests_per_s = parse_number(w[0], 1.0, 50_000.0)?;
                Ok(())
            },
        ),
        entry(
            "work",
            "uneven",
            "NUMBER",
            "rate of the busiest router over the mean rate",
            |p, w| {
                p.workload.peak_to_mean = parse_number(w[0], 1.0, 100.0)?;
                Ok(())
            },
        ),
        entry("work", "objects", "COUNT", "number of objects", |p, w| {
            p.workload.objects = parse_count(w[0], 1, 10_000_000)?;
            Ok(())
        }),
        entry(
            "work",
            "popularity",
            "NUMBER",
            "Zipf exponent of object popularity",
            |p, w| {
                p.workload.zipf_exponent = parse_number(w[0], 0.0, 3.0)?;
                Ok(())
            },
        ),
        entry("work", "size", "KB", "mean object size", |p, w| {
            p.workload.mean_object_kb = parse_number(w[0], 0.1, 1e6)?;
            Ok(())
        }),
        entry(
            "work",
            "writes",
            "SHARE",
            "share of requests that must not be executed twice",
            |p, w| {
                p.workload.write_share = at_word(0, values::share(w[0]))?;
                Ok(())
            },
        ),
        entry(
            "work",
            "patience",
            "SPAN",
            "how long a client waits, over all its attempts",
            |p, w| {
                p.workload.client_timeout = at_word(0, values::duration(w[0]))?;
                Ok(())
            },
        ),
        entry(
            "work",
            "soft",
            "SPAN",
            "soft deadline, within which an answer earns its full value",
            |p, w| {
                p.workload.soft_deadline = at_word(0, values::duration(w[0]))?;
                Ok(())
            },
        ),
        entry(
            "work",
            "retries",
            "COUNT",
            "maximum number of retries of a client",
            |p, w| {
                p.workload.max_retries = parse_count(w[0], 0, 20)?;
                Ok(())
            },
        ),
        entry(
            "work",
            "heed",
            "SHARE",
            "share of clients that honor the retry-after time",
            |p, w| {
                p.workload.retry_after_share = at_word(0, values::share(w[0]))?;
                Ok(())
            },
        ),
        entry(
            "work",
            "fresh",
            "SPAN",
            "how long a copy stays fresh",
            |p, w| {
                p.workload.max_age = at_word(0, values::duration(w[0]))?;
                Ok(())
            },
        ),
        Directive {
            section: "faults",
            name: "at",
            usage: "SPAN [for|over SPAN] WHAT ..",
            count: 2..=12,
            repeatable: true,
            help: "a fault, its start and its duration",
            set: |p, w| {
                let found = parse_fault(w)?;
                p.faults.push(found);
                Ok(())
            },
        },
        entry(
            "must",
            "service",
            "SHARE",
            "minimum share of the requested value that is earned",
            |p, w| {
                p.requirements.service = Some(at_word(0, values::share(w[0]))?);
                Ok(())
            },
        ),
        entry(
            "must",
            "peak",
            "NUMBER",
            "maximum of `peak` over that of the assignment with full knowledge",
            |p, w| {
                p.requirements.peak = Some(parse_number(w[0], 0.1, 100.0)?);
                Ok(())
            },
        ),
        entry(
            "must",
            "idle",
            "SHARE",
            "maximum share of warm server-windows under a quarter of the mean load",
            |p, w| {
                p.requirements.idle = Some(at_word(0, values::share(w[0]))?);
                Ok(())
            },
        ),
        entry(
            "must",
            "herd",
            "NUMBER",
            "maximum of `herd`: routers that choose the same next server, over the hash",
            |p, w| {
                p.requirements.herd = Some(parse_number(w[0], 0.1, 100.0)?);
                Ok(())
            },
        ),
        entry(
            "must",
            "swing",
            "NUMBER",
            "maximum number of servers that go from high to low load and back",
            |p, w| {
                p.requirements.swing = Some(parse_number(w[0], 0.0, 1000.0)?);
                Ok(())
            },
        ),
        entry(
            "must",
            "lost-service",
            "SHARE",
            "minimum share served of what lost zones requested",
            |p, w| {
                p.requirements.lost_service = Some(at_word(0, values::share(w[0]))?);
                Ok(())
            },
        ),
        entry(
            "must",
            "plan",
            "SPAN",
            "maximum time from a zone's loss until its requests go to other zones",
            |p, w| {
                p.requirements.plan = Some(at_word(0, values::duration(w[0]))?);
                Ok(())
            },
        ),
        entry(
            "must",
            "needless",
            "SHARE",
            "maximum share of requests that left their zone without need",
            |p, w| {
                p.requirements.needless = Some(at_word(0, values::share(w[0]))?);
                Ok(())
            },
        ),
        entry(
            "must",
            "after",
            "SPAN",
            "delay of the second measurement after the end of the last fault",
            |p, w| {
                p.requirements.after = Some(at_word(0, values::duration(w[0]))?);
                Ok(())
            },
        ),
    ],
);

#[cfg(test)]
mod tests;
