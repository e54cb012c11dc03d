use super::*;
use proptest::prelude::*;

#[test]
fn values_are_read_as_people_write_them() {
    assert_eq!(bytes("64MB"), Ok(64_000_000));
    assert_eq!(bytes("1.5GiB"), Ok(3 << 29));
    assert_eq!(bytes("4096"), Ok(4096));
    assert_eq!(amount("25%").map(|a| a.of(200)), Ok(50));
    assert_eq!(span("1m30s"), Ok(Duration::from_secs(90)));
    assert_eq!(span("0"), Ok(Duration::ZERO));
    for wrong in ["", "x", "-1", "12 parsecs", "99999999999999999EB"] {
        assert!(
            bytes(wrong).is_err() && span(wrong).is_err() && share(wrong).is_err(),
            "{wrong}"
        );
    }
    assert!(share("101%").is_err() && whole("0", 1, 9).is_err());
}

proptest! {
    #[test]
    fn nothing_written_can_break_them(word in any::<String>()) {
        let _ = (bytes(&word), amount(&word), span(&word), share(&word), whole(&word, 1, 9));
    }
}
