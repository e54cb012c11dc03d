//! Request coalescing: requests for a part that is being filled wait for that fill instead of
//! starting their own.

use crate::interface::Id;
use std::collections::HashMap;

/// A fill that is under way.
#[derive(Debug)]
struct SharedFill {
    leader: Id,
    waiters: Vec<Id>,
}

/// The fills under way that others can wait for, by the key of their part.
#[derive(Debug, Default)]
pub struct Coalescing {
    fills: HashMap<u32, SharedFill>,
}

impl Coalescing {
    /// A request fills a part. The first to do so is the leader until its attempt has ended.
    pub fn lead(&mut self, part: u32, request: &Id) {
        self.fills.entry(part).or_insert_with(|| SharedFill {
            leader: request.clone(),
            waiters: Vec::new(),
        });
    }

    /// Whether a fill of this part is under way.
    pub fn is_filling(&self, part: u32) -> bool {
        self.fills.contains_key(&part)
    }

    /// A request waits for the fill of this part, if one is under way.
    pub fn wait(&mut self, part: u32, request: &Id) {
        if let Some(fill) = self.fills.get_mut(&part) {
            fill.waiters.push(request.clone());
        }
    }

    /// An attempt of a request has ended: those that waited for it, if it was the leader.
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
