//! Which router measures which path and when, what it sends of that, and what is accepted. No I/O.
//!
//! There are two kinds of paths: from the routers of a zone to an edge (a zone's caches, or a hub's
//! parents), probed by the routers; and from a region's clients to an edge, as measured by fronts
//! and reported over a control socket. Each router keeps sketches of its own observations and sends
//! them to its zone (kinds [`PATHS`], [`CLIENT_PATHS`]). A zone's estimates are sent to all in four
//! bytes per edge (kind [`MATRIX`]), by three publishers per zone, so that every router knows the
//! whole matrix and no single one can distort it.
//!
//! **Probing within a budget.** A path is probed by the [`PROBERS_PER_PATH`] routers of the zone
//! that have the lowest hashes for it, of those that were alive within [`PEER_TIMEOUT`], each at
//! [`PROBE_INTERVAL`]: the cost does not grow with the zone, and no coordination is needed. A
//! router that knows no live peers probes all paths. When the probers changed with time (tried
//! first), a path sometimes had no prober for seconds, and the previous ones kept sending old
//! values.

use crate::merge::{Estimate, merge};
use crate::sketch::{HALF_LIFE, Sketch, SketchSummary, bucket_index, bucket_value};
use chalkhall_gossip::gossip::{Gossip, KindPolicy, Topic};
use std::collections::BTreeMap;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Kind of messages with sketches of paths from routers.
pub const PATHS: u8 = 1;
/// Kind of messages with sketches of paths from clients.
pub const CLIENT_PATHS: u8 = 2;
/// Kind of messages with a zone's estimates.
pub const MATRIX: u8 = 3;
/// A path without reports for this long is unknown: five half-lives.
pub const LIFETIME: Duration = Duration::from_secs(5);
/// Five publishers of a path are enough to leave out the lowest and the highest; three of a matrix
/// are enough to outvote one.
pub const KIND_POLICIES: [KindPolicy; 3] = [
    KindPolicy {
        kind: PATHS,
        zone_only: true,
        has_priority: false,
        max_publishers: 5,
        lifetime: LIFETIME,
    },
    KindPolicy {
        kind: CLIENT_PATHS,
        zone_only: true,
        has_priority: false,
        max_publishers: 5,
        lifetime: LIFETIME,
    },
    KindPolicy {
        kind: MATRIX,
        zone_only: false,
        has_priority: false,
        max_publishers: 3,
        lifetime: LIFETIME,
    },
];
/// Largest number of edges: those of zones come first, then those of hubs.
pub const MAX_EDGES: usize = 64;
/// Routers of a zone that probe one path.
pub const PROBERS_PER_PATH: usize = 5;
/// Time between two probes of a path by one router.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two messages of the matrix by one router.
pub const MATRIX_INTERVAL: Duration = Duration::from_secs(1);
/// A peer that was not alive for this long does not count as a prober.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which an unanswered probe counts as lost.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(800);
/// Edges in one message of the matrix.
const MATRIX_CHUNK_EDGES: usize = 32;
/// Size of an encoded entry.
const ENTRY_BYTES: usize = 4;

/// An entry of the matrix: a zone's estimate of one path.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MatrixEntry {
    pub p50: Option<Duration>,
    pub p90: Option<Duration>,
    pub lost: f64,
    pub uncertainty: f64,
}

/// Encodes the bucket of a span as one byte; 255 stands for none.
fn encode_span(span: Option<Duration>) -> u8 {
    span.map_or(255, |span| bucket_index(span) as u8)
}

fn decode_span(byte: u8) -> Option<Duration> {
    (byte < 255).then(|| bucket_value(f64::from(byte)))
}

