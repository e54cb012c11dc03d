//! Plays every file of `tests/scenarios` against the decisions, without any bench.
//!
//! A scenario is a list of lines; `#` begins a comment. What happens:
//!   given KEY=VALUE..             changes what the router is told (first lines only)
//!   at MS                         time passes, and what was asked to wake does
//!   list SERVER[=STATE]..         changes; STATE: draining, gone, or the time of a start in ms
//!   whole SERVER..                the whole list
//!   request ID [class=0 object=ID part=0 group=0 kb=100 left=4000 repeated=0]
//!   requests COUNT ID [..]        many at once: ID0, ID1.., each for an object of its own unless named
//!   result ID N OUTCOME [REMARK] [over] [waited=MS] [took=MS]      results COUNT ID N ..  for ID0, ID1..
//!   left ID      begun ID      purge [object=X group=0 ago=0]      told SERVER object=X [part=0]
//! What must follow, among the actions since the start or the last `clear`:
//!   expect PATTERN                one that matches, after those expected before; `*` is any word or the
//!                                 rest, $X binds a word at first and stands for it afterwards
//!   never PATTERN                 none      count PATTERN MIN MAX      so many
//! A server's cohort stands behind ~, as in c1~2, its cells behind @, as in c1@0,2; a request's as
//! cell=2. Servers are named by a letter and a number: c caches, p parents, o the origin, m own
//! copies (m1 in memory, m2 on a disk), of a link that carries two answers. What they hold is set
//! by
//!   own m1 object=X [part=0] [age=0] [same=0]      own gone object=X

use chalkhall::control::{Router, part_of};
use chalkhall::interface::*;
use std::collections::{BTreeMap, HashMap};
use std::path::Path;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Writes down what the router does, and when it wants to be woken.
#[derive(Default)]
struct Record {
    lines: Vec<String>,
    wakes: BTreeMap<(Duration, u64), ()>,
    /// What requests ask for, and own copies: where, when made, whether the client has it.
    asked: HashMap<Id, (String, u64)>,
    own: HashMap<(String, u64), Held>,
}

impl Outlet for Record {
    fn attempt(&mut self, request: &Id, server: &Id, limit: Duration, fill: &Fill) {
        let oldest = fill
            .oldest
            .map_or("-".into(), |o| o.as_micros().to_string());
        let (source, rank, limit) = (&fill.source, fill.rank, limit.as_millis());
        let held = if fill.only_held { "held" } else { "any" };
        let join = if fill.join { "join" } else { "alone" };
        let renew = if fill.renew { " renew" } else { "" };
        let line = format!("attempt {request} {server} from {source} rank {rank} oldest {oldest}");
        let line = format!("{line} {held} limit {limit} {join}{renew}");
        self.lines.push(line);
    }
    fn reject(&mut self, request: &Id, advice: Option<Duration>) {
        let advice = advice.map_or("none".into(), |advice| advice.as_millis().to_string());
        self.lines.push(format!("reject {request} advice {advice}"));
    }
    fn fail(&mut self, request: &Id) {
        self.lines.push(format!("fail {request}"));
    }
    fn cancel(&mut self, request: &Id, attempt: usize) {
        self.lines.push(format!("cancel {request} {attempt}"));
    }
    fn wake_at(&mut self, at: Duration, mark: u64) {
        self.wakes.insert((at, mark), ());
    }
    fn watch_list(&mut self) {
        self.lines.push("watch".into());
    }
    fn held(&mut self, request: &Id) -> Option<Held> {
        self.own.get(self.asked.get(request)?).cloned()
    }
    fn keep(&mut self, request: &Id, rank: u8) {
        self.lines.push(format!("keep {request} rank {rank}"));
    }
    fn found(&mut self, _part: u32, cache: &Id) {
        self.lines.push(format!("found {cache}"));
    }
}

fn class(effect: Effect, fresh: Option<Duration>, cacheable: bool) -> Class {
    Class {
        effect,
        window: ms(2000),
        soft_deadline: ms(500),
        soft_stretch: 2.0,
        deadline: ms(4000),
        value: 1.0,
        late_value: 0.2,
        fresh,
        cacheable,
        ..Class::default()
    }
}

