use super::*;
use proptest::prelude::*;

#[test]
fn values_are_parsed() {
    assert_eq!(bytes("64MB"), Ok(64_000_000));
    assert_eq!(bytes("1.5GiB"), Ok(3 << 29));
    assert_eq!(bytes("4096"), Ok(4096));
    assert_eq!(amount("25%").map(|a| a.of(200)), Ok(50));
    assert_eq!(duration("1m30s"), Ok(Duration::from_secs(90)));
    assert_eq!(duration("0"), Ok(Duration::ZERO));
    for invalid in ["", "x", "-1", "12 parsecs", "99999999999999999EB"] {
        assert!(
            bytes(invalid).is_err() && duration(invalid).is_err() && share(invalid).is_err(),
            "{invalid}"
        );
    }
    assert!(share("101%").is_err() && integer("0", 1, 9).is_err());
}

proptest! {
    #[test]
    fn any_word_is_parsed_or_refused(word in any::<String>()) {
        let _ = (bytes(&word), amount(&word), duration(&word), share(&word), integer(&word, 1, 9));
    }
}
