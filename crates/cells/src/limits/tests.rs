use super::*;
use proptest::prelude::*;

const ALLOWED: Allowed = Allowed {
    rate: 10.0,
    burst: 20.0,
    retries: 0.1,
    retries_most: 5.0,
};

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// A tenant that asks every 200 ms and is served whenever it is taken.
fn steady(tenants: &mut Tenants, name: &str, from: f64, count: usize) -> usize {
    let taken = (0..count).filter(|n| {
        let now = s(from + *n as f64 * 0.2);
        let taken = tenants.request(now, name.as_bytes(), false) == Verdict::Taken;
        if taken {
            tenants.served(now, name.as_bytes());
        }
        taken
    });
    taken.count()
}

#[test]
fn who_floods_is_held_to_its_rate_and_told_when_to_come_back() {
    let mut tenants = Tenants::new(ALLOWED, 7);
    assert_eq!(steady(&mut tenants, "loud", 0.0, 50), 50);
    assert_eq!(tenants.known(), 1);
    // It comes back when it is told to, and is taken each time.
    let mut now = s(10.0);
    for _ in 0..200 {
        now += s(0.005);
        if let Verdict::Late(wait) = tenants.request(now, b"loud", false) {
            assert!(wait <= s(0.1), "{wait:?}");
            now += wait;
            assert_eq!(tenants.request(now, b"loud", false), Verdict::Taken);
        }
    }
    let mut tenants = Tenants::new(ALLOWED, 7);
    steady(&mut tenants, "loud", 0.0, 50);
    let taken = (0..2000).filter(|n| {
        tenants.request(s(10.0 + f64::from(*n) * 0.005), b"loud", false) == Verdict::Taken
    });
    let taken = taken.count();
    assert!(
        (100..=121).contains(&taken),
        "{taken} in ten seconds at 10 a second and a burst of 20"
    );
}

#[test]
fn a_flood_of_new_names_evicts_no_honest_tenant() {
    let mut tenants = Tenants::new(ALLOWED, 7);
    for n in 0..100 {
        steady(&mut tenants, &format!("honest-{n}"), 0.0, 20);
    }
    assert_eq!(tenants.known(), 100);
    for n in 0..200_000u32 {
        let (now, name) = (s(4.0 + f64::from(n) * 0.00005), format!("new-{n}"));
        if tenants.request(now, name.as_bytes(), false) == Verdict::Taken && n % 3 == 0 {
            tenants.served(now, name.as_bytes());
        }
    }
    assert!(tenants.known() <= ROWS.get());
    for n in 0..100 {
        assert_eq!(
            steady(&mut tenants, &format!("honest-{n}"), 14.0, 20),
            20,
            "tenant {n}"
        );
    }
}

#[test]
fn retries_are_paid_for_by_what_was_served() {
    let mut tenants = Tenants::new(
        Allowed {
            rate: 1000.0,
            burst: 1000.0,
            ..ALLOWED
        },
        7,
    );
    steady(&mut tenants, "a", 0.0, 45);
    let retries = (0..10)
        .filter(|_| tenants.request(s(20.0), b"a", true) == Verdict::Taken)
        .count();
    assert_eq!(retries, 3, "one for ten served");
}

proptest! {
    /// Whatever is asked when, over any span a known tenant gets no more than its burst and its rate.
    #[test]
    fn no_more_than_rate_and_burst(steps in prop::collection::vec(0u64..400, 1..300)) {
        let mut tenants = Tenants::new(ALLOWED, 9);
        steady(&mut tenants, "t", 0.0, 20);
        let (mut now, mut taken) = (s(4.0), 0.0);
        for step in &steps {
            now += Duration::from_millis(*step);
            taken += f64::from(u8::from(tenants.request(now, b"t", false) == Verdict::Taken));
        }
        prop_assert!(taken <= ALLOWED.burst + ALLOWED.rate * (now - s(4.0)).as_secs_f64() + 1.0);
    }
}
