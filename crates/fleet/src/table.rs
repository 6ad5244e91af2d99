//! The member table: the members of the fleet as this instance knows them.

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

/// How long a failed member is kept, and contacted again from time to time.
const FAILED_RETENTION: Duration = Duration::from_secs(2 * 3600);
/// How long a member that left is kept.
const LEFT_RETENTION: Duration = Duration::from_secs(600);
/// Number of messages that carry an update, for each doubling of the fleet size.
const SENDS_PER_DOUBLING: u32 = 3;

/// The members by name, including this instance.
#[derive(Debug)]
pub(crate) struct Table {
    local: Arc<str>,
    records: BTreeMap<Arc<str>, Record>,
    epoch: u64,
    digest: u64,
    malformed: u64,
}

impl Table {
    /// Returns a table that holds only this instance, in the state joining.
    pub(crate) fn new(local: Member, incarnation: u64, now: Instant) -> Self {
        let name = local.name.clone();
        let record = Record {
            member: Rc::new(local),
            incarnation,
            state: State::Joining,
            presets: 0,
            changed_at: now,
            sends: 0,
        };
        let mut table = Self {
            local: name.clone(),
            records: BTreeMap::from([(name, record)]),
            epoch: 0,
            digest: 0,
            malformed: 0,
        };
        table.advance_epoch();
        table
    }

    /// Returns a number that increases with every change of members, addresses or states.
    pub(crate) fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns a hash of the running members, which is equal on instances whose tables agree.
    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns how many malformed records were received.
    pub(crate) fn malformed(&self) -> u64 {
        self.malformed
    }

    /// Returns every record, in the order of names.
    pub(crate) fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// Returns the record of the member `name`.
    pub(crate) fn get(&self, name: &str) -> Option<&Record> {
        self.records.get(name)
    }

    /// Returns this instance's record.
    pub(crate) fn local(&self) -> &Record {
        &self.records[&self.local]
    }

    /// Returns the running members other than this instance.
    pub(crate) fn peers(&self) -> impl Iterator<Item = &Record> {
        self.records
            .values()
            .filter(|record| record.is_running() && record.member.name != self.local)
    }

    /// Returns the members that were declared failed.
    pub(crate) fn failed(&self) -> impl Iterator<Item = &Record> {
        self.records
            .values()
            .filter(|record| record.state == State::Failed)
    }

    /// Returns the number of running members, including this instance.
    pub(crate) fn running(&self) -> usize {
        self.peers().count() + 1
    }

    /// Merges a record from a peer; returns whether the table changed in more than a presets
    /// version.
    pub(crate) fn merge(&mut self, from: &wire::Member, now: Instant) -> bool {
        if from.name == *self.local {
            return self.refute(from);
        }
        let Some(mut received) = Record::from_wire(from, now) else {
            self.malformed += 1;
            return false;
        };
        if received.state == State::Failed && self.may_own(&from.name) {
            // Each instance declares members failed by its own probes only, as the peer may be the
            // one that is cut off.
            received.state = State::Suspect;
        }
        match self.records.get_mut(&received.member.name) {
            Some(known) if known.is_older_than(&received) => *known = received,
            Some(known) if known.incarnation == received.incarnation => {
                known.presets = known.presets.max(received.presets);
                return false;
            }
            Some(_) => return false,
            None if received.is_running() => {
                self.records.insert(received.member.name.clone(), received);
            }
            None => return false,
        }
        self.advance_epoch();
        true
    }

    fn may_own(&self, name: &str) -> bool {
        self.get(name)
            .is_some_and(|known| known.is_running() && known.state != State::Leaving)
    }

    /// Overrides a peer's record of this instance by a higher incarnation, if it would supersede
    /// this instance's own record.
    ///
    /// The state leaving is adopted while live, as the peer may have it from the platform's list.
    fn refute(&mut self, received: &wire::Member) -> bool {
        let state = State::try_from(received.state).unwrap_or(State::Unspecified);
        let Some(own) = self.records.get_mut(&self.local) else {
            return false;
        };
        let is_newer = received.incarnation > own.incarnation;
        let is_current = received.incarnation == own.incarnation;
        match state {
            _ if is_newer => {}
            State::Suspect | State::Failed | State::Left if is_current && own.state != state => {}
            State::Leaving if is_current && own.state == State::Live => own.state = state,
            _ => return false,
        }
        own.incarnation = received.incarnation.saturating_add(1);
        own.sends = 0;
        self.advance_epoch();
        true
    }

