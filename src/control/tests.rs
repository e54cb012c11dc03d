//! How much of a fleet a request looks at, counted.

use super::*;

/// What a selection in one tier may look at: as many as a pool that is drawn in one step has, and the group
/// in which that many are reached.
const LOOKED_AT: usize = 2 * CONSIDERED_AT_MOST;
const NOW: Duration = Duration::from_secs(1000);

#[derive(Default)]
struct Orders(Vec<(Id, Id)>);

impl Outlet for Orders {
    fn attempt(&mut self, request: &Id, server: &Id, _limit: Duration, _fill: &Fill) {
        self.0.push((request.clone(), server.clone()));
    }
    fn reject(&mut self, _request: &Id, _advice: Option<Duration>) {}
    fn fail(&mut self, _request: &Id) {}
    fn cancel(&mut self, _request: &Id, _attempt: usize) {}
    fn wake_at(&mut self, _at: Duration, _mark: u64) {}
    fn watch_list(&mut self) {}
}

fn deployment() -> Deployment {
    let second = Duration::from_secs(1);
    let cold = ColdStart {
        from: 0.25,
        warm_within: second * 1000,
        multiple: 2.0,
        span: second,
    };
    let class = Class {
        soft_deadline: second,
        deadline: second * 4,
        cacheable: true,
        ..Class::default()
    };
    Deployment {
        routers: 10,
        routers_at: vec![10],
        classes: vec![class],
        client_kb_per_s: 1000.0,
        max_attempts: 4,
        may_cancel: true,
        cold_cache: cold,
        cold_parent: cold,
        purge_done: second * 6,
        pass_through: true,
        ..Deployment::default()
    }
}

fn router(caches: usize, started: Option<Duration>, orders: &mut Orders) -> Router {
    let mut router = Router::start(Duration::from_secs(1), &deployment(), orders);
    let cache = |n| Member {
        server: format!("cache-{n}").into(),
        capacity: 8.0,
        started,
        ..Member::default()
    };
    let parent = Member {
        server: "parent".into(),
        tier: Tier::Parent,
        capacity: 99.0,
        ..Member::default()
    };
    let origin = Member {
        server: "origin".into(),
        tier: Tier::Origin,
        ..parent.clone()
    };
    let members: Vec<Member> = (0..caches).map(cache).chain([parent, origin]).collect();
    router.list(NOW, ListKind::Whole, &members, orders);
    router
}

/// Requests that all end so; how many servers one of them looked at, at most, and how many attempts it made.
fn play(
    router: &mut Router,
    orders: &mut Orders,
    requests: usize,
    outcome: Outcome,
    remark: Remark,
) -> [usize; 2] {
    let (took, load) = (Duration::from_millis(5), Load::default());
    let over = outcome == Outcome::Served;
    let ended = Ended {
        outcome,
        remark,
        took,
        first_byte: None,
        over,
        load,
    };
    let mut most = [0, 0];
    for n in 0..requests {
        router.considered.set(0);
        let id: Id = format!("request-{n}").into();
        let object = format!("object-{n}").as_str().into();
        let left = Duration::from_secs(4);
        router.request(
            NOW,
            Arrival {
                id,
                object,
                kb: 20.0,
                left,
                ..Arrival::default()
            },
            orders,
        );
        let mut attempts = 0;
        while let Some((request, _)) = orders.0.pop() {
            router.result(NOW, &request, attempts, &ended, orders);
            attempts += 1;
        }
        most = [most[0].max(router.considered.get()), most[1].max(attempts)];
    }
    most
}

#[test]
fn a_request_looks_at_no_more_of_3200_caches_than_of_200() {
    let looked = |caches| {
        let mut orders = Orders::default();
        let mut router = router(caches, None, &mut orders);
        play(&mut router, &mut orders, 500, Outcome::Served, Remark::Hit)[0]
    };
    let (few, many) = (looked(200), looked(3200));
    assert!(many <= few, "{many} of 3,200, {few} of 200");
}

#[test]
fn an_attempt_looks_at_a_bounded_number_of_3200_caches_when_all_refuse() {
    let mut orders = Orders::default();
    let mut router = router(3200, None, &mut orders);
    let [looked, attempts] = play(&mut router, &mut orders, 500, Outcome::Full, Remark::None);
    assert!(attempts > 1);
    assert!(
        looked <= attempts * LOOKED_AT,
        "{looked} in {attempts} attempts"
    );
}

