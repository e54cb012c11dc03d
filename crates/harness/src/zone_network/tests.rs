use super::*;
use crate::scenario::Scenario;

fn fleet() -> FleetSettings {
    let (intra_region_delay, inter_region_delay) =
        (Duration::from_millis(3), Duration::from_millis(30));
    FleetSettings {
        zones: 6,
        regions: 2,
        intra_region_delay,
        inter_region_delay,
        jitter: 0.2,
        ..Scenario::default().fleet
    }
}

#[test]
fn delays_depend_on_the_regions_and_each_direction_changes_separately() {
    let (fleet, mut rng) = (fleet(), fastrand::Rng::with_seed(1));
    let mut network = ZoneNetwork::new(&fleet).expect("delays are set");
    assert_eq!(
        (0..6).map(|at| region(at, &fleet)).collect::<Vec<_>>(),
        [0, 0, 0, 1, 1, 1]
    );
    assert!(
        network.median_round_trip(0, 1) < Duration::from_millis(8)
            && network.median_round_trip(0, 4) > Duration::from_millis(40)
    );
    assert_eq!(
        network.median_round_trip(0, 6),
        network.median_round_trip(0, 1),
        "the hub"
    );
    network.for_each_pair(Some(0), Some(4), |network, a, b| {
        network.is_cut[a][b] = true
    });
    assert_eq!(network.delay(0, 4, &mut rng), None);
    assert!(network.delay(4, 0, &mut rng).is_some() && network.delay(0, 3, &mut rng).is_some());
    network.for_each_pair(None, Some(2), |network, a, b| {
        network.slow_factor[a][b] = 5.0
    });
    assert!(network.delay(1, 2, &mut rng).expect("not cut") >= Duration::from_millis(15));
    assert!(network.delay(2, 1, &mut rng).expect("not cut") < Duration::from_millis(4));
    assert_eq!(ZoneNetwork::new(&Scenario::default().fleet), None);
}

#[test]
fn loss_delays_bytes_and_drops_datagrams() {
    let (fleet, mut rng) = (fleet(), fastrand::Rng::with_seed(2));
    let mut network = ZoneNetwork::new(&fleet).expect("delays are set");
    network.for_each_pair(None, None, |network, a, b| network.loss_share[a][b] = 0.3);
    let retransmitted = (0..1000)
        .filter(|_| network.delay(0, 1, &mut rng).expect("not cut") >= RETRANSMIT_DELAY)
        .count();
    let loss_share = (0..1000)
        .filter(|_| network.datagram_delay(0, 1, &mut rng).is_none())
        .count();
    assert!(
        (240..360).contains(&retransmitted) && (240..360).contains(&loss_share),
        "{retransmitted} {loss_share}"
    );
}
