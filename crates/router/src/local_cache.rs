//! The router's own copies, as the desk asks for them: names, clocks, bounds and threads between the store
//! and the decisions.

use crate::boot_time::BootTime;
use crate::clock::Clock;
use crate::configuration::Configuration;
use crate::messages::Key;
use crate::server_protocol::{Answer, ForwardedFields};
use crate::timestamps::CopyTimes;
use bytes::Bytes;
use chalkhall::interface::{
    Arrival, Class, Held, Id, Load, Member, Outcome, Remark, Standing, Tier,
};
use chalkhall_config::Store as Wishes;
use chalkhall_store::copy::Copy;
use chalkhall_store::decide::disk::{Disk, Fetched, Phase, SEGMENTS_LEAST, Wanted};
use chalkhall_store::decide::{Part, Place, Store};
use chalkhall_store::files::{Directory, Files};
use chalkhall_store::threads::{self, End, NotTaken, Shelf};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::mpsc;

/// What the router takes beside bodies and own copies, and what of the rest they may fill together: an
/// allocator needs some room of its own.
const BESIDE: u64 = 8 << 20;
const USABLE: f64 = 0.75;
/// How the places are called; no listed server's name begins with a colon.
const MEMORY: &str = ":memory";
const DISK: &str = ":disk";
/// A purge made before is told by now: discovery says nothing of what it has not been told itself.
const TOLD_WITHIN: Duration = Duration::from_secs(10);
/// Purges told while the disk is still being opened; a list at the start holds fewer.
const EARLY_PURGES_MOST: usize = 4096;
/// A purge reaches copies of a clock that was further ahead no more: a day, in milliseconds.
const PURGE_LEAD_MOST_MS: u64 = 24 * 3600 * 1000;

/// A purge as it was told: of an object, or of a group, in Unix milliseconds of this start's clock.
struct Purge {
    object: Option<Id>,
    group: u64,
    ms: u64,
}

pub struct LocalCache {
    store: Store,
    shelf: Shelf,
    clock: Clock,
    times: CopyTimes,
    /// By how many milliseconds the wall clock was set back since an earlier start wrote to the disk; known once
    /// that is open. Purges told before are told again then.
    set_back_ms: Arc<AtomicU64>,
    early_purges: Vec<Purge>,
    classes: Vec<(Bytes, Class)>,
    places: [Id; 2],
    /// Bytes that bodies and own copies may fill together.
    usable: u64,
    link: f64,
    chance: fastrand::Rng,
    /// Reads that requests wait for.
    waiting: HashMap<u64, Key>,
}

/// LocalCache copies, and with a disk how its orders end.
pub type Opened = (LocalCache, Option<mpsc::Receiver<End>>);

/// How an attempt at the local cache ended.
pub struct AttemptResult {
    /// Its outcome.
    pub outcome: Outcome,
    /// The answer, where there is one.
    pub answer: Option<Box<Answer>>,
}

impl AttemptResult {
    fn without_answer(outcome: Outcome) -> AttemptResult {
        AttemptResult {
            outcome,
            answer: None,
        }
    }
}

/// A read from disk that an attempt waited for.
pub struct CompletedRead {
    /// The attempt.
    pub key: Key,
    /// What was read.
    pub fetched: Fetched,
}

/// A request of the local cache itself, by which it learns whether a copy is still current.
pub struct Revalidation {
    /// The request as the decisions see it.
    pub arrival: Arrival,
    /// The fields that are forwarded to the server.
    pub forwarded: ForwardedFields,
}

