//! Marks the entries of instances that are gone for good as leaving, which nobody else would do.
//!
//! `policy::absence` decides which instances this one probes, and when one of them is gone. An instance whose entry was marked
//! while it runs writes it again (see [`crate::roster`]).

use std::{
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use monoio::{
    net::TcpStream,
    time::{
        sleep,
        timeout, //
    },
};
use platform::{
    Object,
    Store, //
};
use policy::absence::{
    self,
    Monitor, //
};
use tracing::{
    info,
    warn, //
};

use crate::{
    directory::Directory,
    peers::Member,
    source::Source, //
};

/// Time in which an instance that runs accepts a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// How instances that are gone are looked for.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Interval between two rounds of probes.
    pub interval: Duration,
    /// Minimum time for which no probe reaches an instance that is gone.
    pub min_absence: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            interval: Duration::from_secs(5),
            // A pause or a cut link ends within less.
            min_absence: Duration::from_secs(30),
        }
    }
}

/// Probes instances until the process ends, and marks the entries of those that are gone.
pub async fn watch<D: Directory>(source: Rc<Source<D::Store>>, settings: Settings) {
    let mut monitor = Monitor::new(settings.min_absence);
    loop {
        // Spreads the probes of instances that have started together.
        let jitter = 0.75 + rand::random::<f64>() / 2.0;
        sleep(settings.interval.mul_f64(jitter)).await;
        if source.relay().is_draining() {
            return;
        }
        let Some(reading) = source.relay().mirror().list(D::INSTANCES) else {
            continue;
        };
        let listed: Vec<(Object, Member)> = reading
            .listing
            .objects
            .into_iter()
            .filter_map(|object| {
                let member = D::member(&object).ok()??;
                Some((object, member))
            })
            .collect();
        for (object, member) in find_gone(&source, &listed, &mut monitor).await {
            let absent = monitor.gone_for(&member.name);
            let absent_s = absent.unwrap_or_default().as_secs();
            let value = D::instance(member, true);
            let write = source
                .store()
                .write(D::INSTANCES, &object.name, object.version, &value);
            match write.await {
                Ok(revision) => {
                    info!(instance = %member.name, absent_s, revision, "absence: instance gone, its entry is marked as leaving.")
                }
                // Another instance was faster, or the instance is back; or the next round tries again.
                Err(error) => {
                    warn!(instance = %member.name, absent_s, %error, "absence: entry of an instance that is gone can't be written.")
                }
            }
        }
    }
}

/// Probes the instances that this one looks after; returns those that are gone, unless no instance can be reached.
async fn find_gone<'a, S: Store>(
    source: &Source<S>,
    listed: &'a [(Object, Member)],
    monitor: &mut Monitor,
) -> Vec<&'a (Object, Member)> {
    let names: Vec<&str> = listed.iter().map(|(_, member)| &*member.name).collect();
    let local = source.relay().registry().local_name();
    let order = absence::order(&local, &names);
    let (near, far) = order.split_at(order.len().min(absence::MAX_PROBES));
    let mut probed = Vec::new();
    let mut is_any_up = false;
    for index in near {
        let (_, member) = &listed[*index];
        is_any_up = is_up(member).await;
        monitor.record(&member.name, is_any_up, Instant::now());
        probed.push(member.name.clone());
        if is_any_up {
            break;
        }
    }
    monitor.retain(&probed);
    let gone = near.iter().map(|index| &listed[*index]);
    let gone = gone.filter(|(_, member)| monitor.gone_for(&member.name).is_some());
    let gone: Vec<_> = gone.collect();
    if !gone.is_empty() && !is_any_up && !far.is_empty() {
        let other = far[rand::random::<u64>() as usize % far.len()];
        is_any_up = is_up(&listed[other].1).await;
    }
    match is_any_up {
        true => gone,
        // The links of this instance may be lost.
        false => Vec::new(),
    }
}

async fn is_up(member: &Member) -> bool {
    let connect = timeout(PROBE_TIMEOUT, TcpStream::connect(member.address));
    matches!(connect.await, Ok(Ok(_)))
}
