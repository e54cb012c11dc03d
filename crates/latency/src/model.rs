//! Who measures which way and when, what of it is told, and what is believed. No I/O.
//!
//! Two legs: from the routers of a zone to an edge (a zone's caches, or a hub's parents), measured by
//! the routers; and from a region's clients to an edge, as fronts have measured it and tell over a control
//! socket. Each router sketches what it has seen itself and tells its zone (kinds [`WAYS`], [`LEGS`]);
//! what a zone believes is told to all in four bytes an edge (kind [`MATRIX`]), three tellers a zone,
//! so that everybody knows the whole matrix and no single one can bend it.
//!
//! **Explored within a budget.** A way is measured by the [`MEASURERS`] routers of the zone that draw the
//! least number for it by hash, of those that gave a sign of life lately, each at [`EVERY`]: what it costs
//! does not grow with the zone, and nobody has to be told who measures. Who hears nobody measures all.
//! Drawn anew by time (tried first) a way was now and then measured by none for seconds, and those who had
//! just ceased told what had been.

use crate::merge::{Estimate, merge};
use crate::sketch::{HALF_LIFE, Share, Sketch, bucket, value};
use chalkhall_gossip::gossip::{Gossip, KindPolicy, Topic};
use std::collections::BTreeMap;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Kinds of words.
pub const WAYS: u8 = 1;
pub const LEGS: u8 = 2;
pub const MATRIX: u8 = 3;
/// Past this age a way is unknown: five half lives.
pub const LASTS: Duration = Duration::from_secs(5);
/// Five tellers of a way are enough to leave out the least and the greatest; three of a matrix to outvote
/// one.
pub const KIND_POLICIES: [KindPolicy; 3] = [
    KindPolicy {
        kind: WAYS,
        zone_only: true,
        first: false,
        max_publishers: 5,
        lifetime: LASTS,
    },
    KindPolicy {
        kind: LEGS,
        zone_only: true,
        first: false,
        max_publishers: 5,
        lifetime: LASTS,
    },
    KindPolicy {
        kind: MATRIX,
        zone_only: false,
        first: false,
        max_publishers: 3,
        lifetime: LASTS,
    },
];
/// Edges there may be: numbers of zones, then of hubs.
pub const EDGES_MOST: usize = 64;
/// Of a zone, at one way: so many measure, so often; who gave no sign of life for so long is not one.
pub const MEASURERS: usize = 5;
pub const EVERY: Duration = Duration::from_millis(500);
pub const MATRIX_EVERY: Duration = Duration::from_secs(1);
pub const ALIVE: Duration = Duration::from_secs(5);
/// What is waited for an answer: longer is lost.
pub const PATIENCE: Duration = Duration::from_millis(800);
/// Edges in one word of the matrix, and what one takes.
const CHUNK: usize = 32;
const CELL: usize = 4;

/// A way of the matrix, as a zone believes it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cell {
    pub p50: Option<Duration>,
    pub p90: Option<Duration>,
    pub lost: f64,
    pub doubt: f64,
}

/// A bucket in a byte: 255 where there is none.
fn byte(span: Option<Duration>) -> u8 {
    span.map_or(255, |span| bucket(span) as u8)
}

fn span(byte: u8) -> Option<Duration> {
    (byte < 255).then(|| value(f64::from(byte)))
}

fn encode(cells: &[Option<Cell>]) -> Vec<u8> {
    let cell = |cell: &Option<Cell>| match cell {
        // No doubt is that of who knows nothing.
        None => [255, 255, 255, 255],
        Some(cell) => {
            let doubt = (cell.doubt * 100.0).round().min(254.0) as u8;
            [
                byte(cell.p50),
                byte(cell.p90),
                (cell.lost * 255.0) as u8,
                doubt,
            ]
        }
    };
    cells.iter().flat_map(cell).collect()
}

/// None where it makes no sense.
fn decode(bytes: &[u8]) -> Option<Vec<Option<Cell>>> {
    if bytes.len() > CHUNK * CELL || !bytes.len().is_multiple_of(CELL) {
        return None;
    }
    let cell = |b: &[u8]| {
        let known = b[3] < 255;
        let cell = Cell {
            p50: span(b[0]),
            p90: span(b[1]),
            lost: f64::from(b[2]) / 255.0,
            doubt: f64::from(b[3]) / 100.0,
        };
        known.then_some(cell)
    };
    Some(bytes.chunks_exact(CELL).map(cell).collect())
}

