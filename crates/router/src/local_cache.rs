//! The router's own cache, with a memory tier and a disk tier. It connects the store with the
//! routing logic: it translates names and times, limits memory use and runs the disk threads.

mod open;
mod report;

pub use open::{LocalCacheError, OpenedCache};

use crate::clock::Clock;
use crate::messages::AttemptId;
use crate::server_protocol::{Answer, ForwardedFields};
use crate::timestamps::CopyTimes;
use bytes::Bytes;
use chalkhall::interface::{
    Class, Id, IncomingRequest, Load, LocalCopy, Member, Outcome, Remark, ServerState, Tier,
};
use chalkhall_store::copy::Copy;
use chalkhall_store::decide::disk::{Disk, Phase, ReadResult};
use chalkhall_store::decide::{CacheTier, Part, Store};
use chalkhall_store::threads::{CompletedOperation, DiskConnector};
use serde_json::Value;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// The names of the tiers as members of the list. Names of listed servers do not begin with a
/// colon.
const MEMORY_TIER: &str = ":memory";
const DISK_TIER: &str = ":disk";
/// Once discovery has sent all of its events, purges that are older than this have been received.
/// Younger ones may not have reached discovery yet.
const MAX_PURGE_DELAY: Duration = Duration::from_secs(10);
/// The limit on purges that are remembered while the disk is being opened. The events known at the
/// start contain fewer.
const MAX_EARLY_PURGES: usize = 4096;
/// The limit on how far purges are extended to cover copies that were stamped by a clock that was
/// ahead: a day.
const MAX_CLOCK_LEAD_MS: u64 = 24 * 3600 * 1000;

/// A purge of an object or a group as it was received. `unix_ms` is by the clock of this start.
struct Purge {
    object: Option<Id>,
    group: u64,
    unix_ms: u64,
}

/// A class of requests and its name.
struct NamedClass {
    name: Bytes,
    class: Class,
}

/// The router's own cache.
pub struct LocalCache {
    store: Store,
    disk_io: DiskConnector,
    clock: Clock,
    /// Corrects the times at which copies were created.
    copy_times: CopyTimes,
    /// The milliseconds by which the wall clock was set back since an earlier start wrote to the
    /// disk. Known once the disk is open.
    set_back_ms: Arc<AtomicU64>,
    /// Purges received before the disk was open, which are applied again then if the clock was set
    /// back.
    early_purges: Vec<Purge>,
    classes: Vec<NamedClass>,
    /// Until when all events of discovery have been received, for the report to operators.
    discovery_confirmed_at: Duration,
    /// The members of the list that stand for memory and disk.
    tiers: [Id; 2],
    /// The bytes that bodies and cached copies may use together.
    usable_memory: u64,
    /// The number of answers that the router's link can carry at once.
    link_capacity: f64,
    random: fastrand::Rng,
    /// The attempts that wait for a read from disk, by ticket.
    pending_reads: HashMap<u64, AttemptId>,
}

/// The result of an attempt at the local cache.
pub struct AttemptResult {
    /// The outcome.
    pub outcome: Outcome,
    /// The answer, if there is one.
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

/// A completed read from disk that an attempt waited for.
pub struct CompletedRead {
    /// The attempt.
    pub attempt: AttemptId,
    /// The result of the read.
    pub result: ReadResult,
}

/// A request of the local cache itself that checks whether a copy is still current.
pub struct Revalidation {
    /// The request as the routing logic sees it.
    pub arrival: IncomingRequest,
    /// The fields that are forwarded to the server.
    pub forwarded: ForwardedFields,
}

impl LocalCache {
    /// The tiers of this cache, as members of the list.
    pub fn members(&self) -> Vec<Member> {
        let tiers = self
            .tiers
            .iter()
            .take(1 + usize::from(self.store.disk().is_some()));
        let member = |server: &Id| Member {
            server: server.clone(),
            tier: Tier::Local,
            state: ServerState::Active,
            capacity: self.link_capacity,
            ..Member::default()
        };
        tiers.map(member).collect()
    }

