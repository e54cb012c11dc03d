use super::*;

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Opens a segment, appends 1000 bytes of which `live` are live, and seals it.
fn sealed_segment(segments: &mut Segments, class: usize, live: u32, now: Duration) -> u32 {
    let number = segments.open_new(class, 64, now).unwrap();
    segments.record_append(number, 1000, now);
    segments.add_live_bytes(number, live);
    segments.set_state(number, State::Sealed);
    number
}

#[test]
fn the_least_valuable_segment_is_reclaimed_first() {
    let mut segments = Segments::new(1 << 20, 10);
    let full = sealed_segment(&mut segments, 0, 900, s(0));
    let half = sealed_segment(&mut segments, 3, 500, s(0));
    let empty = sealed_segment(&mut segments, 1, 0, s(0));
    assert_eq!(segments.select_victim(s(1)), Some(empty));
    segments.remove_segment(empty);
    assert_eq!(segments.select_victim(s(1)), Some(half));
    // A segment that was not read for an hour has less value than one that was just read.
    segments.touch(half, s(3600));
    assert_eq!(segments.select_victim(s(3600)), Some(full));
    let failed = sealed_segment(&mut segments, 0, 1000, s(3600));
    segments.set_state(failed, State::Failed);
    assert_eq!(segments.select_victim(s(3600)), Some(failed));
}

#[test]
fn an_open_segment_is_filled_and_never_reclaimed() {
    let mut segments = Segments::new(4096, 2);
    segments.reserve_numbers_up_to(7);
    assert_eq!(segments.open_new(2, 64, s(0)), Some(8));
    assert_eq!(segments.append_position(2, 4032), Some((8, 64)));
    segments.record_append(8, 4000, s(0));
    assert_eq!(
        (
            segments.append_position(2, 100),
            segments.append_position(1, 8)
        ),
        (None, None)
    );
    assert_eq!(segments.select_victim(s(0)), None);
    segments.set_state(8, State::Sealing);
    assert_eq!(segments.open_new(2, 64, s(0)), Some(9));
    assert_eq!(segments.open_new(1, 64, s(0)), None, "no more than two");
    segments.set_state(8, State::Sealed);
    assert_eq!(
        (segments.select_victim(s(0)), segments.open(2)),
        (Some(8), Some(9))
    );
}
