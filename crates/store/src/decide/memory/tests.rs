use super::*;
use bytes::Bytes;

fn copy(bytes: usize) -> Rc<Copy> {
    Rc::new(Copy {
        body: Bytes::from(vec![1; bytes]),
        ..Copy::default()
    })
}

fn keep(memory: &mut Memory, key: Key, bytes: usize, rank: u8) -> (bool, usize) {
    let mut left = 0;
    let kept = memory.keep(key, copy(bytes), rank, &mut |_, _| left += 1);
    (kept, left)
}

#[test]
fn low_ranks_leave_first_and_never_for_a_lower_one() {
    let mut memory = Memory::new(4 * (1000 + ENTRY));
    for (key, rank) in [(1, 3), (2, 1), (3, 2), (4, 1)] {
        assert_eq!(keep(&mut memory, key, 1000, rank), (true, 0));
    }
    assert!(memory.take(2).is_some(), "used last");
    assert_eq!(keep(&mut memory, 5, 1000, 2), (true, 1));
    assert!(memory.peek(4).is_none() && memory.peek(2).is_some());
    assert_eq!(
        keep(&mut memory, 6, 1000, 1),
        (true, 1),
        "in place of its own rank"
    );
    assert!(memory.peek(2).is_none());
    assert_eq!(
        keep(&mut memory, 7, 2500, 1),
        (false, 0),
        "two of rank 1 would have to go, there is one"
    );
    assert!(
        memory.peek(6).is_some(),
        "what finds no place pushes nothing out"
    );
    assert_eq!(keep(&mut memory, 8, 10_000, 3), (false, 0));
    assert_eq!(memory.len(), 4);
    memory.rank(6, 3);
    assert_eq!(keep(&mut memory, 9, 1000, 2), (true, 1));
    assert!(memory.peek(6).is_some(), "its rank was set anew");
}

#[test]
fn a_copy_takes_the_place_of_the_older_one_and_all_is_counted() {
    let mut memory = Memory::new(1 << 20);
    keep(&mut memory, 1, 5000, 2);
    keep(&mut memory, 1, 2000, 1);
    assert_eq!((memory.len(), memory.bytes()), (1, 2000 + ENTRY));
    memory.drop(1);
    assert_eq!((memory.len(), memory.bytes()), (0, 0));
}

#[test]
fn it_gives_way_lowest_rank_first() {
    let mut memory = Memory::new(1 << 20);
    for key in 0..30 {
        keep(&mut memory, key, 1000, 1 + (key % 3) as u8);
    }
    let mut left = Vec::new();
    memory.shrink(15 * (1000 + ENTRY), &mut |_, rank| left.push(rank));
    assert_eq!(left, [vec![1; 10], vec![2; 5]].concat());
    memory.bound(0, &mut |_, _| {});
    assert!(memory.is_empty() && memory.bytes() == 0);
}