#[test]
fn a_request_looks_at_a_bounded_number_of_3200_caches_when_all_are_ejected() {
    let mut orders = Orders::default();
    let mut router = router(3200, None, &mut orders);
    let caches: Vec<Id> = router.caches().map(|m| m.server.clone()).collect();
    for cache in &caches {
        (0..3).for_each(|_| router.judge(cache, NOW, true, 1.0));
    }
    assert_eq!(router.health[Tier::Cache as usize].ejected, 3200);
    let [looked, attempts] = play(&mut router, &mut orders, 500, Outcome::Served, Remark::Hit);
    assert_eq!(
        attempts, 1,
        "what is ejected is used where nothing else is left"
    );
    // Once for healthy ones, once for any.
    assert!(looked <= 2 * LOOKED_AT, "{looked}");
}

#[test]
fn a_request_looks_at_a_bounded_number_of_3200_caches_when_all_are_cold() {
    let mut orders = Orders::default();
    let mut router = router(3200, Some(NOW), &mut orders);
    let [looked, attempts] = play(&mut router, &mut orders, 5000, Outcome::Served, Remark::Hit);
    assert_eq!(attempts, 1);
    assert!(looked <= 2 * LOOKED_AT, "{looked}");
}

/// What is kept of a tier as a whole against what its servers say, through outcomes in any order.
#[test]
fn tier_totals_agree_with_the_servers() {
    let mut orders = Orders::default();
    let mut router = router(5, None, &mut orders);
    let mut chance = fastrand::Rng::with_seed(3);
    let caches: Vec<Id> = router.caches().map(|m| m.server.clone()).collect();
    let mut seen = [false; 6];
    for _ in 0..5000 {
        let cache = &caches[chance.usize(..caches.len())];
        if chance.bool() {
            router.judge(cache, NOW, chance.u8(..3) == 0, 1.0);
        } else {
            router.note_fill(cache, chance.bool());
        }
        if chance.u8(..50) == 0 {
            let started = Some(NOW + Duration::from_millis(chance.u64(..1000)));
            let anew = Member {
                started,
                ..router.member(cache).cloned().expect("listed")
            };
            router.list(NOW, ListKind::Changes, &[anew], &mut orders);
        }
        let all = || {
            router
                .servers
                .values()
                .filter(|s| s.member.tier == Tier::Cache)
        };
        let ejected = all().filter(|s| s.record.is_aside()).count();
        let best = all().map(|s| s.in_time).fold(0.0, f64::max);
        seen[ejected] = true;
        assert_eq!(router.health[Tier::Cache as usize].ejected, ejected);
        assert_eq!(router.best_in_time(Tier::Cache), best);
    }
    assert!(seen.iter().filter(|seen| **seen).count() > 3, "{seen:?}");
}

/// Old purges are forgotten with the next one; the latest of an object counts.
#[test]
fn purges_are_forgotten_once_done_and_not_before() {
    let mut router = router(1, None, &mut Orders::default());
    let second = Duration::from_secs(1);
    let (x, y): (Id, Id) = ("x".into(), "y".into());
    router.purged(NOW, Some(x.clone()), 0, Duration::ZERO);
    router.purged(NOW + second * 4, Some(x.clone()), 0, second);
    router.purged(NOW + second * 4, Some(x.clone()), 0, second * 2);
    router.purged(NOW + second * 8, Some(y.clone()), 0, Duration::ZERO);
    assert_eq!(router.purges.get(&Ok(x.clone())), Some(&(NOW + second * 3)));
    assert_eq!(router.purges_by_age.len(), 2);
    router.purged(NOW + second * 9, None, 7, Duration::ZERO);
    assert_eq!(router.purges.get(&Ok(x)), None);
    assert_eq!(router.purges.len(), 2);
    assert_eq!(router.purges_by_age.len(), 2);
}

/// How many servers a change of one member and the next request look at, at most.
fn looked_at_after_a_change(caches: usize, change: impl Fn(&mut Member)) -> usize {
    let mut orders = Orders::default();
    let mut router = router(caches, None, &mut orders);
    play(&mut router, &mut orders, 10, Outcome::Served, Remark::Hit);
    let mut most = 0;
    for n in 0..50 {
        let mut member = Member {
            server: format!("cache-{}", n * 3).into(),
            capacity: 8.0,
            ..Member::default()
        };
        change(&mut member);
        router.walked.set(0);
        router.list(NOW, ListKind::Changes, &[member], &mut orders);
        let [considered, _] = play(&mut router, &mut orders, 1, Outcome::Served, Remark::Hit);
        most = most.max(considered + router.walked.get());
    }
    most
}

