use super::*;

#[test]
fn allocations_count_with_the_overhead_of_the_allocator() {
    assert_eq!(taken_bytes(1), MIN_ALLOCATION_BYTES);
    assert_eq!(taken_bytes(100), 112);
    assert_eq!(taken_bytes(240_000), 59 * PAGE_BYTES);
}

#[test]
fn what_is_allocated_and_freed_leaves_the_count_as_it_was() {
    // Other tests do not count: the allocator is not installed in them.
    let layout = Layout::from_size_align(1000, 8).unwrap();
    let large = Layout::from_size_align(200_000, 8).unwrap();
    let before = allocated_bytes();
    // SAFETY: each allocation is freed once, with the layout of its last size.
    unsafe {
        let pointer = CountingAllocator.alloc(layout);
        assert_eq!(allocated_bytes() - before, taken_bytes(1000));
        let pointer = CountingAllocator.realloc(pointer, layout, 200_000);
        assert_eq!(allocated_bytes() - before, taken_bytes(200_000));
        CountingAllocator.dealloc(pointer, large);
    }
    assert_eq!(allocated_bytes(), before);
}
