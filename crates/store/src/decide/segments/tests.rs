use super::*;

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Begins one, fills it, of which so many bytes are still led to, and seals it.
fn sealed(segments: &mut Segments, class: usize, live: u32, now: Duration) -> u32 {
    let number = segments.begin(class, 64, now).unwrap();
    segments.wrote(number, 1000, now);
    segments.add(number, live);
    segments.set(number, State::Sealed);
    number
}

#[test]
fn the_least_worth_goes_first() {
    let mut segments = Segments::new(1 << 20, 10);
    let full = sealed(&mut segments, 0, 900, s(0));
    let half = sealed(&mut segments, 3, 500, s(0));
    let empty = sealed(&mut segments, 1, 0, s(0));
    assert_eq!(segments.victim(s(1)), Some(empty));
    segments.removed(empty);
    assert_eq!(segments.victim(s(1)), Some(half));
    // What has not been read for an hour is worth less than what was read just now.
    segments.used(half, s(3600));
    assert_eq!(segments.victim(s(3600)), Some(full));
    let failed = sealed(&mut segments, 0, 1000, s(3600));
    segments.set(failed, State::Failed);
    assert_eq!(segments.victim(s(3600)), Some(failed));
}

#[test]
fn an_open_one_is_written_until_it_is_full_and_never_reclaimed() {
    let mut segments = Segments::new(4096, 2);
    segments.number_from(7);
    assert_eq!(segments.begin(2, 64, s(0)), Some(8));
    assert_eq!(segments.place(2, 4032), Some((8, 64)));
    segments.wrote(8, 4000, s(0));
    assert_eq!((segments.place(2, 100), segments.place(1, 8)), (None, None));
    assert_eq!(segments.victim(s(0)), None);
    segments.set(8, State::Sealing);
    assert_eq!(segments.begin(2, 64, s(0)), Some(9));
    assert_eq!(segments.begin(1, 64, s(0)), None, "no more than two");
    segments.set(8, State::Sealed);
    assert_eq!(
        (segments.victim(s(0)), segments.open(2)),
        (Some(8), Some(9))
    );
}
