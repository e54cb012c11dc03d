use super::*;
use proptest::prelude::*;

fn way(ms: f64, doubt: f64) -> Option<Estimate> {
    let p50 = Some(Duration::from_secs_f64(ms / 1e3));
    Some(Estimate {
        p50,
        p90: p50,
        lost: 0.0,
        doubt,
        tellers: 3,
    })
}

fn offer(edge: usize, ms: f64, room: f64) -> Offer {
    Offer {
        edge,
        way: way(ms, 0.05),
        room,
    }
}

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

#[test]
fn near_first_as_far_as_there_is_room_and_the_rest_has_nowhere_to_go() {
    let mut table = Table::default();
    let offers = [
        offer(2, 30.0, 50.0),
        offer(1, 5.0, 40.0),
        offer(3, 60.0, 0.0),
    ];
    (0..20).for_each(|n| table.turn(s(f64::from(n) * 0.25), 100.0, &offers));
    assert_eq!(table.shares(), [(1, 0.4), (2, 0.5), (3, 0.0)]);
    assert_eq!(
        [0.0, 0.39, 0.41, 0.89, 0.91].map(|at| table.takes(at)),
        [Some(1), Some(1), Some(2), Some(2), None]
    );
}

#[test]
fn noise_turns_no_order_and_a_true_change_does() {
    let mut table = Table::default();
    let mut chance = fastrand::Rng::with_seed(4);
    let mut orders = 0;
    let mut last = Vec::new();
    for n in 0..400 {
        let noisy = |edge: usize, ms: f64, chance: &mut fastrand::Rng| Offer {
            edge,
            way: way(ms * (1.0 + 0.05 * (chance.f64() * 2.0 - 1.0)), 0.05),
            room: 100.0,
        };
        let slow = if n < 200 { 10.4 } else { 30.0 };
        let offers = [
            noisy(0, 10.0, &mut chance),
            noisy(1, slow, &mut chance),
            noisy(2, 10.2, &mut chance),
        ];
        table.turn(s(f64::from(n) * 0.25), 50.0, &offers);
        let order: Vec<usize> = table.shares().iter().map(|(edge, _)| *edge).collect();
        orders += usize::from(order != last);
        last = order;
    }
    assert!(
        orders <= 2,
        "{orders} orders: the first, and one after the change"
    );
    assert_eq!(last.last(), Some(&1));
}

#[test]
fn shares_move_by_the_step_but_leave_who_is_gone_at_once() {
    let mut table = Table::default();
    table.turn(
        s(0.0),
        100.0,
        &[offer(1, 5.0, 200.0), offer(2, 20.0, 200.0)],
    );
    assert_eq!(table.shares()[0], (1, FIRST));
    let mut before = FIRST;
    for n in 1..10 {
        table.turn(
            s(f64::from(n) * 0.1),
            100.0,
            &[offer(1, 5.0, 200.0), offer(2, 20.0, 200.0)],
        );
        let share = table.shares()[0].1;
        assert!(share - before <= STEP * 0.1 + 1e-9);
        before = share;
    }
    let full = table.shares()[0].1;
    table.turn(s(1.0), 100.0, &[offer(1, 5.0, 0.0), offer(2, 20.0, 200.0)]);
    assert_eq!(
        table.shares().iter().find(|(e, _)| *e == 1),
        Some(&(1, 0.0))
    );
    let other = table
        .shares()
        .iter()
        .find(|(e, _)| *e == 2)
        .expect("there")
        .1;
    assert!(
        other < full,
        "what it had does not fall on the next one at once: {other}"
    );
}

