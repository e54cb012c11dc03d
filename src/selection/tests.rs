use super::*;
use chalkhall_stats::rendezvous_score;
use std::collections::{BTreeMap, BTreeSet};

fn name(n: usize) -> Rc<str> {
    format!("cache-{n:04}").into()
}

/// Weights from 4 to 12.
fn weight(n: usize) -> f64 {
    4.0 + (n % 9) as f64
}

fn pool(servers: impl Iterator<Item = usize>) -> Pool {
    Pool::new(
        servers
            .map(|n| Candidate::new(n, &name(n), weight(n)))
            .collect(),
    )
}

fn first(pool: &Pool, object: &str) -> usize {
    let set = pool.candidate_sets(object, 0).next().expect("a set");
    let least = set
        .iter()
        .min_by(|a, b| a.draw(object, 0).total_cmp(&b.draw(object, 0)));
    least.expect("a candidate").slot
}

fn objects(count: usize) -> impl Iterator<Item = String> {
    (0..count).map(|n| format!("object-{n}"))
}

#[test]
fn up_to_256_servers_use_plain_rendezvous_hashing() {
    for servers in [1, 2, 64, ONE_STEP_LIMIT] {
        let pool = pool(0..servers);
        for object in objects(200) {
            let draws = (0..servers).map(|n| rendezvous_score(&name(n), &object, 0, weight(n)));
            let least = draws
                .enumerate()
                .min_by(|(_, a), (_, b)| a.total_cmp(b))
                .expect("servers")
                .0;
            assert_eq!(first(&pool, &object), least, "{servers} servers, {object}");
        }
    }
}

#[test]
fn every_server_is_in_exactly_one_set() {
    for servers in [200, 300, 400, 3200] {
        let pool = pool(0..servers);
        for object in objects(50) {
            let all: Vec<usize> = pool
                .candidate_sets(&object, 3)
                .flatten()
                .map(|c| c.slot)
                .collect();
            assert_eq!(all.len(), servers);
            assert_eq!(all.into_iter().collect::<BTreeSet<_>>().len(), servers);
        }
    }
}

#[test]
fn parts_are_distributed_in_proportion_to_weights() {
    for servers in [400, 3200] {
        let pool = pool(0..servers);
        let (each, all) = (30, servers * 30);
        let mut found = vec![0usize; servers];
        objects(all).for_each(|object| found[first(&pool, &object)] += 1);
        let weights: f64 = (0..servers).map(weight).sum();
        let expected = |n: usize| all as f64 * weight(n) / weights;
        let squares = found
            .iter()
            .enumerate()
            .map(|(n, f)| (*f as f64 - expected(n)).powi(2) / expected(n));
        // Chi-squared per degree of freedom: mean 1, standard deviation the square root of 2 / n.
        let chi = squares.sum::<f64>() / (servers - 1) as f64;
        let deviation = (2.0 / servers as f64).sqrt();
        assert!(
            (chi - 1.0).abs() < 4.0 * deviation,
            "{servers} servers, {each} parts each: {chi:.3}"
        );
    }
}

/// Removes one server in a hundred. Returns the number of parts that move because they belonged to
/// it, and the number of other parts that move.
fn moved_by_leaving(servers: usize) -> [usize; 2] {
    let leaves = |n: usize| n % 100 == 7;
    let before = pool(0..servers);
    let after = pool((0..servers).filter(|n| !leaves(*n)));
    let (mut own, mut others) = (0, 0);
    for object in objects(8_000) {
        let (was, is) = (first(&before, &object), first(&after, &object));
        own += usize::from(leaves(was));
        others += usize::from(!leaves(was) && was != is);
    }
    [own, others]
}

#[test]
fn a_server_that_leaves_moves_few_parts_of_other_servers() {
    let [own, others] = moved_by_leaving(200);
    assert!(
        own > 0 && others == 0,
        "of 200, in one step: {own} own, {others} others"
    );
    let [own, others] = moved_by_leaving(3200);
    assert!(
        own > 0 && 2 * others < 3 * own,
        "of 3,200, in two steps: {own} own, {others} others"
    );
    // In pools between one step and two, no single server that leaves switches all parts.
    for servers in [257, 300, 400, 512] {
        let [own, others] = moved_by_leaving(servers);
        assert!(
            own > 0 && others < 5 * own,
            "of {servers}: {own} own, {others} others"
        );
    }
}

#[test]
fn a_selection_among_3200_servers_takes_no_more_draws_than_one_among_256() {
    let pool = pool(0..3200);
    let most = pool
        .groups
        .iter()
        .map(|group| group.members.len())
        .max()
        .expect("groups");
    assert!(
        pool.groups.len() + most <= ONE_STEP_LIMIT,
        "{} groups of up to {most}",
        pool.groups.len()
    );
    assert!(objects(1000).all(|object| pool.uses_two_steps(&object, 0)));
}

/// Servers join, leave and change weight in place, in pools whose size crosses the bound at which
/// groups are formed.
#[test]
fn a_pool_changed_in_place_equals_a_rebuilt_one() {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut listed = BTreeMap::new();
    let mut changed = Pool::default();
    let mut seen_with_groups = BTreeSet::new();
    for step in 0..4000 {
        let n = rng.usize(..ONE_STEP_LIMIT * 2);
        let most = if step % 1000 < 500 { 420 } else { 200 };
        if listed.len() > most || rng.u8(..4) == 0 {
            listed.remove(&n);
            changed.remove(&name(n));
        } else {
            let candidate = Candidate::new(rng.usize(..1000), &name(n), rng.f64());
            listed.insert(n, candidate.clone());
            changed.insert(candidate);
        }
        let built = Pool::new(listed.values().cloned().collect());
        assert_eq!(changed, built, "after {step} changes");
        seen_with_groups.insert(!changed.groups.is_empty());
    }
    assert_eq!(seen_with_groups.len(), 2, "the size crosses the bound");
}
