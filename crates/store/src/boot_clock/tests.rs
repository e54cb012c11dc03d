use super::*;

#[test]
fn two_consecutive_readings_show_no_step() {
    let (first, second) = (
        BootClock::read().expect("readable"),
        BootClock::read().expect("readable"),
    );
    assert_eq!(first.boot, second.boot);
    assert!(!second.has_stepped_since(first), "{first:?} {second:?}");
}

#[test]
fn a_step_in_either_direction_is_detected_within_one_boot_only() {
    let earlier = BootClock {
        boot: 1,
        unix_at_boot_ms: 1_800_000_000_000,
    };
    for step in [-3_600_000i64, -1000, 1000, 3_600_000] {
        let unix_at_boot_ms = earlier.unix_at_boot_ms.saturating_add_signed(step);
        assert!(
            BootClock {
                unix_at_boot_ms,
                ..earlier
            }
            .has_stepped_since(earlier),
            "{step}"
        );
        assert!(
            !BootClock {
                boot: 2,
                unix_at_boot_ms
            }
            .has_stepped_since(earlier),
            "{step}"
        );
    }
}

#[test]
fn an_unreadable_uptime_is_none() {
    assert_eq!(
        parse_uptime("12.50 40.00\n"),
        Some(Duration::from_millis(12_500))
    );
    for text in ["", "x 1", "-1 2", "inf 1", "NaN"] {
        assert_eq!(parse_uptime(text), None, "{text}");
    }
}
