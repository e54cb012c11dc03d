use super::*;
use proptest::prelude::*;

const LIMITS: TenantLimits = TenantLimits {
    rate: 10.0,
    burst: 20.0,
    retries_per_request: 0.1,
    max_retries: 5.0,
};

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Sends `count` requests, one every 200 ms, each served if accepted. Returns the number accepted.
fn send_steadily(tenants: &mut Tenants, name: &str, from: f64, count: usize) -> usize {
    let accepted = (0..count).filter(|n| {
        let now = s(from + *n as f64 * 0.2);
        let accepted = tenants.request(now, name.as_bytes(), false) == Decision::Accepted;
        if accepted {
            tenants.served(now, name.as_bytes());
        }
        accepted
    });
    accepted.count()
}

#[test]
fn a_flooding_tenant_is_held_to_its_rate_and_given_a_retry_delay() {
    let mut tenants = Tenants::new(LIMITS, 7);
    assert_eq!(send_steadily(&mut tenants, "loud", 0.0, 50), 50);
    assert_eq!(tenants.known(), 1);
    // A client that honours the advised delay is always accepted.
    let mut now = s(10.0);
    for _ in 0..200 {
        now += s(0.005);
        if let Decision::RetryAfter(wait) = tenants.request(now, b"loud", false) {
            assert!(wait <= s(0.1), "{wait:?}");
            now += wait;
            assert_eq!(tenants.request(now, b"loud", false), Decision::Accepted);
        }
    }
    let mut tenants = Tenants::new(LIMITS, 7);
    send_steadily(&mut tenants, "loud", 0.0, 50);
    let accepted = (0..2000).filter(|n| {
        tenants.request(s(10.0 + f64::from(*n) * 0.005), b"loud", false) == Decision::Accepted
    });
    let accepted = accepted.count();
    assert!(
        (100..=121).contains(&accepted),
        "{accepted} accepted in 10 s at 10 requests/s and a burst of 20"
    );
}

#[test]
fn a_flood_of_new_names_evicts_no_honest_tenant() {
    let mut tenants = Tenants::new(LIMITS, 7);
    for n in 0..100 {
        send_steadily(&mut tenants, &format!("honest-{n}"), 0.0, 20);
    }
    assert_eq!(tenants.known(), 100);
    for n in 0..200_000u32 {
        let (now, name) = (s(4.0 + f64::from(n) * 0.00005), format!("new-{n}"));
        if tenants.request(now, name.as_bytes(), false) == Decision::Accepted && n % 3 == 0 {
            tenants.served(now, name.as_bytes());
        }
    }
    assert!(tenants.known() <= MAX_BUCKETS.get());
    for n in 0..100 {
        assert_eq!(
            send_steadily(&mut tenants, &format!("honest-{n}"), 14.0, 20),
            20,
            "tenant {n}"
        );
    }
}

#[test]
fn served_requests_earn_retries() {
    let mut tenants = Tenants::new(
        TenantLimits {
            rate: 1000.0,
            burst: 1000.0,
            ..LIMITS
        },
        7,
    );
    send_steadily(&mut tenants, "a", 0.0, 45);
    let retries = (0..10)
        .filter(|_| tenants.request(s(20.0), b"a", true) == Decision::Accepted)
        .count();
    assert_eq!(retries, 3, "one retry per ten served requests");
}

proptest! {
    /// For any sequence of requests, a known tenant gets no more than its burst plus its rate times the time.
    #[test]
    fn a_known_tenant_never_exceeds_its_rate_and_burst(steps in prop::collection::vec(0u64..400, 1..300)) {
        let mut tenants = Tenants::new(LIMITS, 9);
        send_steadily(&mut tenants, "t", 0.0, 20);
        let (mut now, mut accepted) = (s(4.0), 0.0);
        for step in &steps {
            now += Duration::from_millis(*step);
            accepted += f64::from(u8::from(tenants.request(now, b"t", false) == Decision::Accepted));
        }
        prop_assert!(accepted <= LIMITS.burst + LIMITS.rate * (now - s(4.0)).as_secs_f64() + 1.0);
    }
}
