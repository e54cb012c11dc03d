//! A play as a file says it: the fleet, its work, what breaks when, and what must hold. Line-based as the
//! operator's file and read by the same reader: every fault is told at once, with its place and the nearest
//! word.
//!
//! ```
//! let text = "faults {\n at 2s for 3s slow caches 1/8 by 4\n}\n";
//! let (play, faults) = chalkhall_harness::play::read_text(text);
//! assert!(faults.is_empty());
//! assert_eq!(play.faults.len(), 1);
//!
//! let (_, faults) = chalkhall_harness::play::read_text("work {\n secnds 4\n}\n");
//! assert_eq!(faults[0].to_string(), "2:2: secnds is not a directive of work; seconds is");
//! ```

use chalkhall_config::{Entry, Fault as FileFault, Table, values};
use std::path::Path;
use std::time::Duration;

/// So many of something: a count, or a share of all there are.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Part {
    Share(f64),
    Count(usize),
}

impl Part {
    /// Of so many; at least one of them.
    pub fn of(self, whole: usize) -> usize {
        let found = match self {
            Part::Share(share) => (share * whole as f64).round() as usize,
            Part::Count(count) => count,
        };
        found.clamp(whole.min(1), whole)
    }
}

/// Whom a fault meets; which of them is drawn from the seed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Whom {
    Caches(Part),
    Parents(Part),
    Routers(Part),
    /// All caches of a zone.
    Zone(usize),
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum What {
    /// Servers take so many times as long, and say nothing of it.
    Slow(Whom, f64),
    /// Servers answer at once with an error: a sink that looks empty.
    Errors(Whom),
    /// Servers take what comes and never answer.
    Silent(Whom),
    /// As `Silent`, towards some of the routers only.
    Apart(Whom, Part),
    /// Connections are reset under their requests: of those that come, this share.
    Resets(Whom, f64),
    /// Servers are gone, and come back empty and cold.
    Lose(Whom),
    Drain(Whom),
    /// Servers leave the list, others with other names and empty come, in steps over the span.
    Replace(Whom),
    /// So many caches join, empty, in one instant.
    Join(usize),
    /// Routers are killed (SIGKILL), and start anew after the span.
    Kill(Whom),
    /// Routers are stopped (SIGSTOP) for the span.
    Freeze(Whom),
    /// Routers end by SIGTERM and start anew, in steps over the span.
    Restart(Whom),
    /// Routers read their files anew (SIGHUP).
    Reload(Whom),
    /// The most wanted objects are purged, so many of them.
    Purge(usize),
    /// Discovery tells so much later; tells everything twice; breaks its connections.
    ListsLate(Duration),
    ListsDoubled,
    ListsCut,
    /// Datagrams among routers: this share is lost, doubled, held back until after the next.
    Lost(f64),
    Doubled(f64),
    Turned(f64),
    /// They come so much later, up to.
    Late(Duration),
    /// Some routers hear nothing, but are heard.
    Deaf(Whom),
    /// Forged datagrams, within the format, in the name of a peer.
    Lie(Whom),
    /// This share of the work is for one object; another one each second.
    Hot(f64),
    /// All work of one zone comes to another one.
    Shift(usize, usize),
    /// All caches of a region's zones are gone, as `Lose`.
    LoseRegion(usize),
    /// Ways between zones, from and to (none: all): so many times as slow, cut, or losing a share.
    WaysSlow(Option<usize>, Option<usize>, f64),
    WaysCut(Option<usize>, Option<usize>),
    WaysLose(Option<usize>, Option<usize>, f64),
}

/// From when, for or over how long, what.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    pub at: Duration,
    pub lasts: Duration,
    pub what: What,
}

#[derive(Clone, Debug, PartialEq)]
pub struct FleetOf {
    pub routers: usize,
    pub zones: usize,
    pub caches: usize,
    pub parents: usize,
    /// In transfers at a client's pace.
    pub cache_capacity: f64,
    pub parent_capacity: f64,
    pub origin_capacity: f64,
    /// What fills of one zone share, in transfers.
    pub link: f64,
    /// KB that a cache holds.
    pub memory_kb: f64,
    /// KB a second of one transfer to a client.
    pub pace: f64,
    pub cold_from: f64,
    pub warm_within: Duration,
    /// Lines of the operators' file that every router is started with.
    pub directives: Vec<(String, String)>,
    /// Addresses by which a server is reached differ by so many groups of routers; by zone, where ways
    /// between zones take time.
    pub groups: usize,
    /// Among which the zones lie, in blocks.
    pub regions: usize,
    /// What a word takes one way between zones of a region, and of two; nothing: no time at all.
    pub near: Duration,
    pub far: Duration,
    /// It takes up to this share more.
    pub jitter: f64,
    /// Parents and origin take attempts too.
    pub pass_through: bool,
}

