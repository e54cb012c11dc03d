//! In which order servers are considered for a part of an object: weighted rendezvous hashing, in
//! one step for a few servers and in two for many.
//!
//! Each server draws its own number for a part, and the least takes it: routers with the same list
//! agree, and who leaves moves its own parts only. That takes a draw for each server. With many a
//! part first draws one of [`GROUPS`] groups, by the sum of the weights in it, and then among the
//! members of that group. A server still gets parts in proportion to its weight; one that leaves
//! moves about as many again, of its group's others.
//!
//! Between [`ONE_STEP_AT_MOST`] servers and twice as many, ever more parts are drawn in two steps:
//! no single server that comes or goes moves many.

use chalkhall_stats::{draw_seeded, name_seed};
use std::rc::Rc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Up to so many servers all parts are drawn in one step; from twice as many on, all in two.
pub const ONE_STEP_AT_MOST: usize = 256;
/// Of so many servers none is found fit: no more are considered, in one group after the other.
pub const CONSIDERED_AT_MOST: usize = 256;
/// Groups of a large pool. Two steps take as many draws as there are groups, and members in one of
/// them.
const GROUPS: usize = 64;
/// What the hash is seeded with that says whether a part is drawn in two steps.
const STEPS_SEED: u64 = 0x7f4a_7c15_9e37_79b9;

/// One server that may be selected.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The slot in which the caller keeps it.
    pub slot: usize,
    name_seed: u64,
    weight: f64,
    name: Rc<str>,
}

impl Candidate {
    /// A server by its name, with the weight that it draws by.
    pub fn new(slot: usize, name: &Rc<str>, weight: f64) -> Candidate {
        Candidate {
            slot,
            name_seed: name_seed(name),
            weight,
            name: name.clone(),
        }
    }

    /// The group of a large pool that it is in: by its name alone.
    fn group(&self) -> usize {
        // The draws are seeded by the same hash, of which these bits say little.
        (self.name_seed >> 32) as usize % GROUPS
    }

    /// The number that it draws for a part of an object: the least takes it.
    #[inline]
    pub fn draw(&self, object: &str, part: u64) -> f64 {
        draw_seeded(self.name_seed, object, part, self.weight)
    }
}

#[derive(Clone, Debug, PartialEq)]
struct Group {
    name_seed: u64,
    /// The sum of its members' weights.
    weight: f64,
    members: Vec<Candidate>,
}

impl Group {
    /// Added up anew, in the order of names: were differences added, routers that saw the same
    /// servers come in another order would differ in the last bits.
    fn update_weight(&mut self) {
        self.weight = self.members.iter().map(|member| member.weight).sum();
    }
}

/// The servers that draw for the same parts, such as all caches of a zone, in the order of their
/// names.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pool {
    all: Vec<Candidate>,
    /// Each of [`GROUPS`], in which there may be none; without any while no part is drawn in two
    /// steps.
    groups: Vec<Group>,
}

/// Replaces the candidate of that name, or adds it where it belongs.
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
    /// A pool of these servers, which come in the order of their names.
    pub fn new(all: Vec<Candidate>) -> Pool {
        let groups = Vec::new();
        let mut pool = Pool { all, groups };
        pool.form_groups();
        pool
    }

    /// Adds a server, or takes its new slot and weight. No more is looked at than one group of a
    /// large pool.
    pub fn insert(&mut self, candidate: Candidate) {
        insert_by_name(&mut self.all, candidate.clone());
        if self.groups.is_empty() {
            return self.form_groups();
        }
        let group = &mut self.groups[candidate.group()];
        insert_by_name(&mut group.members, candidate);
        group.update_weight();
    }

    /// Removes a server, if it is there. No more is looked at than one group of a large pool.
    pub fn remove(&mut self, name: &str) {
        let Some(candidate) = remove_by_name(&mut self.all, name) else {
            return;
        };
        if self.all.len() <= ONE_STEP_AT_MOST {
            return self.groups.clear();
        }
        let group = &mut self.groups[candidate.group()];
        remove_by_name(&mut group.members, name);
        group.update_weight();
    }

    /// Divides a pool that has grown large into its groups.
    fn form_groups(&mut self) {
        if self.all.len() <= ONE_STEP_AT_MOST {
            return;
        }
        self.groups = (0..GROUPS)
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

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Whether this part is drawn in two steps.
    fn in_two_steps(&self, object: &str, part: u64) -> bool {
        let beyond = self.all.len().saturating_sub(ONE_STEP_AT_MOST);
        if beyond == 0 || beyond >= ONE_STEP_AT_MOST {
            return beyond > 0;
        }
        let hash = xxh3_64_with_seed(object.as_bytes(), STEPS_SEED.wrapping_add(part));
        (hash >> 32) * (ONE_STEP_AT_MOST as u64) < (beyond as u64) << 32
    }

    /// The servers in sets, the preferred first; in each set the least draw goes first.
    pub fn sets(&self, object: &str, part: u64) -> Sets<'_> {
        if !self.in_two_steps(object, part) {
            return Sets {
                one_step: Some(&self.all),
                groups: Vec::new(),
            };
        }
        let draw = |group: &Group| draw_seeded(group.name_seed, object, part, group.weight);
        Sets {
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

/// The sets of a pool, in the order in which they are preferred for one part.
pub struct Sets<'a> {
    one_step: Option<&'a [Candidate]>,
    groups: Vec<(f64, &'a Group)>,
}

impl<'a> Iterator for Sets<'a> {
    type Item = &'a [Candidate];

    fn next(&mut self) -> Option<&'a [Candidate]> {
        if let Some(all) = self.one_step.take() {
            return Some(all);
        }
        let draws = self.groups.iter().enumerate();
        let (least, _) = draws.min_by(|(_, a), (_, b)| a.0.total_cmp(&b.0))?;
        Some(&self.groups.swap_remove(least).1.members)
    }
}

#[cfg(test)]
mod tests;
