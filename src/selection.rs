//! In which order servers are considered for a part of an object: weighted rendezvous hashing, in one step for
//! a few servers and in two for many.
//!
//! Each server draws its own number for a part, and the least takes it: routers with the same list agree, and
//! who leaves moves its own parts only. That takes a draw for each server. With many a part first draws one of
//! [`GROUPS`] groups, by the sum of the weights in it, and then among the members of that group. A server still
//! gets parts in proportion to its weight; one that leaves moves about as many again, of its group's others.
//!
//! Between [`ONE_STEP_AT_MOST`] servers and twice as many, ever more parts are drawn in two steps: no single
//! server that comes or goes moves many.

use chalkhall_stats::{draw_seeded, name_seed};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Up to so many servers all parts are drawn in one step; from twice as many on, all in two.
pub const ONE_STEP_AT_MOST: usize = 256;
/// Of so many servers none is found fit: no more are considered, in one group after the other.
pub const CONSIDERED_AT_MOST: usize = 256;
/// Groups of a large pool. Two steps take as many draws as there are groups, and members in one of them.
const GROUPS: usize = 64;
/// What the hash is seeded with that says whether a part is drawn in two steps.
const STEPS_SEED: u64 = 0x7f4a_7c15_9e37_79b9;

/// One server that may be selected.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Where the caller keeps it.
    pub position: usize,
    name_seed: u64,
    weight: f64,
}

impl Candidate {
    /// A server by its name, with the weight that it draws by.
    pub fn new(position: usize, name: &str, weight: f64) -> Candidate {
        Candidate {
            position,
            name_seed: name_seed(name),
            weight,
        }
    }

    /// The number that it draws for a part of an object: the least takes it.
    pub fn draw(&self, object: &str, part: u64) -> f64 {
        draw_seeded(self.name_seed, object, part, self.weight)
    }
}

#[derive(Debug)]
struct Group {
    name_seed: u64,
    weight: f64,
    members: Vec<Candidate>,
}

/// The servers that draw for the same parts, such as all caches of a zone.
#[derive(Debug, Default)]
pub struct Pool {
    all: Vec<Candidate>,
    groups: Vec<Group>,
}

impl Pool {
    /// A pool of these servers. Which group one is in depends on its name alone.
    pub fn new(all: Vec<Candidate>) -> Pool {
        let mut groups: Vec<Group> = Vec::new();
        if all.len() > ONE_STEP_AT_MOST {
            groups.extend((0..GROUPS).map(|number| Group {
                name_seed: name_seed(&format!("group {number}")),
                weight: 0.0,
                members: Vec::new(),
            }));
            for candidate in &all {
                // The draws are seeded by the same hash, of which these bits say little.
                let group = &mut groups[(candidate.name_seed >> 32) as usize % GROUPS];
                group.weight += candidate.weight;
                group.members.push(candidate.clone());
            }
            groups.retain(|group| !group.members.is_empty());
        }
        Pool { all, groups }
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
