//! The workloads of both users: the requests that their callers send, and their weights.

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
    /// News editors working to a deadline.
    Kestrel,
    /// Bookings on volunteer-run backend servers.
    Prairie,
}

/// Mix of requests in one phase of a trace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mix {
    /// An ordinary day.
    Ordinary,
    /// Breaking news, or the opening of bookings: twice the requests, and more of them urgent.
    Peak,
}

impl Mix {
    /// Returns the arrival rate relative to an ordinary day.
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
pub enum Error {
    /// The mix isn't `ordinary` or `peak`.
    Mix,
    /// The share isn't a number above 0.
    Share,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Mix => "the mix must be `ordinary` or `peak`",
            Self::Share => "the share must be a number above 0",
        })
    }
}

impl std::error::Error for Error {}

impl FromStr for Phase {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (name, share) = text.split_once('=').unwrap_or((text, "1"));
        let mix = match name {
            "ordinary" => Mix::Ordinary,
            "peak" => Mix::Peak,
            _ => return Err(Error::Mix),
        };
        match share.parse() {
            Ok(share) if share > 0.0 && f64::is_finite(share) => Ok(Self { mix, share }),
            _ => Err(Error::Share),
        }
    }
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}={}", self.mix, self.share)
    }
}

/// Template of the requests to one target.
#[derive(Debug, Clone, Copy)]
pub struct Template {
    /// Group of a query, service of a call.
    pub target: &'static str,
    /// Query or call.
    pub kind: Kind,
    /// Admission class.
    pub class: Class,
    /// Timeout that the caller sends, in milliseconds.
    pub timeout_ms: u64,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Share of the requests that request merged hits.
    pub merged_share: f64,
    /// Weight in the ordinary mix.
    pub ordinary_weight: f64,
    /// Weight in the peak mix.
    pub peak_weight: f64,
}

impl Template {
    /// Returns the weight in `mix`.
    pub fn weight(&self, mix: Mix) -> f64 {
        match mix {
            Mix::Ordinary => self.ordinary_weight,
            Mix::Peak => self.peak_weight,
        }
    }
}

/// Kestrel: desk queries, archive searches, breaking-alert lookups and corrections.
const KESTREL: [Template; 4] = [
    Template {
        target: "deskline",
        kind: Kind::Query,
        class: Class::Normal,
        timeout_ms: 600,
        idempotent: true,
        merged_share: 0.3,
        ordinary_weight: 0.55,
        peak_weight: 0.45,
    },
    Template {
        target: "archivist",
        kind: Kind::Query,
        class: Class::Bulk,
        timeout_ms: 1_500,
        idempotent: true,
        merged_share: 0.5,
        ordinary_weight: 0.15,
        peak_weight: 0.05,
    },
    Template {
        target: "storyhook",
        kind: Kind::Call,
        class: Class::Urgent,
        timeout_ms: 300,
        idempotent: true,
        merged_share: 0.0,
        ordinary_weight: 0.22,
        peak_weight: 0.38,
    },
    Template {
        target: "tallyroom",
        kind: Kind::Call,
        class: Class::Urgent,
        timeout_ms: 800,
        idempotent: false,
        merged_share: 0.0,
        ordinary_weight: 0.08,
        peak_weight: 0.12,
    },
];

/// Prairie: room searches, gear searches, engineer profiles and holds.
const PRAIRIE: [Template; 4] = [
    Template {
        target: "booking-desk",
        kind: Kind::Query,
        class: Class::Normal,
        timeout_ms: 800,
        idempotent: true,
        merged_share: 0.3,
        ordinary_weight: 0.45,
        peak_weight: 0.45,
    },
    Template {
        target: "gear-ledger",
        kind: Kind::Query,
        class: Class::Bulk,
        timeout_ms: 1_500,
        idempotent: true,
        merged_share: 0.5,
        ordinary_weight: 0.15,
        peak_weight: 0.08,
    },
    Template {
        target: "crew-roster",
        kind: Kind::Call,
        class: Class::Normal,
        timeout_ms: 500,
        idempotent: true,
        merged_share: 0.0,
        ordinary_weight: 0.25,
        peak_weight: 0.17,
    },
    Template {
        target: "invoice-hall",
        kind: Kind::Call,
        class: Class::Urgent,
        timeout_ms: 1_000,
        idempotent: false,
        merged_share: 0.0,
        ordinary_weight: 0.15,
        peak_weight: 0.3,
    },
];

impl User {
    /// Returns the templates of the requests that the user's callers send.
    pub fn templates(self) -> &'static [Template] {
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