    /// Sets this instance's state under a new incarnation; returns whether it changed.
    pub(crate) fn announce(&mut self, state: State, now: Instant) -> bool {
        let Some(own) = self.records.get_mut(&self.local) else {
            return false;
        };
        if own.state == state {
            return false;
        }
        own.incarnation += 1;
        own.state = state;
        own.changed_at = now;
        own.sends = 0;
        self.advance_epoch();
        true
    }

    /// Sets the version of the presets document that this instance has in force.
    pub(crate) fn set_presets(&mut self, version: u64) {
        if let Some(own) = self.records.get_mut(&self.local) {
            own.presets = version;
        }
    }

    /// Moves the member `name` from one of the states `from` to `to`, in its current incarnation.
    ///
    /// Returns whether the state changed; this instance's own never does.
    pub(crate) fn transition(
        &mut self,
        name: &str,
        from: &[State],
        to: State,
        now: Instant,
    ) -> bool {
        let Some(record) = self.records.get_mut(name).filter(|_| *name != *self.local) else {
            return false;
        };
        if !from.contains(&record.state) {
            return false;
        }
        record.state = to;
        record.changed_at = now;
        record.sends = 0;
        self.advance_epoch();
        true
    }

    /// Suspects the member `name`, which neither this instance nor a peer reached; returns whether
    /// its state changed.
    pub(crate) fn suspect(&mut self, name: &str, now: Instant) -> bool {
        // A leaving member owns nothing, so it is declared failed without a suspicion period.
        self.transition(name, &[State::Leaving], State::Failed, now)
            || self.transition(name, &[State::Joining, State::Live], State::Suspect, now)
    }

    /// Restarts the suspicion period of every suspected member.
    pub(crate) fn restart_suspicions(&mut self, now: Instant) {
        self.records
            .values_mut()
            .filter(|record| record.state == State::Suspect)
            .for_each(|record| record.changed_at = now);
    }

    /// Declares members failed that were suspected for `suspicion_timeout`; returns their names.
    ///
    /// Drops members that failed or left longer ago than they are kept.
    pub(crate) fn expire(&mut self, suspicion_timeout: Duration, now: Instant) -> Vec<Arc<str>> {
        let expired: Vec<Arc<str>> = self
            .records
            .values()
            .filter(|record| record.state == State::Suspect)
            .filter(|record| now.saturating_duration_since(record.changed_at) >= suspicion_timeout)
            .map(|record| record.member.name.clone())
            .collect();
        for name in &expired {
            self.transition(name, &[State::Suspect], State::Failed, now);
        }
        self.records.retain(|_, record| {
            let age = now.saturating_duration_since(record.changed_at);
            match record.state {
                State::Failed => age < FAILED_RETENTION,
                State::Left => age < LEFT_RETENTION,
                _ => true,
            }
        });
        expired
    }

    /// Returns at most `max_updates` records that peers may not know yet, the least often sent
    /// first and the latest first among those.
    ///
    /// The record of the receiver `to` comes first if it is neither live nor joining, so that `to`
    /// can override it.
    pub(crate) fn updates(&mut self, to: Option<&str>, max_updates: usize) -> Vec<wire::Member> {
        let limit = self.sends_limit();
        let mut updates: Vec<wire::Member> = to
            .and_then(|name| self.records.get(name))
            .filter(|record| !matches!(record.state, State::Live | State::Joining))
            .map(Record::to_wire)
            .into_iter()
            .collect();
        let mut pending: Vec<&mut Record> = self
            .records
            .values_mut()
            .filter(|record| record.sends < limit)
            .filter(|record| record.member.name != self.local)
            .filter(|record| to != Some(&*record.member.name))
            .collect();
        pending.sort_by_key(|record| (record.sends, std::cmp::Reverse(record.changed_at)));
        for record in pending.into_iter().take(max_updates - updates.len()) {
            record.sends += 1;
            updates.push(record.to_wire());
        }
        updates
    }

    fn sends_limit(&self) -> u32 {
        SENDS_PER_DOUBLING * log2_ceil(self.records.len())
    }

    fn advance_epoch(&mut self) {
        self.epoch += 1;
        self.digest = self
            .records
            .values()
            .filter(|record| record.is_running())
            .map(fingerprint)
            .fold(0, |digest, hash| digest ^ hash);
    }
}

/// Returns the base-2 logarithm of `members`, rounded up, and at least 1.
pub(crate) fn log2_ceil(members: usize) -> u32 {
    members.next_power_of_two().ilog2().max(1)
}

/// Returns a hash of the parts of a record that ownership depends on, and of its incarnation.
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
