//! Which member owns which service.
//!
//! Rendezvous hashing with bounded loads: each service goes to the member that ranks highest for it
//! among those below their load limit. The result depends on the members and services only, so
//! instances with the same view agree without communicating.

use std::{
    cmp::Reverse,
    collections::HashMap,
    rc::Rc,
    sync::Arc, //
};

use config::{
    catalog::Service,
    Catalog, //
};
use xxhash_rust::xxh3::{
    xxh3_64,
    xxh3_64_with_seed, //
};

use crate::member::Member;

/// Maximum number of members returned for a service: the owner and its fallbacks.
const MAX_OWNERS: usize = 4;
/// Number of candidates that are sorted for a key; the others own a service only if all of these
/// are at their load limit.
const MAX_SORTED: usize = 16;
/// Load limit of a member, in quarters of the mean number of services per member.
const MAX_LOAD_QUARTERS: usize = 5;

/// A member that may own services.
#[derive(Debug, Clone)]
pub(crate) struct Candidate {
    /// The member.
    pub(crate) member: Rc<Member>,
    /// Whether the member is live, not suspected.
    pub(crate) is_live: bool,
}

/// Rank of a candidate for a key; the smallest comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// Whether the service has no backend server in the candidate's zone.
    is_other_zone: bool,
    score: Reverse<u64>,
    index: usize,
}

/// The owners of every service over one set of members.
#[derive(Debug)]
pub(crate) struct Ownership {
    candidates: Vec<Candidate>,
    /// For each candidate, the hash of its name and the index of its zone.
    hash_seeds: Vec<(u64, usize)>,
    zones: Vec<Arc<str>>,
    services: HashMap<Arc<str>, Rc<[Rc<Member>]>>,
}

impl Ownership {
    /// Assigns every service of `catalog` to one of `candidates`.
    pub(crate) fn new(candidates: Vec<Candidate>, catalog: &Catalog) -> Self {
        let mut zones: Vec<Arc<str>> = candidates
            .iter()
            .map(|candidate| candidate.member.zone.clone())
            .collect();
        zones.sort_unstable();
        zones.dedup();
        let seed = |candidate: &Candidate| {
            let member = &candidate.member;
            let zone = zones.binary_search(&member.zone).unwrap_or_default();
            (xxh3_64(member.name.as_bytes()), zone)
        };
        let hash_seeds = candidates.iter().map(seed).collect();
        let mut ownership = Self {
            candidates,
            hash_seeds,
            zones,
            services: HashMap::new(),
        };
        ownership.assign(catalog);
        ownership
    }

    /// Returns the members that may handle requests to `service`, the owner first.
    pub(crate) fn owners(&self, service: &str) -> Rc<[Rc<Member>]> {
        match self.services.get(service) {
            Some(owners) => owners.clone(),
            None => self.rank(service.as_bytes()),
        }
    }

    /// Returns the members that rank highest for `key`, without a load limit.
    pub(crate) fn rank(&self, key: &[u8]) -> Rc<[Rc<Member>]> {
        let order = self.order(key, &[]);
        let sorted = &order[..order.len().min(MAX_SORTED)];
        self.owner_list(sorted.first().map(|rank| rank.index), sorted)
    }

    fn assign(&mut self, catalog: &Catalog) {
        let mut services: Vec<_> = catalog.services.iter().collect();
        services.sort_by_cached_key(|(name, _)| xxh3_64(name.as_bytes()));
        let limit = load_limit(services.len(), self.candidates.len());
        let mut loads = vec![0_usize; self.candidates.len()];
        for (name, service) in services {
            let order = self.order(name.as_bytes(), &self.zones_with_servers(service));
            let has_room = |rank: &&Rank| loads[rank.index] < limit;
            let (sorted, rest) = order.split_at(order.len().min(MAX_SORTED));
            let owner = sorted
                .iter()
                .find(has_room)
                .or_else(|| rest.iter().filter(has_room).min())
                .map(|rank| rank.index);
            if let Some(owner) = owner {
                loads[owner] += 1;
            }
            let owners = self.owner_list(owner, sorted);
            self.services.insert(name.clone(), owners);
        }
    }

    /// Returns for each zone whether the service has a backend server in it.
    fn zones_with_servers(&self, service: &Service) -> Vec<bool> {
        let has_server =
            |zone: &Arc<str>| service.servers.iter().any(|server| server.zone == *zone);
        self.zones.iter().map(has_server).collect()
    }

    /// Returns all candidates, with the [`MAX_SORTED`] that rank highest for `key` first and in
    /// order.
    ///
    /// Candidates in a zone with a backend server rank above the others.
    fn order(&self, key: &[u8], has_server: &[bool]) -> Vec<Rank> {
        let hash = xxh3_64(key).to_le_bytes();
        let ranked = self.hash_seeds.iter().enumerate();
        let mut order: Vec<Rank> = ranked
            .map(|(index, &(seed, zone))| Rank {
                is_other_zone: !has_server.get(zone).copied().unwrap_or_default(),
                score: Reverse(xxh3_64_with_seed(&hash, seed)),
                index,
            })
            .collect();
        if order.len() > MAX_SORTED {
            order.select_nth_unstable(MAX_SORTED);
        }
        let sorted_len = order.len().min(MAX_SORTED);
        order[..sorted_len].sort_unstable();
        order
    }

    /// Returns the owner and its highest ranking fallbacks, live ones first.
    fn owner_list(&self, owner: Option<usize>, sorted: &[Rank]) -> Rc<[Rc<Member>]> {
        let mut fallbacks: Vec<usize> = sorted
            .iter()
            .map(|rank| rank.index)
            .filter(|&index| Some(index) != owner)
            .collect();
        fallbacks.sort_by_key(|&index| !self.candidates[index].is_live);
        owner
            .into_iter()
            .chain(fallbacks)
            .take(MAX_OWNERS)
            .map(|index| self.candidates[index].member.clone())
            .collect()
    }
}

/// Returns the maximum number of `services` that one of `members` owns.
fn load_limit(services: usize, members: usize) -> usize {
    (services * MAX_LOAD_QUARTERS).div_ceil(4 * members.max(1))
}

#[cfg(test)]
mod tests;