/// What one router has seen, of both legs.
pub struct Model {
    number: u16,
    place: u8,
    edges: usize,
    ways: BTreeMap<usize, Sketch>,
    legs: BTreeMap<usize, Sketch>,
    /// By edge: when it was measured last.
    measured: BTreeMap<usize, Duration>,
    /// When words were last asked for, and when the matrix was last told.
    asked: Duration,
    matrix_told: Option<Duration>,
    refused: u64,
}

impl Model {
    /// `edges`: at most [`EDGES_MOST`]; those past it are not known.
    pub fn new(number: u16, place: u8, edges: usize) -> Model {
        Model {
            number,
            place,
            edges: edges.min(EDGES_MOST),
            ways: BTreeMap::new(),
            legs: BTreeMap::new(),
            measured: BTreeMap::new(),
            asked: Duration::ZERO,
            matrix_told: None,
            refused: 0,
        }
    }

    pub fn edges(&self) -> usize {
        self.edges
    }

    /// How long a measurement waits between two of this router's own.
    pub fn due(&self, edge: usize) -> Duration {
        self.measured
            .get(&edge)
            .map_or(Duration::ZERO, |at| *at + EVERY)
    }

    /// The edges that this router is to measure now; each counts as measured from now on.
    pub fn to_measure(&mut self, now: Duration, gossip: &Gossip) -> Vec<usize> {
        let due: Vec<usize> = (0..self.edges)
            .filter(|edge| now >= self.due(*edge))
            .collect();
        if due.is_empty() {
            return due;
        }
        let peers: Vec<u16> = gossip.live_peers(now, ALIVE).collect();
        let draws = |number: u16, edge: usize| {
            xxh3_64(&[number.to_be_bytes(), (edge as u16).to_be_bytes()].concat())
        };
        let mine = |edge: &usize| {
            let own = draws(self.number, *edge);
            peers
                .iter()
                .filter(|peer| draws(**peer, *edge) < own)
                .count()
                < MEASURERS
        };
        let found: Vec<usize> = due.into_iter().filter(mine).collect();
        for edge in &found {
            self.measured.insert(*edge, now);
        }
        found
    }

    /// A word to an edge came back after so long; none: not within [`PATIENCE`].
    pub fn saw(&mut self, now: Duration, edge: usize, way: Option<Duration>) {
        if edge >= self.edges {
            self.refused += 1;
            return;
        }
        let sketch = self.ways.entry(edge).or_default();
        match way.filter(|way| *way < PATIENCE) {
            Some(way) => sketch.came(now, way),
            None => sketch.lost(now),
        }
    }

    /// A front has measured the way of this region's clients to an edge, so many times the same.
    pub fn observed(&mut self, now: Duration, edge: usize, way: Duration, count: u32) {
        if edge >= self.edges {
            self.refused += 1;
            return;
        }
        let sketch = self.legs.entry(edge).or_default();
        (0..count.min(64)).for_each(|_| sketch.came(now, way));
    }

    /// What is to be told of it: kind, part and body. Only where something was seen since, so that a word has
    /// spread before the next one takes its place; the matrix at [`MATRIX_EVERY`].
    pub fn words(&mut self, now: Duration, gossip: &Gossip) -> Vec<(u8, u8, Vec<u8>)> {
        let asked = std::mem::replace(&mut self.asked, now);
        let fresh = |sketch: &Sketch| sketch.latest() >= asked && sketch.count(now) > 0.0;
        let told = |kind: u8, sketches: &BTreeMap<usize, Sketch>| {
            let all = sketches.iter().filter(|(_, sketch)| fresh(sketch));
            let all = all.filter_map(|(edge, sketch)| {
                Some((kind, *edge as u8, sketch.share(now)?.encode().to_vec()))
            });
            all.collect::<Vec<_>>()
        };
        let mut words = told(WAYS, &self.ways);
        words.extend(told(LEGS, &self.legs));
        let due = self
            .matrix_told
            .is_none_or(|told| now >= told + MATRIX_EVERY);
        if !due {
            return words;
        }
        self.matrix_told = Some(now);
        // Only what was measured is told: a belief taken from peers would go round and outlive the truth.
        let least = (gossip.live_peers(now, ALIVE).count() + 1).min(3);
        let measured = |edge: usize| {
            self.estimate(now, gossip, WAYS, &self.ways, edge)
                .filter(|e| e.tellers >= least)
        };
        for (part, first) in (0..self.edges).step_by(CHUNK).enumerate() {
            let edges = first..(first + CHUNK).min(self.edges);
            let cell = |Estimate {
                            p50,
                            p90,
                            lost,
                            doubt,
                            ..
                        }| Cell {
                p50,
                p90,
                lost,
                doubt,
            };
            let cells: Vec<Option<Cell>> = edges.map(|edge| measured(edge).map(cell)).collect();
            if cells.iter().any(Option::is_some) {
                words.push((MATRIX, part as u8, encode(&cells)));
            }
        }
        words
    }

