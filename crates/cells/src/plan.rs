//! Placement: which tenants move to which cells, so that no cell exceeds its utilization limit and the cost of
//! refilling caches is small.
//!
//! An overloaded cell sheds the tenants with the lowest fill cost per load (a covering knapsack solved greedily
//! by density; the last pick is exchanged for the cheapest sufficient tenant, and redundant picks are dropped).
//! Shed tenants go, largest first, to the cell with the most headroom. No cell receives more at once than its
//! cold servers can take, and a shedding cell receives nothing: a tenant that cannot be placed stays in its
//! cell and needs its capacity there. The lower bound is the cost of a plan that may split tenants: what each
//! overloaded cell must shed, at the best densities.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// A tenant: its load (in the unit of capacity), the cost of refilling its objects in another cell, and the
/// index of its cell.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    pub name: String,
    pub load: f64,
    pub fill_kb: f64,
    pub cell: usize,
}

/// A cell: its capacity, and the share of it that may be moved there at once, while its servers are cold.
#[derive(Clone, Debug, PartialEq)]
pub struct CellCapacity {
    pub name: String,
    pub capacity: f64,
    pub cold_share: f64,
}

/// The reason for a move.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reason {
    /// The utilization of its cell exceeds the limit.
    Overloaded(f64),
    /// Its cell has no capacity.
    Closed,
}

#[derive(Clone, Debug, PartialEq)]
pub struct TenantMove {
    pub tenant: usize,
    pub from: usize,
    pub to: usize,
    pub reason: Reason,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub moves: Vec<TenantMove>,
    /// Tenants that should move but fit in no cell now.
    pub unplaced: Vec<usize>,
    /// The fill cost of the plan, and a lower bound of that of any plan.
    pub fill_kb: f64,
    pub lower_bound_kb: f64,
    /// The highest utilization of a cell, before and after the plan.
    pub peak_utilization: [f64; 2],
}

struct Headroom(f64, usize);

impl PartialEq for Headroom {
    fn eq(&self, other: &Headroom) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}
