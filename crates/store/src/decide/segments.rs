//! The segments of a store: which are written to, and which is reclaimed next.

use std::collections::BTreeMap;
use std::time::Duration;

/// Records are grouped by size: a burst of large records that are not requested again fills segments of its
/// own, and is reclaimed with them.
pub const SIZE_CLASSES: usize = 4;
const SIZE_CLASS_LIMITS: [usize; SIZE_CLASSES - 1] = [8 << 10, 32 << 10, 128 << 10];
/// A segment's value halves with each such interval since it was last read or written.
const VALUE_HALF_LIFE: Duration = Duration::from_secs(600);

pub fn size_class(record: usize) -> usize {
    SIZE_CLASS_LIMITS
        .iter()
        .position(|end| record <= *end)
        .unwrap_or(SIZE_CLASSES - 1)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Records are appended to it.
    Open,
    /// Its footer is being written.
    Sealing,
    Sealed,
    /// A write or sync failed: nothing more is appended, and it is reclaimed first.
    Failed,
    /// Records worth keeping are being carried over; then it is removed.
    Reclaiming,
    Removing,
}

#[derive(Clone, Debug)]
pub struct Segment {
    pub state: State,
    /// Its size class.
    pub class: usize,
    /// The offset of the next record.
    pub end: u32,
    /// The offset up to which records are known to be durable.
    pub synced_up_to: u32,
    /// Bytes of records that the index refers to.
    live_bytes: u64,
    last_used: Duration,
}

impl Segment {
    pub fn live_bytes(&self) -> u64 {
        self.live_bytes
    }

    /// The value of keeping a byte of it. Ranks are not included: they decide what is written and what is
    /// carried over, and counting them here again lowered the byte hit ratio (docs/store.md).
    fn value(&self, now: Duration) -> f64 {
        let idle = now.saturating_sub(self.last_used).as_secs_f64() / VALUE_HALF_LIFE.as_secs_f64();
        self.live_bytes as f64 / f64::from(self.end.max(1)) * (-idle).exp2()
    }
}

/// All segments of a store, by number. Numbers are never reused, so bytes of an earlier segment never verify
/// as those of a later one.
pub struct Segments {
    all: BTreeMap<u32, Segment>,
    open: [Option<u32>; SIZE_CLASSES],
    next: u32,
    /// The maximum length of a segment, and the maximum number of segments.
    pub segment_size: u32,
    pub max_segments: usize,
}

impl Segments {
    pub fn new(segment_size: u32, max_segments: usize) -> Segments {
        Segments {
            all: BTreeMap::new(),
            open: [None; SIZE_CLASSES],
            next: 1,
            segment_size,
            max_segments,
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

    /// Bytes of all segments, and of the records in them that the index refers to.
    pub fn bytes(&self) -> (u64, u64) {
        self.all.values().fold((0, 0), |(all, live), s| {
            (all + u64::from(s.end), live + s.live_bytes)
        })
    }

    /// New segments get numbers after `last`.
    pub fn reserve_numbers_up_to(&mut self, last: u32) {
        self.next = self.next.max(last.saturating_add(1));
    }

    /// Adds a segment that an earlier run wrote, before its records are indexed.
    pub fn add_recovered(&mut self, number: u32, class: usize, end: u32, now: Duration) {
        self.reserve_numbers_up_to(number);
        let class = class.min(SIZE_CLASSES - 1);
        let found = Segment {
            state: State::Sealed,
            class,
            end,
            synced_up_to: end,
            live_bytes: 0,
            last_used: now,
        };
        self.all.insert(number, found);
    }

    /// How many more segments can be opened.
    pub fn free(&self) -> usize {
        self.max_segments.saturating_sub(self.all.len())
    }

    /// The open segment of a size class and the offset of its next record, if `length` more bytes fit.
    pub fn append_position(&self, class: usize, length: usize) -> Option<(u32, u32)> {
        let number = self.open[class]?;
        let segment = self.all.get(&number)?;
        (u64::from(segment.end) + length as u64 <= u64::from(self.segment_size))
            .then_some((number, segment.end))
    }

    pub fn open(&self, class: usize) -> Option<u32> {
        self.open[class]
    }

    /// Opens a new segment of a size class. `None` if no more are allowed or the numbers have run out.
    pub fn open_new(&mut self, class: usize, head: u32, now: Duration) -> Option<u32> {
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
                synced_up_to: 0,
                live_bytes: 0,
                last_used: now,
            },
        );
        self.open[class] = Some(number);
        Some(number)
    }

    pub fn record_append(&mut self, segment: u32, length: usize, now: Duration) {
        if let Some(segment) = self.all.get_mut(&segment) {
            segment.end += length as u32;
            segment.last_used = now;
        }
    }

    pub fn record_sync(&mut self, segment: u32, up_to: u32) {
        if let Some(segment) = self.all.get_mut(&segment) {
            segment.synced_up_to = segment.synced_up_to.max(up_to);
        }
    }

    /// Changes a segment's state; in any state but `Open` it takes no more records.
    pub fn set_state(&mut self, segment: u32, state: State) {
        if let Some(found) = self.all.get_mut(&segment) {
            found.state = state;
            let open = &mut self.open[found.class];
            if *open == Some(segment) && state != State::Open {
                *open = None;
            }
        }
    }

    pub fn touch(&mut self, segment: u32, now: Duration) {
        self.all
            .get_mut(&segment)
            .into_iter()
            .for_each(|s| s.last_used = now);
    }

    /// Counts bytes that the index now refers to.
    pub fn add_live_bytes(&mut self, segment: u32, bytes: u32) {
        self.all
            .get_mut(&segment)
            .into_iter()
            .for_each(|s| s.live_bytes += u64::from(bytes));
    }

    pub fn subtract_live_bytes(&mut self, segment: u32, bytes: u32) {
        if let Some(segment) = self.all.get_mut(&segment) {
            debug_assert!(
                segment.live_bytes >= u64::from(bytes),
                "more bytes subtracted than are live"
            );
            segment.live_bytes = segment.live_bytes.saturating_sub(u64::from(bytes));
        }
    }

    pub fn remove_segment(&mut self, segment: u32) {
        self.all.remove(&segment);
    }

    /// The segment to reclaim next: a failed one, otherwise the sealed one with the least value.
    pub fn select_victim(&self, now: Duration) -> Option<u32> {
        let value = |s: &Segment| {
            if s.state == State::Failed {
                -1.0
            } else {
                s.value(now)
            }
        };
        let is_reclaimable = |s: &&Segment| matches!(s.state, State::Sealed | State::Failed);
        let candidates = self.all.iter().filter(|(_, s)| is_reclaimable(s));
        candidates
            .min_by(|(_, a), (_, b)| value(a).total_cmp(&value(b)))
            .map(|(number, _)| *number)
    }
}

#[cfg(test)]
mod tests;
