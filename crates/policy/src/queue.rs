//! A bounded queue ordered by priority, then deadline, that sheds by priority, then rank.
//!
//! A query gets a complete answer only if every service replies to its sub-request. If each service shed
//! at random, each would drop sub-requests of other queries, so that at twice the capacity hardly any
//! answer would be complete. Every request therefore has a [`Rank`] that is the same at all services, and
//! the highest rank is shed first.

use std::{
    collections::BTreeMap,
    time::Instant, //
};

use config::preset::Class;

/// Order in which items are served, before their deadlines count.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Priority {
    /// Whether the item can't meet its objective any more; it is served after all that can.
    pub is_late: bool,
    /// Class of the request.
    pub class: Class,
}

impl From<Class> for Priority {
    fn from(class: Class) -> Self {
        Self {
            is_late: false,
            class,
        }
    }
}

/// Position of an item in the queue; smaller keys are served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    priority: Priority,
    deadline: Instant,
    sequence: u64,
}

/// Result of [`Queue::push`].
#[derive(Debug, PartialEq, Eq)]
pub enum Push<T> {
    /// The item is queued.
    Queued(Key),
    /// The item is queued in place of another one, which is handed back.
    Displaced(Key, T),
    /// The queue is full of more urgent items; the pushed one is handed back.
    Full(T),
}

/// Pseudo-random order in which requests of one class are shed; the highest rank goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank(u64);

/// Multiplier of Fibonacci hashing: an odd number near 2^64 divided by the golden ratio.
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

impl Rank {
    /// Returns the rank of the request with the given id.
    pub fn new(request: u128) -> Self {
        let folded = (request as u64) ^ ((request >> 64) as u64).rotate_left(32);
        let mixed = folded.wrapping_mul(HASH_MULTIPLIER);
        Self((mixed ^ (mixed >> 32)).wrapping_mul(HASH_MULTIPLIER))
    }

    /// Returns the share of all requests that have a lower rank, from 0 to 1.
    pub fn fraction_below(self) -> f64 {
        self.0 as f64 / u64::MAX as f64
    }
}

#[derive(Debug)]
struct Item<T> {
    rank: Rank,
    item: T,
}

/// Bounded queue in order of class, then deadline, then arrival.
#[derive(Debug)]
pub struct Queue<T> {
    items: BTreeMap<Key, Item<T>>,
    limit: usize,
    last_sequence: u64,
}

impl<T> Queue<T> {
    /// Makes an empty queue of at most `limit` items.
    pub fn new(limit: usize) -> Self {
        Self {
            items: BTreeMap::new(),
            limit,
            last_sequence: 0,
        }
    }

    /// Sets the maximum number of items; items beyond it that are already queued stay.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Queues `item`; if the queue is full, sheds the item that is first in shedding order.
    pub fn push(
        &mut self,
        priority: impl Into<Priority>,
        deadline: Instant,
        rank: Rank,
        item: T,
    ) -> Push<T> {
        self.last_sequence += 1;
        let priority = priority.into();
        let key = Key {
            priority,
            deadline,
            sequence: self.last_sequence,
        };
        if self.items.len() < self.limit {
            self.items.insert(key, Item { rank, item });
            return Push::Queued(key);
        }
        match self.shed(priority, rank) {
            Some(displaced) => {
                self.items.insert(key, Item { rank, item });
                Push::Displaced(key, displaced)
            }
            None => Push::Full(item),
        }
    }

    /// Removes the item that is first in shedding order, if it comes before an item of `priority` and `rank`.
    ///
    /// The least urgent priority is shed first, and within it the highest rank.
    pub fn shed(&mut self, priority: impl Into<Priority>, rank: Rank) -> Option<T> {
        let last_priority = self.items.last_key_value()?.0.priority;
        let least_urgent = self
            .items
            .iter()
            .rev()
            .take_while(|(key, _)| key.priority == last_priority);
        let (key, candidate) = least_urgent.max_by_key(|(_, item)| item.rank)?;
        match (last_priority, candidate.rank) > (priority.into(), rank) {
            true => self.remove(&key.clone()),
            false => None,
        }
    }

    /// Removes the first item.
    pub fn pop(&mut self) -> Option<T> {
        self.items.pop_first().map(|(_, item)| item.item)
    }

    /// Removes the item with the given key.
    pub fn remove(&mut self, key: &Key) -> Option<T> {
        self.items.remove(key).map(|item| item.item)
    }

    /// Returns the items in queue order.
    pub fn iter(&self) -> impl Iterator<Item = (&Key, &T)> {
        self.items.iter().map(|(key, item)| (key, &item.item))
    }

    /// Returns the number of items that are served before an item pushed now.
    pub fn ahead(&self, priority: impl Into<Priority>, deadline: Instant) -> usize {
        let last = Key {
            priority: priority.into(),
            deadline,
            sequence: u64::MAX,
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