impl Eq for Headroom {}
impl PartialOrd for Headroom {
    fn partial_cmp(&self, other: &Headroom) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Headroom {
    fn cmp(&self, other: &Headroom) -> Ordering {
        self.0.total_cmp(&other.0).then(other.1.cmp(&self.1))
    }
}

/// Plans moves after which no cell exceeds `max_utilization`, as far as the capacity allows.
///
/// # Errors
/// An invalid input: a negative or non-finite load, cost or capacity, or a tenant in an unknown cell.
pub fn plan(
    tenants: &[Tenant],
    cells: &[CellCapacity],
    max_utilization: f64,
) -> Result<Plan, String> {
    let is_valid = |n: f64| n.is_finite() && n >= 0.0;
    if let Some(t) = tenants
        .iter()
        .find(|t| !is_valid(t.load) || !is_valid(t.fill_kb) || t.cell >= cells.len())
    {
        return Err(format!(
            "tenant {}: invalid load, fill cost or cell",
            t.name
        ));
    }
    if let Some(p) = cells
        .iter()
        .find(|p| !is_valid(p.capacity) || !(0.0..=1.0).contains(&p.cold_share))
    {
        return Err(format!("cell {}: invalid capacity or cold share", p.name));
    }
    if !(0.0..=1.0).contains(&max_utilization) {
        return Err(format!(
            "{max_utilization} is not a utilization from 0 to 1"
        ));
    }
    let mut loads = vec![0.0; cells.len()];
    let mut tenants_of_cell: Vec<Vec<usize>> = vec![Vec::new(); cells.len()];
    for (n, tenant) in tenants.iter().enumerate() {
        loads[tenant.cell] += tenant.load;
        tenants_of_cell[tenant.cell].push(n);
    }
    let peak_utilization = |loads: &[f64]| {
        let used = loads.iter().zip(cells).filter(|(load, _)| **load > 0.0);
        used.map(|(load, cell)| load / cell.capacity.max(1e-12))
            .fold(0.0, f64::max)
    };
    let before = peak_utilization(&loads);
    let (mut leaving, mut lower_bound_kb) = (Vec::new(), 0.0);
    for (index, cell) in cells.iter().enumerate() {
        let excess = loads[index] - max_utilization * cell.capacity;
        if excess > 1e-9 * loads[index] {
            let (shed, lower_bound) = shed(tenants, &tenants_of_cell[index], excess);
            lower_bound_kb += lower_bound;
            let utilization = loads[index] / cell.capacity.max(1e-12);
            let reason = if cell.capacity > 0.0 {
                Reason::Overloaded(utilization)
            } else {
                Reason::Closed
            };
            leaving.extend(shed.into_iter().map(|tenant| (tenant, reason)));
        }
    }
    // Largest first: small tenants fit into the remaining gaps.
    leaving.sort_by(|a, b| {
        tenants[b.0]
            .load
            .total_cmp(&tenants[a.0].load)
            .then(a.0.cmp(&b.0))
    });
    let mut is_shedding = vec![false; cells.len()];
    for (tenant, _) in &leaving {
        loads[tenants[*tenant].cell] -= tenants[*tenant].load;
        is_shedding[tenants[*tenant].cell] = true;
    }
    let headroom = |index: usize, load: f64, arrived: f64| {
        let cell: &CellCapacity = &cells[index];
        (max_utilization * cell.capacity - load).min(cell.cold_share * cell.capacity - arrived)
    };
    let mut headrooms: BinaryHeap<Headroom> = (0..cells.len())
        .filter(|c| !is_shedding[*c])
        .map(|c| Headroom(headroom(c, loads[c], 0.0), c))
        .collect();
    let (mut arrived, mut moves, mut unplaced, mut fill_kb) =
        (vec![0.0; cells.len()], Vec::new(), Vec::new(), 0.0);
    for (tenant, reason) in leaving {
        let moving = &tenants[tenant];
        let best = headrooms
            .peek()
            .filter(|best| best.0 >= moving.load)
            .map(|best| best.1);
        let Some(to) = best else {
            loads[moving.cell] += moving.load;
            unplaced.push(tenant);
            continue;
        };
        headrooms.pop();
        (loads[to], arrived[to]) = (loads[to] + moving.load, arrived[to] + moving.load);
        headrooms.push(Headroom(headroom(to, loads[to], arrived[to]), to));
        fill_kb += moving.fill_kb;
        moves.push(TenantMove {
            tenant,
            from: moving.cell,
            to,
            reason,
        });
    }
    Ok(Plan {
        moves,
        unplaced,
        fill_kb,
        lower_bound_kb,
        peak_utilization: [before, peak_utilization(&loads)],
    })
}

/// Selects tenants of a cell whose total load is at least `excess`. Also returns a lower bound of the fill cost.
fn shed(tenants: &[Tenant], members: &[usize], excess: f64) -> (Vec<usize>, f64) {
    let density = |n: &usize| tenants[*n].fill_kb / tenants[*n].load.max(1e-12);
    let mut candidates: Vec<usize> = members
        .iter()
        .copied()
        .filter(|n| tenants[*n].load > 0.0)
        .collect();
    candidates.sort_by(|a, b| density(a).total_cmp(&density(b)).then(a.cmp(b)));
    let (mut selected, mut load, mut lower_bound) = (Vec::new(), 0.0, 0.0);
    for n in &candidates {
        let tenant = &tenants[*n];
        lower_bound += tenant.fill_kb * ((excess - load) / tenant.load).clamp(0.0, 1.0);
        selected.push(*n);
        load += tenant.load;
        if load >= excess {
            break;
        }
    }
    // Replaces the last pick, which may be far larger than needed, by the cheapest sufficient tenant.
    if let Some(last) = selected.pop() {
        let need = excess - (load - tenants[last].load);
        let rest = candidates
            .iter()
            .filter(|n| !selected.contains(n) && tenants[**n].load >= need);
        let cheapest = rest.min_by(|a, b| tenants[**a].fill_kb.total_cmp(&tenants[**b].fill_kb));
        let replacement = cheapest.copied().unwrap_or(last);
        load += tenants[replacement].load - tenants[last].load;
        selected.push(replacement);
    }
    // Drops redundant picks, the most expensive first.
    selected.sort_by(|a, b| tenants[*b].fill_kb.total_cmp(&tenants[*a].fill_kb));
    selected.retain(|n| {
        let redundant = load - tenants[*n].load >= excess;
        load -= if redundant { tenants[*n].load } else { 0.0 };
        !redundant
    });
    (selected, lower_bound)
}

#[cfg(test)]
mod tests;
