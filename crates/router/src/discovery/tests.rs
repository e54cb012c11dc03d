use super::*;

fn discovery(seed: u64) -> Discovery {
    let (decider, _) = mpsc::channel(1);
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    let (places, clock, chance) = (Places::default(), Clock::start(), fastrand::Rng::with_seed(seed));
    Discovery { address, last: 0, faulty: None, places, clock, decider, chance, spare: None }
}

/// A fleet that lost its discovery service in one moment does not come back to it in one.
#[test]
fn routers_come_again_at_times_of_their_own() {
    let pause = Duration::from_millis(320);
    let mut tenths = [0; 10];
    for seed in 0..300 {
        let wait = discovery(seed).spread(pause);
        assert!(wait > pause / 2 && wait <= pause, "{wait:?}");
        tenths[((wait - pause / 2).as_secs_f64() / 0.160 * 9.999) as usize] += 1;
    }
    assert!(tenths.iter().all(|n| (12..=60).contains(n)), "{tenths:?}");
}
