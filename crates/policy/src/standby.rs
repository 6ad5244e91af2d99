//! Which instances answer requests for an instance that has lost its links to all backend servers.
//!
//! Each instance derives its few standby peers from the list of instances. The peers of different instances differ, so
//! that those of many that lose their links at once share the work, and are of all zones, as a whole zone may be cut.

use std::collections::HashMap;

use xxhash_rust::xxh3::{
    xxh3_64,
    xxh3_64_with_seed, //
};

use crate::watchers::Candidate;

/// Maximum number of standby peers of an instance.
const MAX_STANDBY: usize = 16;
/// Number of standby peers that don't gather queries, if there are as many: all that do may lose their links.
const MIN_OTHERS: usize = 8;

/// Returns the indexes of the standby peers of `local`, which may be among the candidates and is never chosen. Those
/// that gather queries come first.
pub fn choose(
    local: &Candidate<'_>,
    candidates: &[Candidate<'_>],
    gathers: impl Fn(&Candidate<'_>) -> bool,
) -> Vec<usize> {
    let all = (0..candidates.len()).filter(|index| candidates[*index].name != local.name);
    let (large, others): (Vec<usize>, Vec<usize>) =
        all.partition(|index| gathers(&candidates[*index]));
    let reserved = MIN_OTHERS.min(others.len());
    let mut chosen = spread(local, candidates, large);
    chosen.truncate(MAX_STANDBY - reserved);
    chosen.extend(spread(local, candidates, others));
    chosen.truncate(MAX_STANDBY);
    chosen
}

/// Orders indexes by a hash that differs between local instances, and takes turns between the zones.
fn spread(
    local: &Candidate<'_>,
    candidates: &[Candidate<'_>],
    mut indexes: Vec<usize>,
) -> Vec<usize> {
    let seed = xxh3_64(local.name.as_bytes());
    let score = |index: &usize| xxh3_64_with_seed(candidates[*index].name.as_bytes(), seed);
    indexes.sort_by_cached_key(score);
    let mut counts: HashMap<&str, usize> = HashMap::new();
    indexes.sort_by_cached_key(|index| {
        let count = counts.entry(candidates[*index].zone).or_default();
        *count += 1;
        *count
    });
    indexes
}
