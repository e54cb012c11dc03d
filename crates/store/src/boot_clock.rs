//! How the wall clock stands to the clock that runs on since the machine's start: by this a later start of the
//! program sees that the wall clock was stepped meanwhile.

use std::fs;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use xxhash_rust::xxh3::xxh3_64;

/// Two readings that differ by no more than this are of a clock that was not stepped: they are taken one after
/// the other, and the program may be held up between them.
const STEP_TOLERANCE_MS: u64 = 500;

/// The wall clock's time at the machine's start, as the wall clock tells it now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BootClock {
    /// Which start of the machine: another number for each.
    pub boot: u64,
    pub unix_at_boot_ms: u64,
}

impl BootClock {
    /// Reads both clocks. None: the system does not tell how long it has run.
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

    /// The wall clock was stepped between two readings. After a restart of the machine this is not known.
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
