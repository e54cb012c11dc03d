//! The offset between the wall clock and the machine's uptime. Comparing it across restarts of the program
//! shows whether the wall clock was stepped in between.

use std::fs;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use xxhash_rust::xxh3::xxh3_64;

/// Differences up to this do not count as a step: wall clock and uptime are read one after the other, and the
/// program may be preempted between the two reads.
const STEP_TOLERANCE_MS: u64 = 500;

/// The time at which the machine booted, according to the current wall clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BootClock {
    /// A hash of the kernel's boot ID, which differs for each boot.
    pub boot: u64,
    pub unix_at_boot_ms: u64,
}

impl BootClock {
    /// Reads both clocks. `None` if the system's boot ID or uptime cannot be read.
    pub fn read() -> Option<BootClock> {
        let boot_id = fs::read("/proc/sys/kernel/random/boot_id").ok()?;
        let uptime = parse_uptime(&fs::read_to_string("/proc/uptime").ok()?)?;
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).ok()?;
        let unix_at_boot_ms = unix.saturating_sub(uptime).as_millis() as u64;
        Some(BootClock {
            boot: xxh3_64(&boot_id),
            unix_at_boot_ms,
        })
    }

    /// Whether the wall clock was stepped between two readings. Always false for readings of different boots,
    /// which cannot be compared.
    pub fn has_stepped_since(self, earlier: BootClock) -> bool {
        self.boot == earlier.boot
            && self.unix_at_boot_ms.abs_diff(earlier.unix_at_boot_ms) > STEP_TOLERANCE_MS
    }
}

fn parse_uptime(text: &str) -> Option<Duration> {
    let seconds: f64 = text.split_whitespace().next()?.parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

#[cfg(test)]
mod tests;
