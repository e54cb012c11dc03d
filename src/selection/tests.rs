use super::*;
use chalkhall_stats::draw;
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
    let set = pool.sets(object, 0).next().expect("a set");
    let least = set
        .iter()
        .min_by(|a, b| a.draw(object, 0).total_cmp(&b.draw(object, 0)));
    least.expect("a candidate").slot
}

fn objects(count: usize) -> impl Iterator<Item = String> {
    (0..count).map(|n| format!("object-{n}"))
}

#[test]
fn up_to_256_servers_select_as_plain_rendezvous_hashing() {
    for servers in [1, 2, 64, ONE_STEP_AT_MOST] {
        let pool = pool(0..servers);
        for object in objects(200) {
            let draws = (0..servers).map(|n| draw(&name(n), &object, 0, weight(n)));
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
fn every_server_stands_in_one_set() {
    for servers in [200, 300, 400, 3200] {
        let pool = pool(0..servers);
        for object in objects(50) {
            let all: Vec<usize> = pool.sets(&object, 3).flatten().map(|c| c.slot).collect();
            assert_eq!(all.len(), servers);
            assert_eq!(all.into_iter().collect::<BTreeSet<_>>().len(), servers);
        }
    }
}

#[test]
fn parts_are_shared_out_in_proportion_to_weights() {
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
        // Chi square over its degrees of freedom: mean 1, deviation the root of 2 in so many.
        let chi = squares.sum::<f64>() / (servers - 1) as f64;
        let deviation = (2.0 / servers as f64).sqrt();
        assert!(
            (chi - 1.0).abs() < 4.0 * deviation,
            "{servers} servers, {each} parts each: {chi:.3}"
        );
    }
}

/// One server of a hundred leaves: the parts that move because they were theirs, and the others
/// that move.
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
fn a_server_that_leaves_moves_few_parts_beside_its_own() {
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
    // Where pools turn from one step to two no single server turns them all.
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
        pool.groups.len() + most <= ONE_STEP_AT_MOST,
        "{} groups of up to {most}",
        pool.groups.len()
    );
    assert!(objects(1000).all(|object| pool.in_two_steps(&object, 0)));
}

/// Through the sizes at which groups form and go: servers that come, go or change their weights in
/// place.
#[test]
fn a_pool_changed_in_place_is_the_same_as_one_built_anew() {
    let mut chance = fastrand::Rng::with_seed(7);
    let mut listed = BTreeMap::new();
    let mut changed = Pool::default();
    let mut seen_with_groups = BTreeSet::new();
    for step in 0..4000 {
        let n = chance.usize(..ONE_STEP_AT_MOST * 2);
        let most = if step % 1000 < 500 { 420 } else { 200 };
        if listed.len() > most || chance.u8(..4) == 0 {
            listed.remove(&n);
            changed.remove(&name(n));
        } else {
            let candidate = Candidate::new(chance.usize(..1000), &name(n), chance.f64());
            listed.insert(n, candidate.clone());
            changed.insert(candidate);
        }
        let built = Pool::new(listed.values().cloned().collect());
        assert_eq!(changed, built, "after {step} changes");
        seen_with_groups.insert(!changed.groups.is_empty());
    }
    assert_eq!(seen_with_groups.len(), 2, "the size crosses the bound");
}