impl LocalCache {
    /// None: no own copies are wanted. With a disk also the ends of what it is ordered, for `ended`.
    ///
    /// # Errors
    /// What is wanted cannot be, and which directive says so.
    pub fn open(
        wishes: &Wishes,
        told: &Configuration,
        clock: Clock,
    ) -> Result<Option<Opened>, String> {
        if wishes.memory.is_none() && wishes.disk.is_none() {
            return Ok(None);
        }
        let limit = told.limits.memory;
        let usable = (limit.saturating_sub(BESIDE) as f64 * USABLE) as u64;
        let most = wishes
            .memory
            .map_or(0, |memory| memory.of(limit).min(usable));
        let mut shelf = Shelf::default();
        let (mut disk, mut ends) = (None, None);
        let set_back_ms = Arc::new(AtomicU64::new(0));
        if let Some((path, bytes)) = &wishes.disk {
            let wanted = wanted(wishes, *bytes, limit, usable)?;
            let (path, boot, found) = (path.clone(), BootTime::read(&clock), set_back_ms.clone());
            let take = move || {
                let taken = Directory::take(&path).map_err(|error| NotTaken::of(&path, &error))?;
                // The directory may be taken again after it failed; what was found out first stays so.
                let set_back = boot.as_ref().map_or(0, |boot| set_back_by(boot, &path));
                found.fetch_max(set_back, Ordering::Release);
                Ok(Arc::new(taken) as Arc<dyn Files>)
            };
            let number = fastrand::u64(1..);
            let started = threads::start(take, number, wishes.readers)
                .map_err(|e| format!("store: disk: {e}"))?;
            (shelf.threads, ends) = (Some(started.0), Some(started.1));
            disk = Some(Disk::new(wanted, clock.now(), clock.unix_ms(clock.now())));
        }
        log::info!(memory_bytes = most, disk_bytes = wishes.disk.as_ref().map_or(0, |d| d.1); "own copies");
        let names = told
            .classes
            .iter()
            .map(|name| Bytes::copy_from_slice(name.as_bytes()));
        let own = LocalCache {
            store: Store::new(most, disk),
            shelf,
            clock,
            times: CopyTimes::default(),
            set_back_ms,
            early_purges: Vec::new(),
            classes: names.zip(told.deployment.classes.iter().cloned()).collect(),
            places: [MEMORY.into(), DISK.into()],
            usable,
            link: told.own_link.unwrap_or(f64::INFINITY),
            chance: fastrand::Rng::with_seed(told.deployment.seed.rotate_left(7)),
            waiting: HashMap::new(),
        };
        Ok(Some((own, ends)))
    }

    /// The places that a request can go to, for the decisions' list.
    pub fn members(&self) -> Vec<Member> {
        let places = self
            .places
            .iter()
            .take(1 + usize::from(self.store.disk().is_some()));
        let member = |server: &Id| Member {
            server: server.clone(),
            tier: Tier::Own,
            standing: Standing::Active,
            capacity: self.link,
            ..Member::default()
        };
        places.map(member).collect()
    }

    pub fn is_local(&self, server: &Id) -> bool {
        self.places.contains(server)
    }

    pub fn lookup(&mut self, arrival: &Arrival, have: Option<&Bytes>) -> Option<Held> {
        let found = self.store.find(part(arrival), have.map(|tag| &tag[..]))?;
        let place = &self.places[usize::from(found.place == Place::Disk)];
        Some(Held {
            place: place.clone(),
            made: self.clock.at_unix_ms(found.made),
            same: found.same,
        })
    }

    /// An attempt at an own copy: how it ended; none: it will be among the `got` later.
    pub fn attempt(
        &mut self,
        key: &Key,
        server: &Id,
        arrival: &Arrival,
        have: Option<&Bytes>,
    ) -> Option<AttemptResult> {
        let now = self.clock.now();
        if *server == self.places[1] {
            // A disk whose mailboxes are full is as good as none.
            return match self.store.fetch(now, part(arrival), &mut self.shelf) {
                Some(ticket) => {
                    self.waiting.insert(ticket, key.clone());
                    None
                }
                None => Some(AttemptResult::without_answer(Outcome::Unreachable)),
            };
        }
        let copy = self.store.take(now, part(arrival));
        Some(match copy {
            Some(copy) => self.answer(&copy, arrival, have),
            None => AttemptResult::without_answer(Outcome::Missing),
        })
    }

    /// An attempt that waits for the disk is called off. False: it does not.
    pub fn cancel(&mut self, key: &Key) -> bool {
        let Some(ticket) = self
            .waiting
            .iter()
            .find(|(_, k)| *k == key)
            .map(|(ticket, _)| *ticket)
        else {
            return false;
        };
        self.waiting.remove(&ticket);
        self.store
            .disk_mut()
            .into_iter()
            .for_each(|disk| disk.leave(ticket));
        true
    }

