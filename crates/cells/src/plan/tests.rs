use super::*;
use microlp::{ComparisonOp, OptimizationDirection, Problem};
use proptest::prelude::*;

/// Tenants of uneven size; some cells are overloaded.
fn fleet(seed: u64, tenants: usize, cells: usize) -> (Vec<Tenant>, Vec<CellCapacity>) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let cell_capacity = |n| CellCapacity {
        name: format!("c{n}"),
        capacity: 10.0,
        cold_share: 0.3,
    };
    let capacities: Vec<CellCapacity> = (0..cells).map(cell_capacity).collect();
    let mean = 0.6 * 10.0 * cells as f64 / tenants as f64;
    let tenant = |n: usize| {
        // Three in ten tenants go to the first fifth of the cells, the others to any cell.
        let cell = if rng.u8(..10) < 3 {
            rng.usize(..cells.div_ceil(5))
        } else {
            rng.usize(..cells)
        };
        let load = mean * (0.2 + 1.6 * rng.f64().powi(2)) * 1.4;
        Tenant {
            name: format!("t{n}"),
            load,
            fill_kb: 100.0 + 10_000.0 * rng.f64(),
            cell,
        }
    };
    ((0..tenants).map(tenant).collect(), capacities)
}

#[test]
fn ten_thousand_tenants_are_placed_near_the_lower_bound() {
    let (tenants, capacities) = fleet(3, 10_000, 100);
    let started = std::time::Instant::now();
    let plan = plan(&tenants, &capacities, 0.8).unwrap();
    let gap = plan.fill_kb / plan.lower_bound_kb - 1.0;
    println!(
        "{} of 10000 move, {:?} full, gap {gap:.4}, {:?}",
        plan.moves.len(),
        plan.peak_utilization,
        started.elapsed()
    );
    assert!(
        plan.unplaced.is_empty()
            && plan.peak_utilization[0] > 1.0
            && plan.peak_utilization[1] <= 0.8 + 1e-9
    );
    assert!((0.0..0.05).contains(&gap), "{gap}");
}

#[test]
fn a_closed_cell_is_emptied_and_unplaced_tenants_are_reported() {
    let tenant = |n: usize, load, cell| Tenant {
        name: n.to_string(),
        load,
        fill_kb: 1.0,
        cell,
    };
    let cell_capacity = |capacity| CellCapacity {
        name: "c".into(),
        capacity,
        cold_share: 0.5,
    };
    let tenants = [tenant(0, 2.0, 0), tenant(1, 4.0, 0), tenant(2, 1.0, 1)];
    let plan = plan(&tenants, &[cell_capacity(0.0), cell_capacity(10.0)], 0.8).unwrap();
    assert_eq!(
        plan.unplaced,
        [0],
        "cold servers take at most half of their capacity at once"
    );
    assert_eq!(
        plan.moves,
        [TenantMove {
            tenant: 1,
            from: 0,
            to: 1,
            reason: Reason::Closed
        }]
    );
    assert!(super::plan(&[tenant(0, f64::NAN, 0)], &[cell_capacity(1.0)], 0.8).is_err());
    assert!(super::plan(&[tenant(0, 1.0, 3)], &[cell_capacity(1.0)], 0.8).is_err());
}

/// The tenant that should leave the first cell cannot be placed and stays, so the first cell must not take the
/// tenant that leaves the second.
#[test]
fn a_shedding_cell_receives_nothing() {
    let tenant = |n: usize, load, cell| Tenant {
        name: n.to_string(),
        load,
        fill_kb: 1.0,
        cell,
    };
    let cell_capacity = || CellCapacity {
        name: "c".into(),
        capacity: 10.0,
        cold_share: 0.5,
    };
    let tenants = [
        tenant(0, 9.0, 0),
        tenant(1, 4.5, 1),
        tenant(2, 4.5, 1),
        tenant(3, 7.0, 2),
    ];
    let plan = plan(
        &tenants,
        &[cell_capacity(), cell_capacity(), cell_capacity()],
        0.8,
    )
    .unwrap();
    assert!(
        plan.moves.is_empty() && plan.unplaced.len() == 2,
        "{plan:?}"
    );
    assert!(plan.peak_utilization[1] <= plan.peak_utilization[0]);
}

/// The cost of the same plan as a linear program, which may split tenants.
fn optimal_relaxed_cost(
    tenants: &[Tenant],
    capacities: &[CellCapacity],
    max_utilization: f64,
) -> Option<f64> {
    let mut problem = Problem::new(OptimizationDirection::Minimize);
    let mut rows = Vec::new();
    for tenant in tenants {
        let row: Vec<_> = (0..capacities.len())
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
    for (cell, cell_capacity) in capacities.iter().enumerate() {
        let all = rows
            .iter()
            .zip(tenants)
            .map(|(row, tenant)| (row[cell], tenant.load));
        problem.add_constraint(
            all,
            ComparisonOp::Le,
            max_utilization * cell_capacity.capacity,
        );
        let new = rows
            .iter()
            .zip(tenants)
            .filter(|(_, t)| t.cell != cell)
            .map(|(row, t)| (row[cell], t.load));
        problem.add_constraint(
            new,
            ComparisonOp::Le,
            cell_capacity.cold_share * cell_capacity.capacity,
        );
    }
    problem.solve().ok().map(|solution| solution.objective())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    /// For any fleet, the plan keeps its limits and costs no less than the solver's optimum, which is no less than
    /// the lower bound.
    #[test]
    fn plans_keep_their_limits_and_agree_with_a_solver(
        seed in any::<u64>(),
        tenants in 10usize..80,
        cells in 2usize..7,
    ) {
        let (tenants, capacities) = fleet(seed, tenants, cells);
        let plan = plan(&tenants, &capacities, 0.8).unwrap();
        let (mut loads, mut arrived) = (vec![0.0; cells], vec![0.0; cells]);
        tenants.iter().for_each(|t| loads[t.cell] += t.load);
        let before = loads.clone();
        for step in &plan.moves {
            let load = tenants[step.tenant].load;
            (loads[step.from], loads[step.to]) = (loads[step.from] - load, loads[step.to] + load);
            arrived[step.to] += load;
            prop_assert!(before[step.from] > 0.8 * 10.0, "only an overloaded cell sheds");
        }
        for cell in 0..cells {
            prop_assert!(arrived[cell] <= 3.0 + 1e-9);
            prop_assert!(loads[cell] <= 8.0 + 1e-9 || arrived[cell] == 0.0 && !plan.unplaced.is_empty());
        }
        if plan.unplaced.is_empty() && let Some(solved) = optimal_relaxed_cost(&tenants, &capacities, 0.8) {
            prop_assert!(plan.fill_kb >= solved - 1e-6, "{} under the solver's {solved}", plan.fill_kb);
            let bound = plan.lower_bound_kb;
            prop_assert!(bound <= solved + 1e-6, "bound {bound} over the solver's {solved}");
        }
    }
}
