use super::*;
use proptest::prelude::*;

fn owner<'a>(nodes: &[(&'a str, f64)], key: &str) -> &'a str {
    let scores = nodes
        .iter()
        .map(|(node, weight)| (rendezvous_score(node, key, 0, *weight), *node));
    scores.min_by(|a, b| a.0.total_cmp(&b.0)).expect("nodes").1
}

#[test]
fn each_node_owns_keys_in_proportion_to_its_weight() {
    let nodes = [("a", 1.0), ("b", 2.0), ("c", 5.0)];
    let share_of = |name| {
        (0..8000)
            .filter(|n| owner(&nodes, &n.to_string()) == name)
            .count() as f64
            / 8000.0
    };
    for (name, weight) in nodes {
        assert!(
            (share_of(name) - weight / 8.0).abs() < 0.02,
            "{name}: {}",
            share_of(name)
        );
    }
}

proptest! {
    #[test]
    fn removing_a_node_moves_only_its_keys(keys in prop::collection::vec("[a-f0-9]{16}", 1..50)) {
        let all = [("a", 1.0), ("b", 2.0), ("c", 3.0)];
        for key in keys {
            let before = owner(&all, &key);
            prop_assert!(before == "b" || owner(&[all[0], all[2]], &key) == before);
        }
    }
}