    /// The attempts that have come back from the disk, and what they brought.
    pub fn take_completed_reads(&mut self) -> Vec<CompletedRead> {
        let fetched = std::mem::take(&mut self.shelf.fetched);
        fetched
            .into_iter()
            .filter_map(|(ticket, fetched)| {
                let key = self.waiting.remove(&ticket)?;
                Some(CompletedRead { key, fetched })
            })
            .collect()
    }

    pub fn read_result(
        &self,
        fetched: &Fetched,
        arrival: &Arrival,
        have: Option<&Bytes>,
    ) -> AttemptResult {
        match fetched {
            Fetched::Copy(copy) => self.answer(copy, arrival, have),
            Fetched::Gone => AttemptResult::without_answer(Outcome::Missing),
            Fetched::Failed => AttemptResult::without_answer(Outcome::Unreachable),
        }
    }

    fn answer(&self, copy: &Rc<Copy>, arrival: &Arrival, have: Option<&Bytes>) -> AttemptResult {
        let age = self
            .clock
            .now()
            .saturating_sub(self.clock.at_unix_ms(copy.made));
        let fresh = self
            .classes
            .get(arrival.class)
            .and_then(|(_, class)| class.fresh);
        let same = have.is_some_and(|tag| !tag.is_empty() && *tag == copy.tag);
        let answer = Answer {
            id: Bytes::new(),
            outcome: Outcome::Served,
            same,
            remark: if fresh.is_some_and(|fresh| age >= fresh) {
                Remark::Stale
            } else {
                Remark::Hit
            },
            first_byte: None,
            load: Load::default(),
            etag: Some(copy.tag.clone()).filter(|tag| !tag.is_empty()),
            made: Some(copy.made),
            body: if same {
                Bytes::new()
            } else {
                copy.body.clone()
            },
        };
        AttemptResult {
            outcome: Outcome::Served,
            answer: Some(Box::new(answer)),
        }
    }

    /// When a copy that a server has just sent was made at the latest; none: its stamp does not say.
    pub fn bound_created_at(&mut self, made: u64) -> Option<u64> {
        self.times.bound(&self.clock, made)
    }

    /// Keeps what a server has answered. Only what says when it was made can be judged later.
    pub fn insert(&mut self, arrival: &Arrival, answer: &Answer, rank: u8) {
        let Some(made) = answer.made.filter(|made| *made > 0) else {
            return;
        };
        let Some((class, told)) = self.classes.get(arrival.class) else {
            return;
        };
        // Texts and bodies are parts of larger buffers as they came: kept as they are, they would keep all of
        // those.
        let own = |bytes: &[u8]| Bytes::copy_from_slice(bytes);
        let copy = Copy {
            object: own(arrival.object.as_bytes()),
            part: arrival.part,
            group: arrival.group,
            class: class.clone(),
            made,
            fresh: told.fresh.map_or(0, |fresh| fresh.as_millis() as u64),
            kb: arrival.kb,
            in_parts: told.in_parts,
            tag: answer.etag.as_deref().map(own).unwrap_or_default(),
            body: own(&answer.body),
        };
        self.store
            .keep(self.clock.now(), copy, rank, &mut self.shelf);
    }

    pub fn set_retention_priority(&mut self, arrival: &Arrival, rank: u8) {
        self.store.rank(part(arrival), rank);
    }

    /// A server has answered: by its tag a copy on disk from before the start holds, or does not.
    pub fn record_server_answer(
        &mut self,
        arrival: &Arrival,
        answer: &Answer,
        have: Option<&Bytes>,
    ) {
        let tag = answer.etag.as_ref().or(have.filter(|_| answer.same));
        if let (Some(tag), Some(made), true) = (tag, answer.made, self.store.disk().is_some()) {
            self.store.proven(part(arrival), tag, made);
            self.store.disproven(part(arrival), &mut self.shelf);
        }
    }

