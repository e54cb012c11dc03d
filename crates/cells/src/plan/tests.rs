use super::*;
use microlp::{ComparisonOp, OptimizationDirection, Problem};
use proptest::prelude::*;

/// Tenants of uneven size on cells of which some are asked for too much.
fn fleet(seed: u64, tenants: usize, cells: usize) -> (Vec<Tenant>, Vec<Place>) {
    let mut chance = fastrand::Rng::with_seed(seed);
    let place = |n| Place {
        name: format!("c{n}"),
        capacity: 10.0,
        cold: 0.3,
    };
    let places: Vec<Place> = (0..cells).map(place).collect();
    let mean = 0.6 * 10.0 * cells as f64 / tenants as f64;
    let tenant = |n: usize| {
        // A fifth of the cells hold a third more than their share.
        let cell = if chance.u8(..10) < 3 {
            chance.usize(..cells.div_ceil(5))
        } else {
            chance.usize(..cells)
        };
        let load = mean * (0.2 + 1.6 * chance.f64().powi(2)) * 1.4;
        Tenant {
            name: format!("t{n}"),
            load,
            fill_kb: 100.0 + 10_000.0 * chance.f64(),
            cell,
        }
    };
    ((0..tenants).map(tenant).collect(), places)
}

#[test]
fn ten_thousand_tenants_are_placed_near_the_bound_in_no_time() {
    let (tenants, places) = fleet(3, 10_000, 100);
    let begun = std::time::Instant::now();
    let plan = plan(&tenants, &places, 0.8).unwrap();
    let gap = plan.fill_kb / plan.bound_kb - 1.0;
    println!(
        "{} of 10000 move, {:?} full, gap {gap:.4}, {:?}",
        plan.steps.len(),
        plan.fullest,
        begun.elapsed()
    );
    assert!(plan.stuck.is_empty() && plan.fullest[0] > 1.0 && plan.fullest[1] <= 0.8 + 1e-9);
    assert!((0.0..0.05).contains(&gap), "{gap}");
}

#[test]
fn a_closed_cell_is_emptied_and_what_finds_no_room_is_told() {
    let tenant = |n: usize, load, cell| Tenant {
        name: n.to_string(),
        load,
        fill_kb: 1.0,
        cell,
    };
    let place = |capacity| Place {
        name: "c".into(),
        capacity,
        cold: 0.5,
    };
    let tenants = [tenant(0, 2.0, 0), tenant(1, 4.0, 0), tenant(2, 1.0, 1)];
    let plan = plan(&tenants, &[place(0.0), place(10.0)], 0.8).unwrap();
    assert_eq!(
        plan.stuck,
        [0],
        "cold servers take half of what they bear at once"
    );
    assert_eq!(
        plan.steps,
        [Step {
            tenant: 1,
            from: 0,
            to: 1,
            why: Why::Closed
        }]
    );
    assert!(super::plan(&[tenant(0, f64::NAN, 0)], &[place(1.0)], 0.8).is_err());
    assert!(super::plan(&[tenant(0, 1.0, 3)], &[place(1.0)], 0.8).is_err());
}

/// The largest leaves the first cell, which would then have room for what leaves the second; but it finds
/// no place, and stays.
#[test]
fn a_cell_that_sheds_takes_nothing() {
    let tenant = |n: usize, load, cell| Tenant {
        name: n.to_string(),
        load,
        fill_kb: 1.0,
        cell,
    };
    let place = || Place {
        name: "c".into(),
        capacity: 10.0,
        cold: 0.5,
    };
    let tenants = [
        tenant(0, 9.0, 0),
        tenant(1, 4.5, 1),
        tenant(2, 4.5, 1),
        tenant(3, 7.0, 2),
    ];
    let plan = plan(&tenants, &[place(), place(), place()], 0.8).unwrap();
    assert!(plan.steps.is_empty() && plan.stuck.len() == 2, "{plan:?}");
    assert!(plan.fullest[1] <= plan.fullest[0]);
}

/// The same plan as a linear program, tenants cut as it likes: what must leave a cell, and what others
/// take.
fn relaxed(tenants: &[Tenant], places: &[Place], most: f64) -> Option<f64> {
    let mut problem = Problem::new(OptimizationDirection::Minimize);
    let mut rows = Vec::new();
    for tenant in tenants {
        let row: Vec<_> = (0..places.len())
            .map(|cell| {
                problem.add_var(
                    if cell == tenant.cell {
                        0.0
                    } else {
                        tenant.fill_kb
                    },
                    (0.0, 1.0),
                )
            })
            .collect();
        problem.add_constraint(row.iter().map(|v| (*v, 1.0)), ComparisonOp::Eq, 1.0);
        rows.push(row);
    }
    for (cell, place) in places.iter().enumerate() {
        let all = rows
            .iter()
            .zip(tenants)
            .map(|(row, tenant)| (row[cell], tenant.load));
        problem.add_constraint(all, ComparisonOp::Le, most * place.capacity);
        let new = rows
            .iter()
            .zip(tenants)
            .filter(|(_, t)| t.cell != cell)
            .map(|(row, t)| (row[cell], t.load));
        problem.add_constraint(new, ComparisonOp::Le, place.cold * place.capacity);
    }
    problem.solve().ok().map(|solution| solution.objective())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    /// Whatever fleet: the plan keeps its bounds, costs no less than the solver's and the lower bound,
    /// and the lower bound no more than the solver's.
    #[test]
    fn plans_keep_their_bounds_beside_a_solver(
        seed in any::<u64>(),
        tenants in 10usize..80,
        cells in 2usize..7,
    ) {
        let (tenants, places) = fleet(seed, tenants, cells);
        let plan = plan(&tenants, &places, 0.8).unwrap();
        let (mut loads, mut arrived) = (vec![0.0; cells], vec![0.0; cells]);
        tenants.iter().for_each(|t| loads[t.cell] += t.load);
        let before = loads.clone();
        for step in &plan.steps {
            let load = tenants[step.tenant].load;
            (loads[step.from], loads[step.to]) = (loads[step.from] - load, loads[step.to] + load);
            arrived[step.to] += load;
            prop_assert!(before[step.from] > 0.8 * 10.0, "only who is over its bound sheds");
        }
        for cell in 0..cells {
            prop_assert!(arrived[cell] <= 3.0 + 1e-9);
            prop_assert!(loads[cell] <= 8.0 + 1e-9 || arrived[cell] == 0.0 && !plan.stuck.is_empty());
        }
        if plan.stuck.is_empty() && let Some(solved) = relaxed(&tenants, &places, 0.8) {
            prop_assert!(plan.fill_kb >= solved - 1e-6, "{} under the solver's {solved}", plan.fill_kb);
            let bound = plan.bound_kb;
            prop_assert!(bound <= solved + 1e-6, "bound {bound} over the solver's {solved}");
        }
    }
}
