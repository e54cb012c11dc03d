//! The local cache: copies that the router itself keeps, in memory and on disk. It stands between
//! the store and the decisions, with names, clocks, bounds and threads.

mod open;
mod report;

pub use open::{LocalCacheError, OpenedCache};

use crate::clock::Clock;
use crate::messages::AttemptId;
use crate::server_protocol::{Answer, ForwardedFields};
use crate::timestamps::CopyTimes;
use bytes::Bytes;
use chalkhall::interface::{
    Arrival, Class, Held, Id, Load, Member, Outcome, Remark, Standing, Tier,
};
use chalkhall_store::copy::Copy;
use chalkhall_store::decide::disk::{Disk, Fetched, Phase};
use chalkhall_store::decide::{Part, Place, Store};
use chalkhall_store::threads::{End, Shelf};
use serde_json::Value;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// The names of the tiers as members of the list; no listed server's name begins with a colon.
const MEMORY: &str = ":memory";
const DISK: &str = ":disk";
/// A purge that was made this long ago has been received: discovery cannot send what it does not
/// know yet.
const PURGE_DELAY: Duration = Duration::from_secs(10);
/// Purges remembered while the disk is still being opened; a list at the start holds fewer.
const MAX_EARLY_PURGES: usize = 4096;
/// A purge does not reach copies of a clock that was further ahead than this: a day.
const MAX_PURGE_LEAD_MS: u64 = 24 * 3600 * 1000;

/// A purge as it was received: of an object or of a group, in Unix milliseconds of this start's
/// clock.
struct Purge {
    object: Option<Id>,
    group: u64,
    ms: u64,
}

/// A class of requests, with its name.
struct NamedClass {
    name: Bytes,
    class: Class,
}