fn encode_entries(entries: &[Option<MatrixEntry>]) -> Vec<u8> {
    let entry = |entry: &Option<MatrixEntry>| match entry {
        // An uncertainty of 255 marks an unknown path.
        None => [255, 255, 255, 255],
        Some(entry) => {
            let uncertainty = (entry.uncertainty * 100.0).round().min(254.0) as u8;
            [
                encode_span(entry.p50),
                encode_span(entry.p90),
                (entry.lost * 255.0) as u8,
                uncertainty,
            ]
        }
    };
    entries.iter().flat_map(entry).collect()
}

/// Returns `None` for malformed bytes.
fn decode_entries(bytes: &[u8]) -> Option<Vec<Option<MatrixEntry>>> {
    if bytes.len() > MATRIX_CHUNK_EDGES * ENTRY_BYTES || !bytes.len().is_multiple_of(ENTRY_BYTES) {
        return None;
    }
    let entry = |b: &[u8]| {
        let known = b[3] < 255;
        let entry = MatrixEntry {
            p50: decode_span(b[0]),
            p90: decode_span(b[1]),
            lost: f64::from(b[2]) / 255.0,
            uncertainty: f64::from(b[3]) / 100.0,
        };
        known.then_some(entry)
    };
    Some(bytes.chunks_exact(ENTRY_BYTES).map(entry).collect())
}

/// The observations of one router, for both kinds of paths.
pub struct Model {
    number: u16,
    zone: u8,
    edges: usize,
    paths: BTreeMap<usize, Sketch>,
    client_paths: BTreeMap<usize, Sketch>,
    /// The time of the last probe, by edge.
    last_probed: BTreeMap<usize, Duration>,
    /// When [`Model::messages_to_publish`] was last called.
    last_collected: Duration,
    /// When the matrix was last published.
    matrix_published_at: Option<Duration>,
    rejected: u64,
}

impl Model {
    /// `edges`: at most [`MAX_EDGES`]; those beyond are ignored.
    pub fn new(number: u16, zone: u8, edges: usize) -> Model {
        Model {
            number,
            zone,
            edges: edges.min(MAX_EDGES),
            paths: BTreeMap::new(),
            client_paths: BTreeMap::new(),
            last_probed: BTreeMap::new(),
            last_collected: Duration::ZERO,
            matrix_published_at: None,
            rejected: 0,
        }
    }

    /// The number of edges.
    pub fn edges(&self) -> usize {
        self.edges
    }

    /// The earliest time of this router's next probe to an edge.
    pub fn next_probe_at(&self, edge: usize) -> Duration {
        self.last_probed
            .get(&edge)
            .map_or(Duration::ZERO, |at| *at + PROBE_INTERVAL)
    }

    /// The edges that this router has to probe now; each counts as probed from now on.
    pub fn paths_to_probe(&mut self, now: Duration, gossip: &Gossip) -> Vec<usize> {
        let due: Vec<usize> = (0..self.edges)
            .filter(|edge| now >= self.next_probe_at(*edge))
            .collect();
        if due.is_empty() {
            return due;
        }
        let peers: Vec<u16> = gossip.live_peers(now, PEER_TIMEOUT).collect();
        let draw = |number: u16, edge: usize| {
            xxh3_64(&[number.to_be_bytes(), (edge as u16).to_be_bytes()].concat())
        };
        let is_prober = |edge: &usize| {
            let own = draw(self.number, *edge);
            peers
                .iter()
                .filter(|peer| draw(**peer, *edge) < own)
                .count()
                < PROBERS_PER_PATH
        };
        let found: Vec<usize> = due.into_iter().filter(is_prober).collect();
        for edge in &found {
            self.last_probed.insert(*edge, now);
        }
        found
    }

    /// Records a probe to an edge: its round trip, or `None` if it was not answered within
    /// [`PROBE_TIMEOUT`].
    pub fn record_probe(&mut self, now: Duration, edge: usize, round_trip: Option<Duration>) {
        if edge >= self.edges {
            self.rejected += 1;
            return;
        }
        let sketch = self.paths.entry(edge).or_default();
        match round_trip.filter(|round_trip| *round_trip < PROBE_TIMEOUT) {
            Some(round_trip) => sketch.record_round_trip(now, round_trip),
            None => sketch.record_loss(now),
        }
    }

