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

use config::{
    catalog::Service,
    Catalog, //
};
use xxhash_rust::xxh3::{
    xxh3_64,
    xxh3_64_with_seed, //
};

use crate::member::Member;

/// Members named for one service: the owner and its substitutes.
const RANKS: usize = 4;
/// Members that are ranked in full for one service.
const HEAD: usize = 16;
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

/// How a candidate ranks for one key; the least is the first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Choice {
    is_far: bool,
    score: Reverse<u64>,
    index: usize,
}

/// The owners of every service over one set of members.
#[derive(Debug)]
pub(crate) struct Ownership {
    candidates: Vec<Candidate>,
    /// Hash of each candidate's name, and the position of its zone.
    seeds: Vec<(u64, usize)>,
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
        let seeds = candidates.iter().map(seed).collect();
        let mut ownership = Self {
            candidates,
            seeds,
            zones,
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
        let head = &order[..order.len().min(HEAD)];
        self.named(head.first().map(|choice| choice.index), head)
    }

    fn assign(&mut self, catalog: &Catalog) {
        let mut services: Vec<_> = catalog.services.iter().collect();
        services.sort_by_cached_key(|(name, _)| xxh3_64(name.as_bytes()));
        let bound = bound(services.len(), self.candidates.len());
        let mut loads = vec![0_usize; self.candidates.len()];
        for (name, service) in services {
            let order = self.order(name.as_bytes(), &self.near(service));
            let has_room = |choice: &&Choice| loads[choice.index] < bound;
            let (head, tail) = order.split_at(order.len().min(HEAD));
            let owner = head
                .iter()
                .find(has_room)
                .or_else(|| tail.iter().filter(has_room).min())
                .map(|choice| choice.index);
            if let Some(owner) = owner {
                loads[owner] += 1;
            }
            let owners = self.named(owner, head);
            self.services.insert(name.clone(), owners);
        }
    }

    /// Returns for each zone whether the service has a backend server there.
    fn near(&self, service: &Service) -> Vec<bool> {
        let is_near = |zone: &Arc<str>| service.servers.iter().any(|server| server.zone == *zone);
        self.zones.iter().map(is_near).collect()
    }

    /// Returns all candidates, of which the first [`HEAD`] are ranked for `key`, near ones first.
    fn order(&self, key: &[u8], near: &[bool]) -> Vec<Choice> {
        let hash = xxh3_64(key).to_le_bytes();
        let ranked = self.seeds.iter().enumerate();
        let mut order: Vec<Choice> = ranked
            .map(|(index, &(seed, zone))| Choice {
                is_far: !near.get(zone).copied().unwrap_or_default(),
                score: Reverse(xxh3_64_with_seed(&hash, seed)),
                index,
            })
            .collect();
        if order.len() > HEAD {
            order.select_nth_unstable(HEAD);
        }
        let head = order.len().min(HEAD);
        order[..head].sort_unstable();
        order
    }

    /// Returns the owner, then the substitutes that rank highest, live ones first.
    fn named(&self, owner: Option<usize>, head: &[Choice]) -> Rc<[Rc<Member>]> {
        let mut others: Vec<usize> = head
            .iter()
            .map(|choice| choice.index)
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

#[cfg(test)]
mod tests;