#[test]
fn what_goes_back_is_held_by_somebody_all_the_way() {
    let mut table = Table::default();
    let all = [
        offer(0, 0.0, 200.0),
        offer(1, 5.0, 40.0),
        offer(2, 20.0, 40.0),
        offer(3, 30.0, 40.0),
    ];
    let away = |home: f64| {
        [
            Offer {
                room: home,
                ..all[0]
            },
            all[1],
            all[2],
            all[3],
        ]
    };
    table.adopt(s(0.0), &[(0, 1.0)]);
    (1..20).for_each(|n| table.turn(s(f64::from(n) * 0.25), 100.0, &away(0.0)));
    assert_eq!(table.shares()[0], (0, 0.0));
    for n in 20..40 {
        table.turn(
            s(f64::from(n) * 0.25),
            100.0,
            &away(if n < 24 { 30.0 } else { 200.0 }),
        );
        let sum: f64 = table.shares().iter().map(|(_, share)| share).sum();
        assert!(sum > 0.999, "{sum} at {n}: {:?}", table.shares());
    }
    assert_eq!(table.shares()[0], (0, 1.0));
}

/// The fastest edge grows slow by the very work that is sent to it, and everybody reads the same table.
#[test]
fn no_swing_though_what_is_sent_makes_an_edge_slow() {
    let mut table = Table::default();
    let (demand, capacity) = (100.0, [60.0, 60.0, 60.0]);
    let (mut history, mut load) = (Vec::new(), [0.0f64; 3]);
    for n in 0..400 {
        // Its owner tells the room that is left under nine tenths of its capacity, a second late.
        let late: &[f64; 3] = history
            .get(history.len().saturating_sub(4))
            .unwrap_or(&load);
        let offers: Vec<Offer> = (0..3)
            .map(|e| {
                let own = 20.0;
                let queue = 1.0 / (1.0 - ((own + late[e]) / capacity[e]).min(0.98));
                let room = (0.9 * capacity[e] - own).max(0.0);
                // Half of the queue's wait is taken for the way, as by a poor estimate.
                offer(e, [5.0, 8.0, 12.0][e] * (0.5 + 0.5 * queue), room)
            })
            .collect();
        table.turn(s(f64::from(n) * 0.25), demand, &offers);
        load = [0.0; 3];
        table
            .shares()
            .iter()
            .for_each(|(e, share)| load[*e] = share * demand);
        history.push(load);
    }
    let mean = |e: usize| history[200..].iter().map(|l| l[e]).sum::<f64>() / 200.0;
    for e in 0..3 {
        let swings = history[200..].windows(20).filter(|w| {
            let (low, high) = w
                .iter()
                .map(|l| l[e])
                .fold((f64::INFINITY, 0.0f64), |(a, b), l| (a.min(l), b.max(l)));
            high > 1.5 * mean(e) && low < 0.5 * mean(e)
        });
        assert_eq!(swings.count(), 0, "edge {e}: mean {}", mean(e));
    }
}

proptest! {
    #[test]
    fn shares_are_shares_whatever_is_offered(
        turns in prop::collection::vec(
            (
                prop::collection::vec((0usize..6, 0.1f64..500.0, 0.0f64..200.0, 0.0f64..0.5), 0..6),
                0.0f64..200.0,
                0.0f64..3.0,
            ),
            1..20,
        ),
    ) {
        let (mut table, mut now) = (Table::default(), 0.0);
        for (offers, demand, later) in turns {
            now += later;
            let mut seen = std::collections::BTreeSet::new();
            let offers: Vec<Offer> = offers.into_iter().filter(|(edge, ..)| seen.insert(*edge))
                .map(|(edge, ms, room, doubt)| Offer { edge, way: way(ms, doubt), room }).collect();
            table.turn(s(now), demand, &offers);
            prop_assert_eq!(table.shares().len(), offers.len());
            let sum: f64 = table.shares().iter().map(|(_, share)| share).sum();
            prop_assert!(sum <= 1.0 + 1e-9 && table.shares().iter().all(|(_, share)| *share >= 0.0));
            for offer in &offers {
                let share = table.shares().iter().find(|(e, _)| *e == offer.edge).expect("offered").1;
                prop_assert!(offer.room > 0.0 || share == 0.0);
            }
            prop_assert!(table.takes(0.9999999).is_none() || sum > 0.99);
        }
    }
}
