//! CPU time and memory of a process, read from `/proc`.

use std::fs;

use serde::Serialize;

/// Length of a clock tick of `/proc/PID/stat` (`USER_HZ` = 100), in microseconds.
const TICK_US: u64 = 10_000;
/// Index of `utime` among the fields after the command name; `stime` follows it.
const UTIME_INDEX: usize = 11;

/// Resource usage of a process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Usage {
    /// CPU time in user and kernel mode, in microseconds.
    pub cpu_us: u64,
    /// Resident memory, in kilobytes.
    pub resident_kb: u64,
    /// Peak resident memory, in kilobytes.
    pub resident_peak_kb: u64,
}

impl Usage {
    /// Reads the usage of a process; `None` if it has exited.
    pub fn read(id: u32) -> Option<Self> {
        let stat = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        Some(Self {
            cpu_us: cpu_us(&stat)?,
            resident_kb: field(&status, "VmRSS:")?,
            resident_peak_kb: field(&status, "VmHWM:")?,
        })
    }
}

fn cpu_us(stat: &str) -> Option<u64> {
    // The command name in parentheses may contain spaces and parentheses.
    let fields = stat.rsplit_once(')')?.1;
    let ticks = fields
        .split_whitespace()
        .skip(UTIME_INDEX)
        .take(2)
        .map(|field| field.parse::<u64>().unwrap_or(0));
    Some(ticks.sum::<u64>() * TICK_US)
}

fn field(status: &str, name: &str) -> Option<u64> {
    let line = status.lines().find(|line| line.starts_with(name))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