    /// A purge was told. By a clock that was set back it reaches the copies of the one that was ahead too, for
    /// when that comes back.
    pub fn purge(&mut self, object: Option<&Id>, group: u64, ms: u64) {
        let is_opening = self
            .store
            .disk()
            .is_some_and(|disk| *disk.phase() == Phase::Opening);
        if is_opening && self.early_purges.len() < EARLY_PURGES_MOST {
            self.early_purges.push(Purge {
                object: object.cloned(),
                group,
                ms,
            });
        }
        let lead = self
            .set_back_ms
            .load(Ordering::Acquire)
            .min(PURGE_LEAD_MOST_MS);
        let ms = ms.saturating_add(lead);
        self.store
            .purge(object.map(|o| o.as_bytes()), group, ms, &mut self.shelf);
    }

    /// Discovery has nothing that was not told.
    pub fn confirm_up_to_date(&mut self) {
        let ms = self
            .clock
            .unix_ms(self.clock.now().saturating_sub(TOLD_WITHIN));
        self.store
            .disk_mut()
            .into_iter()
            .for_each(|disk| disk.heard(ms));
    }

    /// Bodies of so many bytes are in hand or to come: own copies give way first.
    pub fn make_room_for_bodies(&mut self, bodies: f64) {
        let tables = self.store.bytes() - self.store.memory().bytes();
        let left = self.usable.saturating_sub(bodies as u64 + tables);
        if self.store.memory().bytes() > left {
            self.store.give_way(left);
        }
    }

    /// An order to the disk has ended.
    pub fn complete_disk_operation(&mut self, end: End) {
        if let End::Opened { .. } = &end {
            self.opened();
        }
        self.shelf.ended(&mut self.store, self.clock.now(), end);
    }

    /// The disk is open: what it holds of earlier starts is not trusted after a step back.
    fn opened(&mut self) {
        let early_purges = std::mem::take(&mut self.early_purges);
        if self.set_back_ms.load(Ordering::Acquire) == 0 {
            return;
        }
        self.store
            .disk_mut()
            .into_iter()
            .for_each(Disk::distrust_earlier_starts);
        for Purge { object, group, ms } in early_purges {
            self.purge(object.as_ref(), group, ms);
        }
    }

    /// Whatever is due of background work; the router's own turns come so late.
    pub fn tick(&mut self, late: Duration) {
        let now = self.clock.now();
        self.store
            .disk_mut()
            .into_iter()
            .for_each(|disk| disk.turn(now, late));
        self.store.tick(now, &mut self.shelf);
    }

    pub fn next_wakeup(&self, now: Duration) -> Option<Duration> {
        self.store.disk()?.next_look(now)
    }

    /// Requests of the router itself, by which unproven copies are asked about.
    pub fn take_revalidations(&mut self) -> Vec<Revalidation> {
        let unproven = std::mem::take(&mut self.shelf.unproven);
        let asks = unproven.into_iter().filter_map(|copy| {
            let class = self
                .classes
                .iter()
                .position(|(name, _)| *name == copy.class)?;
            let object = std::str::from_utf8(&copy.object).ok()?;
            let id = format!("{:016x}", self.chance.u64(..));
            let arrival = Arrival {
                id: id.as_str().into(),
                class,
                customer: 0,
                object: object.into(),
                part: copy.part,
                group: copy.group,
                kb: copy.kb,
                at: None,
                cell: None,
                left: self.classes[class].1.deadline,
                repeated: true,
            };
            let forwarded = ForwardedFields {
                id: id.into(),
                class: copy.class,
                object: copy.object,
                part: copy.part.to_string().into(),
                have: Some(copy.tag),
                ..ForwardedFields::default()
            };
            Some(Revalidation { arrival, forwarded })
        });
        asks.collect()
    }

    /// What there is and what happened, for operators.
    pub fn report(&self) -> Value {
        report(&self.store)
    }

    /// Seals what is open on disk. Its threads end when they are done.
    pub fn close(mut self) {
        if let Some(disk) = self.store.disk_mut() {
            disk.close(self.clock.now(), &mut self.shelf);
        }
    }
}

