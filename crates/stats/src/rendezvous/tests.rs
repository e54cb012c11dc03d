use super::*;
use proptest::prelude::*;

fn least<'a>(places: &[(&'a str, f64)], key: &str) -> &'a str {
    let drawn = places
        .iter()
        .map(|(place, weight)| (draw(place, key, 0, *weight), *place));
    drawn.min_by(|a, b| a.0.total_cmp(&b.0)).expect("places").1
}

#[test]
fn each_takes_its_share() {
    let places = [("a", 1.0), ("b", 2.0), ("c", 5.0)];
    let of = |name| {
        (0..8000)
            .filter(|n| least(&places, &n.to_string()) == name)
            .count() as f64
            / 8000.0
    };
    for (name, weight) in places {
        assert!(
            (of(name) - weight / 8.0).abs() < 0.02,
            "{name}: {}",
            of(name)
        );
    }
}

proptest! {
    #[test]
    fn who_goes_moves_only_its_own_keys(keys in prop::collection::vec("[a-f0-9]{16}", 1..50)) {
        let all = [("a", 1.0), ("b", 2.0), ("c", 3.0)];
        for key in keys {
            let before = least(&all, &key);
            prop_assert!(before == "b" || least(&[all[0], all[2]], &key) == before);
        }
    }
}
