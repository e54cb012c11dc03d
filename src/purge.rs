//! Rule 5: nothing is answered from a copy older than a purge. The purges that are still being
//! carried out are kept here, and bound the age of the copies that an attempt accepts.

use crate::interface::{Arrival, Id};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// What a purge is of.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum PurgeScope {
    Object(Id),
    Group(u64),
}

/// The purges after which older copies may still be left somewhere.
#[derive(Debug, Default)]
pub struct PurgeLog {
    /// No older copy is left anywhere so long after a purge.
    completes_within: Duration,
    /// The latest purge of each scope.
    purged_at: HashMap<PurgeScope, Duration>,
    /// The same, the oldest first.
    by_age: BTreeSet<(Duration, PurgeScope)>,
}

impl PurgeLog {
    /// An empty log, where purges are complete after so long.
    pub fn new(completes_within: Duration) -> PurgeLog {
        PurgeLog {
            completes_within,
            ..PurgeLog::default()
        }
    }

    /// Notes a purge of an object, or of a group where no object is named, that was made at
    /// `purged_at`.
    pub fn record(&mut self, now: Duration, purged_at: Duration, object: Option<Id>, group: u64) {
        self.forget_completed(now);
        let scope = object.map_or(PurgeScope::Group(group), PurgeScope::Object);
        let previous = self.purged_at.get(&scope).copied();
        if previous.is_some_and(|previous| previous >= purged_at) {
            return;
        }
        if let Some(previous) = previous {
            self.by_age.remove(&(previous, scope.clone()));
        }
        self.by_age.insert((purged_at, scope.clone()));
        self.purged_at.insert(scope, purged_at);
    }

    fn forget_completed(&mut self, now: Duration) {
        while let Some((purged_at, _)) = self.by_age.first()
            && now >= *purged_at + self.completes_within
        {
            let Some((_, scope)) = self.by_age.pop_first() else {
                return;
            };
            self.purged_at.remove(&scope);
        }
    }

    /// The latest purge of what a request asks for.
    pub fn last_purge(&self, arrival: &Arrival) -> Option<Duration> {
        let object = PurgeScope::Object(arrival.object.clone());
        let group = PurgeScope::Group(arrival.group);
        let of_object = self.purged_at.get(&object);
        of_object.max(self.purged_at.get(&group)).copied()
    }

    /// The greatest age of a copy made since the last purge that may not be complete yet; never
    /// zero, which would mean any age.
    pub fn max_age(&self, now: Duration, arrival: &Arrival) -> Option<Duration> {
        let purged_at = self.last_purge(arrival)?;
        let is_open = now < purged_at + self.completes_within;
        is_open.then(|| now.saturating_sub(purged_at).max(Duration::from_micros(1)))
    }
}

#[cfg(test)]
mod tests;
