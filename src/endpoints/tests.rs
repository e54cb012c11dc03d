//! The indexes of the endpoint list, updated in place by changes, against indexes rebuilt from all
//! servers.

use super::*;

const NOW: Duration = Duration::from_secs(1000);
const ALL_TIERS: [Tier; TIER_COUNT] = [Tier::Cache, Tier::Parent, Tier::Origin, Tier::Local];

/// Asserts that the totals of each tier match the state of its servers.
fn assert_tier_totals(list: &mut EndpointList) {
    for tier in ALL_TIERS {
        let of_tier = || list.endpoints.values().filter(|e| e.member.tier == tier);
        let ejected = of_tier().filter(|e| e.outliers.is_ejected()).count();
        let best = of_tier().map(|e| e.on_time_fill_share).fold(0.0, f64::max);
        assert_eq!(list.health[tier as usize].ejected, ejected, "{tier:?}");
        let kept = list.health[tier as usize].best_on_time_share;
        assert!(kept.is_none_or(|kept| kept == best), "{tier:?}");
    }
}

#[test]
fn tier_totals_agree_with_the_servers() {
    let mut list = EndpointList::default();
    let mut random = fastrand::Rng::with_seed(3);
    let cache = |n: usize| Member {
        server: format!("cache-{n}").into(),
        capacity: 8.0,
        ..Member::default()
    };
    let caches: Vec<Member> = (0..5).map(cache).collect();
    list.replace(&caches);
    let mut seen = [false; 6];
    for _ in 0..5000 {
        let cache = &caches[random.usize(..caches.len())];
        if random.bool() {
            list.record_outcome(&cache.server, NOW, random.u8(..3) == 0, 1.0);
        } else {
            list.record_fill(&cache.server, random.bool());
        }
        if random.u8(..50) == 0 {
            let started = Some(NOW + Duration::from_millis(random.u64(..1000)));
            let restarted = Member {
                started,
                ..cache.clone()
            };
            list.change(&[restarted]);
        }
        assert_tier_totals(&mut list);
        let caches = || list.endpoints.values();
        let best = caches().map(|e| e.on_time_fill_share).fold(0.0, f64::max);
        seen[caches().filter(|e| e.outliers.is_ejected()).count()] = true;
        assert_eq!(list.best_on_time_share(Tier::Cache), best);
    }
    assert!(seen.iter().filter(|seen| **seen).count() > 3, "{seen:?}");
}

fn random_member(random: &mut fastrand::Rng) -> Member {
    let states = [
        ServerState::Active,
        ServerState::Draining,
        ServerState::Removed,
    ];
    let number = random.usize(..600);
    Member {
        server: format!("server-{number}").into(),
        // Some servers change their tier.
        tier: if random.u8(..8) == 0 {
            ALL_TIERS[random.usize(..TIER_COUNT)]
        } else {
            Tier::Cache
        },
        zone: usize::from(random.u8(..10) == 0),
        state: states[random.usize(..9).saturating_sub(6)],
        capacity: random.f64(),
        started: (random.u8(..3) == 0).then_some(NOW),
        cells: (0..3).filter(|_| random.bool()).collect(),
        ..Member::default()
    }
}

/// Asserts that stored pools equal rebuilt ones, and builds some that are missing.
fn assert_pools(list: &mut EndpointList, random: &mut fastrand::Rng) {
    for cell in [None, Some(0), Some(1), Some(2)] {
        for zone in [0, 1] {
            let key = PoolKey::new(ALL_TIERS[random.usize(..3)], zone, cell);
            let built = list.build_pool(key);
            match list.pools.get(&key) {
                Some(kept) => assert_eq!(*kept, built, "{key:?}"),
                None => list.ensure_pool(key),
            }
            assert_eq!(list.pools.contains_key(&key), !built.is_empty(), "{key:?}");
        }
    }
}

#[test]
fn indexes_after_changes_equal_those_built_from_the_whole_list() {
    let mut list = EndpointList::default();
    let mut random = fastrand::Rng::with_seed(11);
    let mut most_listed = 0;
    for _ in 0..1200 {
        assert_pools(&mut list, &mut random);
        let names: Vec<Id> = list.members().map(|m| m.server.clone()).collect();
        if let Some(name) = random.choice(&names) {
            list.record_outcome(name, NOW, random.bool(), 1.0);
            list.record_fill(name, random.bool());
            list.best_on_time_share(ALL_TIERS[random.usize(..TIER_COUNT)]);
        }
        let count = random.usize(1..3);
        let members: Vec<Member> = (0..count).map(|_| random_member(&mut random)).collect();
        list.change(&members);
        most_listed = most_listed.max(names.len());

        assert_tier_totals(&mut list);
        let kept = (list.origins.clone(), list.local_caches.clone());
        let capacity = list.local_capacity;
        let health = std::mem::take(&mut list.health);
        list.rebuild_indexes();
        list.update_local_capacity();
        list.health = health;
        assert_eq!(kept, (list.origins.clone(), list.local_caches.clone()));
        assert_eq!(capacity, list.local_capacity);
    }
    assert!(most_listed > 300, "{most_listed}");
}
