//! The member table: who is in the fleet, as far as this instance knows.

use std::{
    collections::BTreeMap,
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use wire::State;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    member::Member,
    record::Record, //
};

/// Time that a failed member is remembered and tried again now and then.
const FAILED_KEEP: Duration = Duration::from_secs(2 * 3600);
/// Time that a member which left is remembered.
const LEFT_KEEP: Duration = Duration::from_secs(600);
/// Messages that carry an update, for each doubling of the fleet.
const SENDS_PER_DOUBLING: u32 = 3;

/// The members by name, this instance among them.
#[derive(Debug)]
pub(crate) struct Table {
    me: Arc<str>,
    records: BTreeMap<Arc<str>, Record>,
    epoch: u64,
    digest: u64,
    malformed: u64,
}

impl Table {
    /// Makes a table that holds this instance only, as joining.
    pub(crate) fn new(me: Member, incarnation: u64, now: Instant) -> Self {
        let name = me.name.clone();
        let record = Record {
            member: Rc::new(me),
            incarnation,
            state: State::Joining,
            presets: 0,
            since: now,
            sends: 0,
        };
        let mut table = Self {
            me: name.clone(),
            records: BTreeMap::from([(name, record)]),
            epoch: 0,
            digest: 0,
            malformed: 0,
        };
        table.touch();
        table
    }

    /// Returns a number that grows with every change of members, addresses or states.
    pub(crate) fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns a hash of the running members, the same wherever the table is the same.
    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns how many malformed records were received.
    pub(crate) fn malformed(&self) -> u64 {
        self.malformed
    }

    /// Returns every record, by name.
    pub(crate) fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// Returns the record of the member `name`.
    pub(crate) fn get(&self, name: &str) -> Option<&Record> {
        self.records.get(name)
    }

    /// Returns this instance's record.
    pub(crate) fn me(&self) -> &Record {
        &self.records[&self.me]
    }

    /// Returns the running members other than this instance.
    pub(crate) fn peers(&self) -> impl Iterator<Item = &Record> {
        self.records
            .values()
            .filter(|record| record.is_running() && record.member.name != self.me)
    }

    /// Returns the members that were declared failed.
    pub(crate) fn failed(&self) -> impl Iterator<Item = &Record> {
        self.records
            .values()
            .filter(|record| record.state == State::Failed)
    }

    /// Returns the number of running members, this instance among them.
    pub(crate) fn running(&self) -> usize {
        self.peers().count() + 1
    }

    /// Takes in a record from a peer; returns whether anything that matters changed.
    pub(crate) fn merge(&mut self, from: &wire::Member, now: Instant) -> bool {
        if from.name == *self.me {
            return self.refute(from);
        }
        let Some(mut heard) = Record::read(from, now) else {
            self.malformed += 1;
            return false;
        };
        if heard.state == State::Failed && self.is_owning(&from.name) {
            // Each declares failed by its own clock: a peer may have been cut off itself.
            heard.state = State::Suspect;
        }
        match self.records.get_mut(&heard.member.name) {
            Some(known) if known.is_older_than(&heard) => *known = heard,
            Some(known) if known.incarnation == heard.incarnation => {
                known.presets = known.presets.max(heard.presets);
                return false;
            }
            Some(_) => return false,
            None if heard.is_running() => {
                self.records.insert(heard.member.name.clone(), heard);
            }
            None => return false,
        }
        self.touch();
        true
    }

    fn is_owning(&self, name: &str) -> bool {
        self.get(name)
            .is_some_and(|known| known.is_running() && known.state != State::Leaving)
    }

    /// Overrules what a peer says of this instance, if it is later than what this instance says.
    ///
    /// That it leaves is believed, as the platform's list may have it from there.
    fn refute(&mut self, heard: &wire::Member) -> bool {
        let state = State::try_from(heard.state).unwrap_or(State::Unspecified);
        let Some(own) = self.records.get_mut(&self.me) else {
            return false;
        };
        let is_later = heard.incarnation > own.incarnation;
        let is_same = heard.incarnation == own.incarnation;
        match state {
            _ if is_later => {}
            State::Suspect | State::Failed | State::Left if is_same && own.state != state => {}
            State::Leaving if is_same && own.state == State::Live => own.state = state,
            _ => return false,
        }
        own.incarnation = heard.incarnation.saturating_add(1);
        own.sends = 0;
        self.touch();
        true
    }