/// Classes: 0 kept until purged, 1 fresh for 5 s, 2 non-idempotent, 3 deduplicated, 4 the same by
/// cohort and kept.
fn deployment() -> Deployment {
    let cold = ColdStart {
        from: 0.25,
        warm_within: ms(10_000),
        multiple: 2.0,
        span: ms(1000),
    };
    Deployment {
        number: 0,
        seed: 1,
        routers: 2,
        zone: 1,
        routers_at: vec![0, 1, 1],
        classes: vec![
            class(Effect::Idempotent, None, true),
            class(Effect::Idempotent, Some(ms(5000)), true),
            class(Effect::NonIdempotent, None, false),
            class(Effect::Deduplicated, None, false),
            Class {
                group: Group::Cohort,
                ..class(Effect::Deduplicated, None, true)
            },
        ],
        tick: ms(2),
        client_kb_per_s: 1000.0,
        max_attempts: 6,
        may_cancel: true,
        longest_advice: Some(ms(1000)),
        cold_cache: cold,
        cold_parent: ColdStart { from: 0.1, ..cold },
        drain_grace: ms(250),
        purge_grace: ms(500),
        purge_done: ms(6000),
        pass_through: true,
        ..Deployment::default()
    }
}

fn member(word: &str) -> Member {
    let (word, cells) = word.split_once('@').unwrap_or((word, ""));
    let (word, cohort) = word.split_once('~').unwrap_or((word, "0"));
    let (name, state) = word.split_once('=').unwrap_or((word, ""));
    Member {
        server: name.into(),
        zone: if name.starts_with('c') { 1 } else { 0 },
        tier: match &name[..1] {
            "c" => Tier::Cache,
            "p" => Tier::Parent,
            "m" => Tier::Own,
            _ => Tier::Origin,
        },
        cohort: cohort.parse().expect("a cohort"),
        standing: match state {
            "draining" => Standing::Draining,
            "gone" => Standing::Gone,
            _ => Standing::Active,
        },
        capacity: if name.starts_with('m') { 2.0 } else { 6.0 },
        started: state.parse().ok().map(ms),
        cells: cells
            .split(',')
            .filter_map(|cell| cell.parse().ok())
            .collect(),
    }
}

/// What a line may set: a key that nobody reads would be passed over, and its line mean something
/// else.
const KEYS: [&str; 21] = [
    "attempts", "joins", "pass", "ask", "stale", "here", "cancel", "span", "class", "object",
    "part", "group", "kb", "left", "repeated", "cell", "waited", "took", "ago", "age", "same",
];

/// What the record's lines begin with: a pattern of another word would never match, and `never`
/// always hold.
const ACTIONS: [&str; 7] = [
    "attempt", "reject", "fail", "cancel", "watch", "keep", "found",
];

/// Does the line match, word by word? Names bound on the way are kept only if it does.
fn matches(line: &str, pattern: &str, bound: &mut HashMap<String, String>) -> bool {
    let (mut found, mut words) = (bound.clone(), line.split(' '));
    for want in pattern.split_whitespace() {
        let Some(word) = words.next() else {
            return false;
        };
        let same = match want.strip_prefix('$') {
            Some(name) => *found.entry(name.into()).or_insert(word.into()) == word,
            None => want == "*" || want == word,
        };
        if !same {
            return false;
        }
    }
    *bound = found;
    true
}

fn outcome(word: &str) -> Outcome {
    match word {
        "served" => Outcome::Served,
        "error" => Outcome::Error,
        "full" => Outcome::Full,
        "timed-out" => Outcome::TimedOut,
        "unreachable" => Outcome::Unreachable,
        "broken" => Outcome::Broken,
        "cancelled" => Outcome::Cancelled,
        "never-sent" => Outcome::NeverSent,
        "missing" => Outcome::Missing,
        other => panic!("unknown outcome {other}"),
    }
}

