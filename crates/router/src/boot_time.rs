//! Detects that the wall clock was set back between two starts of a router on one machine.
//!
//! The uptime of the machine does not depend on its wall clock. The Unix time of the boot, as
//! computed at a start, is therefore the same at each start, unless the wall clock was stepped
//! between. The directory of the local cache, whose timestamps are Unix times, records the latest
//! boot time that it was used with.

use crate::clock::Clock;
use std::fs;
use std::io;
use std::path::Path;
use std::time::Duration;

/// The file in the directory of the local cache; no segment or catalogue has this name.
const FILE: &str = "clock";
const TEMPORARY_FILE: &str = "clock.begun";
/// Differences up to this come from reading two clocks one after the other.
const TOLERANCE_MS: u64 = 100;
/// Both clocks are read within this time, or read again.
const READ_WITHIN: Duration = Duration::from_millis(20);
const MAX_READS: u32 = 5;

/// When the machine was booted, by the wall clock of one start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BootTime {
    /// The id of the boot.
    boot: String,
    unix_ms: u64,
}

/// What a directory shows about the wall clock.
#[derive(Debug)]
pub struct StepBack {
    /// By how many milliseconds the clock was set back; 0: it was not.
    pub ms: u64,
    /// Whether the directory has this start's boot time. Where it cannot be written, a later start
    /// may not detect a step.
    pub recorded: io::Result<()>,
}

impl BootTime {
    /// By the wall clock of this start. None: the system does not tell.
    pub fn read(clock: &Clock) -> Option<BootTime> {
        let boot = fs::read_to_string("/proc/sys/kernel/random/boot_id")
            .ok()?
            .trim()
            .to_owned();
        for _ in 0..MAX_READS {
            let before = clock.now();
            let uptime = fs::read_to_string("/proc/uptime").ok()?;
            let after = clock.now();
            if after - before <= READ_WITHIN {
                let seconds: f64 = uptime.split(' ').next()?.parse().ok()?;
                let uptime = Duration::try_from_secs_f64(seconds).ok()?;
                return Some(BootTime {
                    boot,
                    unix_ms: clock.unix_ms(after.saturating_sub(uptime)),
                });
            }
        }
        None
    }

    fn parse(text: &str) -> Option<BootTime> {
        let (boot, unix_ms) = text.trim().split_once(' ')?;
        Some(BootTime {
            boot: boot.to_owned(),
            unix_ms: unix_ms.parse().ok()?,
        })
    }

    /// By how many milliseconds this start's wall clock is behind that of an earlier start that
    /// used the directory, since the same boot; 0: it is not. The directory keeps the later boot
    /// time, since what was written by that clock stays in it.
    pub fn set_back_by(&self, directory: &Path) -> StepBack {
        let recorded = fs::read_to_string(directory.join(FILE))
            .ok()
            .and_then(|text| BootTime::parse(&text));
        match recorded.filter(|recorded| recorded.boot == self.boot) {
            Some(recorded) if recorded.unix_ms.saturating_add(TOLERANCE_MS) >= self.unix_ms => {
                let behind = recorded.unix_ms.saturating_sub(self.unix_ms);
                StepBack {
                    ms: if behind > TOLERANCE_MS { behind } else { 0 },
                    recorded: Ok(()),
                }
            }
            _ => StepBack {
                ms: 0,
                recorded: self.record(directory),
            },
        }
    }

    fn record(&self, directory: &Path) -> io::Result<()> {
        let temporary = directory.join(TEMPORARY_FILE);
        fs::write(&temporary, format!("{} {}\n", self.boot, self.unix_ms))?;
        fs::rename(temporary, directory.join(FILE))
    }
}

#[cfg(test)]
mod tests;
