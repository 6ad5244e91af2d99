//! The HTTP control interface: sets faults, switches snapshots, shows the catalog and the log.

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
    fault::FaultChange,
    log::{
        now_us,
        Record, //
    },
    server::Status,
    Shared,
};
use crate::{
    parameter,
    response, //
};

/// Request to switch groups to their next snapshot.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Switch {
    /// Group that switches; all groups if absent.
    pub group: Option<Arc<str>>,
    /// Each server switches after a random delay of at most this long, in milliseconds.
    pub spread_ms: u64,
    /// Time for which a server that can hold two snapshots keeps the old one, in milliseconds.
    pub overlap_ms: u64,
    /// Whether the new snapshot has a different set of shards.
    pub repartition: bool,
    /// Drops all snapshots but the newest from the catalog instead of switching.
    pub settle: bool,
}

#[derive(Debug, Serialize)]
struct Report {
    records: Vec<Arc<Record>>,
    servers: Vec<Status>,
    dropped: u64,
    now_us: u64,
}

/// Serves the control interface until the process ends.
pub async fn serve(shared: Arc<Shared>, address: SocketAddr) -> io::Result<()> {
    let listener = crate::listen::bind(address)?;
    tracing::info!("backends: control on {address}.");
    let make = |_| Handler {
        shared: shared.clone(),
    };
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
    shared: Arc<Shared>,
}

impl Handler {
    fn change_faults(&self, body: &[u8]) -> Response<Bytes> {
        let Ok(change) = serde_json::from_slice::<FaultChange>(body) else {
            return response::empty(StatusCode::BAD_REQUEST);
        };
        let servers = self.shared.servers.iter();
        servers
            .filter(|server| change.applies_to(&server.spec))
            .for_each(|server| server.apply(&change));
        response::empty(StatusCode::OK)
    }

    fn switch_snapshot(&self, body: &[u8]) -> Response<Bytes> {
        let Ok(switch) = serde_json::from_slice::<Switch>(body) else {
            return response::empty(StatusCode::BAD_REQUEST);
        };
        let mut layout = self.shared.layout();
        let groups = match &switch.group {
            Some(group) => vec![group.clone()],
            None => layout.group_names(),
        };
        for group in groups {
            if switch.settle {
                layout.keep_newest(&group);
                continue;
            }
            if let Some(snapshot) = layout.add_snapshot(&group, switch.repartition) {
                self.schedule_switch(&group, &snapshot, &switch);
            }
        }
        response::json(StatusCode::OK, &layout.catalog(&self.shared.servers))
    }

    fn schedule_switch(
        &self,
        group: &Arc<str>,
        snapshot: &config::catalog::Snapshot,
        switch: &Switch,
    ) {
        let mut rng = StdRng::seed_from_u64(self.shared.seed ^ snapshot.number);
        for server in &self.shared.servers {
            if server.spec.group.as_ref() != Some(group) {
                continue;
            }
            let delay = Duration::from_millis(rng.random_range(0..=switch.spread_ms));
            // Half of the servers, chosen at random, have room for only one snapshot.
            let overlap = match rng.random::<bool>() {
                true => Duration::from_millis(switch.overlap_ms),
                false => Duration::ZERO,
            };
            let snapshots = &mut server.state().snapshots;
            snapshots.switch(&server.spec.service, snapshot, delay, overlap);
        }
    }

    fn log(&self, query: &str) -> Response<Bytes> {
        let after = parameter::number(query, "after").unwrap_or(0);
        let limit = parameter::number(query, "limit").map_or(usize::MAX, |limit| limit as usize);
        let (records, dropped) = {
            let log = self.shared.log();
            (log.after(after, limit), log.dropped())
        };
        let servers = self.shared.servers.iter();
        let report = Report {
            records,
            servers: servers
                .map(|server| server.state().status.clone())
                .collect(),
            dropped,
            now_us: now_us(),
        };
        response::json(StatusCode::OK, &report)
    }
}

impl web::server::Handler for Handler {
    async fn handle(&self, request: Request<Bytes>) -> Response<Bytes> {
        let query = request.uri().query().unwrap_or_default();
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/control/server") => self.change_faults(request.body()),
            (&Method::POST, "/control/snapshot") => self.switch_snapshot(request.body()),
            (&Method::GET, "/control/catalog") => {
                let catalog = self.shared.layout().catalog(&self.shared.servers);
                response::json(StatusCode::OK, &catalog)
            }
            (&Method::GET, "/control/log") => self.log(query),
            _ => response::empty(StatusCode::NOT_FOUND),
        }
    }
}
