//! The plain state of one request and of one part of an object. Nothing is decided here.

use crate::interface::{Arrival, Id};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The key of a part: 31 bits, as routers tell one another.
pub fn part_of(arrival: &Arrival) -> u32 {
    (xxh3_64_with_seed(arrival.object.as_bytes(), arrival.part) >> 33) as u32
}

/// What the id list holds of one part of an object: stamps in requests and in time, and the access cost.
#[derive(Default)]
pub struct Seen {
    pub count: u64,
    pub at: Duration,
    pub cost: Option<f64>,
    pub rank: u8,
    pub unmet: bool,
    /// The cache that last answered from a copy of it, or was told to keep one, and when.
    pub held: Option<(Id, Duration)>,
}

/// Where an attempt goes: a server, and the source of a fill with it; itself: no fill. To an own copy: when
/// that was made, and for how long past its fresh time it will do.
#[derive(Clone)]
pub struct Route {
    pub server: Id,
    pub source: Id,
    pub made: Option<Duration>,
    pub past: Duration,
}

impl Route {
    pub fn ends(&self) -> impl Iterator<Item = &Id> {
        [
            Some(&self.server),
            Some(&self.source).filter(|s| **s != self.server),
        ]
        .into_iter()
        .flatten()
    }
}

/// A request between its coming in and the end of its last attempt; `E`: what is kept of an attempt.
pub struct Request<E> {
    pub arrival: Arrival,
    pub rank: u8,
    pub first: bool,
    /// Its sending time at the client's pace, its soft deadline, and when its final answer is out at the
    /// latest.
    pub work: Duration,
    pub soft: Duration,
    pub due: Duration,
    pub attempts: Vec<E>,
    pub open: usize,
    pub ended: bool,
    /// It has waited for another's fill of the same part.
    pub joined: bool,
    pub ran: Option<(Duration, Id)>,
    pub failed: Vec<Id>,
    pub erred: Vec<(Id, f64)>,
}

impl<E> Request<E> {
    pub fn new(
        arrival: Arrival,
        rank: u8,
        first: bool,
        work: Duration,
        soft: Duration,
        due: Duration,
    ) -> Self {
        let (attempts, open, ended, joined, ran) = (Vec::new(), 0, false, false, None);
        let (failed, erred) = (Vec::new(), Vec::new());
        Request {
            arrival,
            rank,
            first,
            work,
            soft,
            due,
            attempts,
            open,
            ended,
            joined,
            ran,
            failed,
            erred,
        }
    }
}
