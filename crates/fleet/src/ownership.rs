//! Which member owns which service.
//!
//! Rendezvous hashing with a bound on the load: each service goes to the member that ranks highest
//! for it among those that aren't full. The result depends on the members and services only, so
//! instances with the same view agree without a word.

use std::{
    cmp::Reverse,
    collections::HashMap,
    rc::Rc,
    sync::Arc, //
};

use config::Catalog;
use xxhash_rust::xxh3::{
    xxh3_64,
    xxh3_64_with_seed, //
};

use crate::member::Member;

/// Members named for one service: the owner and its substitutes.
const RANKS: usize = 4;
/// A member owns at most this many quarters of the mean share.
const LOAD_QUARTERS: usize = 5;

/// A member that may own services.
#[derive(Debug, Clone)]
pub(crate) struct Candidate {
    /// The member.
    pub(crate) member: Rc<Member>,
    /// Whether it answered lately.
    pub(crate) is_live: bool,
}

/// The owners of every service over one set of members.
#[derive(Debug)]
pub(crate) struct Ownership {
    candidates: Vec<Candidate>,
    seeds: Vec<u64>,
    services: HashMap<Arc<str>, Rc<[Rc<Member>]>>,
}

impl Ownership {
    /// Assigns every service of `catalog` to one of `candidates`.
    pub(crate) fn new(candidates: Vec<Candidate>, catalog: &Catalog) -> Self {
        let seeds = candidates
            .iter()
            .map(|candidate| xxh3_64(candidate.member.name.as_bytes()))
            .collect();
        let mut ownership = Self {
            candidates,
            seeds,
            services: HashMap::new(),
        };
        ownership.assign(catalog);
        ownership
    }

    /// Returns the members that may run parts of `service`, the owner first.
    pub(crate) fn owners(&self, service: &str) -> Rc<[Rc<Member>]> {
        match self.services.get(service) {
            Some(owners) => owners.clone(),
            None => self.rank(service.as_bytes()),
        }
    }

    /// Returns the members that rank highest for `key`, without a bound on the load.
    pub(crate) fn rank(&self, key: &[u8]) -> Rc<[Rc<Member>]> {
        let order = self.order(key, &[]);
        self.named(order.first().copied(), &order)
    }

    fn assign(&mut self, catalog: &Catalog) {
        let mut services: Vec<_> = catalog.services.iter().collect();
        services.sort_by_cached_key(|(name, _)| xxh3_64(name.as_bytes()));
        let bound = bound(services.len(), self.candidates.len());
        let mut loads = vec![0_usize; self.candidates.len()];
        for (name, service) in services {
            let zones: Vec<&str> = service.servers.iter().map(|server| &*server.zone).collect();
            let order = self.order(name.as_bytes(), &zones);
            let owner = order.iter().copied().find(|&index| loads[index] < bound);
            if let Some(owner) = owner {
                loads[owner] += 1;
            }
            let owners = self.named(owner, &order);
            self.services.insert(name.clone(), owners);
        }
    }

    /// Returns all candidates by rank for `key`, those in `zones` first.
    fn order(&self, key: &[u8], zones: &[&str]) -> Vec<usize> {
        let hash = xxh3_64(key);
        let mut order: Vec<usize> = (0..self.candidates.len()).collect();
        order.sort_by_cached_key(|&index| {
            let is_near = zones.contains(&&*self.candidates[index].member.zone);
            let score = xxh3_64_with_seed(&hash.to_le_bytes(), self.seeds[index]);
            Reverse((is_near, score))
        });
        order
    }

    /// Returns the owner, then the substitutes that rank highest, live ones first.
    fn named(&self, owner: Option<usize>, order: &[usize]) -> Rc<[Rc<Member>]> {
        let mut others: Vec<usize> = order
            .iter()
            .copied()
            .filter(|&index| Some(index) != owner)
            .collect();
        others.sort_by_key(|&index| !self.candidates[index].is_live);
        owner
            .into_iter()
            .chain(others)
            .take(RANKS)
            .map(|index| self.candidates[index].member.clone())
            .collect()
    }
}

/// Returns how many of `services` one of `members` owns at most.
fn bound(services: usize, members: usize) -> usize {
    (services * LOAD_QUARTERS).div_ceil(4 * members.max(1))
}
