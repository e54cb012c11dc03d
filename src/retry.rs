//! Rule 2: a request whose effect must not happen twice runs again only where no earlier attempt
//! can have run, or where the servers drop its repeats.

use crate::interface::{Class, Effect, Group, Id, Member};
use std::time::Duration;

/// The first attempt of a request that may have run.
#[derive(Clone, Debug)]
pub struct PossibleExecution {
    /// When the attempt was sent.
    pub sent_at: Duration,
    /// Where it was sent.
    pub server: Id,
}

/// Who would run a request again.
pub enum RetryTarget<'a> {
    /// This server, by another attempt.
    Server(&'a Member),
    /// Whatever server the client's retry reaches, once it is told that a retry is safe.
    Client,
}

/// Whether a request that may have run may run again. `ran_on` is the server of `execution`, where
/// it is still listed; `latest` is when the retry is there at the latest.
pub fn is_safe_to_retry(
    class: &Class,
    execution: &PossibleExecution,
    ran_on: Option<&Member>,
    target: &RetryTarget,
    latest: Duration,
) -> bool {
    let is_remembered = latest < execution.sent_at + class.window;
    let shares = |group: fn(&Member) -> u64| match (target, ran_on) {
        (RetryTarget::Server(next), Some(first)) => is_remembered && group(next) == group(first),
        _ => false,
    };
    match (class.effect, class.group) {
        (Effect::Idempotent, _) => true,
        (Effect::NonIdempotent, _) => false,
        (Effect::Deduplicated, Group::All) => {
            is_remembered || matches!(target, RetryTarget::Client)
        }
        (Effect::Deduplicated, Group::Zone) => shares(|member| member.zone as u64),
        (Effect::Deduplicated, Group::Cohort) => shares(|member| member.cohort),
    }
}

#[cfg(test)]
mod tests;
