//! Request coalescing: a request for a part that is already being filled waits for that fill
//! instead of starting another.

use crate::interface::Id;
use crate::wait_queue::{Ticket, WaitQueue};
use std::collections::HashMap;

/// A fill in progress.
#[derive(Debug)]
struct SharedFill {
    /// Distinguishes it from other fills of the same part.
    number: u64,
    leader: Id,
    waiters: WaitQueue,
    /// Other requests have waited for it, also if they have left since.
    is_shared: bool,
}

/// The place of a request among the waiters of one fill.
#[derive(Clone, Copy, Debug)]
pub struct WaiterPlace {
    part: u32,
    fill: u64,
    ticket: Ticket,
}

/// A fill that its leader has completed.
#[derive(Debug, Default)]
pub struct CompletedFill {
    /// The requests that still wait for it.
    pub waiters: Vec<Id>,
    /// Other requests have waited for it, also if they have left since.
    pub is_shared: bool,
}

/// The fills in progress, by part key.
#[derive(Debug, Default)]
pub struct Coalescing {
    fills: HashMap<u32, SharedFill>,
    last_fill: u64,
}

impl Coalescing {
    /// Registers a request that fills a part. The first one is the leader until its attempt ends.
    pub fn lead(&mut self, part: u32, request: &Id) {
        self.fills.entry(part).or_insert_with(|| {
            self.last_fill += 1;
            SharedFill {
                number: self.last_fill,
                leader: request.clone(),
                waiters: WaitQueue::default(),
                is_shared: false,
            }
        });
    }

    /// Whether a fill of this part is in progress.
    pub fn is_filling(&self, part: u32) -> bool {
        self.fills.contains_key(&part)
    }

    /// Adds a request to the waiters of this part's fill. Returns its place among them; `None` if
    /// no such fill is in progress.
    pub fn wait(&mut self, part: u32, request: &Id) -> Option<WaiterPlace> {
        let fill = self.fills.get_mut(&part)?;
        fill.is_shared = true;
        Some(WaiterPlace {
            part,
            fill: fill.number,
            ticket: fill.waiters.push(request),
        })
    }

    /// Removes a waiter, unless its fill has been completed.
    pub fn leave(&mut self, place: WaiterPlace) {
        let fill = self.fills.get_mut(&place.part);
        if let Some(fill) = fill.filter(|fill| fill.number == place.fill) {
            fill.waiters.remove(place.ticket);
        }
    }

    /// Completes a fill when an attempt of `request` ends. Nothing is completed if that request is
    /// not the leader.
    pub fn complete(&mut self, part: u32, request: &Id) -> CompletedFill {
        let fill = self.fills.get(&part);
        if fill.is_none_or(|fill| fill.leader != *request) {
            return CompletedFill::default();
        }
        let Some(fill) = self.fills.remove(&part) else {
            return CompletedFill::default();
        };
        CompletedFill {
            waiters: fill.waiters.iter().map(|(_, id)| id.clone()).collect(),
            is_shared: fill.is_shared,
        }
    }

    /// The number of requests that wait for the fill of a part.
    #[cfg(test)]
    pub fn waiter_count(&self, part: u32) -> usize {
        self.fills.get(&part).map_or(0, |fill| fill.waiters.len())
    }
}

#[cfg(test)]
mod tests;
