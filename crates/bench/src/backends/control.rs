//! The control interface: faults, snapshots, the catalog and the log.

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    Method,
    Request,
    Response,
    StatusCode, //
};
use rand::{
    rngs::StdRng,
    Rng,
    SeedableRng, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use web::Limits;

use super::{
    fault::Change,
    log::{
        now_us,
        Record, //
    },
    server::Status,
    Site,
};
use crate::{
    answer,
    parameter, //
};

/// A switch of the index to the next snapshot.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Switch {
    /// Group that switches, all if it isn't given.
    pub group: Option<Arc<str>>,
    /// Time over which the servers switch, in milliseconds.
    pub spread_ms: u64,
    /// Time for which a server that can hold two versions keeps the old one, in milliseconds.
    pub overlap_ms: u64,
    /// Whether the new snapshot has other shards.
    pub repartition: bool,
    /// Drops the older snapshots from the catalog instead of switching.
    pub settle: bool,
}

#[derive(Debug, Serialize)]
struct Report {
    records: Vec<Arc<Record>>,
    servers: Vec<Status>,
    dropped: u64,
    now_us: u64,
}

/// Serves the control interface for ever.
pub async fn serve(site: Arc<Site>, address: SocketAddr) -> io::Result<()> {
    let listener = crate::listen::bind(address)?;
    tracing::info!("backends: control on {address}.");
    let make = |_| Handler { site: site.clone() };
    let limits = Limits {
        write_timeout: Duration::from_secs(60),
        idle_timeout: Duration::from_secs(600),
        ..Limits::default()
    };
    crate::listen::serve(listener, make, limits).await;
    Ok(())
}

#[derive(Debug)]
struct Handler {
    site: Arc<Site>,
}

impl Handler {
    fn change(&self, body: &[u8]) -> Response<Bytes> {
        let Ok(change) = serde_json::from_slice::<Change>(body) else {
            return answer::empty(StatusCode::BAD_REQUEST);
        };
        let servers = self.site.servers.iter();
        servers
            .filter(|server| change.is_for(&server.spec))
            .for_each(|server| server.apply(&change));
        answer::empty(StatusCode::OK)
    }

    fn switch(&self, body: &[u8]) -> Response<Bytes> {
        let Ok(switch) = serde_json::from_slice::<Switch>(body) else {
            return answer::empty(StatusCode::BAD_REQUEST);
        };
        let mut layout = self.site.layout();
        let groups = match &switch.group {
            Some(group) => vec![group.clone()],
            None => layout.groups(),
        };
        for group in groups {
            if switch.settle {
                layout.settle(&group);
                continue;
            }
            if let Some(snapshot) = layout.next(&group, switch.repartition) {
                self.spread(&group, &snapshot, &switch);
            }
        }
        answer::json(StatusCode::OK, &layout.catalog(&self.site.servers))
    }

    fn spread(&self, group: &Arc<str>, snapshot: &config::catalog::Snapshot, switch: &Switch) {
        let mut random = StdRng::seed_from_u64(self.site.seed ^ snapshot.number);
        for server in &self.site.servers {
            if server.spec.group.as_ref() != Some(group) {
                continue;
            }
            let wait = Duration::from_millis(random.random_range(0..=switch.spread_ms));
            // Every other server has room for one version only.
            let overlap = match random.random::<bool>() {
                true => Duration::from_millis(switch.overlap_ms),
                false => Duration::ZERO,
            };
            let held = &mut server.state().held;
            held.switch(&server.spec.service, snapshot, wait, overlap);
        }
    }

    fn log(&self, query: &str) -> Response<Bytes> {
        let after = parameter::number(query, "after").unwrap_or(0);
        let limit = parameter::number(query, "limit").map_or(usize::MAX, |limit| limit as usize);
        let (records, dropped) = {
            let log = self.site.log();
            (log.after(after, limit), log.dropped())
        };
        let servers = self.site.servers.iter();
        let report = Report {
            records,
            servers: servers
                .map(|server| server.state().status.clone())
                .collect(),
            dropped,
            now_us: now_us(),
        };
        answer::json(StatusCode::OK, &report)
    }
}

impl web::server::Handler for Handler {
    async fn handle(&self, request: Request<Bytes>) -> Response<Bytes> {
        let query = request.uri().query().unwrap_or_default();
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/control/server") => self.change(request.body()),
            (&Method::POST, "/control/snapshot") => self.switch(request.body()),
            (&Method::GET, "/control/catalog") => {
                let catalog = self.site.layout().catalog(&self.site.servers);
                answer::json(StatusCode::OK, &catalog)
            }
            (&Method::GET, "/control/log") => self.log(query),
            _ => answer::empty(StatusCode::NOT_FOUND),
        }
    }
}
