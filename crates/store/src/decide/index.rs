//! Where each part lies on disk: a table in memory of 32 bytes a part and little more.
//!
//! Linear hashing (Litwin, "Linear hashing: a new tool for file and table addressing", VLDB 1980): buckets
//! are split one by one as parts come, so the table never doubles at once, neither in bytes nor in time. A
//! bucket is a row of entries with hardly any room to spare.

use crate::key::Key;

/// Entries a bucket holds on average before the next one is split, and by how many a bucket's room grows.
const FULL: usize = 32;
const STEP: usize = 4;
/// What a bucket takes beside its entries: its row's head, and what the allocator adds to a row.
const BUCKET: u64 = 24 + 16;
const ENTRY: u64 = std::mem::size_of::<Packed>() as u64;

/// One part on disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Spot {
    pub segment: u32,
    pub at: u32,
    /// Of the record.
    pub length: u32,
    /// A short sum of its tag.
    pub tag: u32,
    /// Unix milliseconds; 48 bits are kept.
    pub made: u64,
    /// Slot of its group; below 1024.
    pub group: u16,
    /// 1 to 3.
    pub rank: u8,
    /// How often it was read lately, up to 3.
    pub heat: u8,
    /// It is known that no purge was missed that would concern it.
    pub proven: bool,
}

#[derive(Clone, Copy)]
struct Packed {
    key: Key,
    /// made: 48 bits, group: 10, rank: 2, heat: 2, proven: 1.
    facts: u64,
    segment: u32,
    at: u32,
    length: u32,
    tag: u32,
}

const MADE: u64 = (1 << 48) - 1;

impl Packed {
    fn new(key: Key, spot: &Spot) -> Packed {
        let facts = spot.made.min(MADE)
            | u64::from(spot.group & 1023) << 48
            | u64::from(spot.rank.min(3)) << 58
            | u64::from(spot.heat.min(3)) << 60
            | u64::from(spot.proven) << 62;
        Packed {
            key,
            facts,
            segment: spot.segment,
            at: spot.at,
            length: spot.length,
            tag: spot.tag,
        }
    }

    fn spot(&self) -> Spot {
        Spot {
            segment: self.segment,
            at: self.at,
            length: self.length,
            tag: self.tag,
            made: self.facts & MADE,
            group: (self.facts >> 48 & 1023) as u16,
            rank: (self.facts >> 58 & 3) as u8,
            heat: (self.facts >> 60 & 3) as u8,
            proven: self.facts >> 62 & 1 == 1,
        }
    }
}

/// The table is as large as it may get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoRoom;

pub struct Index {
    buckets: Vec<Vec<Packed>>,
    parts: usize,
    /// Entries for which there is room in all rows.
    room: usize,
    most: u64,
}

impl Index {
    /// Holds so many bytes at the most, its own overhead counted.
    pub fn new(most: u64) -> Index {
        Index {
            buckets: vec![Vec::new()],
            parts: 0,
            room: 0,
            most,
        }
    }

    pub fn len(&self) -> usize {
        self.parts
    }

    pub fn is_empty(&self) -> bool {
        self.parts == 0
    }

    /// The bytes that it takes.
    pub fn bytes(&self) -> u64 {
        self.room as u64 * ENTRY
            + self.buckets.len() as u64 * BUCKET
            + (self.buckets.capacity() - self.buckets.len()) as u64 * 24
    }

    /// One more part may need a row to grow and the next bucket to be split.
    pub fn is_full(&self) -> bool {
        self.bytes() + (STEP * 2) as u64 * ENTRY + BUCKET + 8192 * 24 > self.most
    }

    /// How many parts fit, about.
    pub fn parts_most(most: u64) -> u64 {
        most.saturating_sub(8192 * 24) / (ENTRY + 6)
    }

    fn bucket(&self, key: Key) -> usize {
        let (n, level) = (self.buckets.len(), self.buckets.len().next_power_of_two());
        // The low bits choose; where the bucket of the next level is not there yet, one bit fewer does.
        let at = (key as usize) & (level - 1);
        if at < n { at } else { at & (level / 2 - 1) }
    }

    pub fn get(&self, key: Key) -> Option<Spot> {
        self.buckets[self.bucket(key)]
            .iter()
            .find(|e| e.key == key)
            .map(Packed::spot)
    }

    /// Puts a part in place of an older copy, which is returned.
    pub fn put(&mut self, key: Key, spot: &Spot) -> Result<Option<Spot>, NoRoom> {
        let at = self.bucket(key);
        if let Some(entry) = self.buckets[at].iter_mut().find(|e| e.key == key) {
            let old = entry.spot();
            *entry = Packed::new(key, spot);
            return Ok(Some(old));
        }
        if self.is_full() {
            return Err(NoRoom);
        }
        self.push(at, Packed::new(key, spot));
        self.parts += 1;
        if self.parts > self.buckets.len() * FULL {
            self.split();
        }
        Ok(None)
    }

    fn push(&mut self, at: usize, entry: Packed) {
        let row = &mut self.buckets[at];
        if row.len() == row.capacity() {
            let before = row.capacity();
            row.reserve_exact(STEP);
            self.room += row.capacity() - before;
        }
        row.push(entry);
    }

    /// Splits the bucket whose turn it is: its entries have one bit more to choose by.
    fn split(&mut self) {
        if self.buckets.len() == self.buckets.capacity() {
            self.buckets
                .reserve_exact((self.buckets.len() / 16).clamp(64, 8192));
        }
        let n = self.buckets.len();
        let from = n - n.next_power_of_two() / if n.is_power_of_two() { 1 } else { 2 };
        self.buckets.push(Vec::new());
        let row = std::mem::take(&mut self.buckets[from]);
        self.room -= row.capacity();
        for entry in row {
            let at = self.bucket(entry.key);
            self.push(at, entry);
        }
    }

    /// Changes what is known of a part; not where it lies.
    pub fn change(&mut self, key: Key, change: impl FnOnce(&mut Spot)) {
        let at = self.bucket(key);
        if let Some(entry) = self.buckets[at].iter_mut().find(|e| e.key == key) {
            let mut spot = entry.spot();
            change(&mut spot);
            *entry = Packed::new(key, &spot);
        }
    }

    pub fn remove(&mut self, key: Key) -> Option<Spot> {
        let at = self.bucket(key);
        let row = &mut self.buckets[at];
        let entry = row.iter().position(|e| e.key == key)?;
        let gone = row.swap_remove(entry);
        self.parts -= 1;
        // Room that many removals left is given back.
        if row.capacity() >= row.len() + 4 * STEP {
            let before = row.capacity();
            row.shrink_to(row.len() + STEP);
            self.room -= before - row.capacity();
        }
        Some(gone.spot())
    }

    /// All parts; the order tells nothing.
    pub fn iter(&self) -> impl Iterator<Item = (Key, Spot)> {
        self.buckets.iter().flatten().map(|e| (e.key, e.spot()))
    }

    /// The parts of some buckets from the `from`th on, and where to go on; none: that was the end.
    pub fn some(
        &self,
        from: usize,
        buckets: usize,
    ) -> (impl Iterator<Item = (Key, Spot)>, Option<usize>) {
        let (from, end) = (
            from.min(self.buckets.len()),
            (from + buckets).min(self.buckets.len()),
        );
        let found = self.buckets[from..end]
            .iter()
            .flatten()
            .map(|e| (e.key, e.spot()));
        (found, (end < self.buckets.len()).then_some(end))
    }
}

#[cfg(test)]
mod tests;
