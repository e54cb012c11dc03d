//! The in-memory index of the parts on disk, at little more than 32 bytes per part.
//!
//! A linear hash table (Litwin, "Linear hashing: a new tool for file and table addressing", VLDB 1980): buckets
//! are split one by one as parts are added, so the table never grows, or stalls an insert, by a whole doubling.
//! A bucket is a vector of entries with little spare capacity.

use crate::key::Key;

/// The mean number of entries per bucket beyond which the next bucket is split.
const MEAN_BUCKET_ENTRIES: usize = 32;
/// The number of entries by which a bucket's capacity grows.
const BUCKET_GROWTH: usize = 4;
/// The memory of a bucket beside its entries: the vector itself and the allocator's overhead.
const BUCKET_OVERHEAD_BYTES: u64 = 24 + 16;
const ENTRY_BYTES: u64 = std::mem::size_of::<PackedEntry>() as u64;

/// The index entry of a part: its record on disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IndexEntry {
    pub segment: u32,
    pub offset: u32,
    /// The length of the record.
    pub length: u32,
    /// A hash of its entity tag.
    pub tag: u32,
    /// When the copy was made, in Unix milliseconds; 48 bits are stored.
    pub created_at_ms: u64,
    /// The slot of its group; below 1024.
    pub group: u16,
    /// The retention rank, from 1 to 3.
    pub rank: u8,
    /// The number of reads since it was written or recovered, up to 3.
    pub read_count: u8,
    /// Whether no purge that applies to it can have been missed.
    pub proven: bool,
}

#[derive(Clone, Copy)]
struct PackedEntry {
    key: Key,
    /// created_at_ms: 48 bits, group: 10, rank: 2, read_count: 2, proven: 1.
    metadata: u64,
    segment: u32,
    offset: u32,
    length: u32,
    tag: u32,
}

const CREATED_AT_MASK: u64 = (1 << 48) - 1;

impl PackedEntry {
    fn new(key: Key, index_entry: &IndexEntry) -> PackedEntry {
        let metadata = index_entry.created_at_ms.min(CREATED_AT_MASK)
            | u64::from(index_entry.group & 1023) << 48
            | u64::from(index_entry.rank.min(3)) << 58
            | u64::from(index_entry.read_count.min(3)) << 60
            | u64::from(index_entry.proven) << 62;
        PackedEntry {
            key,
            metadata,
            segment: index_entry.segment,
            offset: index_entry.offset,
            length: index_entry.length,
            tag: index_entry.tag,
        }
    }

    fn index_entry(&self) -> IndexEntry {
        IndexEntry {
            segment: self.segment,
            offset: self.offset,
            length: self.length,
            tag: self.tag,
            created_at_ms: self.metadata & CREATED_AT_MASK,
            group: (self.metadata >> 48 & 1023) as u16,
            rank: (self.metadata >> 58 & 3) as u8,
            read_count: (self.metadata >> 60 & 3) as u8,
            proven: self.metadata >> 62 & 1 == 1,
        }
    }
}

/// The index has reached its memory limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IndexFull;

pub struct Index {
    buckets: Vec<Vec<PackedEntry>>,
    parts: usize,
    /// The total capacity of all buckets, in entries.
    capacity_entries: usize,
    limit: u64,
}

impl Index {
    /// An index that takes at most `limit` bytes, including overhead.
    pub fn new(limit: u64) -> Index {
        Index {
            buckets: vec![Vec::new()],
            parts: 0,
            capacity_entries: 0,
            limit,
        }
    }

    pub fn len(&self) -> usize {
        self.parts
    }

    pub fn is_empty(&self) -> bool {
        self.parts == 0
    }

    /// The memory that it takes.
    pub fn bytes(&self) -> u64 {
        self.capacity_entries as u64 * ENTRY_BYTES
            + self.buckets.len() as u64 * BUCKET_OVERHEAD_BYTES
            + (self.buckets.capacity() - self.buckets.len()) as u64 * 24
    }

    /// Whether another part might exceed the limit: it may grow a bucket and split the next one.
    pub fn is_full(&self) -> bool {
        self.bytes() + (BUCKET_GROWTH * 2) as u64 * ENTRY_BYTES + BUCKET_OVERHEAD_BYTES + 8192 * 24
            > self.limit
    }

    /// The approximate number of parts that fit into `limit` bytes.
    pub fn max_parts(limit: u64) -> u64 {
        limit.saturating_sub(8192 * 24) / (ENTRY_BYTES + 6)
    }