#[test]
fn a_change_of_the_list_looks_at_no_more_servers_of_3200_than_of_200() {
    let changes: [fn(&mut Member); 5] = [
        |member| member.capacity = 5.0,
        |member| member.standing = Standing::Draining,
        |member| member.standing = Standing::Gone,
        |member| member.started = Some(NOW - Duration::from_secs(5)),
        |member| member.server = format!("new-{}", member.server).into(),
    ];
    for (number, change) in changes.into_iter().enumerate() {
        let few = looked_at_after_a_change(200, change);
        let many = looked_at_after_a_change(3200, change);
        // A new server makes a pool of 200 larger.
        let bound = (few + 1).min(LOOKED_AT);
        assert!(
            many <= bound,
            "change {number}: {many} of 3,200, {few} of 200"
        );
    }
}

fn random_member(chance: &mut fastrand::Rng) -> Member {
    let standing = [Standing::Active, Standing::Draining, Standing::Gone];
    let tier = [Tier::Cache, Tier::Parent, Tier::Origin, Tier::Own];
    let number = chance.usize(..600);
    Member {
        server: format!("server-{number}").into(),
        // Some servers are listed in another tier than before.
        tier: if chance.u8(..8) == 0 {
            tier[chance.usize(..tier.len())]
        } else {
            Tier::Cache
        },
        zone: usize::from(chance.u8(..10) == 0),
        standing: standing[chance.usize(..9).saturating_sub(6)],
        capacity: chance.f64(),
        started: (chance.u8(..3) == 0).then_some(NOW),
        cells: (0..3).filter(|_| chance.bool()).collect(),
        ..Member::default()
    }
}

/// Pools, tier totals and the rest, through changes of every kind, against the same derived from all servers.
#[test]
fn what_is_derived_from_the_list_is_the_same_after_changes_as_from_the_whole() {
    let mut orders = Orders::default();
    let mut router = router(0, None, &mut orders);
    let mut chance = fastrand::Rng::with_seed(11);
    let cells = [None, Some(0), Some(1), Some(2)];
    let mut most_listed = 0;
    for _ in 0..1200 {
        for cell in cells {
            for zone in [0, 1] {
                let tier = [Tier::Cache, Tier::Parent, Tier::Origin][chance.usize(..3)];
                let key = PoolKey::new(tier, zone, cell);
                let pool = router.build_pool(key);
                if !pool.is_empty() {
                    let kept = router.pools.entry(key).or_insert_with(|| pool.clone());
                    assert_eq!(*kept, pool, "{key:?}");
                } else {
                    assert!(!router.pools.contains_key(&key), "{key:?}");
                }
            }
        }
        let names: Vec<Id> = router.members().map(|m| m.server.clone()).collect();
        if let Some(name) = chance.choice(&names) {
            router.judge(name, NOW, chance.bool(), 1.0);
            router.note_fill(name, chance.bool());
            let tier = [Tier::Cache, Tier::Parent][chance.usize(..2)];
            router.best_in_time(tier);
        }
        let members: Vec<Member> = (0..chance.usize(1..3))
            .map(|_| random_member(&mut chance))
            .collect();
        router.list(NOW, ListKind::Changes, &members, &mut orders);
        most_listed = most_listed.max(router.servers.values().count());

        let (origins, local, own) = (
            router.origins.clone(),
            router.local_caches.clone(),
            router.own,
        );
        let kept: Vec<_> = (router.health.iter())
            .map(|tier| (tier.ejected, tier.best_in_time))
            .collect();
        router.derive_from_list();
        router.update_local_capacity();
        assert_eq!(
            (origins, local, own),
            (
                router.origins.clone(),
                router.local_caches.clone(),
                router.own
            )
        );
        for (tier, (ejected, best)) in [Tier::Cache, Tier::Parent, Tier::Origin, Tier::Own]
            .into_iter()
            .zip(kept)
        {
            assert_eq!(router.health[tier as usize].ejected, ejected);
            let best_anew = router.best_in_time(tier);
            assert!(best.is_none_or(|best| best == best_anew));
            router.health[tier as usize].best_in_time = best;
        }
    }
    assert!(most_listed > 300, "{most_listed}");
}
