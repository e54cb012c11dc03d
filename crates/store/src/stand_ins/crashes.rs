//! A day of a store that ends in a crash at a chosen operation of its disk, and what may be found after it.
//!
//! Checked from outside, by what the day knows: nothing that is answered is torn, of another part or older
//! than a purge that was told; and what the store said outlives a crash is there, unless it was let go of,
//! purged or replaced.

use super::{Disk, Driver, Faults, Piece, size_of};
use crate::copy::Copy;
use crate::decide::Part;
use crate::decide::disk::Wanted;
use crate::key::Key;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

const START: u64 = 1_800_000_000_000;
const OBJECTS: u64 = 120;
const PARTS: u64 = 2;
const ACTIONS: usize = 400;
const LARGEST: usize = 15_000;
/// So long after the disk is sound again new copies are kept as before.
pub const HEALED_WITHIN: Duration = Duration::from_secs(35);
/// Of copies that are offered one a second from then on, so many may still be held back.
const HELD_BACK: usize = 6;

/// What a crash point showed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Seen {
    /// The crash came before the day was over.
    pub crashed: bool,
    /// Answers checked, copies that outlive a crash and were looked for, and copies let go of in reclaims.
    pub answers: u64,
    pub durable: u64,
    pub reclaimed: u64,
    /// The three ways to fail.
    pub torn: u64,
    pub stale: u64,
    pub lost: u64,
    /// Of the copies offered after the disk was sound again, those that were not kept.
    pub not_kept_again: u64,
    /// Calls of the disk during the day and from the restart on.
    pub calls: u64,
    pub restart_calls: u64,
}

struct Day {
    chance: fastrand::Rng,
    /// By object: its version now; by object and by group: the last purge.
    versions: HashMap<u64, u64>,
    changed: HashMap<u64, u64>,
    objects: HashMap<u64, u64>,
    groups: HashMap<u64, u64>,
    told: Vec<(Option<u64>, u64, u64)>,
}

impl Day {
    fn piece(&mut self) -> Piece {
        // A few are asked for often, most seldom.
        let object = (self.chance.f64().powi(3) * OBJECTS as f64) as u64;
        Piece {
            object,
            part: self.chance.u64(..PARTS),
        }
    }

    fn purged(&self, piece: Piece) -> u64 {
        let object = self.objects.get(&piece.object).copied().unwrap_or(0);
        object.max(self.groups.get(&piece.group()).copied().unwrap_or(0))
    }

    fn act(&mut self, driver: &mut Driver, seen: &mut Seen) {
        let piece = self.piece();
        let now = driver.unix_ms();
        match self.chance.u8(..100) {
            0..=54 => {
                let version = *self.versions.entry(piece.object).or_insert(1);
                let made = now - self.chance.u64(..200);
                let copy = piece.version(version, made, size_of(piece, LARGEST));
                driver.keep(copy, 1 + self.chance.u8(..3));
            }
            55..=69 => get(driver, piece)
                .iter()
                .for_each(|copy| self.check(piece, copy, seen)),
            70..=73 => {
                let ms = driver.purge(Some(&piece.name()), 0);
                self.objects.insert(piece.object, ms);
                self.told.push((Some(piece.object), 0, ms));
            }
            74 => {
                let ms = driver.purge(None, piece.group());
                self.groups.insert(piece.group(), ms);
                self.told.push((None, piece.group(), ms));
            }
            75..=78 => {
                *self.versions.entry(piece.object).or_insert(1) += 1;
                self.changed.insert(piece.object, now);
            }
            79..=84 => {
                if let Some(disk) = driver.store.disk_mut() {
                    disk.heard(now - 1);
                }
            }
            _ => {
                driver.now += Duration::from_millis(self.chance.u64(1..400));
                driver.store.tick(driver.now, &mut driver.orders);
            }
        }
        // Orders wait, or some are carried out.
        for _ in 0..self.chance.u8(..8) {
            driver.step();
        }
    }
}

fn get(driver: &mut Driver, piece: Piece) -> Option<Copy> {
    let name = piece.name();
    driver
        .get(Part {
            object: &name,
            part: piece.part,
            group: piece.group(),
        })
        .map(|(_, copy)| copy)
}

fn wanted() -> Wanted {
    Wanted {
        bytes: 640 << 10,
        segment: 64 << 10,
        index: 1 << 20,
        least_fresh: Duration::ZERO,
        carry: 0.3,
        sync_after: Duration::from_millis(300),
        sync_bytes: 30_000,
        known_purges: Duration::from_secs(100_000),
        revalidate: 50.0,
        ..Wanted::default()
    }
}

/// A day, and what goes wrong with its disk.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub actions: usize,
    /// During the day, and from the restart after it on.
    pub faults: Faults,
    pub restart_faults: Faults,
    /// The disk is sound again before the program is killed; else it is killed as the day ends.
    pub heals: bool,
}

/// Plays the day of this seed, crashes it at an operation, and looks at what is found.
pub fn crash_point(seed: u64, crash_at: u64) -> Seen {
    let faults = Faults {
        crash_at: Some(crash_at),
        ..Faults::default()
    };
    play(&Scenario {
        seed,
        actions: ACTIONS,
        faults,
        restart_faults: Faults::default(),
        heals: false,
    })
}

