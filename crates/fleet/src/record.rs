//! Entries of the member table.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::Instant, //
};

use wire::State;

use crate::member::Member;

/// Maximum length of the name of an instance or availability zone, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// What this instance knows of a member.
#[derive(Debug, Clone)]
pub(crate) struct Record {
    /// The member.
    pub(crate) member: Rc<Member>,
    /// Incarnation number, which the member raises to override what others report of it.
    pub(crate) incarnation: u64,
    /// State in the membership protocol.
    pub(crate) state: State,
    /// Version of the presets document that the member has in force.
    pub(crate) presets: u64,
    /// When this instance learned of the state, or restarted the suspicion after a pause.
    pub(crate) changed_at: Instant,
    /// Number of messages that have carried the record since it changed.
    pub(crate) sends: u32,
}

impl Record {
    /// Parses a record that a peer sent; returns `None` if it is malformed.
    pub(crate) fn from_wire(from: &wire::Member, now: Instant) -> Option<Self> {
        let is_named = !from.name.is_empty() && from.name.len() <= MAX_NAME_BYTES;
        if !is_named || from.zone.len() > MAX_NAME_BYTES {
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
            changed_at: now,
            sends: 0,
        })
    }

    /// Returns the record in its wire form.
    pub(crate) fn to_wire(&self) -> wire::Member {
        wire::Member {
            name: self.member.name.to_string(),
            address: self.member.address.to_string(),
            zone: self.member.zone.to_string(),
            incarnation: self.incarnation,
            state: self.state.into(),
            presets: self.presets,
        }
    }

    /// Returns whether the member has neither failed nor left.
    pub(crate) fn is_running(&self) -> bool {
        !matches!(self.state, State::Failed | State::Left)
    }

    /// Returns whether `other`, a record of the same member, supersedes this one.
    pub(crate) fn is_older_than(&self, other: &Self) -> bool {
        let this = (self.incarnation, precedence(self.state));
        this < (other.incarnation, precedence(other.state))
    }
}

/// Returns the precedence of a state over others of the same incarnation; the higher one wins.
fn precedence(state: State) -> u8 {
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
