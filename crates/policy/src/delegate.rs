//! Which instances gather queries, where instances differ in what they can do.
//!
//! Load pattern: a fleet of many instances with an eighth of a core and a few with half a core. A
//! query over a hundred shards costs ten milliseconds of a core, which is eighty on a small instance:
//! by itself more than the objective. The few large ones together have several times the processor
//! time that all queries need, and dial each server far less often than all instances would.

/// Power below this share of the greatest one makes an instance a small one.
const SMALL: f64 = 0.5;
/// Least share of the fleet's power that the large instances must have to gather for all.
const LEAST_POWER: f64 = 0.2;
/// Least number of large instances: fewer, and the loss of one or two leaves none.
const LEAST_COUNT: usize = 3;
/// Share of what servers accept that is kept for small instances that find no large one.
const RESERVE: f64 = 0.2;

/// Who gathers queries.
#[derive(Debug, Clone, PartialEq)]
pub enum Plan {
    /// Every instance gathers its own.
    Everyone,
    /// Instances of at least this power gather for all.
    Large {
        /// Least power of an instance that gathers.
        power: f64,
        /// Number of instances that gather.
        count: usize,
    },
}

/// What one instance may use of what all of them share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Part {
    /// Share of the whole that is split.
    pub share: f64,
    /// Instances that it is split among.
    pub among: usize,
}

/// Decides who gathers, from the power of each instance.
pub fn plan(powers: &[f64]) -> Plan {
    let greatest = powers.iter().copied().fold(0.0, f64::max);
    let total: f64 = powers.iter().sum();
    let least = greatest * SMALL;
    let is_large = |power: &&f64| **power >= least;
    let count = powers.iter().filter(is_large).count();
    let power: f64 = powers.iter().filter(is_large).sum();
    let is_everyone = count == powers.len();
    match is_everyone || count < LEAST_COUNT || power < total * LEAST_POWER {
        true => Plan::Everyone,
        false => Plan::Large {
            power: least,
            count,
        },
    }
}

impl Plan {
    /// Returns whether an instance of that power gathers queries.
    pub fn gathers(&self, own: f64) -> bool {
        match self {
            Self::Everyone => true,
            Self::Large { power, .. } => own >= *power,
        }
    }

    /// Returns what an instance of that power, one of `instances`, may use of the shards' servers.
    pub fn part(&self, own: f64, instances: usize) -> Part {
        match self {
            Self::Everyone => Part {
                share: 1.0,
                among: instances,
            },
            Self::Large { count, .. } if self.gathers(own) => Part {
                share: 1.0 - RESERVE,
                among: *count,
            },
            Self::Large { count, .. } => Part {
                share: RESERVE,
                among: instances.saturating_sub(*count).max(1),
            },
        }
    }
}
