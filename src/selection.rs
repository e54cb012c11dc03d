//! Server selection for a part of an object: weighted rendezvous hashing, in one step for few
//! servers and in two steps for many.
//!
//! Each server computes a draw for a part, and the server with the lowest draw is preferred.
//! Routers with the same list agree, and a server that leaves moves only its own parts. The cost is
//! one draw per server. In a large pool, a part first selects one of [`GROUP_COUNT`] groups,
//! weighted by the sum of its members' weights, and then a member of that group. Servers still get
//! parts in proportion to their weights; a server that leaves moves about as many parts of other
//! members of its group as of its own.
//!
//! Between [`ONE_STEP_LIMIT`] servers and twice as many, a growing share of the parts is selected
//! in two steps, so that no single server that joins or leaves moves many.

use chalkhall_stats::{name_seed, rendezvous_score_seeded};
use std::rc::Rc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Up to this number of servers, all parts are selected in one step; from twice as many, all in
/// two.
pub const ONE_STEP_LIMIT: usize = 256;
/// A selection that has considered this number of servers without finding a suitable one considers
/// no further group.
pub const CANDIDATE_LIMIT: usize = 256;
/// The number of groups in a large pool. A two-step selection takes one draw per group, and one per
/// member of the selected group.
const GROUP_COUNT: usize = 64;
/// The seed of the hash that decides whether a part is selected in two steps.
const STEPS_SEED: u64 = 0x7f4a_7c15_9e37_79b9;

/// A server that may be selected.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The caller's slot of the server.
    pub slot: usize,
    name_seed: u64,
    weight: f64,
    name: Rc<str>,
}

impl Candidate {
    /// Creates a candidate with the weight that scales its draws.
    pub fn new(slot: usize, name: &Rc<str>, weight: f64) -> Candidate {
        Candidate {
            slot,
            name_seed: name_seed(name),
            weight,
            name: name.clone(),
        }
    }

    /// The candidate's group in a large pool, which depends on the name only.
    fn group(&self) -> usize {
        // The draws use the same hash as their seed; these bits of it are nearly independent of
        // them.
        (self.name_seed >> 32) as usize % GROUP_COUNT
    }

    /// The candidate's draw for a part of an object; the lowest draw is preferred.
    #[inline]
    pub fn draw(&self, object: &str, part: u64) -> f64 {
        rendezvous_score_seeded(self.name_seed, object, part, self.weight)
    }
}

#[derive(Clone, Debug, PartialEq)]
struct Group {
    name_seed: u64,
    /// The sum of the members' weights.
    weight: f64,
    members: Vec<Candidate>,
}

impl Group {
    /// Recomputes the sum in name order. Adding differences instead would make it depend on the
    /// order of changes, so that routers with the same servers would differ in the last bits.
    fn update_weight(&mut self) {
        self.weight = self.members.iter().map(|member| member.weight).sum();
    }
}

/// The servers that compete for the same parts, such as all caches of a zone, in name order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pool {
    all: Vec<Candidate>,
    /// All [`GROUP_COUNT`] groups, some of which may be empty; no groups at all while every part is
    /// selected in one step.
    groups: Vec<Group>,
}

/// Replaces the candidate with the same name, or inserts it in name order.
fn insert_by_name(candidates: &mut Vec<Candidate>, candidate: Candidate) {
    match candidates.binary_search_by(|other| other.name.cmp(&candidate.name)) {
        Ok(position) => candidates[position] = candidate,
        Err(position) => candidates.insert(position, candidate),
    }
}

fn remove_by_name(candidates: &mut Vec<Candidate>, name: &str) -> Option<Candidate> {
    let position = candidates.binary_search_by(|other| (*other.name).cmp(name));
    position.ok().map(|position| candidates.remove(position))
}

impl Pool {
    /// Creates a pool of these servers, which must be in name order.
    pub fn new(all: Vec<Candidate>) -> Pool {
        let groups = Vec::new();
        let mut pool = Pool { all, groups };
        pool.form_groups();
        pool
    }

    /// Adds a server, or updates its slot and weight. The cost is bounded by one group of a large
    /// pool.
    pub fn insert(&mut self, candidate: Candidate) {
        insert_by_name(&mut self.all, candidate.clone());
        if self.groups.is_empty() {
            return self.form_groups();
        }
        let group = &mut self.groups[candidate.group()];
        insert_by_name(&mut group.members, candidate);
        group.update_weight();
    }

    /// Removes a server, if present. The cost is bounded by one group of a large pool.
    pub fn remove(&mut self, name: &str) {
        let Some(candidate) = remove_by_name(&mut self.all, name) else {
            return;
        };
        if self.all.len() <= ONE_STEP_LIMIT {
            return self.groups.clear();
        }
        let group = &mut self.groups[candidate.group()];
        remove_by_name(&mut group.members, name);
        group.update_weight();
    }

    /// Divides a large pool into groups.
    fn form_groups(&mut self) {
        if self.all.len() <= ONE_STEP_LIMIT {
            return;
        }
        self.groups = (0..GROUP_COUNT)
            .map(|number| Group {
                name_seed: name_seed(&format!("group {number}")),
                weight: 0.0,
                members: Vec::new(),
            })
            .collect();
        for candidate in &self.all {
            let group = &mut self.groups[candidate.group()];
            group.members.push(candidate.clone());
        }
        self.groups.iter_mut().for_each(Group::update_weight);
    }

    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Whether this part is selected in two steps.
    fn uses_two_steps(&self, object: &str, part: u64) -> bool {
        let excess = self.all.len().saturating_sub(ONE_STEP_LIMIT);
        if excess == 0 || excess >= ONE_STEP_LIMIT {
            return excess > 0;
        }
        let hash = xxh3_64_with_seed(object.as_bytes(), STEPS_SEED.wrapping_add(part));
        (hash >> 32) * (ONE_STEP_LIMIT as u64) < (excess as u64) << 32
    }

    /// Returns the servers in sets, the most preferred set first. Within a set the lowest draw is
    /// preferred.
    pub fn candidate_sets(&self, object: &str, part: u64) -> CandidateSets<'_> {
        if !self.uses_two_steps(object, part) {
            return CandidateSets {
                one_step: Some(&self.all),
                groups: Vec::new(),
            };
        }
        let draw =
            |group: &Group| rendezvous_score_seeded(group.name_seed, object, part, group.weight);
        CandidateSets {
            one_step: None,
            groups: self
                .groups
                .iter()
                .filter(|group| !group.members.is_empty())
                .map(|group| (draw(group), group))
                .collect(),
        }
    }
}

/// The candidate sets of a pool, in order of preference for one part.
pub struct CandidateSets<'a> {
    one_step: Option<&'a [Candidate]>,
    groups: Vec<(f64, &'a Group)>,
}

impl<'a> Iterator for CandidateSets<'a> {
    type Item = &'a [Candidate];

    fn next(&mut self) -> Option<&'a [Candidate]> {
        if let Some(all) = self.one_step.take() {
            return Some(all);
        }
        let draws = self.groups.iter().enumerate();
        let (lowest, _) = draws.min_by(|(_, a), (_, b)| a.0.total_cmp(&b.0))?;
        Some(&self.groups.swap_remove(lowest).1.members)
    }
}

#[cfg(test)]
mod tests;