    fn estimate(
        &self,
        now: Duration,
        gossip: &Gossip,
        kind: u8,
        own: &BTreeMap<usize, Sketch>,
        edge: usize,
    ) -> Option<Estimate> {
        let mine = own
            .get(&edge)
            .filter(|sketch| now < sketch.latest() + LASTS);
        // Decay since the last sample is in the count already.
        let mine = mine.and_then(|sketch| Some((sketch.share(now)?, Duration::ZERO)));
        let told = gossip.messages(now, kind).filter(|(topic, message)| {
            usize::from(topic.key) == edge
                && message.zone == self.place
                && topic.publisher != self.number
        });
        let told = told.filter_map(|(_, message)| {
            Some((
                Share::decode(&message.payload)?,
                now.saturating_sub(message.published_at),
            ))
        });
        let all: Vec<_> = mine.into_iter().chain(told).collect();
        merge(&all)
    }

    /// What the tellers of a zone say of its way to an edge, and how young the youngest word is: the
    /// middle of them at each figure. And how many they are.
    fn heard(
        &self,
        now: Duration,
        gossip: &Gossip,
        from: u8,
        edge: usize,
    ) -> Option<(Cell, usize)> {
        let of = |(topic, message): (Topic, &chalkhall_gossip::gossip::StoredMessage)| {
            let fits = message.zone == from
                && usize::from(topic.key) == edge / CHUNK
                && topic.publisher != self.number;
            let age = now.saturating_sub(message.published_at);
            fits.then(|| {
                decode(&message.payload)?
                    .get(edge % CHUNK)
                    .copied()
                    .flatten()
                    .map(|cell| (cell, age))
            })
            .flatten()
        };
        let cells: Vec<(Cell, Duration)> = gossip.messages(now, MATRIX).filter_map(of).collect();
        let middle = |of: &dyn Fn(&Cell) -> f64| {
            let mut all: Vec<f64> = cells.iter().map(|(cell, _)| of(cell)).collect();
            all.sort_by(f64::total_cmp);
            all.get((all.len().max(1) - 1) / 2).copied()
        };
        let seconds = |span: Option<Duration>| span.map_or(f64::INFINITY, |s| s.as_secs_f64());
        let back = |s: f64| s.is_finite().then(|| Duration::from_secs_f64(s));
        let age = cells.iter().map(|(_, age)| *age).min()?;
        let cell = Cell {
            p50: back(middle(&|cell| seconds(cell.p50))?),
            p90: back(middle(&|cell| seconds(cell.p90))?),
            lost: middle(&|cell| cell.lost)?,
            // A word half a life old has lost half of its samples.
            doubt: middle(&|cell| cell.doubt)? * age.div_duration_f64(HALF_LIFE).exp2().sqrt(),
        };
        Some((cell, cells.len()))
    }

    /// What is believed of the way from here to an edge. Of fewer than three tellers one that lies could not
    /// be told from the others: then what peers believe of it stands in.
    pub fn way(&self, now: Duration, gossip: &Gossip, edge: usize) -> Option<Estimate> {
        let own = self.estimate(now, gossip, WAYS, &self.ways, edge);
        if own.is_some_and(|own| own.tellers >= 3) {
            return own;
        }
        match self.heard(now, gossip, self.place, edge) {
            Some((
                Cell {
                    p50,
                    p90,
                    lost,
                    doubt,
                },
                tellers,
            )) if tellers >= 3 => Some(Estimate {
                p50,
                p90,
                lost,
                doubt,
                tellers,
            }),
            _ => own,
        }
    }

    /// The same of this region's clients.
    pub fn leg(&self, now: Duration, gossip: &Gossip, edge: usize) -> Option<Estimate> {
        self.estimate(now, gossip, LEGS, &self.legs, edge)
    }

    /// What zone `from` believes of its way to an edge.
    pub fn matrix(&self, now: Duration, gossip: &Gossip, from: u8, edge: usize) -> Option<Cell> {
        if from != self.place {
            return self.heard(now, gossip, from, edge).map(|(cell, _)| cell);
        }
        let Estimate {
            p50,
            p90,
            lost,
            doubt,
            ..
        } = self.way(now, gossip, edge)?;
        Some(Cell {
            p50,
            p90,
            lost,
            doubt,
        })
    }

    /// What was refused since the start: of edges that there are not.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}

#[cfg(test)]
mod tests;
