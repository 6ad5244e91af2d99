//! Which instances gather queries in a fleet of instances with different processor time.
//!
//! Many instances have an eighth of a core and a few have half a core. A query over a hundred shards costs
//! ten milliseconds of a core, which takes eighty milliseconds on a small instance: this alone misses the
//! latency objective. The few large instances together have several times the processor time that all
//! queries need, and open far fewer connections to each server than all instances would.

/// Minimum number of cores of a large instance, as a share of the cores of the largest one.
const MIN_LARGE_CORES_RATIO: f64 = 0.5;
/// Minimum share of the fleet's cores that the large instances must have to gather all queries.
///
/// Queries take a few hundredths of a fleet's cores. The share falls while small instances join, which must not
/// change who gathers: a large instance that is full declines, and the small one answers itself.
const MIN_LARGE_SHARE: f64 = 0.05;
/// Minimum number of large instances to gather all queries; with fewer, the loss of one or two leaves none.
const MIN_LARGE_COUNT: usize = 3;
/// Share of the capacity of servers that is reserved for small instances which can't reach a large one.
const SMALL_RESERVE: f64 = 0.2;

/// Which instances gather queries.
#[derive(Debug, Clone, PartialEq)]
pub enum Plan {
    /// Every instance gathers its own queries.
    Everyone,
    /// Instances with at least this many cores gather the queries of all instances.
    Large {
        /// Minimum number of cores of an instance that gathers.
        power: f64,
        /// Number of instances that gather.
        count: usize,
    },
}

/// How a capacity that all instances share is split among a group of them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Capacity {
    /// Share of the capacity that the group may use.
    pub share: f64,
    /// Number of instances in the group.
    pub instances: usize,
}

/// Decides which instances gather, given the number of cores of each, which may be a fraction.
pub fn plan(cores: &[f64]) -> Plan {
    let max_cores = cores.iter().copied().fold(0.0, f64::max);
    let total_cores: f64 = cores.iter().sum();
    let min_cores = max_cores * MIN_LARGE_CORES_RATIO;
    let is_large = |instance_cores: &&f64| **instance_cores >= min_cores;
    let count = cores.iter().filter(is_large).count();
    let large_cores: f64 = cores.iter().filter(is_large).sum();
    let is_everyone = count == cores.len();
    match is_everyone || count < MIN_LARGE_COUNT || large_cores < total_cores * MIN_LARGE_SHARE {
        true => Plan::Everyone,
        false => Plan::Large {
            power: min_cores,
            count,
        },
    }
}

/// Added cost of an instance that gathers in another zone, as a share of its other costs: an answer is short.
const HOP_ZONE_COST: f64 = 0.1;
/// Added cost of an instance in a zone without any server of the shards, as all replies cross zones.
const NO_SERVERS_COST: f64 = 1.0;

/// Returns the added cost of an instance that gathers, as a share of its other costs, given the share of the shards
/// that have a server in its zone.
///
/// Servers are in some of the zones only. An instance in one of these finds a replica of each shard nearby,
/// while one in another zone receives a hundred times as many bytes from other zones as its answer has.
pub fn zone_cost(is_same_zone: bool, shard_share: f64) -> f64 {
    let hop = match is_same_zone {
        true => 0.0,
        false => HOP_ZONE_COST,
    };
    hop + NO_SERVERS_COST * (1.0 - shard_share.clamp(0.0, 1.0))
}

impl Plan {
    /// Returns whether an instance with the given number of cores gathers queries.
    pub fn gathers(&self, own_cores: f64) -> bool {
        match self {
            Self::Everyone => true,
            Self::Large { power, .. } => own_cores >= *power,
        }
    }

    /// Returns which part of the capacity of the shards' servers an instance may use, given its number of
    /// cores and the number of instances.
    pub fn part(&self, own_cores: f64, instances: usize) -> Capacity {
        match self {
            Self::Everyone => Capacity {
                share: 1.0,
                instances,
            },
            Self::Large { count, .. } if self.gathers(own_cores) => Capacity {
                share: 1.0 - SMALL_RESERVE,
                instances: *count,
            },
            Self::Large { count, .. } => Capacity {
                share: SMALL_RESERVE,
                instances: instances.saturating_sub(*count).max(1),
            },
        }
    }
}