    /// Whether a server of the list is a tier of this cache.
    pub fn is_local(&self, server: &Id) -> bool {
        self.tiers.contains(server)
    }

    /// Looks up a copy to answer a request with. `client_etag` is the tag of the client's copy.
    pub fn lookup(
        &mut self,
        arrival: &IncomingRequest,
        client_etag: Option<&Bytes>,
    ) -> Option<LocalCopy> {
        let found = self
            .store
            .find(part(arrival), client_etag.map(|tag| &tag[..]))?;
        let tier = &self.tiers[usize::from(found.tier == CacheTier::Disk)];
        Some(LocalCopy {
            cache: tier.clone(),
            created_at: self.clock.at_unix_ms(found.created_at_ms),
            client_has_it: found.is_same_version,
        })
    }

    /// Attempts to answer a request from a tier. Returns `None` if the disk has to be read: the
    /// result is then returned by [`LocalCache::take_completed_reads`].
    pub fn attempt(
        &mut self,
        key: &AttemptId,
        server: &Id,
        arrival: &IncomingRequest,
        client_etag: Option<&Bytes>,
    ) -> Option<AttemptResult> {
        let now = self.clock.now();
        if *server == self.tiers[1] {
            // A disk whose job queues are full counts as unreachable.
            return match self.store.start_read(now, part(arrival), &mut self.disk_io) {
                Some(ticket) => {
                    self.pending_reads.insert(ticket, key.clone());
                    None
                }
                None => Some(AttemptResult::without_answer(Outcome::Unreachable)),
            };
        }
        let copy = self.store.get(now, part(arrival));
        Some(match copy {
            Some(copy) => self.answer(&copy, arrival, client_etag),
            None => AttemptResult::without_answer(Outcome::Missing),
        })
    }

    /// Cancels an attempt that waits for the disk. Returns false if it does not.
    pub fn cancel(&mut self, key: &AttemptId) -> bool {
        let Some(ticket) = self
            .pending_reads
            .iter()
            .find(|(_, k)| *k == key)
            .map(|(ticket, _)| *ticket)
        else {
            return false;
        };
        self.pending_reads.remove(&ticket);
        self.store
            .disk_mut()
            .into_iter()
            .for_each(|disk| disk.cancel_read(ticket));
        true
    }

    /// Takes the completed reads from disk.
    pub fn take_completed_reads(&mut self) -> Vec<CompletedRead> {
        let completed = std::mem::take(&mut self.disk_io.completed_reads);
        completed
            .into_iter()
            .filter_map(|(ticket, result)| {
                let attempt = self.pending_reads.remove(&ticket)?;
                Some(CompletedRead { attempt, result })
            })
            .collect()
    }

    /// The result of the attempt that waited for a read.
    pub fn read_result(
        &self,
        result: &ReadResult,
        arrival: &IncomingRequest,
        client_etag: Option<&Bytes>,
    ) -> AttemptResult {
        match result {
            ReadResult::Copy(copy) => self.answer(copy, arrival, client_etag),
            ReadResult::Gone => AttemptResult::without_answer(Outcome::Missing),
            ReadResult::Failed => AttemptResult::without_answer(Outcome::Unreachable),
        }
    }

    fn answer(
        &self,
        copy: &Rc<Copy>,
        arrival: &IncomingRequest,
        client_etag: Option<&Bytes>,
    ) -> AttemptResult {
        let age = self
            .clock
            .now()
            .saturating_sub(self.clock.at_unix_ms(copy.created_at_ms));
        let fresh = self
            .classes
            .get(arrival.class)
            .and_then(|named| named.class.fresh);
        let is_not_modified = client_etag.is_some_and(|tag| !tag.is_empty() && *tag == copy.etag);
        let body = if is_not_modified {
            Bytes::new()
        } else {
            copy.body.clone()
        };
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
            etag: Some(copy.etag.clone()).filter(|tag| !tag.is_empty()),
            created_at_unix_ms: Some(copy.created_at_ms),
            body_length: body.len(),
            body,
        };
        AttemptResult {
            outcome: Outcome::Served,
            answer: Some(Box::new(answer)),
        }
    }

