//! The router's own copies, as the desk asks for them: names, clocks and bounds between the store and the decisions.

use crate::clock::Clock;
use crate::lines::Answer;
use crate::told::Told;
use bytes::Bytes;
use chalkhall::interface::{Arrival, Category, Held, Id, Member, Outcome, Remark, Standing, Tier};
use chalkhall_directives::Store as Wanted;
use chalkhall_store::copy::Copy;
use chalkhall_store::decide::{Part, Place, Store};

/// What the router takes beside bodies and own copies, and what of the rest they may fill together: an allocator
/// needs some room of its own.
const BESIDE: u64 = 8 << 20;
const USABLE: f64 = 0.75;
/// How its place is called; no listed server's name holds a colon and nothing before it.
const MEMORY: &str = ":memory";

pub struct Own {
    store: Store,
    clock: Clock,
    categories: Vec<(Bytes, Category)>,
    memory: Id,
    /// Bytes that bodies and own copies may fill together.
    usable: u64,
    link: f64,
}

impl Own {
    /// None: no own copies are wanted.
    pub fn open(wanted: &Wanted, told: &Told, clock: Clock) -> Result<Option<Own>, String> {
        let Some(memory) = wanted.memory else { return Ok(None) };
        let limit = told.limits.memory;
        let usable = (limit.saturating_sub(BESIDE) as f64 * USABLE) as u64;
        let most = memory.of(limit).min(usable);
        log::info!("own copies in memory: up to {most} bytes");
        let names = told.categories.iter().map(|name| Bytes::copy_from_slice(name.as_bytes()));
        Ok(Some(Own {
            store: Store::new(most),
            clock,
            categories: names.zip(told.deployment.categories.iter().cloned()).collect(),
            memory: MEMORY.into(),
            usable,
            link: told.own_link.unwrap_or(f64::INFINITY),
        }))
    }

    /// The places that an access can go to, for the decisions' list.
    pub fn members(&self) -> Vec<Member> {
        vec![Member {
            server: self.memory.clone(),
            tier: Tier::Own,
            standing: Standing::Active,
            capacity: self.link,
            ..Member::default()
        }]
    }

    pub fn is_place(&self, server: &Id) -> bool {
        *server == self.memory
    }

    pub fn held(&self, arrival: &Arrival, have: Option<&Bytes>) -> Option<Held> {
        let found = self.store.find(part(arrival), have.map(|tag| &tag[..]))?;
        let place = match found.place {
            Place::Memory => self.memory.clone(),
        };
        Some(Held { place, made: self.clock.at_unix_ms(found.made), same: found.same })
    }

    /// The answer from a copy in memory; none: it has left meanwhile.
    pub fn answer(&mut self, arrival: &Arrival, have: Option<&Bytes>) -> Option<Answer> {
        let copy = self.store.take(part(arrival))?;
        let age = self.clock.now().saturating_sub(self.clock.at_unix_ms(copy.made));
        let fresh = self.categories.get(arrival.category).and_then(|(_, category)| category.fresh);
        let same = have.is_some_and(|tag| !tag.is_empty() && *tag == copy.tag);
        Some(Answer {
            id: Bytes::new(),
            outcome: Outcome::Honoured,
            same,
            remark: if fresh.is_some_and(|fresh| age >= fresh) { Remark::Stale } else { Remark::Hit },
            first_byte: None,
            load: chalkhall::interface::Load::default(),
            etag: Some(copy.tag.clone()).filter(|tag| !tag.is_empty()),
            made: Some(copy.made),
            body: if same { Bytes::new() } else { copy.body.clone() },
        })
    }

    /// Keeps what a server has answered. Only what says when it was made can be judged later.
    pub fn keep(&mut self, arrival: &Arrival, answer: &Answer, rank: u8) {
        let Some(made) = answer.made.filter(|made| *made > 0) else { return };
        let Some((category, told)) = self.categories.get(arrival.category) else { return };
        // Texts and bodies are parts of larger buffers as they came: kept as they are, they would keep all of those.
        let own = |bytes: &[u8]| Bytes::copy_from_slice(bytes);
        let copy = Copy {
            object: own(arrival.object.as_bytes()),
            part: arrival.part,
            group: arrival.group,
            category: category.clone(),
            made,
            fresh: told.fresh.map_or(0, |fresh| fresh.as_millis() as u64),
            kb: arrival.kb,
            in_parts: told.in_parts,
            tag: answer.etag.as_deref().map(own).unwrap_or_default(),
            body: own(&answer.body),
        };
        self.store.keep(copy, rank);
    }

    pub fn rank(&mut self, arrival: &Arrival, rank: u8) {
        self.store.rank(part(arrival), rank);
    }

    pub fn purged(&mut self, object: Option<&Id>, group: u64, ms: u64) {
        self.store.purge(object.map(|o| o.as_bytes()), group, ms);
    }

    /// Bodies of so many bytes are in hand or to come: own copies give way first.
    pub fn beside(&mut self, bodies: f64) {
        let left = self.usable.saturating_sub(bodies as u64);
        if self.store.memory().bytes() > left {
            self.store.give_way(left);
        }
    }
}

fn part(arrival: &Arrival) -> Part<'_> {
    Part { object: arrival.object.as_bytes(), part: arrival.part, group: arrival.group }
}
