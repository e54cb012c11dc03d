//! Purges (rule 5): no request is answered from a copy older than a purge. The log keeps the purges
//! that are still in progress, which bound the age of the copies that an attempt accepts.

use crate::interface::{Id, IncomingRequest};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// The scope of a purge.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum PurgeScope {
    Object(Id),
    Group(u64),
}

/// The purges in progress, of which older copies may still exist.
#[derive(Debug, Default)]
pub struct PurgeLog {
    /// The time after which a purge has removed every older copy.
    completes_within: Duration,
    /// The time of the latest purge of each scope.
    purged_at: HashMap<PurgeScope, Duration>,
    /// The entries of `purged_at`, oldest first.
    by_age: BTreeSet<(Duration, PurgeScope)>,
}

impl PurgeLog {
    /// Creates an empty log; purges are complete after `completes_within`.
    pub fn new(completes_within: Duration) -> PurgeLog {
        PurgeLog {
            completes_within,
            ..PurgeLog::default()
        }
    }

    /// Records a purge made at `purged_at`: of an object, or of a group if `object` is `None`.
    pub fn record(&mut self, now: Duration, purged_at: Duration, object: Option<Id>, group: u64) {
        self.remove_completed(now);
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

    fn remove_completed(&mut self, now: Duration) {
        while let Some((purged_at, _)) = self.by_age.first()
            && now >= *purged_at + self.completes_within
        {
            let Some((_, scope)) = self.by_age.pop_first() else {
                return;
            };
            self.purged_at.remove(&scope);
        }
    }

    /// The time of the latest purge of the requested object or its group.
    pub fn last_purge(&self, arrival: &IncomingRequest) -> Option<Duration> {
        let object = PurgeScope::Object(arrival.object.clone());
        let group = PurgeScope::Group(arrival.group);
        let of_object = self.purged_at.get(&object);
        of_object.max(self.purged_at.get(&group)).copied()
    }

    /// The maximum age of a copy created after the last purge, while that purge may be incomplete.
    /// Never zero, which would mean any age.
    pub fn max_age(&self, now: Duration, arrival: &IncomingRequest) -> Option<Duration> {
        let purged_at = self.last_purge(arrival)?;
        let is_in_progress = now < purged_at + self.completes_within;
        is_in_progress.then(|| now.saturating_sub(purged_at).max(Duration::from_micros(1)))
    }
}

#[cfg(test)]
mod tests;
