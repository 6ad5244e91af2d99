//! One line of the member table.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::Instant, //
};

use wire::State;

use crate::member::Member;

/// Longest name of an instance or availability zone, in bytes.
const NAME_MAX: usize = 128;

/// What is known of one instance.
#[derive(Debug, Clone)]
pub(crate) struct Record {
    /// The instance.
    pub(crate) member: Rc<Member>,
    /// Number that the instance raises to overrule what is said of it.
    pub(crate) incarnation: u64,
    /// Its state.
    pub(crate) state: State,
    /// Version of the presets document that it has in force.
    pub(crate) presets: u64,
    /// When the state was taken in.
    pub(crate) since: Instant,
    /// Messages that have carried the record since it changed.
    pub(crate) sends: u32,
}

impl Record {
    /// Reads a record that a peer sent; `None` if it is malformed.
    pub(crate) fn read(from: &wire::Member, now: Instant) -> Option<Self> {
        let is_named = !from.name.is_empty() && from.name.len() <= NAME_MAX;
        if !is_named || from.zone.len() > NAME_MAX {
            return None;
        }
        let state = State::try_from(from.state).ok()?;
        if state == State::Unspecified {
            return None;
        }
        let address = from.address.parse::<SocketAddr>().ok()?;
        Some(Self {
            member: Rc::new(Member {
                name: from.name.as_str().into(),
                address,
                zone: from.zone.as_str().into(),
            }),
            incarnation: from.incarnation,
            state,
            presets: from.presets,
            since: now,
            sends: 0,
        })
    }

    /// Returns the record as it is sent.
    pub(crate) fn write(&self) -> wire::Member {
        wire::Member {
            name: self.member.name.to_string(),
            address: self.member.address.to_string(),
            zone: self.member.zone.to_string(),
            incarnation: self.incarnation,
            state: self.state.into(),
            presets: self.presets,
        }
    }

    /// Returns whether the instance is thought to run.
    pub(crate) fn is_running(&self) -> bool {
        !matches!(self.state, State::Failed | State::Left)
    }

    /// Returns whether `other`, about the same instance, is the later news.
    pub(crate) fn is_older_than(&self, other: &Self) -> bool {
        let own = (self.incarnation, rank(self.state));
        own < (other.incarnation, rank(other.state))
    }
}

/// Order of the states within one incarnation.
fn rank(state: State) -> u8 {
    match state {
        State::Unspecified => 0,
        State::Joining => 1,
        State::Live => 2,
        State::Suspect => 3,
        State::Leaving => 4,
        State::Failed => 5,
        State::Left => 6,
    }
}
