//! The ids of recent requests that may have run and must not run again.

use chalkhall::interface::Id;
use std::collections::{HashSet, VecDeque};

/// The number of ids that are remembered.
const MAX_IDS: usize = 4096;

/// The ids of recent requests that may have run at a server and must not run again. A client that
/// has left may come back with the id of a request whose end it has not seen.
#[derive(Default)]
pub(super) struct ExecutedIds {
    ids: HashSet<Id>,
    /// The oldest first.
    order: VecDeque<Id>,
}

impl ExecutedIds {
    /// Remembers an id, and forgets the oldest beyond [`MAX_IDS`].
    pub(super) fn record(&mut self, id: &Id) {
        if !self.ids.insert(id.clone()) {
            return;
        }
        self.order.push_back(id.clone());
        if self.order.len() > MAX_IDS
            && let Some(oldest) = self.order.pop_front()
        {
            self.ids.remove(&oldest);
        }
    }

    /// Whether a request with this id may have run.
    pub(super) fn contains(&self, id: &Id) -> bool {
        self.ids.contains(id)
    }
}

#[cfg(test)]
mod tests;
