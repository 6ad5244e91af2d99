//! The workloads of both users: what their callers ask for and how often.

use std::{
    fmt,
    str::FromStr, //
};

use clap::ValueEnum;
use config::preset::Class;
use serde::{
    Deserialize,
    Serialize, //
};

use super::Kind;

/// A user of the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, ValueEnum)]
#[serde(rename_all = "lowercase")]
pub enum User {
    /// Editors on deadline.
    Kestrel,
    /// Bookings on volunteer-run backend servers.
    Prairie,
}

/// Mix of requests in one phase of a trace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mix {
    /// An ordinary day.
    Ordinary,
    /// Breaking news, or the opening of bookings: more and more urgent requests.
    Peak,
}

impl Mix {
    /// Arrivals a second, relative to an ordinary day.
    pub fn factor(self) -> f64 {
        match self {
            Self::Ordinary => 1.0,
            Self::Peak => 2.0,
        }
    }
}

impl fmt::Display for Mix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Ordinary => "ordinary",
            Self::Peak => "peak",
        })
    }
}

/// One phase of a trace.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Phase {
    /// Mix of requests.
    pub mix: Mix,
    /// Share of the trace's length.
    pub share: f64,
}

/// Why a phase can't be parsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The mix isn't `ordinary` or `peak`.
    Mix,
    /// The share isn't a number above 0.
    Share,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Mix => "the mix must be `ordinary` or `peak`",
            Self::Share => "the share must be a number above 0",
        })
    }
}

impl std::error::Error for Fault {}

impl FromStr for Phase {
    type Err = Fault;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (name, share) = text.split_once('=').unwrap_or((text, "1"));
        let mix = match name {
            "ordinary" => Mix::Ordinary,
            "peak" => Mix::Peak,
            _ => return Err(Fault::Mix),
        };
        match share.parse() {
            Ok(share) if share > 0.0 && f64::is_finite(share) => Ok(Self { mix, share }),
            _ => Err(Fault::Share),
        }
    }
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}={}", self.mix, self.share)
    }
}

/// One sort of request.
#[derive(Debug, Clone, Copy)]
pub struct Sort {
    /// Group of a query, service of a call.
    pub target: &'static str,
    /// Query or call.
    pub kind: Kind,
    /// Admission class.
    pub class: Class,
    /// Deadline, in milliseconds.
    pub timeout_ms: u64,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Share of the requests that ask for merged hits.
    pub merged: f64,
    /// Weight on an ordinary day.
    pub ordinary: f64,
    /// Weight at a peak.
    pub peak: f64,
}

impl Sort {
    /// Returns the weight in `mix`.
    pub fn weight(&self, mix: Mix) -> f64 {
        match mix {
            Mix::Ordinary => self.ordinary,
            Mix::Peak => self.peak,
        }
    }
}

/// Desk queries, archive searches, breaking-alert lookups and corrections.
const KESTREL: [Sort; 4] = [
    Sort {
        target: "deskline",
        kind: Kind::Query,
        class: Class::Normal,
        timeout_ms: 600,
        idempotent: true,
        merged: 0.3,
        ordinary: 0.55,
        peak: 0.45,
    },
    Sort {
        target: "archivist",
        kind: Kind::Query,
        class: Class::Bulk,
        timeout_ms: 1_500,
        idempotent: true,
        merged: 0.5,
        ordinary: 0.15,
        peak: 0.05,
    },
    Sort {
        target: "storyhook",
        kind: Kind::Call,
        class: Class::Urgent,
        timeout_ms: 300,
        idempotent: true,
        merged: 0.0,
        ordinary: 0.22,
        peak: 0.38,
    },
    Sort {
        target: "tallyroom",
        kind: Kind::Call,
        class: Class::Urgent,
        timeout_ms: 800,
        idempotent: false,
        merged: 0.0,
        ordinary: 0.08,
        peak: 0.12,
    },
];

/// Room searches, gear searches, engineer profiles and holds.
const PRAIRIE: [Sort; 4] = [
    Sort {
        target: "booking-desk",
        kind: Kind::Query,
        class: Class::Normal,
        timeout_ms: 800,
        idempotent: true,
        merged: 0.3,
        ordinary: 0.45,
        peak: 0.45,
    },
    Sort {
        target: "gear-ledger",
        kind: Kind::Query,
        class: Class::Bulk,
        timeout_ms: 1_500,
        idempotent: true,
        merged: 0.5,
        ordinary: 0.15,
        peak: 0.08,
    },
    Sort {
        target: "crew-roster",
        kind: Kind::Call,
        class: Class::Normal,
        timeout_ms: 500,
        idempotent: true,
        merged: 0.0,
        ordinary: 0.25,
        peak: 0.17,
    },
    Sort {
        target: "invoice-hall",
        kind: Kind::Call,
        class: Class::Urgent,
        timeout_ms: 1_000,
        idempotent: false,
        merged: 0.0,
        ordinary: 0.15,
        peak: 0.3,
    },
];

impl User {
    /// Returns the sorts of request that the user's callers send.
    pub fn sorts(self) -> &'static [Sort] {
        match self {
            Self::Kestrel => &KESTREL,
            Self::Prairie => &PRAIRIE,
        }
    }

    /// Returns the user's name.
    pub fn name(self) -> &'static str {
        match self {
            Self::Kestrel => "kestrel",
            Self::Prairie => "prairie",
        }
    }
}
