//! Request coalescing: a request for a part that is already being filled waits for that fill
//! instead of starting another.

use crate::interface::Id;
use std::collections::HashMap;

/// A fill in progress.
#[derive(Debug)]
struct SharedFill {
    leader: Id,
    waiters: Vec<Id>,
}

/// The fills in progress, by part key.
#[derive(Debug, Default)]
pub struct Coalescing {
    fills: HashMap<u32, SharedFill>,
}

impl Coalescing {
    /// Registers a request that fills a part. The first one is the leader until its attempt ends.
    pub fn lead(&mut self, part: u32, request: &Id) {
        self.fills.entry(part).or_insert_with(|| SharedFill {
            leader: request.clone(),
            waiters: Vec::new(),
        });
    }

    /// Whether a fill of this part is in progress.
    pub fn is_filling(&self, part: u32) -> bool {
        self.fills.contains_key(&part)
    }

    /// Adds a request to the waiters of this part's fill, if one is in progress.
    pub fn wait(&mut self, part: u32, request: &Id) {
        if let Some(fill) = self.fills.get_mut(&part) {
            fill.waiters.push(request.clone());
        }
    }

    /// Completes a fill when an attempt of `request` ends. Returns the waiters if that request was
    /// the leader.
    pub fn complete(&mut self, part: u32, request: &Id) -> Vec<Id> {
        let fill = self.fills.get(&part);
        if fill.is_none_or(|fill| fill.leader != *request) {
            return Vec::new();
        }
        let fill = self.fills.remove(&part);
        fill.map(|fill| fill.waiters).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