    fn bucket(&self, key: Key) -> usize {
        let (n, level) = (self.buckets.len(), self.buckets.len().next_power_of_two());
        // The low bits select the bucket; if that bucket was not split off yet, one bit fewer is used.
        let bucket_index = (key as usize) & (level - 1);
        if bucket_index < n {
            bucket_index
        } else {
            bucket_index & (level / 2 - 1)
        }
    }

    pub fn get(&self, key: Key) -> Option<IndexEntry> {
        self.buckets[self.bucket(key)]
            .iter()
            .find(|e| e.key == key)
            .map(PackedEntry::index_entry)
    }

    /// Inserts or replaces the entry of a part, and returns the old entry.
    pub fn put(
        &mut self,
        key: Key,
        index_entry: &IndexEntry,
    ) -> Result<Option<IndexEntry>, IndexFull> {
        let bucket_index = self.bucket(key);
        if let Some(entry) = self.buckets[bucket_index].iter_mut().find(|e| e.key == key) {
            let old = entry.index_entry();
            *entry = PackedEntry::new(key, index_entry);
            return Ok(Some(old));
        }
        if self.is_full() {
            return Err(IndexFull);
        }
        self.push(bucket_index, PackedEntry::new(key, index_entry));
        self.parts += 1;
        if self.parts > self.buckets.len() * MEAN_BUCKET_ENTRIES {
            self.split();
        }
        Ok(None)
    }

    fn push(&mut self, bucket_index: usize, entry: PackedEntry) {
        let bucket = &mut self.buckets[bucket_index];
        if bucket.len() == bucket.capacity() {
            let before = bucket.capacity();
            bucket.reserve_exact(BUCKET_GROWTH);
            self.capacity_entries += bucket.capacity() - before;
        }
        bucket.push(entry);
    }

    /// Splits the next bucket in order: one more bit of the key divides its entries.
    fn split(&mut self) {
        if self.buckets.len() == self.buckets.capacity() {
            self.buckets
                .reserve_exact((self.buckets.len() / 16).clamp(64, 8192));
        }
        let n = self.buckets.len();
        let from = n - n.next_power_of_two() / if n.is_power_of_two() { 1 } else { 2 };
        self.buckets.push(Vec::new());
        let bucket = std::mem::take(&mut self.buckets[from]);
        self.capacity_entries -= bucket.capacity();
        for entry in bucket {
            let bucket_index = self.bucket(entry.key);
            self.push(bucket_index, entry);
        }
    }

    /// Updates the entry of a part, other than its position on disk.
    pub fn update(&mut self, key: Key, update: impl FnOnce(&mut IndexEntry)) {
        let bucket_index = self.bucket(key);
        if let Some(entry) = self.buckets[bucket_index].iter_mut().find(|e| e.key == key) {
            let mut index_entry = entry.index_entry();
            update(&mut index_entry);
            *entry = PackedEntry::new(key, &index_entry);
        }
    }

    pub fn remove(&mut self, key: Key) -> Option<IndexEntry> {
        let bucket_index = self.bucket(key);
        let bucket = &mut self.buckets[bucket_index];
        let entry = bucket.iter().position(|e| e.key == key)?;
        let removed = bucket.swap_remove(entry);
        self.parts -= 1;
        // Returns spare capacity after many removals.
        if bucket.capacity() >= bucket.len() + 4 * BUCKET_GROWTH {
            let before = bucket.capacity();
            bucket.shrink_to(bucket.len() + BUCKET_GROWTH);
            self.capacity_entries -= before - bucket.capacity();
        }
        Some(removed.index_entry())
    }

    /// All entries, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (Key, IndexEntry)> {
        self.buckets
            .iter()
            .flatten()
            .map(|e| (e.key, e.index_entry()))
    }

    /// The entries of `buckets` buckets, starting with bucket `from`, and the bucket to continue with; `None` at
    /// the end.
    pub fn buckets_from(
        &self,
        from: usize,
        buckets: usize,
    ) -> (impl Iterator<Item = (Key, IndexEntry)>, Option<usize>) {
        let (from, end) = (
            from.min(self.buckets.len()),
            (from + buckets).min(self.buckets.len()),
        );
        let found = self.buckets[from..end]
            .iter()
            .flatten()
            .map(|e| (e.key, e.index_entry()));
        (found, (end < self.buckets.len()).then_some(end))
    }
}

#[cfg(test)]
mod tests;
