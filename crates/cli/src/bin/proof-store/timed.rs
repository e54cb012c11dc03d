//! Ratios of times, each of two things done in this run one beside the other.

use crate::day;
use bytes::Bytes;
use chalkhall::control::Router;
use chalkhall::interface::*;
use chalkhall_cli::rig::Rig;
use chalkhall_store::copy::Copy;
use chalkhall_store::decide::disk::Wanted;
use chalkhall_store::decide::{Part, Place};
use chalkhall_store::files::Files;
use chalkhall_store::stand_ins::{Disk, Piece};
use hdrhistogram::Histogram;
use std::fs::File;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

const LONG: Duration = Duration::from_secs(60);

fn wanted(bytes: u64) -> Wanted {
    Wanted {
        bytes,
        index: 64 << 20,
        least_fresh: Duration::ZERO,
        known_purges: Duration::from_secs(100_000),
        scrub: 0,
        read_ahead: 0,
        ..Wanted::default()
    }
}

/// A store with so many parts of this size on disk, all written. Ends without order, as by a kill.
fn filled(path: &Path, parts: u64, size: usize) -> Result<Vec<Piece>, String> {
    let mut rig = Rig::open(path, 0, wanted(4 << 30), 4)?;
    let pieces: Vec<Piece> = (0..parts)
        .map(|n| Piece {
            object: n / 16,
            part: n % 16,
        })
        .collect();
    for (n, piece) in pieces.iter().enumerate() {
        let made = chalkhall_cli::rig::unix_ms();
        let held = |rig: &Rig| rig.store.disk().map_or(0, |disk| disk.counts().written);
        // No more in hand than its queues take.
        let most = (2 << 20) / size as u64;
        if !rig.until(LONG, |rig| n as u64 - held(rig) < most.clamp(4, 200)) {
            return Err("the disk does not keep up".into());
        }
        let now = rig.now();
        rig.store
            .keep(now, piece.version(1, made, size), 2, &mut rig.shelf);
    }
    let all = |rig: &mut Rig| {
        rig.store
            .disk()
            .is_some_and(|disk| disk.index().len() as u64 == parts)
    };
    if !rig.until(LONG, all) {
        return Err(format!("{:?}", rig.store.disk().map(|disk| disk.counts())));
    }
    rig.end(LONG);
    Ok(pieces)
}

fn segments(path: &Path) -> Result<Vec<PathBuf>, String> {
    let names = std::fs::read_dir(path).map_err(|e| e.to_string())?;
    let names = names.filter_map(|entry| entry.ok().map(|entry| entry.path()));
    Ok(names
        .filter(|p| {
            p.file_name()
                .is_some_and(|n| n.to_string_lossy().starts_with("segment"))
        })
        .collect())
}

/// Verified reads of parts of 200 KB through the store, over plain reads of the same files in pieces as
/// large: bytes a second, the median of several turns one after the other.
pub fn read_ratio(path: &Path, seed: u64) -> Result<f64, String> {
    const SIZE: usize = 200_000;
    let pieces = filled(path, 400, SIZE)?;
    let files = segments(path)?;
    let mut rig = Rig::open(path, 0, wanted(4 << 30), 4)?;
    if !rig.until(LONG, |rig| rig.is_ready()) {
        return Err("the store was not ready".into());
    }
    let names: Vec<_> = pieces.iter().map(|piece| piece.name()).collect();
    let mut chance = fastrand::Rng::with_seed(seed);
    let mut ratios = Vec::new();
    for _ in 0..7 {
        let (begun, mut plain) = (Instant::now(), 0);
        for file in &files {
            let file = File::open(file).map_err(|e| e.to_string())?;
            let length = file.metadata().map_err(|e| e.to_string())?.len();
            for at in (0..length).step_by(SIZE) {
                let mut buffer = vec![0; SIZE.min((length - at) as usize)];
                file.read_exact_at(&mut buffer, at)
                    .map_err(|e| e.to_string())?;
                plain += std::hint::black_box(&buffer).len();
            }
        }
        let plain = plain as f64 / begun.elapsed().as_secs_f64();
        let mut order: Vec<usize> = (0..pieces.len()).collect();
        chance.shuffle(&mut order);
        let (begun, mut read) = (Instant::now(), 0);
        let mut order = order.into_iter();
        let (mut out, mut left) = (0usize, pieces.len());
        while left > 0 {
            while out < 16 {
                let Some(n) = order.next() else { break };
                let part = Part {
                    object: &names[n],
                    part: pieces[n].part,
                    group: pieces[n].group(),
                };
                let now = rig.now();
                rig.store
                    .fetch(now, part, &mut rig.shelf)
                    .ok_or("a part is not there")?;
                out += 1;
            }
            rig.turn();
            for (_, fetched) in rig.shelf.fetched.drain(..) {
                match fetched {
                    chalkhall_store::decide::disk::Fetched::Copy(copy) => read += copy.body.len(),
                    other => return Err(format!("{other:?}")),
                }
                (out, left) = (out - 1, left - 1);
            }
        }
        ratios.push(read as f64 / begun.elapsed().as_secs_f64() / plain);
    }
    Ok(median(ratios))
}

