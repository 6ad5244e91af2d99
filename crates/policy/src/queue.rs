//! A bounded queue ordered by class, then deadline.

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
    /// It is queued in place of the last item, which is handed back.
    Displaced(Key, T),
    /// The queue is full of more urgent items; the pushed one is handed back.
    Full(T),
}

/// Items in order of class, then deadline, then arrival.
#[derive(Debug)]
pub struct Deadline<T> {
    items: BTreeMap<Key, T>,
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

    /// Queues `item`; if the queue is full, the last of all goes.
    pub fn push(&mut self, class: Class, deadline: Instant, item: T) -> Push<T> {
        self.number += 1;
        let key = Key {
            class,
            deadline,
            number: self.number,
        };
        if self.items.len() < self.bound {
            self.items.insert(key, item);
            return Push::Queued(key);
        }
        match self.items.last_entry() {
            Some(last) if *last.key() > key => {
                let displaced = last.remove();
                self.items.insert(key, item);
                Push::Displaced(key, displaced)
            }
            _ => Push::Full(item),
        }
    }

    /// Takes the first item.
    pub fn pop(&mut self) -> Option<T> {
        self.items.pop_first().map(|(_, item)| item)
    }

    /// Takes the item at `key`.
    pub fn remove(&mut self, key: &Key) -> Option<T> {
        self.items.remove(key)
    }

    /// Returns the items in order.
    pub fn iter(&self) -> impl Iterator<Item = (&Key, &T)> {
        self.items.iter()
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
