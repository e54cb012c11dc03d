//! Plays every file of `tests/scenarios` against the router, without a test bench.
//!
//! A scenario is a list of lines; `#` begins a comment. Configuration and events:
//!   given KEY=VALUE..             changes the deployment (first lines only)
//!   at MS                         advances the time, and fires the timers that are due
//!   list SERVER[=STATE]..         changes the list; STATE: draining, gone, or the time of a start in ms
//!   whole SERVER..                replaces the list
//!   request ID [class=0 object=ID part=0 group=0 kb=100 left=4000 repeated=0]
//!   requests COUNT ID [..]        several at once: ID0, ID1.., each for its own object unless one is named
//!   result ID N OUTCOME [REMARK] [over] [waited=MS] [took=MS]      results COUNT ID N ..  for ID0, ID1..
//!   left ID      begun ID      purge [object=X group=0 ago=0]      told SERVER object=X [part=0]
//!   discovery down      discovery up      it confirms all the time, unless it is down, that all was sent
//! Assertions on the actions since the start or the last `clear`:
//!   expect PATTERN                an action matches, after those expected before; `*` is any word or the
//!                                 rest, $X is bound to a word at first and stands for it afterwards
//!   never PATTERN                 no action matches      count PATTERN MIN MAX      MIN to MAX actions match
//! A server's cohort follows ~, as in c1~2, and its cells follow @, as in c1@0,2; the cell of a request is
//! cell=2. Servers are named by a letter and a number: c caches, p parents, o the origin, m local caches
//! (m1 in memory, m2 on a disk), on a link that transfers two answers. Their copies are set by:
//!   own m1 object=X [part=0] [age=0] [same=0]      own gone object=X
//! `told` is gossip from another router of the zone that the server holds the part or was asked to keep
//! it. `waited` is the time to the source's first byte. `same=1`: the client holds the same copy, so that a
//! not-modified answer suffices. The keys of `given`:
//!   attempts      the maximum number of attempts per request
//!   joins         whether a request can wait for a fill of the same part that is in progress
//!   pass          whether attempts can be sent to parents and origins directly
//!   ask           whether the list is sent on request only
//!   stale         how long a stale copy of class 1 may still be served, in ms
//!   here          the number of routers in the router's zone
//!   cancel        whether attempts can be cancelled
//!   span          the period over which the load of a warming cache is limited, in ms

use chalkhall::control::{Router, part_key};
use chalkhall::interface::*;
use std::collections::{BTreeMap, HashMap};
use std::path::Path;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Records the router's actions and timers.
#[derive(Default)]
struct Recorder {
    lines: Vec<String>,
    timers: BTreeMap<(Duration, u64), ()>,
    /// The requested part of each request, and the local copies by part.
    requested: HashMap<Id, (String, u64)>,
    local_copies: HashMap<(String, u64), LocalCopy>,
}

impl ActionSink for Recorder {
    fn attempt(&mut self, request: &Id, server: &Id, limits: AttemptLimits, fill: &Fill) {
        let oldest = fill
            .max_age
            .map_or("-".into(), |o| o.as_micros().to_string());
        let (source, rank, limit) = (&fill.source, fill.priority, limits.duration.as_millis());
        let held = if fill.only_held { "held" } else { "any" };
        let join = if fill.may_join { "join" } else { "alone" };
        let renew = if fill.revalidate { " renew" } else { "" };
        let line = format!("attempt {request} {server} from {source} rank {rank} oldest {oldest}");
        let line = format!("{line} {held} limit {limit} {join}{renew}");
        self.lines.push(line);
    }
    fn reject(&mut self, request: &Id, retry_after: Option<Duration>) {
        let retry_after = retry_after.map_or("none".into(), |delay| delay.as_millis().to_string());
        self.lines
            .push(format!("reject {request} advice {retry_after}"));
    }
    fn fail(&mut self, request: &Id) {
        self.lines.push(format!("fail {request}"));
    }
    fn cancel(&mut self, request: &Id, attempt: usize) {
        self.lines.push(format!("cancel {request} {attempt}"));
    }
    fn set_timer(&mut self, at: Duration, timer_id: u64) {
        self.timers.insert((at, timer_id), ());
    }
    fn subscribe_list(&mut self) {
        self.lines.push("watch".into());
    }
    fn local_copy(&mut self, request: &Id) -> Option<LocalCopy> {
        self.local_copies.get(self.requested.get(request)?).cloned()
    }
    fn keep_local_copy(&mut self, request: &Id, priority: u8) {
        self.lines.push(format!("keep {request} rank {priority}"));
    }
    fn holder_found(&mut self, _part: u32, cache: &Id) {
        self.lines.push(format!("found {cache}"));
    }
}