/// Plays a day, kills the program and looks at what the next start finds.
pub fn play(scenario: &Scenario) -> Seen {
    let seed = scenario.seed;
    let chance = fastrand::Rng::with_seed(seed);
    let (versions, changed) = (HashMap::new(), HashMap::new());
    let (objects, groups, told) = (HashMap::new(), HashMap::new(), Vec::new());
    let mut day = Day {
        chance,
        versions,
        changed,
        objects,
        groups,
        told,
    };
    let disk = Disk::new();
    disk.set(scenario.faults.clone());
    let mut driver = Driver::start(Arc::new(disk.clone()), 30_000, wanted(), START);
    let mut seen = Seen::default();
    for _ in 0..scenario.actions {
        day.act(&mut driver, &mut seen);
        if scenario
            .faults
            .crash_at
            .is_some_and(|crash_at| disk.operations().0 >= crash_at)
        {
            seen.crashed = true;
            break;
        }
    }
    if scenario.heals {
        disk.set(Faults::default());
        driver.pass(HEALED_WITHIN);
        seen.not_kept_again = not_kept(&mut driver);
        let durable = driver.orders.durable.clone();
        day.look(&mut driver, &durable, true, &mut seen);
    }
    seen.calls = disk.calls();
    seen.reclaimed = driver
        .store
        .disk()
        .map_or(0, |disk| disk.counts().reclaimed);
    let died = driver.unix_ms();
    let durable = std::mem::take(&mut driver.orders.durable);
    drop(driver);
    // The next life is told of purges some way back, or of none that is old; sometimes the clock was set
    // back.
    let down = day.chance.u64(..20_000);
    let window = *day
        .chance
        .choice(&[500, 5_000, 30_000, 10_000_000])
        .unwrap_or(&0);
    let start = if day.chance.u8(..10) == 0 {
        died - day.chance.u64(1..60_000)
    } else {
        died + down
    };
    let mut known = Wanted {
        known_purges: Duration::from_millis(window),
        ..wanted()
    };
    if !scenario.restart_faults.failing_calls.is_empty() {
        // Time passes after this start: nothing is to be let go of for want of space.
        known.bytes *= 4;
    }
    let after = disk.crashed(
        seed ^ scenario
            .faults
            .crash_at
            .unwrap_or(seen.calls)
            .rotate_left(32),
    );
    after.set(scenario.restart_faults.clone());
    let mut again = Driver::start(Arc::new(after.clone()), 60_000, known, start);
    for (object, group, ms) in &day.told {
        if *ms + window >= start {
            let name = object.map(|object| Piece { object, part: 0 }.name());
            again
                .store
                .purge(name.as_deref(), *group, *ms, &mut again.orders);
        }
    }
    let trusted = window == 10_000_000 && start >= died;
    // Asked while the index fills and after.
    day.look(&mut again, &durable, false, &mut seen);
    if !scenario.restart_faults.failing_calls.is_empty() {
        again.pass(Duration::from_secs(5));
        after.set(Faults::default());
        again.pass(HEALED_WITHIN);
    }
    again.settle();
    seen.restart_calls = after.calls();
    day.look(&mut again, &durable, trusted, &mut seen);
    seen
}

/// Offers new copies, one a second and more than memory holds, and counts those that do not come to outlive a
/// crash: the first few may be held back, as a tier that was set aside takes its writes one by one.
fn not_kept(driver: &mut Driver) -> u64 {
    let pieces: Vec<Piece> = (0..14)
        .map(|object| Piece {
            object: 10_000 + object,
            part: 0,
        })
        .collect();
    for piece in &pieces {
        let made = driver.unix_ms();
        driver.keep(piece.version(1, made, 10_000), 3);
        driver.pass(Duration::from_secs(1));
    }
    pieces[HELD_BACK..10]
        .iter()
        .filter(|piece| !driver.orders.durable.contains_key(&piece.key()))
        .count() as u64
}

impl Day {
    /// Asks for every part, and holds what is answered against what the day knows. `durable`: copies that must
    /// be there, if it is known that they may be served.
    fn look(
        &self,
        driver: &mut Driver,
        durable: &HashMap<Key, u64>,
        trusted: bool,
        seen: &mut Seen,
    ) {
        for object in 0..OBJECTS {
            for part in 0..PARTS {
                let piece = Piece { object, part };
                let found = get(driver, piece);
                found.iter().for_each(|copy| self.check(piece, copy, seen));
                let Some(made) = durable.get(&piece.key()).filter(|_| trusted) else {
                    continue;
                };
                let let_go = *made <= self.purged(piece) || self.changed.contains_key(&object);
                if !let_go {
                    seen.durable += 1;
                    seen.lost += u64::from(found.is_none_or(|copy| copy.made < *made));
                }
            }
        }
    }

    /// A copy that was answered is whole, of the part asked for, and not older than its last purge.
    fn check(&self, piece: Piece, copy: &Copy, seen: &mut Seen) {
        seen.answers += 1;
        let version = std::str::from_utf8(&copy.tag)
            .ok()
            .and_then(|tag| u64::from_str_radix(tag, 16).ok());
        let right =
            version.map(|version| piece.version(version, copy.made, size_of(piece, LARGEST)));
        seen.torn += u64::from(right.as_ref() != Some(copy));
        seen.stale += u64::from(copy.made <= self.purged(piece));
    }
}
