//! Memory use, measured with a global allocator that counts.

use bytes::Bytes;
use chalkhall_store::copy::Copy;
use chalkhall_store::decide::index::{Index, IndexEntry};
use chalkhall_store::decide::memory::Memory;
use std::alloc::{GlobalAlloc, Layout, System};
use std::rc::Rc;
use std::sync::atomic::{AtomicI64, Ordering};

pub struct CountingAllocator;

static ALLOCATED_BYTES: AtomicI64 = AtomicI64::new(0);

/// Bytes that a typical allocator uses for an allocation: its size and an 8-byte header, in multiples of 16 bytes.
fn allocated_size(layout: Layout) -> i64 {
    (layout.size() + 8).next_multiple_of(16) as i64
}

// SAFETY: every call is forwarded unchanged to the system's allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED_BYTES.fetch_add(allocated_size(layout), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        ALLOCATED_BYTES.fetch_sub(allocated_size(layout), Ordering::Relaxed);
        unsafe { System.dealloc(pointer, layout) }
    }
}

/// Bytes allocated for a memory tier full of copies of mixed sizes, over the bytes that it accounts for.
pub fn memory_ratio() -> f64 {
    let mut rng = fastrand::Rng::with_seed(12);
    let mut memory = Memory::new(64 << 20);
    let before = ALLOCATED_BYTES.load(Ordering::Relaxed);
    for key in 0..60_000u64 {
        let token = || Bytes::copy_from_slice(b"4be0c1927d55a6f3");
        let body = Bytes::copy_from_slice(&vec![7; rng.usize(..4000)]);
        let copy = Copy {
            object: token(),
            etag: token(),
            body,
            ..Copy::default()
        };
        memory.insert(key, Rc::new(copy), 1 + rng.u8(..3), &mut |_, _| {});
    }
    (ALLOCATED_BYTES.load(Ordering::Relaxed) - before) as f64 / memory.bytes() as f64
}

/// The highest number of bytes per part that an index allocates while it grows to `parts` parts. The first tenth is
/// left out.
pub fn index_bytes_per_part(parts: u64) -> f64 {
    let mut rng = fastrand::Rng::with_seed(11);
    let (created_at_ms, group) = (1_800_000_000_000, 3);
    let (length, tag) = (4096, 9);
    let before = ALLOCATED_BYTES.load(Ordering::Relaxed);
    let (mut index, mut highest) = (Index::new(u64::MAX), 0.0f64);
    for n in 0..parts {
        let (segment, offset) = (n as u32 >> 10, (n as u32 & 1023) * length);
        let spot = IndexEntry {
            segment,
            offset,
            length,
            tag,
            created_at_ms,
            group,
            rank: 2,
            read_count: 0,
            proven: true,
        };
        let _ = index.put(rng.u64(..), &spot);
        if n > parts / 10 && n.is_multiple_of(997) {
            let allocated = ALLOCATED_BYTES.load(Ordering::Relaxed) - before;
            highest = highest.max(allocated as f64 / index.len() as f64);
        }
    }
    highest
}
