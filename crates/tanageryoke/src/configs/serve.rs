//! Settings of `serve`.

use std::{
    fmt,
    net::SocketAddr,
    str::FromStr,
    sync::Arc,
    time::Duration, //
};

use clap::Args;

/// Maximum length of the name of an instance or availability zone, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// The settings, unparsed. Each is a flag and an environment variable.
#[derive(Debug, Clone, Default, Args)]
pub struct Flags {
    /// Name of the instance, unique in the fleet.
    #[arg(long, env = "TANAGERYOKE_NAME")]
    pub name: Option<String>,
    /// Availability zone of the instance.
    #[arg(long, env = "TANAGERYOKE_ZONE")]
    pub zone: Option<String>,
    /// Address to listen on for callers [default: 127.0.0.1:8080].
    #[arg(long, env = "TANAGERYOKE_LISTEN")]
    pub listen: Option<String>,
    /// Address to listen on for peers [default: 127.0.0.1:8081].
    #[arg(long, env = "TANAGERYOKE_PEER_LISTEN")]
    pub peer_listen: Option<String>,
    /// Address that peers reach this instance at [default: that of --peer-listen].
    #[arg(long, env = "TANAGERYOKE_PEER_ADDRESS")]
    pub peer_address: Option<String>,
    /// Address of the platform's store.
    #[arg(long, env = "TANAGERYOKE_PLATFORM")]
    pub platform: Option<String>,
    /// Longest wait for a reply of the platform's store [default: 2s].
    #[arg(long, env = "TANAGERYOKE_PLATFORM_TIMEOUT")]
    pub platform_timeout: Option<String>,
    /// Addresses of peers to join through while the platform's store is unavailable.
    #[arg(long, env = "TANAGERYOKE_SEED_PEER", value_delimiter = ',')]
    pub seed_peer: Vec<String>,
    /// Interval of heartbeats [default: 500ms].
    #[arg(long, env = "TANAGERYOKE_HEARTBEAT")]
    pub heartbeat: Option<String>,
    /// Longest body of a caller's request, in bytes [default: 1048576].
    #[arg(long, env = "TANAGERYOKE_BODY_MAX")]
    pub body_max: Option<String>,
    /// Format of the log, `text` or `json` [default: text].
    #[arg(long, env = "TANAGERYOKE_LOG_FORMAT")]
    pub log_format: Option<String>,
    /// Levels of the log, such as `info` or `info,pool=debug` [default: info].
    #[arg(long, env = "TANAGERYOKE_LOG_LEVEL")]
    pub log_level: Option<String>,
    /// Connects every instance to every backend server, for comparison.
    #[arg(long, env = "TANAGERYOKE_DIRECT")]
    pub direct: bool,
}

/// Format of the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Format {
    /// One line of text per event.
    #[default]
    Text,
    /// One JSON object per event.
    Json,
}

impl FromStr for Format {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(()),
        }
    }
}

/// The settings, validated.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Address to listen on for callers.
    pub listen: SocketAddr,
    /// Address to listen on for peers.
    pub peer_listen: SocketAddr,
    /// Address that peers reach this instance at.
    pub peer_address: SocketAddr,
    /// Address of the platform's store.
    pub platform: SocketAddr,
    /// Timeout of calls to the platform's store.
    pub platform_timeout: Duration,
    /// Addresses of peers to join through while the platform's store is unavailable.
    pub seeds: Vec<SocketAddr>,
    /// Interval of heartbeats.
    pub heartbeat: Duration,
    /// Maximum length of the body of a caller's request, in bytes.
    pub body_max: usize,
    /// Format of the log.
    pub log_format: Format,
    /// Levels of the log.
    pub log_level: Arc<str>,
    /// Whether every instance connects to every backend server, for comparison.
    pub direct: bool,
}

/// A setting that is missing or isn't valid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Name of the flag, without dashes.
    pub name: &'static str,
    /// The unparsed value, if there is one.
    pub value: Option<String>,
    /// Description of the accepted values.
    pub range: &'static str,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let variable = self.name.to_uppercase().replace('-', "_");
        write!(f, "--{} (TANAGERYOKE_{variable}): ", self.name)?;
        match &self.value {
            Some(value) => write!(f, "{value:?} isn't valid, expected {}", self.range),
            None => write!(f, "missing, expected {}", self.range),
        }
    }
}

impl std::error::Error for Fault {}