    /// The latest time at which a copy that a server has just sent can have been created; `None` if
    /// its age cannot be determined.
    pub fn correct_created_at(&mut self, created_at_unix_ms: u64) -> Option<u64> {
        self.copy_times.correct(&self.clock, created_at_unix_ms)
    }

    /// Stores a server's answer. An answer without a creation time is not stored, because its age
    /// would be unknown.
    pub fn insert(&mut self, arrival: &IncomingRequest, answer: &Answer, retention_priority: u8) {
        let Some(created_at_ms) = answer
            .created_at_unix_ms
            .filter(|created_at_ms| *created_at_ms > 0)
        else {
            return;
        };
        let Some(NamedClass { name, class }) = self.classes.get(arrival.class) else {
            return;
        };
        // Texts share the line of the answer, all of which they would keep in memory.
        let copied = |bytes: &[u8]| Bytes::copy_from_slice(bytes);
        let copy = Copy {
            object: copied(arrival.object.as_bytes()),
            part: arrival.part,
            group: arrival.group,
            class: name.clone(),
            created_at_ms,
            fresh_for_ms: class.fresh.map_or(0, |fresh| fresh.as_millis() as u64),
            kb: arrival.kb,
            is_multipart: class.in_parts,
            etag: answer.etag.as_deref().map(copied).unwrap_or_default(),
            body: answer.body.clone(),
        };
        self.store.insert(
            self.clock.now(),
            copy,
            retention_priority,
            &mut self.disk_io,
        );
    }

    /// Sets the retention priority of a copy, which determines how early it is evicted.
    pub fn set_retention_priority(&mut self, arrival: &IncomingRequest, retention_priority: u8) {
        self.store.set_rank(part(arrival), retention_priority);
    }

    /// Records the answer of a server: its tag shows whether a copy on disk from an earlier start
    /// is current.
    pub fn record_server_answer(
        &mut self,
        arrival: &IncomingRequest,
        answer: &Answer,
        client_etag: Option<&Bytes>,
    ) {
        let tag = answer
            .etag
            .as_ref()
            .or(client_etag.filter(|_| answer.is_not_modified));
        if let (Some(tag), Some(created_at), true) =
            (tag, answer.created_at_unix_ms, self.store.disk().is_some())
        {
            self.store.confirm_version(part(arrival), tag, created_at);
            self.store.drop_unproven(part(arrival), &mut self.disk_io);
        }
    }

    /// Purges an object or a group. If the clock was set back, the purge also covers copies that
    /// were stamped while it was ahead, so that it still holds if the clock is set forward again.
    pub fn purge(&mut self, object: Option<&Id>, group: u64, unix_ms: u64) {
        let is_opening = self
            .store
            .disk()
            .is_some_and(|disk| *disk.phase() == Phase::Opening);
        if is_opening && self.early_purges.len() < MAX_EARLY_PURGES {
            self.early_purges.push(Purge {
                object: object.cloned(),
                group,
                unix_ms,
            });
        }
        let lead = self
            .set_back_ms
            .load(Ordering::Acquire)
            .min(MAX_CLOCK_LEAD_MS);
        let unix_ms = unix_ms.saturating_add(lead);
        self.store.purge(
            object.map(|o| o.as_bytes()),
            group,
            unix_ms,
            &mut self.disk_io,
        );
    }

    /// Records that all events that discovery had at `as_of` have been received.
    pub fn confirm_discovery(&mut self, as_of: Duration) {
        self.discovery_confirmed_at = self.discovery_confirmed_at.max(as_of);
        let unix_ms = self.clock.unix_ms(as_of.saturating_sub(MAX_PURGE_DELAY));
        self.store
            .disk_mut()
            .into_iter()
            .for_each(|disk| disk.confirm_discovery_up_to(unix_ms));
    }

