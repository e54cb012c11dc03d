//! Elapsed time without the time spent waiting for a processor.

use std::time::{Duration, Instant};

/// How long a process or thread has been runnable without being scheduled on a processor, by
/// `/proc/TASK/schedstat`. The process cannot influence this time, so a test does not count it
/// against a time limit.
fn time_waiting_for_processor(task: &str) -> Duration {
    let stat = std::fs::read_to_string(format!("/proc/{task}/schedstat")).unwrap_or_default();
    let nanoseconds = stat
        .split_whitespace()
        .nth(1)
        .and_then(|waited| waited.parse().ok());
    Duration::from_nanos(nanoseconds.unwrap_or_default())
}

/// An instant, and how long the router process and this thread had waited for a processor by then.
#[derive(Clone, Copy)]
pub struct ScheduledInstant {
    at: Instant,
    process: u32,
    waited: Duration,
}

impl ScheduledInstant {
    pub fn now(process: u32) -> ScheduledInstant {
        let waited = time_waiting_for_processor(&process.to_string())
            + time_waiting_for_processor("thread-self");
        ScheduledInstant {
            at: Instant::now(),
            process,
            waited,
        }
    }

    /// The elapsed time, less the time that the process and this thread waited for a processor.
    pub fn elapsed(&self) -> Duration {
        let now = ScheduledInstant::now(self.process);
        (now.at - self.at).saturating_sub(now.waited.saturating_sub(self.waited))
    }
}
