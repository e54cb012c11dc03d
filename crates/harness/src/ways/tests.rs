use super::*;
use crate::play::Play;

fn fleet() -> FleetOf {
    let (near, far) = (Duration::from_millis(3), Duration::from_millis(30));
    FleetOf {
        zones: 6,
        regions: 2,
        near,
        far,
        jitter: 0.2,
        ..Play::default().fleet
    }
}

#[test]
fn near_is_near_far_is_far_and_each_direction_is_its_own() {
    let (fleet, mut chance) = (fleet(), fastrand::Rng::with_seed(1));
    let mut ways = Ways::new(&fleet).expect("told");
    assert_eq!(
        (0..6).map(|at| region(at, &fleet)).collect::<Vec<_>>(),
        [0, 0, 0, 1, 1, 1]
    );
    assert!(
        ways.truth(0, 1) < Duration::from_millis(8) && ways.truth(0, 4) > Duration::from_millis(40)
    );
    assert_eq!(ways.truth(0, 6), ways.truth(0, 1), "the hub");
    ways.each(Some(0), Some(4), |ways, a, b| ways.cut[a][b] = true);
    assert_eq!(ways.takes(0, 4, &mut chance), None);
    assert!(ways.takes(4, 0, &mut chance).is_some() && ways.takes(0, 3, &mut chance).is_some());
    ways.each(None, Some(2), |ways, a, b| ways.slow[a][b] = 5.0);
    assert!(ways.takes(1, 2, &mut chance).expect("comes") >= Duration::from_millis(15));
    assert!(ways.takes(2, 1, &mut chance).expect("comes") < Duration::from_millis(4));
    assert_eq!(Ways::new(&Play::default().fleet), None);
}

#[test]
fn bytes_come_late_where_datagrams_are_lost() {
    let (fleet, mut chance) = (fleet(), fastrand::Rng::with_seed(2));
    let mut ways = Ways::new(&fleet).expect("told");
    ways.each(None, None, |ways, a, b| ways.lost[a][b] = 0.3);
    let late = (0..1000)
        .filter(|_| ways.takes(0, 1, &mut chance).expect("comes") >= AGAIN)
        .count();
    let lost = (0..1000)
        .filter(|_| ways.datagram(0, 1, &mut chance).is_none())
        .count();
    assert!(
        (240..360).contains(&late) && (240..360).contains(&lost),
        "{late} {lost}"
    );
}