fn class(effect: Effect, fresh: Option<Duration>, cacheable: bool) -> Class {
    Class {
        effect,
        dedup_window: ms(2000),
        soft_deadline: ms(500),
        soft_deadline_multiple: 2.0,
        deadline: ms(4000),
        value: 1.0,
        late_value: 0.2,
        fresh,
        cacheable,
        ..Class::default()
    }
}

/// Classes: 0 is fresh until purged, 1 is fresh for 5 s, 2 is non-idempotent, 3 is deduplicated,
/// and 4 is deduplicated by cohort and cacheable.
fn deployment() -> Deployment {
    let cold = SlowStartSettings {
        initial_capacity: 0.25,
        warm_up_time: ms(10_000),
        overload_multiple: 2.0,
        window: ms(1000),
    };
    Deployment {
        router_index: 0,
        seed: 1,
        routers: 2,
        zone: 1,
        routers_per_zone: vec![0, 1, 1],
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
        min_call_interval: ms(2),
        client_kb_per_s: 1000.0,
        max_attempts: 6,
        may_cancel: true,
        max_retry_after: Some(ms(1000)),
        cold_cache: cold,
        cold_parent: SlowStartSettings {
            initial_capacity: 0.1,
            ..cold
        },
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
            "m" => Tier::Local,
            _ => Tier::Origin,
        },
        cohort: cohort.parse().expect("a cohort"),
        state: match state {
            "draining" => ServerState::Draining,
            "gone" => ServerState::Removed,
            _ => ServerState::Active,
        },
        capacity: if name.starts_with('m') { 2.0 } else { 6.0 },
        started: state.parse().ok().map(ms),
        cells: cells
            .split(',')
            .filter_map(|cell| cell.parse().ok())
            .collect(),
    }
}

/// The keys that a line may set. An unknown key would be ignored, and the line would mean something
/// else.
const KEYS: [&str; 21] = [
    "attempts", "joins", "pass", "ask", "stale", "here", "cancel", "span", "class", "object",
    "part", "group", "kb", "left", "repeated", "cell", "waited", "took", "ago", "age", "same",
];

/// The first words of recorded lines. A pattern that begins with another word would never match, so
/// that `never` would always hold.
const ACTIONS: [&str; 7] = [
    "attempt", "reject", "fail", "cancel", "watch", "keep", "found",
];

/// Whether the line matches the pattern word by word. Names are bound only if the whole pattern
/// matches.
fn matches(line: &str, pattern: &str, bound: &mut HashMap<String, String>) -> bool {
    let (mut found, mut words) = (bound.clone(), line.split(' '));
    for expected in pattern.split_whitespace() {
        let Some(word) = words.next() else {
            return false;
        };
        let same = match expected.strip_prefix('$') {
            Some(name) => *found.entry(name.into()).or_insert(word.into()) == word,
            None => expected == "*" || expected == word,
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

/// One line of a scenario, split into words.
struct Line<'a> {
    /// The location of the line, for messages.
    place: &'a str,
    verb: &'a str,
    words: &'a [&'a str],
}

impl Line<'_> {
    /// The value of a field, as in `object=X`.
    fn text(&self, key: &str) -> Option<&str> {
        let values = self.words.iter().map(|word| word.strip_prefix(key));
        values.flatten().find_map(|value| value.strip_prefix('='))
    }

    fn number(&self, key: &str, default: u64) -> u64 {
        self.text(key).map_or(default, |text| {
            text.parse()
                .unwrap_or_else(|_| panic!("{}: bad number", self.place))
        })
    }

    fn time(&self, key: &str, default: u64) -> Duration {
        ms(self.number(key, default))
    }

    fn flag(&self, key: &str, default: u64) -> bool {
        self.number(key, default) == 1
    }

    fn object(&self) -> &str {
        self.text("object").expect("an object")
    }

    /// Rejects unknown keys and actions.
    fn check(&self) {
        let keys = self.words.iter().filter_map(|w| Some(w.split_once('=')?.0));
        if !["list", "whole"].contains(&self.verb) {
            keys.for_each(|key| assert!(KEYS.contains(&key), "{}: no such key", self.place));
        }
        if ["expect", "never", "count"].contains(&self.verb) {
            let is_known = ACTIONS.contains(&self.words[0]);
            assert!(is_known, "{}: no such action", self.place);
        }
    }
}

