//! What memory is taken, counted at the allocator.

use bytes::Bytes;
use chalkhall_store::copy::Copy;
use chalkhall_store::decide::index::{Index, Spot};
use chalkhall_store::decide::memory::Memory;
use std::alloc::{GlobalAlloc, Layout, System};
use std::rc::Rc;
use std::sync::atomic::{AtomicI64, Ordering};

pub struct Counted;

static TAKEN: AtomicI64 = AtomicI64::new(0);

/// What an allocator of the usual kind takes for a piece: its size and a word, in steps of two words.
fn takes(layout: Layout) -> i64 {
    (layout.size() + 8).next_multiple_of(16) as i64
}

// Safety: everything is handed on to the system's allocator as it came.
unsafe impl GlobalAlloc for Counted {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        TAKEN.fetch_add(takes(layout), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        TAKEN.fetch_sub(takes(layout), Ordering::Relaxed);
        unsafe { System.dealloc(pointer, layout) }
    }
}

/// Bytes taken by a memory tier full of copies of mixed sizes, over what it says that it holds.
pub fn memory_ratio() -> f64 {
    let mut chance = fastrand::Rng::with_seed(12);
    let mut memory = Memory::new(64 << 20);
    let before = TAKEN.load(Ordering::Relaxed);
    for key in 0..60_000u64 {
        let text = || Bytes::copy_from_slice(b"4be0c1927d55a6f3");
        let body = Bytes::copy_from_slice(&vec![7; chance.usize(..4000)]);
        let copy = Copy {
            object: text(),
            tag: text(),
            body,
            ..Copy::default()
        };
        memory.keep(key, Rc::new(copy), 1 + chance.u8(..3), &mut |_, _| {});
    }
    (TAKEN.load(Ordering::Relaxed) - before) as f64 / memory.bytes() as f64
}

/// The most bytes a part that an index of up to so many parts takes, from a tenth of them on.
pub fn index_bytes_a_part(parts: u64) -> f64 {
    let mut chance = fastrand::Rng::with_seed(11);
    let (made, group) = (1_800_000_000_000, 3);
    let (length, tag) = (4096, 9);
    let before = TAKEN.load(Ordering::Relaxed);
    let (mut index, mut worst) = (Index::new(u64::MAX), 0.0f64);
    for n in 0..parts {
        let (segment, at) = (n as u32 >> 10, (n as u32 & 1023) * length);
        let spot = Spot {
            segment,
            at,
            length,
            tag,
            made,
            group,
            rank: 2,
            heat: 0,
            proven: true,
        };
        let _ = index.put(chance.u64(..), &spot);
        if n > parts / 10 && n.is_multiple_of(997) {
            let taken = TAKEN.load(Ordering::Relaxed) - before;
            worst = worst.max(taken as f64 / index.len() as f64);
        }
    }
    worst
}