/// Time to a full index after a kill, over the time to read the heads of the same records one after another.
pub fn recover_ratio(path: &Path) -> Result<f64, String> {
    let pieces = filled(path, 100_000, 300)?;
    let files = segments(path)?;
    let mut ratios = Vec::new();
    for _ in 0..5 {
        let (begun, mut heads) = (Instant::now(), 0);
        for file in &files {
            let file = File::open(file).map_err(|e| e.to_string())?;
            let length = file.metadata().map_err(|e| e.to_string())?.len();
            let mut at = 64;
            let mut head = [0; 128];
            while at + 128 <= length && file.read_at(&mut head, at).is_ok() && &head[..4] == b"CHRC"
            {
                let of_head = u64::from(u16::from_le_bytes([head[4], head[5]]));
                let body = u64::from(u32::from_le_bytes([head[8], head[9], head[10], head[11]]));
                at += of_head + body.next_multiple_of(8);
                heads += 1;
            }
        }
        let plain = begun.elapsed().as_secs_f64();
        if heads != pieces.len() {
            return Err(format!("{heads} heads of {} parts", pieces.len()));
        }
        let begun = Instant::now();
        let mut rig = Rig::open(path, 0, wanted(4 << 30), 4)?;
        let full = |rig: &mut Rig| {
            rig.is_ready()
                && rig
                    .store
                    .disk()
                    .is_some_and(|d| d.index().len() == pieces.len())
        };
        if !rig.until(LONG, full) {
            return Err("the index was not full".into());
        }
        ratios.push(begun.elapsed().as_secs_f64() / plain);
        rig.end(LONG);
    }
    Ok(median(ratios))
}

/// What a request goes through, with its answer from memory: the decisions, and the store.
struct Desk {
    router: Option<Router>,
    rig: Rig,
    name: Bytes,
    got: Option<Rc<Copy>>,
    wakes: Vec<u64>,
}

impl Desk {
    fn new(rig: Rig) -> Desk {
        let mut desk = Desk {
            router: None,
            rig,
            name: Bytes::new(),
            got: None,
            wakes: Vec::new(),
        };
        let now = desk.rig.now();
        let mut router = Router::start(now, &day::deployment(), &mut desk);
        router.list(now, ListKind::Whole, &day::members(), &mut desk);
        desk.router = Some(router);
        desk
    }

    /// One request, from its coming to its end.
    fn request(&mut self, n: u64, piece: Piece, name: &Bytes) -> Result<Duration, String> {
        let id: Id = n.to_string().into();
        let object = std::str::from_utf8(name).map_err(|e| e.to_string())?;
        let (kb, left) = (2.0, Duration::from_secs(5));
        let arrival = Arrival {
            id: id.clone(),
            object: object.into(),
            part: piece.part,
            kb,
            left,
            ..Arrival::default()
        };
        (self.name, self.got) = (name.clone(), None);
        let mut router = self.router.take().ok_or("no decisions")?;
        let begun = Instant::now();
        let now = self.rig.now();
        router.request(now, arrival, self);
        let (outcome, remark, over) = (Outcome::Served, Remark::Hit, true);
        let (took, load) = (Duration::ZERO, Load::default());
        router.result(
            now,
            &id,
            0,
            &Ended {
                outcome,
                remark,
                took,
                first_byte: None,
                over,
                load,
            },
            self,
        );
        let took = begun.elapsed();
        // Its timers find it over; they are not part of its time.
        let wakes = std::mem::take(&mut self.wakes);
        wakes
            .into_iter()
            .for_each(|mark| router.wake(now, mark, self));
        self.router = Some(router);
        std::hint::black_box(self.got.take().ok_or("a hit was none")?);
        Ok(took)
    }
}