/// The router's own cache.
pub struct LocalCache {
    store: Store,
    shelf: Shelf,
    clock: Clock,
    /// Bounds the times at which copies were made.
    copy_times: CopyTimes,
    /// By how many milliseconds the wall clock was set back since an earlier start wrote to the
    /// disk; known once that is open.
    set_back_ms: Arc<AtomicU64>,
    /// Purges that came before, to be applied again then.
    early_purges: Vec<Purge>,
    classes: Vec<NamedClass>,
    /// The members of the list that stand for memory and disk.
    tiers: [Id; 2],
    /// Bytes that bodies and cached copies may fill together.
    usable_memory: u64,
    /// How many answers the router's link carries at once.
    link_answers: f64,
    random: fastrand::Rng,
    /// Reads from disk that attempts wait for, by ticket.
    waiting_reads: HashMap<u64, AttemptId>,
}

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
    pub attempt: AttemptId,
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
    /// The tiers that a request can be sent to, as members of the list.
    pub fn members(&self) -> Vec<Member> {
        let tiers = self
            .tiers
            .iter()
            .take(1 + usize::from(self.store.disk().is_some()));
        let member = |server: &Id| Member {
            server: server.clone(),
            tier: Tier::Own,
            standing: Standing::Active,
            capacity: self.link_answers,
            ..Member::default()
        };
        tiers.map(member).collect()
    }

    /// Whether a server of the list is a tier of this cache.
    pub fn is_local(&self, server: &Id) -> bool {
        self.tiers.contains(server)
    }

    /// The copy that a request could be answered with. `have`: the tag of the client's own copy.
    pub fn lookup(&mut self, arrival: &Arrival, have: Option<&Bytes>) -> Option<Held> {
        let found = self.store.find(part(arrival), have.map(|tag| &tag[..]))?;
        let place = &self.tiers[usize::from(found.place == Place::Disk)];
        Some(Held {
            place: place.clone(),
            made: self.clock.at_unix_ms(found.made),
            same: found.same,
        })
    }

    /// Attempts to answer a request from a tier. None: the disk is being read, and the result comes
    /// with [`LocalCache::take_completed_reads`].
    pub fn attempt(
        &mut self,
        key: &AttemptId,
        server: &Id,
        arrival: &Arrival,
        have: Option<&Bytes>,
    ) -> Option<AttemptResult> {
        let now = self.clock.now();
        if *server == self.tiers[1] {
            // A disk whose mailboxes are full is as good as none.
            return match self.store.fetch(now, part(arrival), &mut self.shelf) {
                Some(ticket) => {
                    self.waiting_reads.insert(ticket, key.clone());
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

    /// Cancels an attempt that waits for the disk. False: it does not wait.
    pub fn cancel(&mut self, key: &AttemptId) -> bool {
        let Some(ticket) = self
            .waiting_reads
            .iter()
            .find(|(_, k)| *k == key)
            .map(|(ticket, _)| *ticket)
        else {
            return false;
        };
        self.waiting_reads.remove(&ticket);
        self.store
            .disk_mut()
            .into_iter()
            .for_each(|disk| disk.leave(ticket));
        true
    }

    /// The reads from disk that have ended.
    pub fn take_completed_reads(&mut self) -> Vec<CompletedRead> {
        let fetched = std::mem::take(&mut self.shelf.fetched);
        fetched
            .into_iter()
            .filter_map(|(ticket, fetched)| {
                let attempt = self.waiting_reads.remove(&ticket)?;
                Some(CompletedRead { attempt, fetched })
            })
            .collect()
    }

    /// How the attempt that waited for a read has ended.
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
            .and_then(|named| named.class.fresh);
        let is_not_modified = have.is_some_and(|tag| !tag.is_empty() && *tag == copy.tag);
        let answer = Answer {
            id: Bytes::new(),
            outcome: Outcome::Served,
            is_not_modified,
            remark: if fresh.is_some_and(|fresh| age >= fresh) {
                Remark::Stale
            } else {
                Remark::Hit
            },
            first_byte: None,
            load: Load::default(),
            etag: Some(copy.tag.clone()).filter(|tag| !tag.is_empty()),
            created_at_unix_ms: Some(copy.made),
            body: if is_not_modified {
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

    /// When a copy that a server has just sent was created at the latest; none: its stamp does not
    /// say.
    pub fn bound_created_at(&mut self, made: u64) -> Option<u64> {
        self.copy_times.bound(&self.clock, made)
    }

    /// Keeps a server's answer, if it says when it was created: without that its age is not known
    /// later.
    pub fn insert(&mut self, arrival: &Arrival, answer: &Answer, rank: u8) {
        let Some(made) = answer.created_at_unix_ms.filter(|made| *made > 0) else {
            return;
        };
        let Some(NamedClass { name, class }) = self.classes.get(arrival.class) else {
            return;
        };
        // Texts and bodies share larger buffers as they came, and would keep all of those in
        // memory.
        let copied = |bytes: &[u8]| Bytes::copy_from_slice(bytes);
        let copy = Copy {
            object: copied(arrival.object.as_bytes()),
            part: arrival.part,
            group: arrival.group,
            class: name.clone(),
            made,
            fresh: class.fresh.map_or(0, |fresh| fresh.as_millis() as u64),
            kb: arrival.kb,
            in_parts: class.in_parts,
            tag: answer.etag.as_deref().map(copied).unwrap_or_default(),
            body: copied(&answer.body),
        };
        self.store
            .keep(self.clock.now(), copy, rank, &mut self.shelf);
    }

    /// Changes how early a copy is evicted.
    pub fn set_retention_priority(&mut self, arrival: &Arrival, rank: u8) {
        self.store.rank(part(arrival), rank);
    }

    /// A server has answered: its tag shows whether a copy on disk from before the start is
    /// current.
    pub fn record_server_answer(
        &mut self,
        arrival: &Arrival,
        answer: &Answer,
        have: Option<&Bytes>,
    ) {
        let tag = answer
            .etag
            .as_ref()
            .or(have.filter(|_| answer.is_not_modified));
        if let (Some(tag), Some(made), true) =
            (tag, answer.created_at_unix_ms, self.store.disk().is_some())
        {
            self.store.proven(part(arrival), tag, made);
            self.store.disproven(part(arrival), &mut self.shelf);
        }
    }

    /// Purges an object or a group. Where the clock was set back, the purge also reaches copies
    /// stamped by the clock that was ahead, for when that comes back.
    pub fn purge(&mut self, object: Option<&Id>, group: u64, ms: u64) {
        let is_opening = self
            .store
            .disk()
            .is_some_and(|disk| *disk.phase() == Phase::Opening);
        if is_opening && self.early_purges.len() < MAX_EARLY_PURGES {
            self.early_purges.push(Purge {
                object: object.cloned(),
                group,
                ms,
            });
        }
        let lead = self
            .set_back_ms
            .load(Ordering::Acquire)
            .min(MAX_PURGE_LEAD_MS);
        let ms = ms.saturating_add(lead);
        self.store
            .purge(object.map(|o| o.as_bytes()), group, ms, &mut self.shelf);
    }

    /// Discovery has sent all that it has.
    pub fn confirm_up_to_date(&mut self) {
        let ms = self
            .clock
            .unix_ms(self.clock.now().saturating_sub(PURGE_DELAY));
        self.store
            .disk_mut()
            .into_iter()
            .for_each(|disk| disk.heard(ms));
    }

    /// Evicts copies where bodies, in memory and expected, need their memory.
    pub fn make_room_for_bodies(&mut self, bodies: f64) {
        let tables = self.store.bytes() - self.store.memory().bytes();
        let left = self.usable_memory.saturating_sub(bodies as u64 + tables);
        if self.store.memory().bytes() > left {
            self.store.give_way(left);
        }
    }

    /// An operation of the disk has ended.
    pub fn complete_disk_operation(&mut self, end: End) {
        if let End::Opened { .. } = &end {
            self.apply_clock_step();
        }
        self.shelf.ended(&mut self.store, self.clock.now(), end);
    }

    /// The disk is open: what it holds of earlier starts is not trusted after a step back.
    fn apply_clock_step(&mut self) {
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

    /// Does the background work that is due. `late`: by how much the event loop came later than
    /// planned.
    pub fn tick(&mut self, late: Duration) {
        let now = self.clock.now();
        self.store
            .disk_mut()
            .into_iter()
            .for_each(|disk| disk.turn(now, late));
        self.store.tick(now, &mut self.shelf);
    }

    /// When background work is due next.
    pub fn next_wakeup(&self, now: Duration) -> Option<Duration> {
        self.store.disk()?.next_look(now)
    }

    /// The requests by which copies of an earlier start are revalidated.
    pub fn take_revalidations(&mut self) -> Vec<Revalidation> {
        let unproven = std::mem::take(&mut self.shelf.unproven);
        let revalidations = unproven.into_iter().filter_map(|copy| {
            let class = self
                .classes
                .iter()
                .position(|named| named.name == copy.class)?;
            let object = std::str::from_utf8(&copy.object).ok()?;
            let id = format!("{:016x}", self.random.u64(..));
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
                left: self.classes[class].class.deadline,
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
        revalidations.collect()
    }

    /// State and counters, for operators.
    pub fn report(&self) -> Value {
        report::report(&self.store)
    }

    /// Seals what is open on disk. Its threads end when they are done.
    pub fn close(mut self) {
        if let Some(disk) = self.store.disk_mut() {
            disk.close(self.clock.now(), &mut self.shelf);
        }
    }
}

fn part(arrival: &Arrival) -> Part<'_> {
    Part {
        object: arrival.object.as_bytes(),
        part: arrival.part,
        group: arrival.group,
    }
}
