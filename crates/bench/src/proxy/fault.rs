//! Faults of one link.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// Direction of the bytes on a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Way {
    /// From whoever connected to the listener.
    Forward,
    /// Back to whoever connected.
    Back,
    /// Both ways.
    Both,
}

impl Way {
    /// Returns whether bytes that go `way`, forward or back, are meant.
    pub fn includes(self, way: Self) -> bool {
        self == Self::Both || self == way
    }
}

/// A change of the faults of some links; a field that isn't given stays as it is.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Change {
    /// Address that the link listens on, all links if it isn't given.
    pub link: Option<SocketAddr>,
    /// Restores the link before the other fields apply.
    pub clear: bool,
    /// Direction that `delay_ms`, `freeze` and `truncate_after` apply to, both if it isn't given.
    pub way: Option<Way>,
    /// Delay of every byte, in milliseconds.
    pub delay_ms: Option<u64>,
    /// Cuts open connections and refuses new ones.
    pub cut: Option<bool>,
    /// Whether connections that are cut end with a reset.
    pub reset: Option<bool>,
    /// Holds bytes back until restored; in one direction only, this is one-way loss.
    pub freeze: Option<bool>,
    /// Number of replies that are lost, each with its connection.
    pub lose_replies: Option<u64>,
    /// Bytes after which a connection is cut.
    pub truncate_after: Option<u64>,
}

/// The faults of one direction.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Path {
    /// Delay of every byte.
    pub delay: Duration,
    /// Whether bytes are held back.
    pub freeze: bool,
    /// Bytes after which a connection is cut.
    pub truncate_after: Option<u64>,
}

/// The faults of one link.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Faults {
    /// Faults of the way forward.
    pub forward: Path,
    /// Faults of the way back.
    pub back: Path,
    /// Whether connections are refused.
    pub cut: bool,
    /// Whether connections that are cut end with a reset.
    pub reset: bool,
    /// Replies that are still to be lost.
    pub lose_replies: u64,
}

impl Faults {
    /// Applies a change.
    pub fn apply(&mut self, change: &Change) {
        if change.clear {
            *self = Self::default();
        }
        let way = change.way.unwrap_or(Way::Both);
        if way.includes(Way::Forward) {
            self.forward.apply(change);
        }
        if way.includes(Way::Back) {
            self.back.apply(change);
        }
        self.cut = change.cut.unwrap_or(self.cut);
        self.reset = change.reset.unwrap_or(self.reset);
        self.lose_replies = change.lose_replies.unwrap_or(self.lose_replies);
    }

    /// Returns the faults of a direction.
    pub fn path(&self, way: Way) -> Path {
        match way {
            Way::Back => self.back,
            _ => self.forward,
        }
    }
}

impl Path {
    fn apply(&mut self, change: &Change) {
        if let Some(delay) = change.delay_ms {
            self.delay = Duration::from_millis(delay);
        }
        self.freeze = change.freeze.unwrap_or(self.freeze);
        self.truncate_after = change.truncate_after.or(self.truncate_after);
    }
}
