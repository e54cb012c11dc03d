//! Resource use of a process, as the system reports it.

use std::fs;

/// Seconds of processor time of all threads that exist now.
///
/// # Errors
/// The process does not exist.
pub fn cpu_seconds(process: u32) -> Result<f64, String> {
    let path = format!("/proc/{process}/task");
    let threads = fs::read_dir(&path).map_err(|e| format!("{path}: {e}"))?;
    let mut nanoseconds = 0;
    for thread in threads.flatten() {
        let text = fs::read_to_string(thread.path().join("schedstat")).unwrap_or_default();
        nanoseconds += text
            .split_whitespace()
            .next()
            .and_then(|n| n.parse::<u64>().ok())
            .unwrap_or(0);
    }
    Ok(nanoseconds as f64 / 1e9)
}

/// A memory figure of `/proc/PID/status`, converted from KB to MB.
///
/// # Errors
/// The process does not exist, or the figure is missing.
pub fn memory_mb(process: u32, figure: &str) -> Result<f64, String> {
    let path = format!("/proc/{process}/status");
    let text = fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
    let value = text
        .lines()
        .find_map(|line| line.strip_prefix(figure)?.strip_prefix(':'));
    let kb = value.and_then(|value| value.split_whitespace().next()?.parse::<f64>().ok());
    kb.map(|kb| kb / 1024.0)
        .ok_or_else(|| format!("{path}: no {figure}"))
}

/// Descriptors that a process holds now; 0 if it has exited.
pub fn descriptors(process: u32) -> usize {
    fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count)
}
