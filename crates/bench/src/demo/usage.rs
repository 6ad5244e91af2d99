//! Processor time and memory of a process, from `/proc`.

use std::fs;

use serde::Serialize;

/// Microseconds of one tick of the process clock.
const TICK_US: u64 = 10_000;
/// Position of the user time among the fields after the command's name.
const FIELD_USER: usize = 11;

/// What a process has used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Usage {
    /// Processor time, user and system, in microseconds.
    pub cpu_us: u64,
    /// Resident memory, in kilobytes.
    pub resident_kb: u64,
    /// Highest resident memory, in kilobytes.
    pub resident_peak_kb: u64,
}

impl Usage {
    /// Reads the usage of a process; nothing if it has ended.
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
    // The name in parentheses may hold spaces.
    let fields = stat.rsplit_once(')')?.1;
    let ticks = fields
        .split_whitespace()
        .skip(FIELD_USER)
        .take(2)
        .map(|field| field.parse::<u64>().unwrap_or(0));
    Some(ticks.sum::<u64>() * TICK_US)
}

fn field(status: &str, name: &str) -> Option<u64> {
    let line = status.lines().find(|line| line.starts_with(name))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
