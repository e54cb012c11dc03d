//! Which segments there are, which is written to, and which is reclaimed next.

use std::collections::BTreeMap;
use std::time::Duration;

/// Records of like size lie together: a row of large ones that nobody asks for again fills segments of its
/// own, and goes with them.
pub const CLASSES: usize = 4;
const CLASS_ENDS: [usize; CLASSES - 1] = [8 << 10, 32 << 10, 128 << 10];
/// What a segment is worth halves with each such span since it was last read from or written to.
const FADES: Duration = Duration::from_secs(600);

pub fn class_of(record: usize) -> usize {
    CLASS_ENDS
        .iter()
        .position(|end| record <= *end)
        .unwrap_or(CLASSES - 1)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Written to.
    Open,
    /// Its footer is on the way to the disk.
    Sealing,
    Sealed,
    /// A write or a sync of it failed: nothing more is written, what is left of it goes first.
    Failed,
    /// Its parts are being looked through, then it is removed.
    Reclaimed,
    Removing,
}

#[derive(Clone, Debug)]
pub struct Segment {
    pub state: State,
    pub class: usize,
    /// Where the next record goes, and up to where all is known to be on the disk.
    pub end: u32,
    pub synced: u32,
    /// Bytes of records that the index still leads to.
    live: u64,
    used: Duration,
}

impl Segment {
    pub fn live(&self) -> u64 {
        self.live
    }

    /// What a byte of it is worth keeping. Ranks do not count here: they have decided what was written, and
    /// decide what is carried over. Counted once more they cost bytes (docs/store.md).
    fn worth(&self, now: Duration) -> f64 {
        let idle = now.saturating_sub(self.used).as_secs_f64() / FADES.as_secs_f64();
        self.live as f64 / f64::from(self.end.max(1)) * (-idle).exp2()
    }
}

/// All segments of a store, by number. Numbers only go up: bytes of an earlier segment never pass for a later
/// one's.
pub struct Segments {
    all: BTreeMap<u32, Segment>,
    open: [Option<u32>; CLASSES],
    next: u32,
    /// How long a segment gets, and how many there may be.
    pub size: u32,
    pub most: usize,
}

impl Segments {
    pub fn new(size: u32, most: usize) -> Segments {
        Segments {
            all: BTreeMap::new(),
            open: [None; CLASSES],
            next: 1,
            size,
            most,
        }
    }

    pub fn get(&self, segment: u32) -> Option<&Segment> {
        self.all.get(&segment)
    }

    pub fn len(&self) -> usize {
        self.all.len()
    }

    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    pub fn iter(&self) -> impl Iterator<Item = (u32, &Segment)> {
        self.all.iter().map(|(number, segment)| (*number, segment))
    }

    /// Bytes of all segments, and of what the index leads to.
    pub fn bytes(&self) -> (u64, u64) {
        self.all.values().fold((0, 0), |(all, live), s| {
            (all + u64::from(s.end), live + s.live)
        })
    }

    /// New ones begin after this number.
    pub fn number_from(&mut self, last: u32) {
        self.next = self.next.max(last.saturating_add(1));
    }

    /// A segment of an earlier life, before its parts are known.
    pub fn found(&mut self, number: u32, class: usize, end: u32, now: Duration) {
        self.number_from(number);
        let class = class.min(CLASSES - 1);
        let found = Segment {
            state: State::Sealed,
            class,
            end,
            synced: end,
            live: 0,
            used: now,
        };
        self.all.insert(number, found);
    }

    /// How many more may be begun.
    pub fn free(&self) -> usize {
        self.most.saturating_sub(self.all.len())
    }

    /// The open segment of a class if it takes so many bytes more, and where they go.
    pub fn place(&self, class: usize, length: usize) -> Option<(u32, u32)> {
        let number = self.open[class]?;
        let segment = self.all.get(&number)?;
        (u64::from(segment.end) + length as u64 <= u64::from(self.size))
            .then_some((number, segment.end))
    }

    pub fn open(&self, class: usize) -> Option<u32> {
        self.open[class]
    }

    /// Begins a segment of a class. None: there may be no more, or numbers have run out.
    pub fn begin(&mut self, class: usize, head: u32, now: Duration) -> Option<u32> {
        let (number, next) = (self.next, self.next.checked_add(1)?);
        if self.free() == 0 {
            return None;
        }
        self.next = next;
        let (state, end) = (State::Open, head);
        self.all.insert(
            number,
            Segment {
                state,
                class,
                end,
                synced: 0,
                live: 0,
                used: now,
            },
        );
        self.open[class] = Some(number);
        Some(number)
    }

    pub fn wrote(&mut self, segment: u32, length: usize, now: Duration) {
        if let Some(segment) = self.all.get_mut(&segment) {
            segment.end += length as u32;
            segment.used = now;
        }
    }

    pub fn synced(&mut self, segment: u32, up_to: u32) {
        if let Some(segment) = self.all.get_mut(&segment) {
            segment.synced = segment.synced.max(up_to);
        }
    }

    /// From here on it is not written to.
    pub fn set(&mut self, segment: u32, state: State) {
        if let Some(found) = self.all.get_mut(&segment) {
            found.state = state;
            let open = &mut self.open[found.class];
            if *open == Some(segment) && state != State::Open {
                *open = None;
            }
        }
    }

    pub fn used(&mut self, segment: u32, now: Duration) {
        self.all
            .get_mut(&segment)
            .into_iter()
            .for_each(|s| s.used = now);
    }

    /// The index leads to so many bytes more in it.
    pub fn add(&mut self, segment: u32, bytes: u32) {
        self.all
            .get_mut(&segment)
            .into_iter()
            .for_each(|s| s.live += u64::from(bytes));
    }

    pub fn take(&mut self, segment: u32, bytes: u32) {
        if let Some(segment) = self.all.get_mut(&segment) {
            debug_assert!(
                segment.live >= u64::from(bytes),
                "more taken than there was"
            );
            segment.live = segment.live.saturating_sub(u64::from(bytes));
        }
    }

    pub fn removed(&mut self, segment: u32) {
        self.all.remove(&segment);
    }

    /// Which goes next: one that failed, else the sealed one whose bytes are worth least.
    pub fn victim(&self, now: Duration) -> Option<u32> {
        let worth = |s: &Segment| {
            if s.state == State::Failed {
                -1.0
            } else {
                s.worth(now)
            }
        };
        let may_go = |s: &&Segment| matches!(s.state, State::Sealed | State::Failed);
        let victims = self.all.iter().filter(|(_, s)| may_go(s));
        victims
            .min_by(|(_, a), (_, b)| worth(a).total_cmp(&worth(b)))
            .map(|(number, _)| *number)
    }
}

#[cfg(test)]
mod tests;