/// Returns the request ids of a line, one or `many`, and the remaining words.
fn ids<'a>(words: &'a [&'a str], many: bool) -> (Vec<String>, &'a [&'a str]) {
    if !many {
        return (vec![words[0].to_owned()], &words[1..]);
    }
    let count: usize = words[0].parse().expect("a count");
    let ids = (0..count).map(|n| format!("{}{n}", words[1])).collect();
    (ids, &words[2..])
}

/// The state of a scenario in progress.
struct Scenario {
    deployment: Deployment,
    recorder: Recorder,
    /// The words bound to names.
    bound: HashMap<String, String>,
    now: Duration,
    /// The index of the recorded line from which the next expectation is searched.
    search_from: usize,
    router: Option<Router>,
    is_discovery_down: bool,
}

impl Scenario {
    fn new() -> Scenario {
        Scenario {
            deployment: deployment(),
            recorder: Recorder::default(),
            bound: HashMap::new(),
            now: ms(1000),
            search_from: 0,
            router: None,
            is_discovery_down: false,
        }
    }

    /// Splits a line into words, and replaces bound names except in expectations.
    fn words(&self, line: &str, place: &str) -> Vec<String> {
        let word = |word: &str| match word.strip_prefix('$') {
            Some(name) if !line.starts_with("expect") => {
                let value = self.bound.get(name).cloned();
                value.unwrap_or_else(|| panic!("{place}: unbound"))
            }
            _ => word.to_owned(),
        };
        let words = line.split(' ').map(word);
        words.filter(|word| !word.is_empty()).collect()
    }

    /// Executes a line. Configuration lines come first: any other line starts the router.
    fn play(&mut self, line: &Line) {
        if line.verb == "given" {
            return self.configure(line);
        }
        if self.router.is_none() {
            let router = Router::start(self.now, &self.deployment, &mut self.recorder);
            self.router = Some(router);
        }
        line.check();
        match line.verb {
            "clear" => (self.recorder.lines, self.search_from) = (vec![], 0),
            "expect" => self.expect(line),
            "never" => self.never(line),
            "count" => self.count(line),
            "own" => self.local_copies(line),
            "discovery" => self.is_discovery_down = line.words == ["down"],
            _ => self.apply_event(line),
        }
    }

    fn configure(&mut self, line: &Line) {
        let deployment = &mut self.deployment;
        deployment.max_attempts = line.number("attempts", 6) as usize;
        deployment.joins_fills = line.flag("joins", 0);
        deployment.pass_through = line.flag("pass", 1);
        deployment.list_on_request = line.flag("ask", 0);
        deployment.classes[1].max_staleness = line.time("stale", 0);
        deployment.routers_per_zone[1] = line.number("here", 1) as usize;
        deployment.may_cancel = line.flag("cancel", 1);
        deployment.cold_cache.window = line.time("span", 1000);
    }

    /// Applies an event to the router.
    fn apply_event(&mut self, line: &Line) {
        let (now, words) = (self.now, line.words);
        let router = self.router.as_mut().expect("started");
        let recorder = &mut self.recorder;
        match line.verb {
            "at" => self.advance_to(ms(1000 + words[0].parse::<u64>().expect("a time"))),
            "list" => router.update_list(now, ListKind::Changes, &members(words), recorder),
            "whole" => router.update_list(now, ListKind::Snapshot, &members(words), recorder),
            "list-failed" => router.update_list(now, ListKind::Failed, &[], recorder),
            "request" | "requests" => self.request(line),
            "result" | "results" => self.result(line),
            "told" => {
                let arrival = IncomingRequest {
                    object: line.object().into(),
                    part: line.number("part", 0),
                    ..IncomingRequest::default()
                };
                router.record_peer_finding(now, part_key(&arrival), words[0].into());
            }
            "left" => router.client_left(now, &words[0].into(), recorder),
            "begun" => router.answer_started(&words[0].into()),
            "purge" => {
                let object = line.text("object").map(Id::from);
                router.record_purge(now, object, line.number("group", 0), line.time("ago", 0));
            }
            other => panic!("{}: unknown verb {other}", line.place),
        }
    }

    fn advance_to(&mut self, until: Duration) {
        while let Some((&(at, timer_id), ())) = self.recorder.timers.first_key_value()
            && at <= until
        {
            self.recorder.timers.pop_first();
            self.set_now(self.now.max(at));
            let router = self.router.as_mut().expect("started");
            router.wake(self.now, timer_id, &mut self.recorder);
        }
        self.set_now(until);
    }

    fn set_now(&mut self, now: Duration) {
        self.now = now;
        if !self.is_discovery_down {
            let router = self.router.as_mut().expect("started");
            router.confirm_discovery(now);
        }
    }

    fn request(&mut self, line: &Line) {
        let (ids, _) = ids(line.words, line.verb == "requests");
        let router = self.router.as_mut().expect("started");
        for id in &ids {
            let object = line.text("object").unwrap_or(id);
            let arrival = IncomingRequest {
                id: id.as_str().into(),
                class: line.number("class", 0) as usize,
                customer: 0,
                object: object.into(),
                part: line.number("part", 0),
                group: line.number("group", 0),
                kb: line.number("kb", 100) as f64,
                connection: line.number("connection", 0),
                cell: line.text("cell").and_then(|cell| cell.parse().ok()),
                zone: None,
                time_left: line.time("left", 4000),
                is_retry: line.flag("repeated", 0),
            };
            let requested = (object.to_owned(), arrival.part);
            self.recorder
                .requested
                .insert(arrival.id.clone(), requested);
            router.request(self.now, arrival, &mut self.recorder);
        }
    }

    fn result(&mut self, line: &Line) {
        let (ids, words) = ids(line.words, line.verb == "results");
        let remark = match *words.get(2).unwrap_or(&"") {
            "hit" => Remark::Hit,
            "filled" => Remark::Filled,
            "by-origin" => Remark::FilledByOrigin,
            "unreached" => Remark::SourceUnreached,
            _ => Remark::None,
        };
        let first_byte_delay = line.time("waited", 0);
        let ended = AttemptResult {
            outcome: outcome(words[1]),
            remark,
            duration: line.time("took", 10),
            first_byte: Some(first_byte_delay)
                .filter(|first_byte_delay| !first_byte_delay.is_zero()),
            is_complete: words[1] == "served" || words.contains(&"over"),
            load: Load::default(),
        };
        let attempt = words[0].parse().expect("a number");
        let router = self.router.as_mut().expect("started");
        for id in ids {
            router.attempt_ended(
                self.now,
                &id.as_str().into(),
                attempt,
                &ended,
                &mut self.recorder,
            );
        }
    }

    fn local_copies(&mut self, line: &Line) {
        let part = (line.object().to_owned(), line.number("part", 0));
        let copy = |place: &str| LocalCopy {
            cache: place.into(),
            created_at: self.now.saturating_sub(line.time("age", 0)),
            client_has_it: line.flag("same", 0),
        };
        match line.words[0] {
            "gone" => self.recorder.local_copies.remove(&part),
            place => self.recorder.local_copies.insert(part, copy(place)),
        };
    }

    fn expect(&mut self, line: &Line) {
        let (pattern, bound) = (line.words.join(" "), &mut self.bound);
        let lines = &self.recorder.lines[self.search_from..];
        let found = lines.iter().position(|l| matches(l, &pattern, bound));
        let found = found.unwrap_or_else(|| panic!("{}\nnot found in {lines:#?}", line.place));
        self.search_from += found + 1;
    }

    fn never(&mut self, line: &Line) {
        let (pattern, bound) = (line.words.join(" "), &mut self.bound);
        let mut lines = self.recorder.lines.iter();
        let found = lines.find(|l| matches(l, &pattern, bound));
        assert!(found.is_none(), "{}\nfound {found:?}", line.place);
    }

    fn count(&mut self, line: &Line) {
        let [words @ .., least, most] = line.words else {
            panic!("{}: no bounds", line.place)
        };
        let (pattern, bound) = (words.join(" "), &mut self.bound);
        let lines = &self.recorder.lines;
        let found = lines.iter().filter(|l| matches(l, &pattern, bound));
        let count = found.count();
        let (least, most) = (least.parse().expect("least"), most.parse().expect("most"));
        let is_expected = (least..=most).contains(&count);
        assert!(is_expected, "{}\n{count} in {lines:#?}", line.place);
    }
}

/// The members that a line names. Their start times count from the start of the scenario.
fn members(words: &[&str]) -> Vec<Member> {
    let mut members: Vec<Member> = words.iter().map(|word| member(word)).collect();
    for member in &mut members {
        member.started = member.started.map(|started| started + ms(1000));
    }
    members
}

fn play(name: &str, text: &str) {
    let mut scenario = Scenario::new();
    for (number, line) in text.lines().enumerate() {
        let line = line.split('#').next().unwrap_or("").trim();
        let place = format!("{name}, line {}: {line}", number + 1);
        let words = scenario.words(line, &place);
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        if let [verb, words @ ..] = words.as_slice() {
            let place = &place;
            scenario.play(&Line { place, verb, words });
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
