//! Purges (rule 5): no request is answered from a copy older than a purge. The log keeps the purges
//! that are still in progress, which bound the age of the copies that an attempt accepts, and how
//! far the purges that were received are complete, which bounds the use of local copies.

use crate::interface::{Id, IncomingRequest};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// How long a local copy is used after discovery last confirmed that it has sent all of its events,
/// or after the copy was created. A purge that discovery cannot deliver counts as received no
/// earlier than this after the connection to discovery is lost.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(2);

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
    /// All purges made before this time have been received.
    complete_until: Duration,
}

impl PurgeLog {
    /// Creates the log of a router that starts `now` with all purges made so far; purges are
    /// complete after `completes_within`.
    pub fn new(now: Duration, completes_within: Duration) -> PurgeLog {
        PurgeLog {
            completes_within,
            complete_until: now,
            ..PurgeLog::default()
        }
    }

    /// Records that all purges made before `as_of` have been received.
    pub fn confirm_complete(&mut self, as_of: Duration) {
        self.complete_until = self.complete_until.max(as_of);
    }

    /// Whether no purge of a local copy created at `created_at` can have been missed for longer
    /// than [`MAX_CONFIRMATION_AGE`]. Servers remove purged copies by themselves; this router
    /// removes its own only when it receives the purge.
    pub fn allows_local_copy(&self, now: Duration, created_at: Duration) -> bool {
        now < self.complete_until.max(created_at) + MAX_CONFIRMATION_AGE
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
