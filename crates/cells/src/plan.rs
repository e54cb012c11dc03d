//! Placement: which tenants go to which cells, so that no cell is asked for more than it bears and as little
//! as can be has to be filled anew.
//!
//! A cell over its bound sheds tenants: those that cost least to fill for the load they take along, then
//! fewer where fewer do (covering knapsack by density, with the last one exchanged and the needless left
//! out). What is shed goes to the cell with most room, largest first; no cell takes more at once than its
//! cold servers bear, and none that sheds takes any: who finds no place after all stays there, in room that
//! would be gone. The lower bound is of a plan that may cut tenants in pieces: what each cell over its bound
//! must shed, at the best density it has.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// A tenant: what it asks for (in the unit of capacity), what it would cost to fill anew, where it is.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    pub name: String,
    pub load: f64,
    pub fill_kb: f64,
    pub cell: usize,
}

/// A cell: what it bears, and which share of that may arrive at once on servers that are cold for it.
#[derive(Clone, Debug, PartialEq)]
pub struct Place {
    pub name: String,
    pub capacity: f64,
    pub cold: f64,
}

/// Why a tenant moves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Why {
    /// Its cell is asked for so much of what it bears.
    Crowded(f64),
    /// Its cell bears nothing any more.
    Closed,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    pub tenant: usize,
    pub from: usize,
    pub to: usize,
    pub why: Why,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub steps: Vec<Step>,
    /// Tenants that should move and find no place now.
    pub stuck: Vec<usize>,
    /// What has to be filled anew, and what any plan at least has to.
    pub fill_kb: f64,
    pub bound_kb: f64,
    /// The fullest cell before and after, as a share of what it bears.
    pub fullest: [f64; 2],
}

struct Room(f64, usize);

impl PartialEq for Room {
    fn eq(&self, other: &Room) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}
