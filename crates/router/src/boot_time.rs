//! Detects that the wall clock was set back between two starts of a router on one machine.
//!
//! The uptime of a machine does not depend on its wall clock. The Unix time of the boot, computed
//! from both when a router starts, is therefore the same at every start unless the wall clock was
//! stepped in between. The directory of the local cache, whose timestamps are Unix times, records
//! the latest boot time that it was used with.

use crate::clock::Clock;
use std::fs;
use std::io;
use std::path::Path;
use std::time::Duration;

/// The file in the directory of the local cache; no segment or catalogue has this name.
const FILE_NAME: &str = "clock";
const TEMPORARY_FILE_NAME: &str = "clock.begun";
/// Differences up to this result from reading two clocks one after the other.
const TOLERANCE_MS: u64 = 100;
/// Both clocks have to be read within this time, or are read again.
const MAX_READ_DURATION: Duration = Duration::from_millis(20);
const MAX_READ_ATTEMPTS: u32 = 5;

/// The boot time of the machine, by the wall clock at the start of this router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BootTime {
    boot_id: String,
    unix_ms: u64,
}

/// Whether the wall clock was set back since the directory was last used.
#[derive(Debug)]
pub struct ClockStepBack {
    /// By how many milliseconds the clock was set back; 0 if it was not.
    pub step_ms: u64,
    /// Whether the directory holds a current boot time. If that could not be written, a later start
    /// may not detect a step.
    pub recorded: io::Result<()>,
}

impl BootTime {
    /// Computes the boot time, or none if the system does not provide it.
    pub fn read(clock: &Clock) -> Option<BootTime> {
        let boot_id = fs::read_to_string("/proc/sys/kernel/random/boot_id")
            .ok()?
            .trim()
            .to_owned();
        for _ in 0..MAX_READ_ATTEMPTS {
            let before = clock.now();
            let uptime = fs::read_to_string("/proc/uptime").ok()?;
            let after = clock.now();
            if after - before <= MAX_READ_DURATION {
                let seconds: f64 = uptime.split(' ').next()?.parse().ok()?;
                let uptime = Duration::try_from_secs_f64(seconds).ok()?;
                return Some(BootTime {
                    boot_id,
                    unix_ms: clock.unix_ms(after.saturating_sub(uptime)),
                });
            }
        }
        None
    }

    fn parse(text: &str) -> Option<BootTime> {
        let (boot_id, unix_ms) = text.trim().split_once(' ')?;
        Some(BootTime {
            boot_id: boot_id.to_owned(),
            unix_ms: unix_ms.parse().ok()?,
        })
    }

    /// Computes by how much the wall clock at this start is behind that of an earlier start that
    /// used the directory since the same boot. The directory keeps the later boot time, since it
    /// still holds data with timestamps of that clock.
    pub fn detect_step_back(&self, directory: &Path) -> ClockStepBack {
        let recorded = fs::read_to_string(directory.join(FILE_NAME))
            .ok()
            .and_then(|text| BootTime::parse(&text));
        match recorded.filter(|recorded| recorded.boot_id == self.boot_id) {
            Some(recorded) if recorded.unix_ms.saturating_add(TOLERANCE_MS) >= self.unix_ms => {
                let behind = recorded.unix_ms.saturating_sub(self.unix_ms);
                ClockStepBack {
                    step_ms: if behind > TOLERANCE_MS { behind } else { 0 },
                    recorded: Ok(()),
                }
            }
            _ => ClockStepBack {
                step_ms: 0,
                recorded: self.record(directory),
            },
        }
    }

    fn record(&self, directory: &Path) -> io::Result<()> {
        let temporary = directory.join(TEMPORARY_FILE_NAME);
        fs::write(&temporary, format!("{} {}\n", self.boot_id, self.unix_ms))?;
        fs::rename(temporary, directory.join(FILE_NAME))
    }
}

#[cfg(test)]
mod tests;
