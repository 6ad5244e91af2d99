//! Faults of one link.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// Direction in which bytes pass a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Direction {
    /// From the client that connected to the listener.
    Forward,
    /// Back to the client.
    Back,
    /// Both directions.
    Both,
}

impl Direction {
    /// Returns whether this includes `direction`, which is forward or back.
    pub fn includes(self, direction: Self) -> bool {
        self == Self::Both || self == direction
    }
}

/// Request to change the faults of some links; absent fields leave their fault unchanged.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultChange {
    /// Address that the link listens on; all links if absent.
    pub link: Option<SocketAddr>,
    /// Clears every fault before the other fields are applied.
    pub clear: bool,
    /// Direction that `delay_ms`, `freeze` and `truncate_after` apply to; both if absent.
    pub way: Option<Direction>,
    /// Delay of every byte, in milliseconds.
    pub delay_ms: Option<u64>,
    /// Whether open connections are cut and new ones refused.
    pub cut: Option<bool>,
    /// Whether connections end with a TCP reset.
    pub reset: Option<bool>,
    /// Whether bytes are held back; in one direction only, this simulates one-way loss.
    pub freeze: Option<bool>,
    /// Number of next replies that are lost; losing one cuts its connection.
    pub lose_replies: Option<u64>,
    /// Number of bytes after which a connection is cut.
    pub truncate_after: Option<u64>,
}

/// The faults of one direction.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DirectionFaults {
    /// Delay of every byte.
    pub delay: Duration,
    /// Whether bytes are held back.
    pub freeze: bool,
    /// Number of bytes after which a connection is cut.
    pub truncate_after: Option<u64>,
}

/// The faults of one link.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Faults {
    /// Faults of the bytes to the server.
    pub forward: DirectionFaults,
    /// Faults of the bytes back to the client.
    pub back: DirectionFaults,
    /// Whether open connections are cut and new ones refused.
    pub cut: bool,
    /// Whether connections end with a TCP reset.
    pub reset: bool,
    /// Number of replies left to be lost.
    pub lose_replies: u64,
}

impl Faults {
    /// Applies a change to the faults.
    pub fn apply(&mut self, change: &FaultChange) {
        if change.clear {
            *self = Self::default();
        }
        let direction = change.way.unwrap_or(Direction::Both);
        if direction.includes(Direction::Forward) {
            self.forward.apply(change);
        }
        if direction.includes(Direction::Back) {
            self.back.apply(change);
        }
        self.cut = change.cut.unwrap_or(self.cut);
        self.reset = change.reset.unwrap_or(self.reset);
        self.lose_replies = change.lose_replies.unwrap_or(self.lose_replies);
    }

    /// Returns the faults of one direction, forward or back.
    pub fn direction_faults(&self, direction: Direction) -> DirectionFaults {
        match direction {
            Direction::Back => self.back,
            _ => self.forward,
        }
    }
}

impl DirectionFaults {
    fn apply(&mut self, change: &FaultChange) {
        if let Some(delay) = change.delay_ms {
            self.delay = Duration::from_millis(delay);
        }
        self.freeze = change.freeze.unwrap_or(self.freeze);
        self.truncate_after = change.truncate_after.or(self.truncate_after);
    }
}