impl Eq for Room {}
impl PartialOrd for Room {
    fn partial_cmp(&self, other: &Room) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Room {
    fn cmp(&self, other: &Room) -> Ordering {
        self.0.total_cmp(&other.0).then(other.1.cmp(&self.1))
    }
}

/// A plan after which no cell is asked for more than the share `most` of what it bears, as far as there is
/// room.
///
/// # Errors
/// A figure that is none: a negative or infinite load, cost or capacity, or a tenant in a cell that is not
/// there.
pub fn plan(tenants: &[Tenant], places: &[Place], most: f64) -> Result<Plan, String> {
    let sound = |n: f64| n.is_finite() && n >= 0.0;
    if let Some(t) = tenants
        .iter()
        .find(|t| !sound(t.load) || !sound(t.fill_kb) || t.cell >= places.len())
    {
        return Err(format!(
            "tenant {}: its load, its fill or its cell makes no sense",
            t.name
        ));
    }
    if let Some(p) = places
        .iter()
        .find(|p| !sound(p.capacity) || !(0.0..=1.0).contains(&p.cold))
    {
        return Err(format!(
            "cell {}: its capacity or its cold share makes no sense",
            p.name
        ));
    }
    if !(0.0..=1.0).contains(&most) {
        return Err(format!("{most} is not a share"));
    }
    let mut loads = vec![0.0; places.len()];
    let mut of_cell: Vec<Vec<usize>> = vec![Vec::new(); places.len()];
    for (n, tenant) in tenants.iter().enumerate() {
        loads[tenant.cell] += tenant.load;
        of_cell[tenant.cell].push(n);
    }
    let fullest = |loads: &[f64]| {
        let used = loads.iter().zip(places).filter(|(load, _)| **load > 0.0);
        used.map(|(load, place)| load / place.capacity.max(1e-12))
            .fold(0.0, f64::max)
    };
    let before = fullest(&loads);
    let (mut leaving, mut bound_kb) = (Vec::new(), 0.0);
    for (cell, place) in places.iter().enumerate() {
        let over = loads[cell] - most * place.capacity;
        if over > 1e-9 * loads[cell] {
            let (shed, least) = shed(tenants, &of_cell[cell], over);
            bound_kb += least;
            let share = loads[cell] / place.capacity.max(1e-12);
            let why = if place.capacity > 0.0 {
                Why::Crowded(share)
            } else {
                Why::Closed
            };
            leaving.extend(shed.into_iter().map(|tenant| (tenant, why)));
        }
    }
    // Largest first: small ones find room between them.
    leaving.sort_by(|a, b| {
        tenants[b.0]
            .load
            .total_cmp(&tenants[a.0].load)
            .then(a.0.cmp(&b.0))
    });
    let mut sheds = vec![false; places.len()];
    for (tenant, _) in &leaving {
        loads[tenants[*tenant].cell] -= tenants[*tenant].load;
        sheds[tenants[*tenant].cell] = true;
    }
    let room = |cell: usize, load: f64, arrived: f64| {
        let place: &Place = &places[cell];
        (most * place.capacity - load).min(place.cold * place.capacity - arrived)
    };
    let mut rooms: BinaryHeap<Room> = (0..places.len())
        .filter(|c| !sheds[*c])
        .map(|c| Room(room(c, loads[c], 0.0), c))
        .collect();
    let (mut arrived, mut steps, mut stuck, mut fill_kb) =
        (vec![0.0; places.len()], Vec::new(), Vec::new(), 0.0);
    for (tenant, why) in leaving {
        let told = &tenants[tenant];
        let best = rooms
            .peek()
            .filter(|best| best.0 >= told.load)
            .map(|best| best.1);
        let Some(to) = best else {
            loads[told.cell] += told.load;
            stuck.push(tenant);
            continue;
        };
        rooms.pop();
        (loads[to], arrived[to]) = (loads[to] + told.load, arrived[to] + told.load);
        rooms.push(Room(room(to, loads[to], arrived[to]), to));
        fill_kb += told.fill_kb;
        steps.push(Step {
            tenant,
            from: told.cell,
            to,
            why,
        });
    }
    Ok(Plan {
        steps,
        stuck,
        fill_kb,
        bound_kb,
        fullest: [before, fullest(&loads)],
    })
}

/// Which of a cell's tenants leave, so that at least so much load does; and what that costs at least.
fn shed(tenants: &[Tenant], cell: &[usize], over: f64) -> (Vec<usize>, f64) {
    let density = |n: &usize| tenants[*n].fill_kb / tenants[*n].load.max(1e-12);
    let mut row: Vec<usize> = cell
        .iter()
        .copied()
        .filter(|n| tenants[*n].load > 0.0)
        .collect();
    row.sort_by(|a, b| density(a).total_cmp(&density(b)).then(a.cmp(b)));
    let (mut picked, mut load, mut bound) = (Vec::new(), 0.0, 0.0);
    for n in &row {
        let tenant = &tenants[*n];
        bound += tenant.fill_kb * ((over - load) / tenant.load).clamp(0.0, 1.0);
        picked.push(*n);
        load += tenant.load;
        if load >= over {
            break;
        }
    }
    // In place of the last one, which may be far larger than what is still needed: the cheapest that is
    // enough.
    if let Some(last) = picked.pop() {
        let need = over - (load - tenants[last].load);
        let rest = row
            .iter()
            .filter(|n| !picked.contains(n) && tenants[**n].load >= need);
        let cheapest = rest.min_by(|a, b| tenants[**a].fill_kb.total_cmp(&tenants[**b].fill_kb));
        let taken = cheapest.copied().unwrap_or(last);
        load += tenants[taken].load - tenants[last].load;
        picked.push(taken);
    }
    // Whoever need not go stays, the dearest first.
    picked.sort_by(|a, b| tenants[*b].fill_kb.total_cmp(&tenants[*a].fill_kb));
    picked.retain(|n| {
        let needless = load - tenants[*n].load >= over;
        load -= if needless { tenants[*n].load } else { 0.0 };
        !needless
    });
    (picked, bound)
}

#[cfg(test)]
mod tests;
