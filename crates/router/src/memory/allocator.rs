//! A global allocator that counts what is allocated, and the set-up of the allocator behind it.
//!
//! The system counts the pages of a process, not its allocations. Two measures keep them close to
//! one another: large allocations are mappings of their own, whose pages are returned as they are
//! freed; and pages between small allocations are returned once enough have been freed.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};

/// Allocations of this size and above are mappings of their own. Bodies of large objects are
/// above.
const MAPPING_THRESHOLD_BYTES: usize = 64 * 1024;
/// Freed memory at the end of the heap is returned beyond this size.
const TRIM_THRESHOLD_BYTES: usize = 512 * 1024;
/// The header of an allocation, and its alignment.
const HEADER_BYTES: usize = 8;
const ALIGNMENT_BYTES: usize = 16;
const MIN_ALLOCATION_BYTES: usize = 32;
/// Mappings consist of whole pages.
const PAGE_BYTES: usize = 4096;

/// The bytes of all allocations.
static ALLOCATED_BYTES: AtomicUsize = AtomicUsize::new(0);
/// The bytes of small allocations, and their maximum since pages were last returned.
static SMALL_BYTES: AtomicUsize = AtomicUsize::new(0);
static PEAK_SMALL_BYTES: AtomicUsize = AtomicUsize::new(0);

/// The system's allocator, with a count of the bytes that it has allocated. A program that limits
/// its memory installs it as the global allocator.
pub struct CountingAllocator;

/// The bytes that the allocator takes for an allocation of this size.
const fn taken_bytes(size: usize) -> usize {
    if size >= MAPPING_THRESHOLD_BYTES {
        return (size + 2 * HEADER_BYTES).next_multiple_of(PAGE_BYTES);
    }
    let with_header = (size + HEADER_BYTES).next_multiple_of(ALIGNMENT_BYTES);
    if with_header > MIN_ALLOCATION_BYTES {
        with_header
    } else {
        MIN_ALLOCATION_BYTES
    }
}

fn count_allocation(size: usize) {
    let bytes = taken_bytes(size);
    ALLOCATED_BYTES.fetch_add(bytes, Relaxed);
    if size < MAPPING_THRESHOLD_BYTES {
        let small_bytes = SMALL_BYTES.fetch_add(bytes, Relaxed) + bytes;
        if small_bytes > PEAK_SMALL_BYTES.load(Relaxed) {
            PEAK_SMALL_BYTES.store(small_bytes, Relaxed);
        }
    }
}

fn count_deallocation(size: usize) {
    let bytes = taken_bytes(size);
    ALLOCATED_BYTES.fetch_sub(bytes, Relaxed);
    if size < MAPPING_THRESHOLD_BYTES {
        SMALL_BYTES.fetch_sub(bytes, Relaxed);
    }
}

// SAFETY: every call is forwarded unchanged to the system's allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        count_allocation(layout.size());
        unsafe { System.alloc(layout) }
    }

    unsafe fn alloc_zeroed(&self, layout: Layout) -> *mut u8 {
        count_allocation(layout.size());
        unsafe { System.alloc_zeroed(layout) }
    }

    unsafe fn realloc(&self, pointer: *mut u8, layout: Layout, new_size: usize) -> *mut u8 {
        count_deallocation(layout.size());
        count_allocation(new_size);
        unsafe { System.realloc(pointer, layout, new_size) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        count_deallocation(layout.size());
        unsafe { System.dealloc(pointer, layout) }
    }
}

/// The bytes that are allocated now; 0 if [`CountingAllocator`] is not installed.
pub fn allocated_bytes() -> usize {
    ALLOCATED_BYTES.load(Relaxed)
}

/// Returns freed pages to the system if small allocations have fallen by more than `slack_bytes`
/// since the last time. Otherwise the pages of an earlier peak would remain in memory beside all
/// that is allocated later.
pub fn release_freed_pages(slack_bytes: usize) {
    let small_bytes = SMALL_BYTES.load(Relaxed);
    if PEAK_SMALL_BYTES.load(Relaxed).saturating_sub(small_bytes) <= slack_bytes {
        return;
    }
    PEAK_SMALL_BYTES.store(small_bytes, Relaxed);
    trim_heap();
}

/// Sets up the system's allocator, before any thread is started.
#[cfg(target_env = "gnu")]
pub fn configure_heap() {
    // SAFETY: `mallopt` sets parameters of the allocator, and is called before threads are started.
    unsafe {
        libc::mallopt(
            libc::M_MMAP_THRESHOLD,
            MAPPING_THRESHOLD_BYTES as libc::c_int,
        );
        libc::mallopt(libc::M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES as libc::c_int);
        libc::mallopt(libc::M_ARENA_MAX, 1);
    }
}

#[cfg(target_env = "gnu")]
fn trim_heap() {
    // SAFETY: `malloc_trim` may be called at any time.
    unsafe {
        libc::malloc_trim(0);
    }
}

/// Other C libraries have no such parameters.
#[cfg(not(target_env = "gnu"))]
pub fn configure_heap() {}

#[cfg(not(target_env = "gnu"))]
fn trim_heap() {}

#[cfg(test)]
mod tests;