impl FleetOf {
    /// Groups of routers by address.
    pub fn doors(&self) -> usize {
        if self.near.is_zero() && self.far.is_zero() {
            self.groups
        } else {
            self.zones
        }
    }

    pub fn group(&self, router: usize) -> usize {
        if self.doors() == self.groups && self.near.is_zero() && self.far.is_zero() {
            (router / self.zones) % self.groups
        } else {
            router % self.zones
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Work {
    pub lasts: Duration,
    /// What is measured begins after this.
    pub lead: Duration,
    /// Requests a second, over all.
    pub rate: f64,
    /// The busiest router's rate over the mean.
    pub uneven: f64,
    pub objects: usize,
    /// Zipf's exponent of their popularity.
    pub popularity: f64,
    /// Mean KB of an object; sizes are drawn from an exponential, bounded at six times.
    pub kb: f64,
    /// Share of requests that must not run twice.
    pub writes: f64,
    pub patience: Duration,
    pub soft: Duration,
    /// How often a client asks again, and whether it heeds what it is told of when.
    pub retries: usize,
    pub heed: f64,
    pub fresh: Duration,
}

/// What must hold beside the rules; none: it is only told.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Must {
    pub service: Option<f64>,
    /// `peak` over that of who sees all.
    pub peak: Option<f64>,
    pub idle: Option<f64>,
    pub herd: Option<f64>,
    pub swing: Option<f64>,
    /// Of what the zones that were lost asked for, from then until five seconds after their return.
    pub lost_service: Option<f64>,
    /// From a zone's loss until four in five of its requests go elsewhere.
    pub plan: Option<Duration>,
    /// Share of requests that left their zone without need.
    pub needless: Option<f64>,
    /// When the last fault is over, what is measured again begins after this.
    pub after: Option<Duration>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Play {
    pub fleet: FleetOf,
    pub work: Work,
    pub faults: Vec<Fault>,
    pub must: Must,
}

impl Default for Play {
    fn default() -> Play {
        let seconds = Duration::from_secs;
        Play {
            fleet: FleetOf {
                routers: 40,
                zones: 4,
                caches: 16,
                parents: 4,
                cache_capacity: 4.0,
                parent_capacity: 12.0,
                origin_capacity: 24.0,
                link: 8.0,
                memory_kb: 12_000.0,
                pace: 500.0,
                cold_from: 0.3,
                warm_within: seconds(10),
                directives: Vec::new(),
                groups: 4,
                regions: 1,
                near: Duration::ZERO,
                far: Duration::ZERO,
                jitter: 0.2,
                pass_through: true,
            },
            work: Work {
                lasts: seconds(10),
                lead: seconds(2),
                rate: 300.0,
                uneven: 6.0,
                objects: 4000,
                popularity: 0.8,
                kb: 40.0,
                writes: 0.03,
                patience: Duration::from_millis(2500),
                soft: Duration::from_millis(700),
                retries: 2,
                heed: 0.7,
                fresh: seconds(60),
            },
            faults: Vec::new(),
            must: Must::default(),
        }
    }
}

impl Play {
    /// When it is measured again: so long after the last fault is over, or after one began that lasts to the
    /// end.
    pub fn measured_again(&self) -> Duration {
        let (lead, lasts) = (self.work.lead, self.work.lasts);
        let after = self.must.after.unwrap_or(Duration::from_secs(3));
        let over = self
            .faults
            .iter()
            .map(|fault| match fault.at + fault.lasts {
                end if end >= lasts => fault.at,
                end => end,
            });
        let again = over.max().map_or(lead, |over| (over + after).max(lead));
        again.min(lasts.saturating_sub(Duration::from_secs(1)))
    }

    /// What cannot be played as it is said, in words.
    pub fn faults_of_sense(&self) -> Vec<String> {
        let (fleet, mut found) = (&self.fleet, Vec::new());
        let mut wrong = |is: bool, what: String| found.extend(is.then_some(what));
        wrong(
            fleet.routers < fleet.zones,
            format!("{} zones need as many routers", fleet.zones),
        );
        wrong(
            fleet.caches < fleet.zones,
            format!("{} zones need as many caches", fleet.zones),
        );
        wrong(
            self.work.lead >= self.work.lasts,
            "lead: nothing is left to be measured".into(),
        );
        for fault in &self.faults {
            wrong(
                fault.at > self.work.lasts,
                format!("a fault at {:?} comes after the end", fault.at),
            );
            let zones: Vec<usize> = match fault.what {
                What::Shift(from, to) => vec![from, to],
                What::WaysSlow(a, b, _) | What::WaysCut(a, b) | What::WaysLose(a, b, _) => {
                    let no_time = fleet.near.is_zero() && fleet.far.is_zero();
                    wrong(no_time, "ways break only where near or far is told".into());
                    a.into_iter().chain(b).collect()
                }
                What::Slow(Whom::Zone(at), _) | What::Lose(Whom::Zone(at)) => vec![at],
                _ => Vec::new(),
            };
            let beyond = zones.into_iter().filter(|at| *at >= fleet.zones);
            beyond.for_each(|at| {
                wrong(
                    true,
                    format!("zone {at}: they count from 0 to {}", fleet.zones - 1),
                )
            });
        }
        found
    }
}

pub fn read(path: &Path) -> (Play, Vec<FileFault>) {
    chalkhall_config::read_with(&PLAY, path)
}

pub fn read_text(text: &str) -> (Play, Vec<FileFault>) {
    chalkhall_config::read_text_with(&PLAY, text)
}

type Fails = (usize, String);

fn at<T>(place: usize, found: Result<T, String>) -> Result<T, Fails> {
    found.map_err(|what| (place, what))
}

/// `1/8`, `30%` or a count.
fn part(word: &str) -> Result<Part, String> {
    if let Some((a, b)) = word.split_once('/') {
        let (a, b) = (values::whole(a, 1, 1 << 20)?, values::whole(b, 1, 1 << 20)?);
        return if a <= b {
            Ok(Part::Share(a as f64 / b as f64))
        } else {
            Err(format!("{word} is over all"))
        };
    }
    if word.ends_with('%') {
        return values::share(word).map(Part::Share);
    }
    let count = values::whole(word, 1, 1 << 20);
    count
        .map(|n| Part::Count(n as usize))
        .map_err(|_| format!("{word:?} is not a part, such as 1/8, 30% or 3"))
}

/// `caches 1/8`, `parents 1`, `routers 70%`, `zone 2`.
fn whom(place: usize, words: &[&str]) -> Result<Whom, Fails> {
    let [kind, of] = words else {
        return Err((
            place,
            "whom? caches, parents or routers PART, or location N".into(),
        ));
    };
    let of_all = at(place + 1, part(of));
    match *kind {
        "caches" => Ok(Whom::Caches(of_all?)),
        "parents" => Ok(Whom::Parents(of_all?)),
        "routers" => Ok(Whom::Routers(of_all?)),
        "location" => Ok(Whom::Zone(
            at(place + 1, values::whole(of, 0, 10_000))? as usize
        )),
        other => Err((
            place,
            format!("{other:?} is not caches, parents, routers or location"),
        )),
    }
}

fn times(place: usize, word: &str) -> Result<f64, Fails> {
    let found = word
        .parse::<f64>()
        .ok()
        .filter(|by| (0.0..=1000.0).contains(by));
    found.ok_or_else(|| (place, format!("{word:?} is not a number from 0 to 1000")))
}

/// `at SPAN [for|over SPAN] WHAT ...`, without the first word.
fn fault(words: &[&str]) -> Result<Fault, Fails> {
    let begins = at(0, values::span(words[0]))?;
    let (lasts, from) = match words.get(1) {
        Some(&"for" | &"over") => {
            let span = words.get(2).ok_or((1, "for how long?".to_owned()))?;
            (at(2, values::span(span))?, 3)
        }
        _ => (Duration::ZERO, 1),
    };
    let rest = words.get(from..).unwrap_or_default();
    let Some((verb, rest)) = rest.split_first() else {
        return Err((0, "what breaks?".into()));
    };
    let place = from + 1;
    let share = |place: usize, word: &str| at(place, values::share(word));
    let what = match (*verb, rest) {
        ("slow", [w @ .., "by", by]) => What::Slow(whom(place, w)?, times(place + 3, by)?),
        ("errors", w) => What::Errors(whom(place, w)?),
        ("silent", [w @ .., "to", "routers", of]) => {
            What::Apart(whom(place, w)?, at(place + 4, part(of))?)
        }
        ("silent", w) => What::Silent(whom(place, w)?),
        ("resets", [w @ .., of]) => What::Resets(whom(place, w)?, share(place + 2, of)?),
        ("lose", ["region", of]) => {
            What::LoseRegion(at(place + 1, values::whole(of, 0, 100))? as usize)
        }
        ("lose", w) => What::Lose(whom(place, w)?),
        ("ways", [from, to, what @ ..]) => {
            let one = |place: usize, word: &str| match word {
                "all" => Ok(None),
                word => at(place, values::whole(word, 0, 10_000)).map(|n| Some(n as usize)),
            };
            let (from, to) = (one(place, from)?, one(place + 1, to)?);
            match what {
                ["slow", "by", by] => What::WaysSlow(from, to, times(place + 4, by)?),
                ["cut"] => What::WaysCut(from, to),
                ["lose", of] => What::WaysLose(from, to, share(place + 3, of)?),
                _ => return Err((place + 2, "slow by NUMBER, cut, or lose SHARE?".into())),
            }
        }
        ("drain", w) => What::Drain(whom(place, w)?),
        ("replace", w) => What::Replace(whom(place, w)?),
        ("join", [count]) => What::Join(at(place, values::whole(count, 1, 1000))? as usize),
        ("kill", w) => What::Kill(whom(place, w)?),
        ("freeze", w) => What::Freeze(whom(place, w)?),
        ("restart", w) => What::Restart(whom(place, w)?),
        ("reload", w) => What::Reload(whom(place, w)?),
        ("purge", [count]) => What::Purge(at(place, values::whole(count, 1, 10_000))? as usize),
        ("lists", ["late", span]) => What::ListsLate(at(place + 1, values::span(span))?),
        ("lists", ["doubled"]) => What::ListsDoubled,
        ("lists", ["cut"]) => What::ListsCut,
        ("datagrams", ["lost", of]) => What::Lost(share(place + 1, of)?),
        ("datagrams", ["doubled", of]) => What::Doubled(share(place + 1, of)?),
        ("datagrams", ["turned", of]) => What::Turned(share(place + 1, of)?),
        ("datagrams", ["late", span]) => What::Late(at(place + 1, values::span(span))?),
        ("deaf", w) => What::Deaf(whom(place, w)?),
        ("lie", w) => What::Lie(whom(place, w)?),
        ("hot", [of]) => What::Hot(share(place, of)?),
        ("shift", ["location", from, "to", to]) => {
            let of = |place, word| at(place, values::whole(word, 0, 10_000));
            What::Shift(of(place + 1, from)? as usize, of(place + 3, to)? as usize)
        }
        (other, _) => {
            return Err((
                from,
                format!("{other:?} with these words is nothing that breaks"),
            ));
        }
    };
    Ok(Fault {
        at: begins,
        lasts,
        what,
    })
}

const fn one(
    section: &'static str,
    name: &'static str,
    takes: &'static str,
    says: &'static str,
    set: fn(&mut Play, &[&str]) -> Result<(), Fails>,
) -> Entry<Play> {
    Entry {
        section,
        name,
        takes,
        count: 1..=1,
        many: false,
        says,
        set,
    }
}

fn whole(word: &str, least: u64, most: u64) -> Result<usize, Fails> {
    at(0, values::whole(word, least, most)).map(|n| n as usize)
}

fn number(word: &str, least: f64, most: f64) -> Result<f64, Fails> {
    let found = word
        .parse::<f64>()
        .ok()
        .filter(|n| (least..=most).contains(n));
    found.ok_or_else(|| {
        (
            0,
            format!("{word:?} is not a number from {least} to {most}"),
        )
    })
}

/// Every word of a play.
pub const PLAY: Table<Play> = Table::new(
    &["fleet", "work", "faults", "must"],
    &[
        one("fleet", "routers", "COUNT", "router processes", |p, w| {
            p.fleet.routers = whole(w[0], 2, 500)?;
            Ok(())
        }),
        one(
            "fleet",
            "locations",
            "COUNT",
            "among which routers and caches are dealt out",
            |p, w| {
                p.fleet.zones = whole(w[0], 1, 100)?;
                Ok(())
            },
        ),
        one(
            "fleet",
            "caches",
            "COUNT",
            "cache servers of all zones",
            |p, w| {
                p.fleet.caches = whole(w[0], 1, 500)?;
                Ok(())
            },
        ),
        one(
            "fleet",
            "parents",
            "COUNT",
            "parents of all zones",
            |p, w| {
                p.fleet.parents = whole(w[0], 1, 100)?;
                Ok(())
            },
        ),
        one(
            "fleet",
            "cache-capacity",
            "NUMBER",
            "transfers at a client's pace at once",
            |p, w| {
                p.fleet.cache_capacity = number(w[0], 0.1, 1e6)?;
                Ok(())
            },
        ),
        one(
            "fleet",
            "parent-capacity",
            "NUMBER",
            "the same of a parent",
            |p, w| {
                p.fleet.parent_capacity = number(w[0], 0.1, 1e6)?;
                Ok(())
            },
        ),
        one(
            "fleet",
            "origin-capacity",
            "NUMBER",
            "the same of the origin",
            |p, w| {
                p.fleet.origin_capacity = number(w[0], 0.1, 1e6)?;
                Ok(())
            },
        ),
        one(
            "fleet",
            "link",
            "NUMBER",
            "transfers that fills of one zone share",
            |p, w| {
                p.fleet.link = number(w[0], 0.1, 1e6)?;
                Ok(())
            },
        ),
        one("fleet", "memory", "KB", "what a cache holds", |p, w| {
            p.fleet.memory_kb = number(w[0], 1.0, 1e9)?;
            Ok(())
        }),
        one(
            "fleet",
            "pace",
            "KB",
            "a second of one transfer to a client",
            |p, w| {
                p.fleet.pace = number(w[0], 1.0, 1e6)?;
                Ok(())
            },
        ),
        one(
            "fleet",
            "cold-from",
            "SHARE",
            "of its capacity at a start",
            |p, w| {
                p.fleet.cold_from = at(0, values::share(w[0]))?.max(0.01);
                Ok(())
            },
        ),
        one("fleet", "warm-within", "SPAN", "until all of it", |p, w| {
            p.fleet.warm_within = at(0, values::span(w[0]))?.max(Duration::from_millis(100));
            Ok(())
        }),
        one(
            "fleet",
            "groups",
            "COUNT",
            "groups of routers that reach servers by addresses of their own",
            |p, w| {
                p.fleet.groups = whole(w[0], 1, 16)?;
                Ok(())
            },
        ),
        one(
            "fleet",
            "pass-through",
            "on|off",
            "parents and origin take attempts too",
            |p, w| {
                p.fleet.pass_through = match w[0] {
                    "on" => true,
                    "off" => false,
                    other => return Err((0, format!("{other:?} is neither on nor off"))),
                };
                Ok(())
            },
        ),
        one(
            "fleet",
            "regions",
            "COUNT",
            "among which the zones lie, in blocks",
            |p, w| {
                p.fleet.regions = whole(w[0], 1, 100)?;
                Ok(())
            },
        ),
        one(
            "fleet",
            "near",
            "SPAN",
            "what a word takes one way between zones of a region",
            |p, w| {
                p.fleet.near = at(0, values::span(w[0]))?;
                Ok(())
            },
        ),
        one(
            "fleet",
            "far",
            "SPAN",
            "the same between regions",
            |p, w| {
                p.fleet.far = at(0, values::span(w[0]))?;
                Ok(())
            },
        ),
        one(
            "fleet",
            "jitter",
            "SHARE",
            "up to how much more it takes",
            |p, w| {
                p.fleet.jitter = at(0, values::share(w[0]))?;
                Ok(())
            },
        ),
        Entry {
            section: "fleet",
            name: "directive",
            takes: "SECTION NAME VALUE..",
            count: 3..=8,
            many: true,
            says: "a line of every router's operator's file",
            set: |p, w| {
                p.fleet.directives.push((w[0].to_owned(), w[1..].join(" ")));
                Ok(())
            },
        },
        one("work", "seconds", "COUNT", "how long it comes", |p, w| {
            p.work.lasts = Duration::from_secs(whole(w[0], 2, 3600)? as u64);
            Ok(())
        }),
        one(
            "work",
            "lead",
            "SPAN",
            "before anything is measured",
            |p, w| {
                p.work.lead = at(0, values::span(w[0]))?;
                Ok(())
            },
        ),
        one(
            "work",
            "rate",
            "NUMBER",
            "requests a second over all",
            |p, w| {
                p.work.rate = number(w[0], 1.0, 50_000.0)?;
                Ok(())
            },
        ),
        one(
            "work",
            "uneven",
            "NUMBER",
            "the busiest router's rate over the mean",
            |p, w| {
                p.work.uneven = number(w[0], 1.0, 100.0)?;
                Ok(())
            },
        ),
        one("work", "objects", "COUNT", "objects there are", |p, w| {
            p.work.objects = whole(w[0], 1, 10_000_000)?;
            Ok(())
        }),
        one("work", "popularity", "NUMBER", "Zipf's exponent", |p, w| {
            p.work.popularity = number(w[0], 0.0, 3.0)?;
            Ok(())
        }),
        one("work", "size", "KB", "mean of an object", |p, w| {
            p.work.kb = number(w[0], 0.1, 1e6)?;
            Ok(())
        }),
        one(
            "work",
            "writes",
            "SHARE",
            "of requests that must not run twice",
            |p, w| {
                p.work.writes = at(0, values::share(w[0]))?;
                Ok(())
            },
        ),
        one(
            "work",
            "patience",
            "SPAN",
            "how long a client waits, all tries together",
            |p, w| {
                p.work.patience = at(0, values::span(w[0]))?;
                Ok(())
            },
        ),
        one(
            "work",
            "soft",
            "SPAN",
            "within which an answer earns all of its value",
            |p, w| {
                p.work.soft = at(0, values::span(w[0]))?;
                Ok(())
            },
        ),
        one(
            "work",
            "retries",
            "COUNT",
            "how often a client asks again",
            |p, w| {
                p.work.retries = whole(w[0], 0, 20)?;
                Ok(())
            },
        ),
        one(
            "work",
            "heed",
            "SHARE",
            "of clients that come back when they are told",
            |p, w| {
                p.work.heed = at(0, values::share(w[0]))?;
                Ok(())
            },
        ),
        one("work", "fresh", "SPAN", "how long a copy is", |p, w| {
            p.work.fresh = at(0, values::span(w[0]))?;
            Ok(())
        }),
        Entry {
            section: "faults",
            name: "at",
            takes: "SPAN [for|over SPAN] WHAT ..",
            count: 2..=12,
            many: true,
            says: "what breaks, from when and for how long",
            set: |p, w| {
                let found = fault(w)?;
                p.faults.push(found);
                Ok(())
            },
        },
        one(
            "must",
            "service",
            "SHARE",
            "of the value asked for, at least",
            |p, w| {
                p.must.service = Some(at(0, values::share(w[0]))?);
                Ok(())
            },
        ),
        one(
            "must",
            "peak",
            "NUMBER",
            "busiest over mean, over that of who sees all, at most",
            |p, w| {
                p.must.peak = Some(number(w[0], 0.1, 100.0)?);
                Ok(())
            },
        ),
        one(
            "must",
            "idle",
            "SHARE",
            "of warm server-seconds under a quarter of the mean, at most",
            |p, w| {
                p.must.idle = Some(at(0, values::share(w[0]))?);
                Ok(())
            },
        ),
        one(
            "must",
            "herd",
            "NUMBER",
            "same next server over independence, at most",
            |p, w| {
                p.must.herd = Some(number(w[0], 0.1, 100.0)?);
                Ok(())
            },
        ),
        one(
            "must",
            "swing",
            "NUMBER",
            "servers from crowded to idle and back, at most",
            |p, w| {
                p.must.swing = Some(number(w[0], 0.0, 1000.0)?);
                Ok(())
            },
        ),
        one(
            "must",
            "lost-service",
            "SHARE",
            "of what lost zones asked for, at least",
            |p, w| {
                p.must.lost_service = Some(at(0, values::share(w[0]))?);
                Ok(())
            },
        ),
        one(
            "must",
            "plan",
            "SPAN",
            "from a loss until requests go elsewhere, at most",
            |p, w| {
                p.must.plan = Some(at(0, values::span(w[0]))?);
                Ok(())
            },
        ),
        one(
            "must",
            "needless",
            "SHARE",
            "of requests that left without need, at most",
            |p, w| {
                p.must.needless = Some(at(0, values::share(w[0]))?);
                Ok(())
            },
        ),
        one(
            "must",
            "after",
            "SPAN",
            "what is measured begins so long after the last fault",
            |p, w| {
                p.must.after = Some(at(0, values::span(w[0]))?);
                Ok(())
            },
        ),
    ],
);

#[cfg(test)]
mod tests;