impl Outlet for Desk {
    fn attempt(&mut self, _request: &Id, _server: &Id, _limit: Duration, _fill: &Fill) {
        let now = self.rig.now();
        let part = Part {
            object: &self.name,
            part: 0,
            group: 0,
        };
        self.got = self.rig.store.take(now, part);
    }
    fn reject(&mut self, _request: &Id, _advice: Option<Duration>) {}
    fn fail(&mut self, _request: &Id) {}
    fn cancel(&mut self, _request: &Id, _attempt: usize) {}
    fn wake_at(&mut self, _at: Duration, mark: u64) {
        self.wakes.push(mark);
    }
    fn watch_list(&mut self) {}
    fn held(&mut self, _request: &Id) -> Option<Held> {
        let part = Part {
            object: &self.name,
            part: 0,
            group: 0,
        };
        let found = self.rig.store.find(part, None)?;
        // Made long ago: nothing expires here.
        Some(Held {
            place: "m1".into(),
            made: Duration::ZERO,
            same: false,
        })
        .filter(|_| found.place == Place::Memory)
    }
    fn keep(&mut self, _request: &Id, rank: u8) {
        let name = self.name.clone();
        self.rig.store.rank(
            Part {
                object: &name,
                part: 0,
                group: 0,
            },
            rank,
        );
    }
}

/// The 99th percentile of requests answered from memory while the disk hangs with all its mailboxes full,
/// over the same with no disk: the median of many rounds, each one beside the other, over stores made anew:
/// where a table happens to lie in memory makes a tenth of difference.
pub fn hung_ratio(seed: u64) -> Result<f64, String> {
    let mut chance = fastrand::Rng::with_seed(seed);
    let ratios: Result<Vec<f64>, String> = (0..15).map(|_| hung_beside_none(&mut chance)).collect();
    Ok(median(ratios?))
}

fn hung_beside_none(chance: &mut fastrand::Rng) -> Result<f64, String> {
    const COUNT: u64 = 500;
    let pieces: Vec<Piece> = (0..COUNT).map(|object| Piece { object, part: 0 }).collect();
    let names: Vec<Bytes> = pieces.iter().map(|piece| piece.name()).collect();
    let disk = Disk::new();
    let files = disk.clone();
    let take = move || Ok(Arc::new(files.clone()) as Arc<dyn Files>);
    let mut rig = Rig::on(take, 64 << 20, wanted(1 << 30), 4)?;
    if !rig.until(LONG, |rig| rig.is_ready()) {
        return Err("the store was not ready".into());
    }
    let mut desks = [Desk::new(Rig::alone(64 << 20)), Desk::new(rig)];
    if chance.bool() {
        desks.reverse();
    }
    let hung = usize::from(desks[1].rig.store.disk().is_some());
    let made = chalkhall_cli::rig::unix_ms();
    for desk in &mut desks {
        for piece in &pieces {
            let now = desk.rig.now();
            desk.rig
                .store
                .keep(now, piece.version(1, made, 2000), 2, &mut desk.rig.shelf);
        }
    }
    disk.hang(true);
    let (mut ratios, mut count) = (Vec::new(), 0);
    for round in 0..7u64 {
        let mut p99 = [0.0; 2];
        // Which goes first changes from round to round.
        for which in [round as usize % 2, 1 - round as usize % 2] {
            let mut times = Histogram::<u64>::new(3).map_err(|e| e.to_string())?;
            for n in 0..10_000u64 {
                let at = chance.usize(..pieces.len());
                let desk = &mut desks[which];
                if n % 1000 == 0 {
                    // Copies go on coming that memory has no place for, and work for the disk with them.
                    let now = desk.rig.now();
                    let lone = Piece {
                        object: COUNT + round * 1000 + n,
                        part: 0,
                    };
                    desk.rig.store.keep(
                        now,
                        lone.version(1, made, 1 << 20),
                        1,
                        &mut desk.rig.shelf,
                    );
                    desk.rig.turn();
                }
                count += 1;
                let took = desk.request(count, pieces[at], &names[at])?;
                times
                    .record(took.as_nanos() as u64)
                    .map_err(|e| e.to_string())?;
            }
            p99[which] = times.value_at_quantile(0.99) as f64;
        }
        ratios.push(p99[hung] / p99[1 - hung]);
    }
    disk.hang(false);
    Ok(median(ratios))
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}