/// Parses settings and collects every fault, so that all are reported together.
#[derive(Debug, Default)]
pub(super) struct Reader {
    pub(super) faults: Vec<Fault>,
}

impl Reader {
    pub(super) fn read<T>(
        &mut self,
        name: &'static str,
        value: Option<String>,
        range: &'static str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let parsed = value.as_deref().and_then(parse);
        if parsed.is_none() {
            self.faults.push(Fault { name, value, range });
        }
        parsed
    }
}

impl Settings {
    /// Parses and validates all settings.
    ///
    /// # Errors
    ///
    /// Returns every fault, in the order of the flags.
    pub fn read(flags: Flags) -> Result<Self, Vec<Fault>> {
        let mut reader = Reader::default();
        let settings = Self::collect(&mut reader, flags);
        settings.ok_or(reader.faults)
    }

    fn collect(reader: &mut Reader, flags: Flags) -> Option<Self> {
        const NAME: &str = "1 to 64 letters, digits, '-', '_' or '.'";
        const ADDRESS: &str = "an IP number and a port, such as 127.0.0.1:8080";
        const ADDRESSES: &str = "IP numbers with ports, separated by commas";
        let or_default =
            |value: Option<String>, default: &str| value.or_else(|| Some(default.to_owned()));
        let peer_address = flags.peer_address.or_else(|| flags.peer_listen.clone());
        let name = reader.read("name", flags.name, NAME, valid_name);
        let zone = reader.read("zone", flags.zone, NAME, valid_name);
        let listen = or_default(flags.listen, "127.0.0.1:8080");
        let listen = reader.read("listen", listen, ADDRESS, parse);
        let peer_listen = or_default(flags.peer_listen, "127.0.0.1:8081");
        let peer_listen = reader.read("peer-listen", peer_listen, ADDRESS, parse);
        let peer_address = or_default(peer_address, "127.0.0.1:8081");
        let peer_address = reader.read("peer-address", peer_address, ADDRESS, parse);
        let platform = reader.read("platform", flags.platform, ADDRESS, parse);
        let timeout = or_default(flags.platform_timeout, "2s");
        let timeout = reader.read("platform-timeout", timeout, "10ms to 60s", |text| {
            duration(text, Duration::from_millis(10), Duration::from_secs(60))
        });
        let seeds = Some(flags.seed_peer.join(","));
        let seeds = reader.read("seed-peer", seeds, ADDRESSES, addresses);
        let heartbeat = or_default(flags.heartbeat, "500ms");
        let heartbeat = reader.read("heartbeat", heartbeat, "50ms to 10s", |text| {
            duration(text, Duration::from_millis(50), Duration::from_secs(10))
        });
        let body_max = or_default(flags.body_max, "1048576");
        let body_max = reader.read("body-max", body_max, "1024 to 67108864", |text| {
            parse(text).filter(|bytes| (1024..=67_108_864).contains(bytes))
        });
        let log_format = or_default(flags.log_format, "text");
        let log_format = reader.read("log-format", log_format, "text or json", parse);
        let log_level = or_default(flags.log_level, "info");
        let log_level = reader.read("log-level", log_level, "a level filter", levels);
        Some(Self {
            name: name?,
            zone: zone?,
            listen: listen?,
            peer_listen: peer_listen?,
            peer_address: peer_address?,
            platform: platform?,
            platform_timeout: timeout?,
            seeds: seeds?,
            heartbeat: heartbeat?,
            body_max: body_max?,
            log_format: log_format?,
            log_level: log_level?,
            direct: flags.direct,
        })
    }
}

pub(super) fn parse<T: FromStr>(text: &str) -> Option<T> {
    text.parse().ok()
}

pub(super) fn levels(text: &str) -> Option<Arc<str>> {
    let filter = tracing_subscriber::EnvFilter::try_new(text);
    filter.ok().map(|_| Arc::from(text))
}

fn valid_name(text: &str) -> Option<Arc<str>> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let has_valid_length = !text.is_empty() && text.len() <= MAX_NAME_BYTES;
    (has_valid_length && text.bytes().all(allowed)).then(|| Arc::from(text))
}

pub(super) fn duration(text: &str, min: Duration, max: Duration) -> Option<Duration> {
    let duration = humantime::parse_duration(text).ok()?;
    (min..=max).contains(&duration).then_some(duration)
}

fn addresses(text: &str) -> Option<Vec<SocketAddr>> {
    let parts = text.split(',').filter(|part| !part.is_empty());
    parts.map(|part| part.trim().parse().ok()).collect()
}