    /// Sets this instance's own state.
    pub(crate) fn announce(&mut self, state: State, now: Instant) -> bool {
        let Some(own) = self.records.get_mut(&self.me) else {
            return false;
        };
        if own.state == state {
            return false;
        }
        own.incarnation += 1;
        own.state = state;
        own.since = now;
        own.sends = 0;
        self.touch();
        true
    }

    /// Sets the version of the presets document that this instance has in force.
    pub(crate) fn set_presets(&mut self, version: u64) {
        if let Some(own) = self.records.get_mut(&self.me) {
            own.presets = version;
        }
    }

    /// Moves the member `name` from one of the states `from` to `to`, in its present incarnation.
    pub(crate) fn shift(&mut self, name: &str, from: &[State], to: State, now: Instant) -> bool {
        let Some(record) = self.records.get_mut(name).filter(|_| *name != *self.me) else {
            return false;
        };
        if !from.contains(&record.state) {
            return false;
        }
        record.state = to;
        record.since = now;
        record.sends = 0;
        self.touch();
        true
    }

    /// Takes note that nobody reached the member `name`.
    pub(crate) fn suspect(&mut self, name: &str, now: Instant) -> bool {
        // A leaving member owns nothing, so it is declared failed without a wait.
        self.shift(name, &[State::Leaving], State::Failed, now)
            || self.shift(name, &[State::Joining, State::Live], State::Suspect, now)
    }

    /// Gives every suspected member its whole time to answer again.
    pub(crate) fn forgive(&mut self, now: Instant) {
        self.records
            .values_mut()
            .filter(|record| record.state == State::Suspect)
            .for_each(|record| record.since = now);
    }

    /// Declares failed who was suspected for `patience`, and drops who failed or left long ago.
    pub(crate) fn expire(&mut self, patience: Duration, now: Instant) -> Vec<Arc<str>> {
        let overdue: Vec<Arc<str>> = self
            .records
            .values()
            .filter(|record| record.state == State::Suspect)
            .filter(|record| now.saturating_duration_since(record.since) >= patience)
            .map(|record| record.member.name.clone())
            .collect();
        for name in &overdue {
            self.shift(name, &[State::Suspect], State::Failed, now);
        }
        self.records.retain(|_, record| {
            let age = now.saturating_duration_since(record.since);
            match record.state {
                State::Failed => age < FAILED_KEEP,
                State::Left => age < LEFT_KEEP,
                _ => true,
            }
        });
        overdue
    }

    /// Returns at most `bound` records that peers may not know yet, the least sent first.
    ///
    /// What is known of `to` comes first where it isn't plainly live, so that `to` can overrule it.
    pub(crate) fn updates(&mut self, to: Option<&str>, bound: usize) -> Vec<wire::Member> {
        let limit = self.sends_limit();
        let mut updates: Vec<wire::Member> = to
            .and_then(|name| self.records.get(name))
            .filter(|record| !matches!(record.state, State::Live | State::Joining))
            .map(Record::write)
            .into_iter()
            .collect();
        let mut fresh: Vec<&mut Record> = self
            .records
            .values_mut()
            .filter(|record| record.sends < limit)
            .filter(|record| record.member.name != self.me)
            .filter(|record| to != Some(&*record.member.name))
            .collect();
        fresh.sort_by_key(|record| (record.sends, std::cmp::Reverse(record.since)));
        for record in fresh.into_iter().take(bound - updates.len()) {
            record.sends += 1;
            updates.push(record.write());
        }
        updates
    }

    fn sends_limit(&self) -> u32 {
        SENDS_PER_DOUBLING * doublings(self.records.len())
    }

    fn touch(&mut self) {
        self.epoch += 1;
        self.digest = self
            .records
            .values()
            .filter(|record| record.is_running())
            .map(fingerprint)
            .fold(0, |digest, hash| digest ^ hash);
    }
}

/// Returns the base-2 logarithm of `members`, rounded up, at least 1.
pub(crate) fn doublings(members: usize) -> u32 {
    members.next_power_of_two().ilog2().max(1)
}

/// Returns a hash of what ownership depends on.
fn fingerprint(record: &Record) -> u64 {
    let is_leaving = record.state == State::Leaving;
    let key = [
        xxh3_64(record.member.name.as_bytes()),
        xxh3_64(record.member.address.to_string().as_bytes()),
        record.incarnation,
        u64::from(is_leaving),
    ];
    let bytes: Vec<u8> = key.iter().flat_map(|part| part.to_le_bytes()).collect();
    xxh3_64(&bytes)
}

#[cfg(test)]
mod tests;