/// What a store holds and has done.
pub fn report(store: &Store) -> Value {
    let (memory, counts) = (store.memory(), store.counts());
    let mut told = json!({
        "memory": {
            "bytes": memory.bytes(), "most": memory.most(), "parts": memory.len(), "hits": counts.hits,
            "hit_bytes": counts.hit_bytes, "kept": counts.kept, "not_kept": counts.not_kept,
            "left": counts.left,
            "gave_way": counts.gave_way, "outdated": counts.outdated, "purges": counts.purges,
        }
    });
    let Some(disk) = store.disk() else {
        return told;
    };
    let (counts, (bytes, live)) = (disk.counts(), disk.segments().bytes());
    let phase = match disk.phase() {
        Phase::Opening => "opening".to_owned(),
        Phase::Recovering => "recovering".to_owned(),
        Phase::Ready => "ready".to_owned(),
        Phase::Refused(why) => format!("not used: {why}"),
    };
    told["disk"] = json!({
        "phase": phase, "set_aside": disk.is_set_aside(), "parts": disk.index().len(),
        "index_bytes": disk.index().bytes(), "segments": disk.segments().len(),
        "segments_most": disk.segments().most,
        "bytes": bytes, "live_bytes": live, "hits": counts.hits, "hit_bytes": counts.hit_bytes,
        "written": counts.written, "carried": counts.carried, "admitted_bytes": counts.admitted_bytes,
        "written_bytes": counts.written_bytes, "reclaimed": counts.reclaimed, "recovered": counts.recovered,
        "unproven": counts.unproven, "revalidated": counts.revalidated,
        "dropped_unproven": counts.dropped_unproven,
        "unknown": counts.unknown, "damaged": counts.damaged, "torn_bytes": counts.torn_bytes,
        "foreign": counts.foreign, "read_ahead": counts.read_ahead, "scrubbed": counts.scrubbed,
        "refused": {
            "expires": counts.refused_expires, "size": counts.refused_size, "budget": counts.refused_budget,
            "disk": counts.refused_disk, "outdated": counts.outdated,
        },
        "faults": {"reads": counts.read_faults, "writes": counts.write_faults, "syncs": counts.sync_faults},
    });
    let work = disk.work().map(|(name, waiting, out, done)| {
        let told = json!({"waiting": waiting, "under_way": out, "done": done.pieces,
            "bytes": done.bytes as u64,
            "late": done.late, "starved": done.starved, "refused": done.refused});
        (name.to_owned(), told)
    });
    told["work"] = Value::Object(work.collect());
    told
}

/// By how much the wall clock was set back since an earlier start that used this directory, in milliseconds.
fn set_back_by(boot: &BootTime, directory: &std::path::Path) -> u64 {
    let (set_back, recorded) = boot.set_back_by(directory);
    if set_back > 0 {
        log::warn!(
            set_back_ms = set_back; "store: the clock was set back since an earlier start: what that left is asked about first"
        );
    }
    if let Err(what) = recorded {
        log::warn!(
            "store: {}: a later step of the clock may not be seen: {what}",
            directory.display()
        );
    }
    set_back
}

fn part(arrival: &Arrival) -> Part<'_> {
    Part {
        object: arrival.object.as_bytes(),
        part: arrival.part,
        group: arrival.group,
    }
}

fn wanted(wishes: &Wishes, bytes: u64, limit: u64, usable: u64) -> Result<Wanted, String> {
    let segment = u32::try_from(wishes.segment).map_err(|_| "store: segment is too large")?;
    let least = wishes.segment * SEGMENTS_LEAST as u64;
    if bytes < least {
        return Err(format!(
            "store: disk {bytes} bytes is too small: {SEGMENTS_LEAST} segments take {least}"
        ));
    }
    let index = wishes.index.of(limit).min(usable / 2);
    let parts = chalkhall_store::decide::index::Index::parts_most(index);
    if parts < 1000 {
        return Err(format!(
            "store: index-memory {index} bytes is too small: it holds {parts} parts"
        ));
    }
    log::info!(index_bytes = index, parts_at_most = parts; "store: index");
    Ok(Wanted {
        bytes,
        segment,
        index,
        write_rate: wishes.write_rate,
        write_day: wishes.write_day,
        least_fresh: wishes.least_fresh,
        carry: wishes.carry,
        sync_after: wishes.sync_after,
        sync_bytes: wishes.sync_bytes,
        known_purges: wishes.known_purges,
        revalidate: wishes.revalidate,
        read_ahead: wishes.read_ahead,
        scrub: wishes.scrub,
        yield_over: wishes.yield_over,
        admit_all: false,
    })
}
