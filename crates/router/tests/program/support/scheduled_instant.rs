//! Spans of time less what the machine, busy with others, gave no processor.

use std::time::{Duration, Instant};

/// For how long the machine, busy with others, has had no processor for a process or thread that
/// was ready to run. Nothing that a process does shortens it: it is no part of the time that a test
/// holds against one.
fn waited_for_processor(task: &str) -> Duration {
    let stat = std::fs::read_to_string(format!("/proc/{task}/schedstat")).unwrap_or_default();
    let nanoseconds = stat
        .split_whitespace()
        .nth(1)
        .and_then(|waited| waited.parse().ok());
    Duration::from_nanos(nanoseconds.unwrap_or_default())
}

/// A moment, and how long the program and this thread had waited for a processor by then.
#[derive(Clone, Copy)]
pub struct ScheduledInstant {
    at: Instant,
    process: u32,
    waited: Duration,
}

impl ScheduledInstant {
    pub fn now(process: u32) -> ScheduledInstant {
        let waited =
            waited_for_processor(&process.to_string()) + waited_for_processor("thread-self");
        ScheduledInstant {
            at: Instant::now(),
            process,
            waited,
        }
    }

    /// The time since, less what the machine was busy with others.
    pub fn elapsed(&self) -> Duration {
        let now = ScheduledInstant::now(self.process);
        (now.at - self.at).saturating_sub(now.waited.saturating_sub(self.waited))
    }
}
