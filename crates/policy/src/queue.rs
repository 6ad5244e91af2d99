//! A bounded queue ordered by class, then deadline, that sheds by class, then rank.
//!
//! A query is whole only if every service answers its part. Services that shed at random each lose
//! other queries, so that at twice the capacity hardly any is whole. Every request therefore has a
//! [`Rank`] that is the same at all services, and the last rank is shed first.

use std::{
    collections::BTreeMap,
    time::Instant, //
};

use config::preset::Class;

/// Place of an item in the queue; smaller goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    class: Class,
    deadline: Instant,
    number: u64,
}

/// What became of a pushed item.
#[derive(Debug, PartialEq, Eq)]
pub enum Push<T> {
    /// It is queued.
    Queued(Key),
    /// It is queued in place of another item, which is handed back.
    Displaced(Key, T),
    /// The queue is full of more urgent items; the pushed one is handed back.
    Full(T),
}

/// Order in which requests of a class are kept when not all can be; smaller is kept longer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank(u64);

/// Odd multiplier that spreads the bits of a request id (2^64 over the golden ratio).
const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;

impl Rank {
    /// Returns the rank of the request with the given id.
    pub fn new(request: u128) -> Self {
        let folded = (request as u64) ^ ((request >> 64) as u64).rotate_left(32);
        let mixed = folded.wrapping_mul(SPREAD);
        Self((mixed ^ (mixed >> 32)).wrapping_mul(SPREAD))
    }

    /// Returns the share of all requests that are kept longer, from 0 to 1.
    pub fn share(self) -> f64 {
        self.0 as f64 / u64::MAX as f64
    }
}

#[derive(Debug)]
struct Item<T> {
    rank: Rank,
    item: T,
}

/// Items in order of class, then deadline, then arrival.
#[derive(Debug)]
pub struct Deadline<T> {
    items: BTreeMap<Key, Item<T>>,
    bound: usize,
    number: u64,
}

impl<T> Deadline<T> {
    /// Makes an empty queue of at most `bound` items.
    pub fn new(bound: usize) -> Self {
        Self {
            items: BTreeMap::new(),
            bound,
            number: 0,
        }
    }

    /// Sets the bound; what is queued already stays.
    pub fn set_bound(&mut self, bound: usize) {
        self.bound = bound;
    }

    /// Queues `item`; if the queue is full, the one that is shed first goes.
    pub fn push(&mut self, class: Class, deadline: Instant, rank: Rank, item: T) -> Push<T> {
        self.number += 1;
        let key = Key {
            class,
            deadline,
            number: self.number,
        };
        if self.items.len() < self.bound {
            self.items.insert(key, Item { rank, item });
            return Push::Queued(key);
        }
        match self.shed(class, rank) {
            Some(displaced) => {
                self.items.insert(key, Item { rank, item });
                Push::Displaced(key, displaced)
            }
            None => Push::Full(item),
        }
    }

    /// Takes the item that is shed first, if it is to go before one of `class` and `rank`.
    pub fn shed(&mut self, class: Class, rank: Rank) -> Option<T> {
        let last = self.items.last_key_value()?.0.class;
        let of_last = self
            .items
            .iter()
            .rev()
            .take_while(|(key, _)| key.class == last);
        let (key, worst) = of_last.max_by_key(|(_, item)| item.rank)?;
        match (last, worst.rank) > (class, rank) {
            true => self.remove(&key.clone()),
            false => None,
        }
    }

    /// Takes the first item.
    pub fn pop(&mut self) -> Option<T> {
        self.items.pop_first().map(|(_, item)| item.item)
    }

    /// Takes the item at `key`.
    pub fn remove(&mut self, key: &Key) -> Option<T> {
        self.items.remove(key).map(|item| item.item)
    }

    /// Returns the items in order.
    pub fn iter(&self) -> impl Iterator<Item = (&Key, &T)> {
        self.items.iter().map(|(key, item)| (key, &item.item))
    }

    /// Returns the number of items that would go before an item pushed now.
    pub fn ahead(&self, class: Class, deadline: Instant) -> usize {
        let last = Key {
            class,
            deadline,
            number: u64::MAX,
        };
        self.items.range(..=last).count()
    }

    /// Returns the number of items.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether there are no items.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }
}
