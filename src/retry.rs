//! Retry safety (rule 2): a request that must not be executed twice is sent again only if no
//! earlier attempt can have been executed, or if the servers drop repeats.

use crate::interface::{Class, Effect, Group, Id, Member};
use std::time::Duration;

/// The first attempt of a request that may have been executed.
#[derive(Clone, Debug)]
pub struct PossibleExecution {
    pub sent_at: Duration,
    pub server: Id,
}

/// The server that would execute a retry.
pub enum RetryTarget<'a> {
    /// This server, by a further attempt of the router.
    Server(&'a Member),
    /// Any server that a retry by the client may reach, after the client is told that a retry is
    /// safe.
    Client,
}

/// The time from which the servers no longer recognise a repeat of a request that may have been
/// executed. `None` if repeats are safe without that.
pub fn remembered_until(class: &Class, execution: &PossibleExecution) -> Option<Duration> {
    (class.effect == Effect::Deduplicated).then_some(execution.sent_at + class.dedup_window)
}

/// Whether a request that may have been executed may be executed again. `executed_on` is the server
/// of `execution`, if it is still listed; `latest` is the latest time at which the retry arrives.
pub fn is_safe_to_retry(
    class: &Class,
    execution: &PossibleExecution,
    executed_on: Option<&Member>,
    target: &RetryTarget,
    latest: Duration,
) -> bool {
    let is_remembered = remembered_until(class, execution).is_some_and(|end| latest < end);
    let is_same_group = |group: fn(&Member) -> u64| match (target, executed_on) {
        (RetryTarget::Server(next), Some(first)) => is_remembered && group(next) == group(first),
        _ => false,
    };
    match (class.effect, class.group) {
        (Effect::Idempotent, _) => true,
        (Effect::NonIdempotent, _) => false,
        (Effect::Deduplicated, Group::All) => is_remembered,
        (Effect::Deduplicated, Group::Zone) => is_same_group(|member| member.zone as u64),
        (Effect::Deduplicated, Group::Cohort) => is_same_group(|member| member.cohort),
    }
}

#[cfg(test)]
mod tests;