    /// Records `count` equal samples of the latency of this region's clients to an edge, as
    /// measured by a front.
    pub fn record_client_samples(
        &mut self,
        now: Duration,
        edge: usize,
        latency: Duration,
        count: u32,
    ) {
        if edge >= self.edges {
            self.rejected += 1;
            return;
        }
        let sketch = self.client_paths.entry(edge).or_default();
        (0..count.min(64)).for_each(|_| sketch.record_round_trip(now, latency));
    }

    /// The messages to publish: kind, key and payload. Only those with samples since the last call,
    /// so that a message has spread before the next one replaces it; the matrix at
    /// [`MATRIX_INTERVAL`].
    pub fn messages_to_publish(
        &mut self,
        now: Duration,
        gossip: &Gossip,
    ) -> Vec<(u8, u8, Vec<u8>)> {
        let last_collected = std::mem::replace(&mut self.last_collected, now);
        let is_fresh =
            |sketch: &Sketch| sketch.latest() >= last_collected && sketch.count(now) > 0.0;
        let summaries = |kind: u8, sketches: &BTreeMap<usize, Sketch>| {
            let all = sketches.iter().filter(|(_, sketch)| is_fresh(sketch));
            let all = all.filter_map(|(edge, sketch)| {
                Some((kind, *edge as u8, sketch.summary(now)?.encode().to_vec()))
            });
            all.collect::<Vec<_>>()
        };
        let mut messages = summaries(PATHS, &self.paths);
        messages.extend(summaries(CLIENT_PATHS, &self.client_paths));
        let due = self
            .matrix_published_at
            .is_none_or(|published_at| now >= published_at + MATRIX_INTERVAL);
        if !due {
            return messages;
        }
        self.matrix_published_at = Some(now);
        // Only measured paths are published: estimates taken from peers would circulate and outlive
        // the measurements.
        let min_reporters = (gossip.live_peers(now, PEER_TIMEOUT).count() + 1).min(3);
        let measured = |edge: usize| {
            self.estimate(now, gossip, PATHS, &self.paths, edge)
                .filter(|e| e.reporters >= min_reporters)
        };
        for (chunk, first) in (0..self.edges).step_by(MATRIX_CHUNK_EDGES).enumerate() {
            let edges = first..(first + MATRIX_CHUNK_EDGES).min(self.edges);
            let entry = |Estimate {
                             p50,
                             p90,
                             lost,
                             uncertainty,
                             ..
                         }| MatrixEntry {
                p50,
                p90,
                lost,
                uncertainty,
            };
            let entries: Vec<Option<MatrixEntry>> =
                edges.map(|edge| measured(edge).map(entry)).collect();
            if entries.iter().any(Option::is_some) {
                messages.push((MATRIX, chunk as u8, encode_entries(&entries)));
            }
        }
        messages
    }

    fn estimate(
        &self,
        now: Duration,
        gossip: &Gossip,
        kind: u8,
        own: &BTreeMap<usize, Sketch>,
        edge: usize,
    ) -> Option<Estimate> {
        let own_report = own
            .get(&edge)
            .filter(|sketch| now < sketch.latest() + LIFETIME);
        // The count already includes the decay since the last sample.
        let own_report = own_report.and_then(|sketch| Some((sketch.summary(now)?, Duration::ZERO)));
        let reports = gossip.messages(now, kind).filter(|(topic, message)| {
            usize::from(topic.key) == edge
                && message.zone == self.zone
                && topic.publisher != self.number
        });
        let reports = reports.filter_map(|(_, message)| {
            Some((
                SketchSummary::decode(&message.payload)?,
                now.saturating_sub(message.published_at),
            ))
        });
        let all: Vec<_> = own_report.into_iter().chain(reports).collect();
        merge(&all)
    }

