//! Finds out whether the wall clock was set back between two lives of a router on one machine.
//!
//! The time since the machine's boot runs on whatever happens to its wall clock. The Unix time of the boot, as a
//! start's wall clock tells it, is therefore the same at each start, unless that clock was stepped between. A
//! directory of own copies, whose stamps are Unix times, keeps the latest one that it was used with.

use crate::clock::Clock;
use std::fs;
use std::io;
use std::path::Path;
use std::time::Duration;

/// The file in the directory of own copies; no segment or catalogue is called so.
const FILE: &str = "clock";
const FILE_BEGUN: &str = "clock.begun";
/// Differences up to this come from reading two clocks one after the other.
const TOLERANCE_MS: u64 = 100;
/// Both are read within so long, or read again, so often.
const READ_WITHIN: Duration = Duration::from_millis(20);
const READS_MOST: u32 = 5;

/// When the machine was booted, by the wall clock of one start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BootTime {
    /// Another one at each boot.
    boot: String,
    unix_ms: u64,
}

impl BootTime {
    /// By the wall clock that this router ties its stamps to. None: the system does not tell.
    pub fn read(clock: &Clock) -> Option<BootTime> {
        let boot = fs::read_to_string("/proc/sys/kernel/random/boot_id")
            .ok()?
            .trim()
            .to_owned();
        for _ in 0..READS_MOST {
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

    /// By how many milliseconds this start's wall clock stands before that of an earlier start that used the
    /// directory, since the same boot; 0: it does not. The directory keeps the later one: what was written by
    /// that clock stays in it.
    ///
    /// # Errors
    /// The directory's file cannot be written: a later start may not find a step out.
    pub fn set_back_by(&self, directory: &Path) -> (u64, io::Result<()>) {
        let recorded = fs::read_to_string(directory.join(FILE))
            .ok()
            .and_then(|text| BootTime::parse(&text));
        match recorded.filter(|recorded| recorded.boot == self.boot) {
            Some(recorded) if recorded.unix_ms.saturating_add(TOLERANCE_MS) >= self.unix_ms => {
                let behind = recorded.unix_ms.saturating_sub(self.unix_ms);
                (if behind > TOLERANCE_MS { behind } else { 0 }, Ok(()))
            }
            _ => (0, self.record(directory)),
        }
    }

    fn record(&self, directory: &Path) -> io::Result<()> {
        let begun = directory.join(FILE_BEGUN);
        fs::write(&begun, format!("{} {}\n", self.boot, self.unix_ms))?;
        fs::rename(begun, directory.join(FILE))
    }
}

#[cfg(test)]
mod tests;