fn play(name: &str, text: &str) {
    let (mut told, mut record, mut bound) = (deployment(), Record::default(), HashMap::new());
    let (mut now, mut expected, mut router) = (ms(1000), 0, None);
    for (number, line) in text.lines().enumerate() {
        let line = line.split('#').next().unwrap_or("").trim();
        let place = format!("{name}, line {}: {line}", number + 1);
        // Names bound before stand in what happens, too.
        let spoken = line.split(' ').map(|w| match w.strip_prefix('$') {
            Some(n) if !line.starts_with("expect") => bound
                .get(n)
                .cloned()
                .unwrap_or_else(|| panic!("{place}: unbound")),
            _ => w.to_owned(),
        });
        let spoken: Vec<String> = spoken.collect();
        let words: Vec<&str> = spoken
            .iter()
            .map(String::as_str)
            .filter(|w| !w.is_empty())
            .collect();
        let [verb, rest @ ..] = words.as_slice() else {
            continue;
        };
        let field = |key: &str, usual: u64| {
            let found = rest
                .iter()
                .find_map(|w| w.strip_prefix(key).and_then(|w| w.strip_prefix('=')));
            found.map_or(usual, |v| {
                v.parse().unwrap_or_else(|_| panic!("{place}: bad number"))
            })
        };
        if *verb == "given" {
            told.max_attempts = field("attempts", 6) as usize;
            told.joins = field("joins", 0) == 1;
            told.pass_through = field("pass", 1) == 1;
            told.list_on_request = field("ask", 0) == 1;
            told.classes[1].stale_for = ms(field("stale", 0));
            told.routers_at[1] = field("here", 1) as usize;
            told.may_cancel = field("cancel", 1) == 1;
            told.cold_cache.span = ms(field("span", 1000));
            continue;
        }
        let router = router.get_or_insert_with(|| Router::start(now, &told, &mut record));
        let pattern = rest.join(" ");
        let keys = rest.iter().filter_map(|word| Some(word.split_once('=')?.0));
        if !["list", "whole"].contains(verb) {
            keys.for_each(|key| assert!(KEYS.contains(&key), "{place}: no such key"));
        }
        if ["expect", "never", "count"].contains(verb) {
            assert!(ACTIONS.contains(&rest[0]), "{place}: no such action");
        }
        match *verb {
            "at" => {
                let then = ms(1000 + rest[0].parse::<u64>().expect("a time"));
                while let Some((&(at, mark), ())) = record
                    .wakes
                    .first_key_value()
                    .filter(|((at, _), ())| *at <= then)
                {
                    record.wakes.pop_first();
                    now = now.max(at);
                    router.wake(now, mark, &mut record);
                }
                now = then;
            }
            "list" | "whole" => {
                let mut members: Vec<Member> = rest.iter().map(|w| member(w)).collect();
                members
                    .iter_mut()
                    .for_each(|m| m.started = m.started.map(|s| s + ms(1000)));
                let kind = if *verb == "list" {
                    ListKind::Changes
                } else {
                    ListKind::Whole
                };
                router.list(now, kind, &members, &mut record);
            }
            "list-failed" => router.list(now, ListKind::Failed, &[], &mut record),
            "request" | "requests" => {
                let many = *verb == "requests";
                let count = if many {
                    rest[0].parse().expect("a count")
                } else {
                    1
                };
                for n in 0..count {
                    let id = if many {
                        format!("{}{n}", rest[1])
                    } else {
                        rest[0].to_owned()
                    };
                    let object = rest
                        .iter()
                        .find_map(|w| w.strip_prefix("object="))
                        .unwrap_or(&id);
                    let arrival = Arrival {
                        id: id.as_str().into(),
                        class: field("class", 0) as usize,
                        customer: 0,
                        object: object.into(),
                        part: field("part", 0),
                        group: field("group", 0),
                        kb: field("kb", 100) as f64,
                        cell: rest
                            .iter()
                            .find_map(|w| w.strip_prefix("cell="))
                            .and_then(|c| c.parse().ok()),
                        at: None,
                        left: ms(field("left", 4000)),
                        repeated: field("repeated", 0) == 1,
                    };
                    record
                        .asked
                        .insert(id.as_str().into(), (object.to_owned(), arrival.part));
                    router.request(now, arrival, &mut record);
                }
            }
            "result" | "results" => {
                let many = *verb == "results";
                let count = if many {
                    rest[0].parse().expect("a count")
                } else {
                    1
                };
                let rest = &rest[usize::from(many)..];
                let remark = match *rest.get(3).unwrap_or(&"") {
                    "hit" => Remark::Hit,
                    "filled" => Remark::Filled,
                    "by-origin" => Remark::FilledByOrigin,
                    "unreached" => Remark::SourceUnreached,
                    _ => Remark::None,
                };
                let over = rest[2] == "served" || rest.contains(&"over");
                let first_byte = Some(field("waited", 0)).filter(|w| *w > 0).map(ms);
                let (load, took) = (Load::default(), ms(field("took", 10)));
                let ended = Ended {
                    outcome: outcome(rest[2]),
                    remark,
                    took,
                    first_byte,
                    over,
                    load,
                };
                for n in 0..count {
                    let id = if many {
                        format!("{}{n}", rest[0])
                    } else {
                        rest[0].to_owned()
                    };
                    let attempt = rest[1].parse().expect("a number");
                    router.result(now, &id.as_str().into(), attempt, &ended, &mut record);
                }
            }
            "told" => {
                let object: Id = rest
                    .iter()
                    .find_map(|w| w.strip_prefix("object="))
                    .expect("an object")
                    .into();
                let arrival = Arrival {
                    object,
                    part: field("part", 0),
                    ..Arrival::default()
                };
                router.told(now, part_of(&arrival), rest[0].into());
            }
            "left" => router.left(now, &rest[0].into(), &mut record),
            "begun" => router.begun(&rest[0].into()),
            "purge" => {
                let object = rest
                    .iter()
                    .find_map(|w| w.strip_prefix("object="))
                    .map(Id::from);
                router.purged(now, object, field("group", 0), ms(field("ago", 0)));
            }
            "own" => {
                let object = rest
                    .iter()
                    .find_map(|w| w.strip_prefix("object="))
                    .expect("an object");
                let part = (object.to_owned(), field("part", 0));
                let (made, same) = (
                    now.saturating_sub(ms(field("age", 0))),
                    field("same", 0) == 1,
                );
                match rest[0] {
                    "gone" => record.own.remove(&part),
                    place => record.own.insert(
                        part,
                        Held {
                            place: place.into(),
                            made,
                            same,
                        },
                    ),
                };
            }
            "clear" => (record.lines, expected) = (vec![], 0),
            "expect" => {
                let found = record.lines[expected..]
                    .iter()
                    .position(|l| matches(l, &pattern, &mut bound));
                let found = found.unwrap_or_else(|| {
                    panic!("{place}\nnot found in {:#?}", &record.lines[expected..])
                });
                expected += found + 1;
            }
            "never" => {
                let found = record
                    .lines
                    .iter()
                    .find(|l| matches(l, &pattern, &mut bound));
                assert!(found.is_none(), "{place}\nfound {found:?}");
            }
            "count" => {
                let [words @ .., least, most] = rest else {
                    panic!("{place}: no bounds")
                };
                let count = record
                    .lines
                    .iter()
                    .filter(|l| matches(l, &words.join(" "), &mut bound))
                    .count();
                let (least, most) = (least.parse().expect("least"), most.parse().expect("most"));
                assert!(
                    (least..=most).contains(&count),
                    "{place}\n{count} in {:#?}",
                    record.lines
                );
            }
            other => panic!("{place}: unknown verb {other}"),
        }
    }
}

#[test]
fn scenarios() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let mut files: Vec<_> = std::fs::read_dir(folder)
        .expect("scenarios")
        .map(|f| f.expect("file").path())
        .collect();
    files.sort();
    assert!(!files.is_empty());
    let mut failed = 0;
    for file in files {
        let text = std::fs::read_to_string(&file).expect("text");
        let name = file
            .file_name()
            .expect("name")
            .to_string_lossy()
            .into_owned();
        failed += usize::from(std::panic::catch_unwind(|| play(&name, &text)).is_err());
    }
    assert_eq!(failed, 0, "scenarios that fail");
}