    /// What the publishers of a zone report about its path to an edge: the median of each value,
    /// with the uncertainty for the age of the youngest report. Also returns the number of
    /// publishers.
    fn reported_entry(
        &self,
        now: Duration,
        gossip: &Gossip,
        from: u8,
        edge: usize,
    ) -> Option<(MatrixEntry, usize)> {
        let matching_entry =
            |(topic, message): (Topic, &chalkhall_gossip::gossip::StoredMessage)| {
                let is_match = message.zone == from
                    && usize::from(topic.key) == edge / MATRIX_CHUNK_EDGES
                    && topic.publisher != self.number;
                let age = now.saturating_sub(message.published_at);
                is_match
                    .then(|| {
                        decode_entries(&message.payload)?
                            .get(edge % MATRIX_CHUNK_EDGES)
                            .copied()
                            .flatten()
                            .map(|entry| (entry, age))
                    })
                    .flatten()
            };
        let entries: Vec<(MatrixEntry, Duration)> = gossip
            .messages(now, MATRIX)
            .filter_map(matching_entry)
            .collect();
        let median = |of: &dyn Fn(&MatrixEntry) -> f64| {
            let mut all: Vec<f64> = entries.iter().map(|(entry, _)| of(entry)).collect();
            all.sort_by(f64::total_cmp);
            all.get((all.len().max(1) - 1) / 2).copied()
        };
        let seconds = |span: Option<Duration>| span.map_or(f64::INFINITY, |s| s.as_secs_f64());
        let from_seconds = |s: f64| s.is_finite().then(|| Duration::from_secs_f64(s));
        let age = entries.iter().map(|(_, age)| *age).min()?;
        let entry = MatrixEntry {
            p50: from_seconds(median(&|entry| seconds(entry.p50))?),
            p90: from_seconds(median(&|entry| seconds(entry.p90))?),
            lost: median(&|entry| entry.lost)?,
            // A report that is one half-life old has lost half of its samples.
            uncertainty: median(&|entry| entry.uncertainty)?
                * age.div_duration_f64(HALF_LIFE).exp2().sqrt(),
        };
        Some((entry, entries.len()))
    }

    /// The estimate of the path from this zone to an edge. With fewer than three reporters a false
    /// one could not be identified; then the estimates of peers are used instead.
    pub fn path(&self, now: Duration, gossip: &Gossip, edge: usize) -> Option<Estimate> {
        let own = self.estimate(now, gossip, PATHS, &self.paths, edge);
        if own.is_some_and(|own| own.reporters >= 3) {
            return own;
        }
        match self.reported_entry(now, gossip, self.zone, edge) {
            Some((
                MatrixEntry {
                    p50,
                    p90,
                    lost,
                    uncertainty,
                },
                reporters,
            )) if reporters >= 3 => Some(Estimate {
                p50,
                p90,
                lost,
                uncertainty,
                reporters,
            }),
            _ => own,
        }
    }

    /// The same for the clients of this region.
    pub fn client_path(&self, now: Duration, gossip: &Gossip, edge: usize) -> Option<Estimate> {
        self.estimate(now, gossip, CLIENT_PATHS, &self.client_paths, edge)
    }

    /// Zone `from`'s estimate of its path to an edge.
    pub fn matrix_entry(
        &self,
        now: Duration,
        gossip: &Gossip,
        from: u8,
        edge: usize,
    ) -> Option<MatrixEntry> {
        if from != self.zone {
            return self
                .reported_entry(now, gossip, from, edge)
                .map(|(entry, _)| entry);
        }
        let Estimate {
            p50,
            p90,
            lost,
            uncertainty,
            ..
        } = self.path(now, gossip, edge)?;
        Some(MatrixEntry {
            p50,
            p90,
            lost,
            uncertainty,
        })
    }

    /// Number of samples rejected since the start because their edge is out of range.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }
}

#[cfg(test)]
mod tests;
