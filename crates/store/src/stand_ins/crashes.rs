//! A day of a store that ends in a crash at a chosen operation of its disk, and what may be found after it.
//!
//! Checked from outside, by what the day knows: nothing that is answered is torn, of another part or older
//! than a purge that was told; and what the store said outlives a crash is there, unless it was let go of,
//! purged or replaced.

use super::{Disk, Driver, Faults, Piece, size_of};
use crate::decide::Part;
use crate::decide::disk::Wanted;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

const START: u64 = 1_800_000_000_000;
const OBJECTS: u64 = 120;
const PARTS: u64 = 2;
const ACTIONS: usize = 400;
const LARGEST: usize = 15_000;

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
        Piece { object, part: self.chance.u64(..PARTS) }
    }

    fn purged(&self, piece: Piece) -> u64 {
        let object = self.objects.get(&piece.object).copied().unwrap_or(0);
        object.max(self.groups.get(&piece.group()).copied().unwrap_or(0))
    }

    fn act(&mut self, driver: &mut Driver) {
        let piece = self.piece();
        let now = driver.unix_ms();
        match self.chance.u8(..100) {
            0..=54 => {
                let version = *self.versions.entry(piece.object).or_insert(1);
                let made = now - self.chance.u64(..200);
                let copy = piece.version(version, made, size_of(piece, LARGEST));
                driver.keep(copy, 1 + self.chance.u8(..3));
            }
            55..=69 => drop(get(driver, piece)),
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

fn get(driver: &mut Driver, piece: Piece) -> Option<crate::copy::Copy> {
    let name = piece.name();
    driver.get(Part { object: &name, part: piece.part, group: piece.group() }).map(|(_, copy)| copy)
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

/// Plays the day of this seed, crashes it at an operation, and looks at what is found.
pub fn crash_point(seed: u64, crash_at: u64) -> Seen {
    let chance = fastrand::Rng::with_seed(seed);
    let (versions, changed) = (HashMap::new(), HashMap::new());
    let (objects, groups, told) = (HashMap::new(), HashMap::new(), Vec::new());
    let mut day = Day { chance, versions, changed, objects, groups, told };
    let disk = Disk::new();
    disk.set(Faults { crash_at: Some(crash_at), ..Faults::default() });
    let mut driver = Driver::start(Arc::new(disk.clone()), 30_000, wanted(), START);
    let mut seen = Seen::default();
    for _ in 0..ACTIONS {
        day.act(&mut driver);
        if disk.operations().0 >= crash_at {
            seen.crashed = true;
            break;
        }
    }
    seen.reclaimed = driver.store.disk().map_or(0, |disk| disk.counts().reclaimed);
    let died = driver.unix_ms();
    let durable = std::mem::take(&mut driver.orders.durable);
    drop(driver);
    // The next life is told of purges some way back, or of none that is old; sometimes the clock was set
    // back.
    let down = day.chance.u64(..20_000);
    let window = *day.chance.choice(&[500, 5_000, 30_000, 10_000_000]).unwrap_or(&0);
    let start = if day.chance.u8(..10) == 0 { died - day.chance.u64(1..60_000) } else { died + down };
    let known = Wanted { known_purges: Duration::from_millis(window), ..wanted() };
    let after = disk.crashed(seed ^ crash_at.rotate_left(32));
    let mut again = Driver::start(Arc::new(after), 60_000, known, start);
    for (object, group, ms) in &day.told {
        if *ms + window >= start {
            let name = object.map(|object| Piece { object, part: 0 }.name());
            again.store.purge(name.as_deref(), *group, *ms, &mut again.orders);
        }
    }
    let trusted = window == 10_000_000 && start >= died;
    // Asked while the index fills and after.
    for round in 0..2 {
        if round == 1 {
            again.settle();
        }
        for object in 0..OBJECTS {
            for part in 0..PARTS {
                let piece = Piece { object, part };
                let found = get(&mut again, piece);
                if let Some(copy) = &found {
                    seen.answers += 1;
                    let version =
                        std::str::from_utf8(&copy.tag).ok().and_then(|t| u64::from_str_radix(t, 16).ok());
                    let right =
                        version.map(|version| piece.version(version, copy.made, size_of(piece, LARGEST)));
                    seen.torn += u64::from(right.as_ref() != Some(copy));
                    seen.stale += u64::from(copy.made <= day.purged(piece));
                }
                let Some(made) = durable.get(&piece.key()).filter(|_| round == 1 && trusted) else {
                    continue;
                };
                let let_go = *made <= day.purged(piece) || day.changed.contains_key(&object);
                if !let_go {
                    seen.durable += 1;
                    seen.lost += u64::from(found.is_none_or(|copy| copy.made < *made));
                }
            }
        }
    }
    seen
}
