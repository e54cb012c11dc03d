use super::*;

#[test]
fn who_never_asked_goes_first_but_the_newest_then_who_stood_idle_longest() {
    let (says, _words) = mpsc::channel(8);
    let mut places = Places::default();
    let mut taken: Vec<Place> = (0..4 + NEWEST).map(|_| places.take(says.clone())).collect();
    let say = |places: &mut Places, at: usize, idle| {
        places.note(Word { number: taken[at].number, idle, asked: true });
    };
    say(&mut places, 0, false);
    say(&mut places, 1, false);
    say(&mut places, 1, true);
    say(&mut places, 0, true);
    say(&mut places, 2, false);
    let mut left = Vec::new();
    for _ in 0..4 {
        places.make_room();
        left.extend((0..taken.len()).filter(|at| taken[*at].leave.try_recv().is_ok()));
    }
    assert_eq!(left, [3, 1, 0, 4], "the newest only when nobody else is idle");
    assert_eq!(places.staying(), NEWEST, "who has something open stays");
    // Words that crossed ours make nobody else go.
    for idle in [false, true] {
        places.note(Word { number: taken[1].number, idle, asked: true });
        assert_eq!(places.staying(), NEWEST);
    }
    taken.iter().for_each(|place| places.gone(place.number));
    assert_eq!((places.held.len(), places.idle[0].len(), places.idle[1].len()), (0, 0, 0));
    assert_eq!(places.leaving, 0);
}
