use super::*;
use bytes::Bytes;

fn copy(bytes: usize) -> Rc<Copy> {
    Rc::new(Copy {
        body: Bytes::from(vec![1; bytes]),
        ..Copy::default()
    })
}

fn keep(memory: &mut Memory, key: Key, bytes: usize, rank: u8) -> (bool, usize) {
    let mut evicted = 0;
    let kept = memory.insert(key, copy(bytes), rank, &mut |_, _| evicted += 1);
    (kept, evicted)
}

#[test]
fn lower_ranks_are_evicted_first_and_never_for_a_lower_rank() {
    let mut memory = Memory::new(4 * (1000 + ENTRY_OVERHEAD_BYTES));
    for (key, rank) in [(1, 3), (2, 1), (3, 2), (4, 1)] {
        assert_eq!(keep(&mut memory, key, 1000, rank), (true, 0));
    }
    assert!(memory.get(2).is_some(), "used last");
    assert_eq!(keep(&mut memory, 5, 1000, 2), (true, 1));
    assert!(memory.peek(4).is_none() && memory.peek(2).is_some());
    assert_eq!(
        keep(&mut memory, 6, 1000, 1),
        (true, 1),
        "replaces a copy of its own rank"
    );
    assert!(memory.peek(2).is_none());
    assert_eq!(
        keep(&mut memory, 7, 2500, 1),
        (false, 0),
        "needs the room of two copies of rank 1, there is one"
    );
    assert!(
        memory.peek(6).is_some(),
        "a copy that does not fit evicts nothing"
    );
    assert_eq!(keep(&mut memory, 8, 10_000, 3), (false, 0));
    assert_eq!(memory.len(), 4);
    memory.set_rank(6, 3);
    assert_eq!(keep(&mut memory, 9, 1000, 2), (true, 1));
    assert!(memory.peek(6).is_some(), "its rank was raised");
}

#[test]
fn a_newer_copy_replaces_the_older_one_and_bytes_are_counted() {
    let mut memory = Memory::new(1 << 20);
    keep(&mut memory, 1, 5000, 2);
    keep(&mut memory, 1, 2000, 1);
    assert_eq!(
        (memory.len(), memory.bytes()),
        (1, 2000 + ENTRY_OVERHEAD_BYTES)
    );
    memory.remove(1);
    assert_eq!((memory.len(), memory.bytes()), (0, 0));
}

#[test]
fn shrinking_evicts_the_lowest_rank_first() {
    let mut memory = Memory::new(1 << 20);
    for key in 0..30 {
        keep(&mut memory, key, 1000, 1 + (key % 3) as u8);
    }
    let mut evicted = Vec::new();
    memory.evict_to(15 * (1000 + ENTRY_OVERHEAD_BYTES), &mut |_, rank| {
        evicted.push(rank)
    });
    assert_eq!(evicted, [vec![1; 10], vec![2; 5]].concat());
    memory.set_limit(0, &mut |_, _| {});
    assert!(memory.is_empty() && memory.bytes() == 0);
}