    /// The bytes that copies in memory and their tables take.
    pub fn memory_bytes(&self) -> u64 {
        self.store.bytes()
    }

    /// Evicts copies from memory to free it for requests and answers, both present and expected.
    pub fn evict_for_bodies(&mut self, body_bytes: u64) {
        let tables = self.store.bytes() - self.store.memory().bytes();
        let capacity = self.usable_memory.saturating_sub(body_bytes + tables);
        if self.store.memory().bytes() > capacity {
            self.store.evict_to(capacity);
        }
    }

    /// Evicts copies of about so many bytes from memory.
    pub fn evict_bytes(&mut self, bytes: u64) {
        if bytes > 0 {
            let capacity = self.store.memory().bytes().saturating_sub(bytes);
            self.store.evict_to(capacity);
        }
    }

    /// Handles the end of a disk operation.
    pub fn complete_disk_operation(&mut self, operation: CompletedOperation) {
        if let CompletedOperation::Opened { .. } = &operation {
            self.apply_clock_step();
        }
        self.disk_io
            .complete(&mut self.store, self.clock.now(), operation);
    }

    /// Called when the disk is open. If the clock was set back, copies from earlier starts are not
    /// served before they are revalidated, and early purges are applied again.
    fn apply_clock_step(&mut self) {
        let early_purges = std::mem::take(&mut self.early_purges);
        if self.set_back_ms.load(Ordering::Acquire) == 0 {
            return;
        }
        self.store
            .disk_mut()
            .into_iter()
            .for_each(Disk::distrust_earlier_starts);
        for Purge {
            object,
            group,
            unix_ms,
        } in early_purges
        {
            self.purge(object.as_ref(), group, unix_ms);
        }
    }

    /// Does the background work that is due. `late` is the delay of the event loop behind its
    /// planned wake-up.
    pub fn tick(&mut self, late: Duration) {
        let now = self.clock.now();
        self.store
            .disk_mut()
            .into_iter()
            .for_each(|disk| disk.record_loop_delay(now, late));
        self.store.tick(now, &mut self.disk_io);
    }

    /// When background work is due next.
    pub fn next_wakeup(&self, now: Duration) -> Option<Duration> {
        self.store.disk()?.next_wakeup(now)
    }

    /// Takes the requests that revalidate copies from an earlier start.
    pub fn take_revalidations(&mut self) -> Vec<Revalidation> {
        let unproven = std::mem::take(&mut self.disk_io.revalidations);
        let revalidations = unproven.into_iter().filter_map(|copy| {
            let class = self
                .classes
                .iter()
                .position(|named| named.name == copy.class)?;
            let object = std::str::from_utf8(&copy.object).ok()?;
            let id = format!("{:016x}", self.random.u64(..));
            let arrival = IncomingRequest {
                id: id.as_str().into(),
                class,
                customer: 0,
                object: object.into(),
                part: copy.part,
                group: copy.group,
                kb: copy.kb,
                connection: 0,
                zone: None,
                cell: None,
                time_left: self.classes[class].class.deadline,
                is_retry: true,
            };
            let forwarded = ForwardedFields {
                id: id.into(),
                class: copy.class,
                object: copy.object,
                part: copy.part.to_string().into(),
                client_etag: Some(copy.etag),
                ..ForwardedFields::default()
            };
            Some(Revalidation { arrival, forwarded })
        });
        revalidations.collect()
    }

    /// State and counters, for operators.
    pub fn report(&self) -> Value {
        let confirmed_ago = self.clock.now().saturating_sub(self.discovery_confirmed_at);
        report::report(&self.store, confirmed_ago)
    }

    /// Seals the open segments on disk. The disk threads stop when they have finished.
    pub fn close(mut self) {
        if let Some(disk) = self.store.disk_mut() {
            disk.close(self.clock.now(), &mut self.disk_io);
        }
    }
}

fn part(arrival: &IncomingRequest) -> Part<'_> {
    Part {
        object: arrival.object.as_bytes(),
        part: arrival.part,
        group: arrival.group,
    }
}
