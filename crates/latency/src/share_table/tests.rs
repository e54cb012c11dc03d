use super::*;
use proptest::prelude::*;

fn path(ms: f64, uncertainty: f64) -> Option<Estimate> {
    let p50 = Some(Duration::from_secs_f64(ms / 1e3));
    Some(Estimate {
        p50,
        p90: p50,
        lost: 0.0,
        uncertainty,
        reporters: 3,
    })
}

fn offer(edge: usize, ms: f64, capacity: f64) -> Offer {
    Offer {
        edge,
        path: path(ms, 0.05),
        capacity,
    }
}

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

#[test]
fn the_nearest_edges_are_filled_first_and_the_rest_is_unassigned() {
    let mut table = ShareTable::default();
    let offers = [
        offer(2, 30.0, 50.0),
        offer(1, 5.0, 40.0),
        offer(3, 60.0, 0.0),
    ];
    (0..20).for_each(|n| table.update(s(f64::from(n) * 0.25), 100.0, &offers));
    assert_eq!(table.shares(), [(1, 0.4), (2, 0.5), (3, 0.0)]);
    assert_eq!(
        [0.0, 0.39, 0.41, 0.89, 0.91].map(|at| table.edge_at(at)),
        [Some(1), Some(1), Some(2), Some(2), None]
    );
}

#[test]
fn noise_does_not_change_the_order_and_a_true_change_does() {
    let mut table = ShareTable::default();
    let mut rng = fastrand::Rng::with_seed(4);
    let mut orders = 0;
    let mut last = Vec::new();
    for n in 0..400 {
        let noisy = |edge: usize, ms: f64, rng: &mut fastrand::Rng| Offer {
            edge,
            path: path(ms * (1.0 + 0.05 * (rng.f64() * 2.0 - 1.0)), 0.05),
            capacity: 100.0,
        };
        let slow = if n < 200 { 10.4 } else { 30.0 };
        let offers = [
            noisy(0, 10.0, &mut rng),
            noisy(1, slow, &mut rng),
            noisy(2, 10.2, &mut rng),
        ];
        table.update(s(f64::from(n) * 0.25), 50.0, &offers);
        let order: Vec<usize> = table.shares().iter().map(|(edge, _)| *edge).collect();
        orders += usize::from(order != last);
        last = order;
    }
    assert!(
        orders <= 2,
        "{orders} orders; one at the start and one after the change are expected"
    );
    assert_eq!(last.last(), Some(&1));
}

#[test]
fn shares_move_by_the_step_but_leave_an_unavailable_edge_at_once() {
    let mut table = ShareTable::default();
    table.update(
        s(0.0),
        100.0,
        &[offer(1, 5.0, 200.0), offer(2, 20.0, 200.0)],
    );
    assert_eq!(table.shares()[0], (1, INITIAL_STEP));
    let mut previous = INITIAL_STEP;
    for n in 1..10 {
        table.update(
            s(f64::from(n) * 0.1),
            100.0,
            &[offer(1, 5.0, 200.0), offer(2, 20.0, 200.0)],
        );
        let share = table.shares()[0].1;
        assert!(share - previous <= MAX_STEP_PER_SECOND * 0.1 + 1e-9);
        previous = share;
    }
    let full = table.shares()[0].1;
    table.update(s(1.0), 100.0, &[offer(1, 5.0, 0.0), offer(2, 20.0, 200.0)]);
    assert_eq!(
        table.shares().iter().find(|(e, _)| *e == 1),
        Some(&(1, 0.0))
    );
    let other = table
        .shares()
        .iter()
        .find(|(e, _)| *e == 2)
        .expect("a listed edge")
        .1;
    assert!(
        other < full,
        "its whole share must not move to the next edge at once: {other}"
    );
}

#[test]
fn shares_stay_assigned_while_they_move_back() {
    let mut table = ShareTable::default();
    let all = [
        offer(0, 0.0, 200.0),
        offer(1, 5.0, 40.0),
        offer(2, 20.0, 40.0),
        offer(3, 30.0, 40.0),
    ];
    let away = |home: f64| {
        [
            Offer {
                capacity: home,
                ..all[0]
            },
            all[1],
            all[2],
            all[3],
        ]
    };
    table.adopt(s(0.0), &[(0, 1.0)]);
    (1..20).for_each(|n| table.update(s(f64::from(n) * 0.25), 100.0, &away(0.0)));
    assert_eq!(table.shares()[0], (0, 0.0));
    for n in 20..40 {
        table.update(
            s(f64::from(n) * 0.25),
            100.0,
            &away(if n < 24 { 30.0 } else { 200.0 }),
        );
        let sum: f64 = table.shares().iter().map(|(_, share)| share).sum();
        assert!(sum > 0.999, "sum {sum} at update {n}: {:?}", table.shares());
    }
    assert_eq!(table.shares()[0], (0, 1.0));
}

/// The fastest edge slows down under the load that is sent to it, and all routers read the same
/// table.
#[test]
fn shares_do_not_oscillate_when_load_makes_an_edge_slow() {
    let mut table = ShareTable::default();
    let (demand, capacity) = (100.0, [60.0, 60.0, 60.0]);
    let (mut history, mut load) = (Vec::new(), [0.0f64; 3]);
    for n in 0..400 {
        // The owner reports, a second late, the capacity that is left below nine tenths.
        let late: &[f64; 3] = history
            .get(history.len().saturating_sub(4))
            .unwrap_or(&load);
        let offers: Vec<Offer> = (0..3)
            .map(|e| {
                let own = 20.0;
                let queue = 1.0 / (1.0 - ((own + late[e]) / capacity[e]).min(0.98));
                let capacity = (0.9 * capacity[e] - own).max(0.0);
                // Half of the queueing time is attributed to the path, as by an inaccurate
                // estimate.
                offer(e, [5.0, 8.0, 12.0][e] * (0.5 + 0.5 * queue), capacity)
            })
            .collect();
        table.update(s(f64::from(n) * 0.25), demand, &offers);
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
    fn shares_stay_valid_for_any_offers(
        updates in prop::collection::vec(
            (
                prop::collection::vec((0usize..6, 0.1f64..500.0, 0.0f64..200.0, 0.0f64..0.5), 0..6),
                0.0f64..200.0,
                0.0f64..3.0,
            ),
            1..20,
        ),
    ) {
        let (mut table, mut now) = (ShareTable::default(), 0.0);
        for (offers, demand, elapsed) in updates {
            now += elapsed;
            let mut seen = std::collections::BTreeSet::new();
            let offers: Vec<Offer> = offers.into_iter().filter(|(edge, ..)| seen.insert(*edge))
                .map(|(edge, ms, capacity, uncertainty)| Offer { edge, path: path(ms, uncertainty), capacity }).collect();
            table.update(s(now), demand, &offers);
            prop_assert_eq!(table.shares().len(), offers.len());
            let sum: f64 = table.shares().iter().map(|(_, share)| share).sum();
            prop_assert!(sum <= 1.0 + 1e-9 && table.shares().iter().all(|(_, share)| *share >= 0.0));
            for offer in &offers {
                let share = table.shares().iter().find(|(e, _)| *e == offer.edge).expect("an offered edge").1;
                prop_assert!(offer.capacity > 0.0 || share == 0.0);
            }
            prop_assert!(table.edge_at(0.9999999).is_none() || sum > 0.99);
        }
    }
}
