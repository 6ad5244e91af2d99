//! Injects the faults of a plan.

use std::{
    fs,
    net::SocketAddr,
    rc::Rc,
    sync::Arc, //
};

use ::platform::Store;
use adapter::Directory;
use monoio::time::{
    sleep,
    sleep_until,
    Instant, //
};
use relay::follow::Directory as _;
use rustix::process::Signal;
use serde_json::value::RawValue;

use super::{
    check::Promise,
    harness::Harness,
    history::{
        Component,
        Version, //
    },
    plan::{
        Event,
        Fault,
        LinkFault,
        ProcessFault,
        StoreFault, //
    },
    process::Process,
    topology::{
        GRACE,
        SERVER_DRAIN, //
    },
};
use crate::{
    backends::now_us,
    demo::control,
    proxy::FaultChange,
    store::{
        self,
        Outage, //
    },
};

/// Time beyond its drain after which a server that was asked to stop is killed.
const SERVER_GRACE: std::time::Duration = std::time::Duration::from_secs(4);
/// Attempts to write a configuration, which fail while the store is faulty.
const MAX_WRITE_ATTEMPTS: usize = 60;
/// Instant of the acknowledgement of a configuration that the store hasn't acknowledged yet.
const NOT_ACKED: u64 = u64::MAX / 2;
/// Checks of whether an earlier configuration is acknowledged, before the next one is written anyway.
const MAX_EARLIER_CHECKS: usize = 10 * MAX_WRITE_ATTEMPTS;
/// Pause between two attempts to write a configuration.
const WRITE_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(100);

/// Spawns a task for each fault, which ends when the fault does.
pub fn start(harness: &Rc<Harness>, events: Vec<Event>) -> Vec<monoio::task::JoinHandle<()>> {
    let started_at = Instant::now();
    let tasks = events.into_iter().map(|event| {
        let harness = harness.clone();
        monoio::spawn(async move {
            sleep_until(started_at + event.offset).await;
            tracing::debug!("soak: {:?} for {:?}.", event.fault, event.duration);
            inject(&harness, event).await;
        })
    });
    tasks.collect()
}

async fn inject(harness: &Harness, event: Event) {
    match event.fault {
        Fault::Relay(index, process_fault) => {
            inject_instance_fault(harness, index, process_fault, event).await
        }
        Fault::Relays(process_fault) => {
            let all = (0..harness.relays.len())
                .map(|index| inject_instance_fault(harness, index, process_fault, event));
            futures_util::future::join_all(all).await;
        }
        Fault::Settings(index) => {
            let (relay, process) = (&harness.topology.relays[index], &harness.relays[index]);
            // An instance rightly refuses to start with an invalid file, so it isn't restarted meanwhile.
            process.block_starts(true);
            write_settings(&relay.file, "node_name: [");
            process.signal(Signal::HUP);
            sleep(event.duration).await;
            write_settings(&relay.file, &relay.settings.to_json());
            process.signal(Signal::HUP);
            process.block_starts(false);
            restart(process);
        }
        Fault::Server(index, process_fault) => {
            let server = &harness.servers[index];
            let disturbance =
                harness.begin_disturbance(Component::Server(server.name.clone()), false);
            inject_process_fault(server, process_fault, event).await;
            harness.end_disturbance(disturbance);
        }
        Fault::CallerLink(index, link_fault) => {
            let disturbance = harness.begin_disturbance(Component::Relay(index), false);
            inject_link_fault(
                harness,
                harness.topology.relays[index].callers_link,
                link_fault,
                event,
            )
            .await;
            harness.end_disturbance(disturbance);
        }
        Fault::StoreLink(index, link_fault) => {
            let disturbance = harness.begin_disturbance(Component::Relay(index), false);
            inject_link_fault(
                harness,
                harness.topology.relays[index].store_link,
                link_fault,
                event,
            )
            .await;
            harness.end_disturbance(disturbance);
        }
        Fault::ServerLink(index, link_fault) => {
            let name = harness.servers[index].name.clone();
            let disturbance = harness.begin_disturbance(Component::Server(name), false);
            inject_link_fault(
                harness,
                harness.topology.servers[index].link,
                link_fault,
                event,
            )
            .await;
            harness.end_disturbance(disturbance);
        }
        Fault::Store(store_fault) => {
            let disturbance = harness.begin_disturbance(Component::Store, false);
            inject_store_fault(harness, store_fault, event).await;
            harness.end_disturbance(disturbance);
        }
        Fault::Version => publish(harness).await,
    }
}

fn write_settings(file: &std::path::Path, text: &str) {
    if let Err(error) = fs::write(file, text) {
        tracing::error!("soak: can't write {}: {error}.", file.display());
    }
}

/// Injects a fault of an instance, and restarts it if it has exited.
async fn inject_instance_fault(
    harness: &Harness,
    index: usize,
    process_fault: ProcessFault,
    event: Event,
) {
    let disturbance =
        harness.begin_disturbance(Component::Relay(index), process_fault == ProcessFault::Stop);
    let relay = &harness.relays[index];
    match process_fault {
        ProcessFault::Stop if relay.is_running() => {
            // An instance that another fault froze can't stop in time.
            if !relay.stop(GRACE).await {
                tracing::warn!("soak: {} didn't stop in time and was killed.", relay.name);
            }
        }
        _ => inject_process_fault(relay, process_fault, event).await,
    }
    restart(relay);
    harness.end_disturbance(disturbance);
}

/// Injects a fault of a process, and restarts it if it has exited.
async fn inject_process_fault(process: &Process, process_fault: ProcessFault, event: Event) {
    match process_fault {
        ProcessFault::Kill => {
            process.kill();
            sleep(event.duration).await;
        }
        ProcessFault::Stop => drop(process.stop(SERVER_DRAIN + SERVER_GRACE).await),
        ProcessFault::Pause => {
            process.signal(Signal::STOP);
            sleep(event.duration).await;
            process.signal(Signal::CONT);
        }
    }
    restart(process);
}

fn restart(process: &Process) {
    if let Err(report) = process.start() {
        tracing::error!("soak: {report:#}.");
    }
}

async fn inject_link_fault(
    harness: &Harness,
    address: SocketAddr,
    link_fault: LinkFault,
    event: Event,
) {
    let none = FaultChange {
        link: Some(address),
        ..FaultChange::default()
    };
    let injected = match link_fault {
        LinkFault::Delay(delay_ms) => FaultChange {
            delay_ms: Some(delay_ms),
            ..none.clone()
        },
        LinkFault::Cut => FaultChange {
            cut: Some(true),
            ..none.clone()
        },
        LinkFault::Reset => FaultChange {
            cut: Some(true),
            reset: Some(true),
            ..none.clone()
        },
        LinkFault::Silence(direction) => FaultChange {
            way: Some(direction),
            freeze: Some(true),
            ..none.clone()
        },
        LinkFault::Truncate(bytes) => FaultChange {
            truncate_after: Some(bytes),
            ..none.clone()
        },
        LinkFault::LoseAnswers(count) => FaultChange {
            lose_replies: Some(count),
            ..none.clone()
        },
    };
    let clear = FaultChange {
        clear: true,
        ..none
    };
    post_fault(harness, harness.topology.proxy, &injected).await;
    sleep(event.duration).await;
    post_fault(harness, harness.topology.proxy, &clear).await;
}

/// Restores the store from an older copy, and writes the configuration again as the operator does.
async fn restore_store(harness: &Harness, age_ms: u64, event: Event) {
    let none = store::FaultChange::default;
    let away = store::FaultChange {
        down: Some(Outage::Dead),
        ..none()
    };
    post_fault(harness, harness.topology.store, &away).await;
    sleep(event.duration).await;
    let restored = store::FaultChange {
        clear: true,
        restore_ms: Some(age_ms),
        ..none()
    };
    post_fault(harness, harness.topology.store, &restored).await;
    let versions = harness.history.borrow().versions.len();
    if versions > 0 {
        let table = harness.topology.table(versions - 1);
        if let Ok(value) = RawValue::from_string(adapter::route::to_json(&table)) {
            write_configuration(harness, &value).await;
        }
    }
}

async fn inject_store_fault(harness: &Harness, store_fault: StoreFault, event: Event) {
    let none = store::FaultChange::default;
    let fault = match store_fault {
        StoreFault::Refuse => store::FaultChange {
            down: Some(Outage::Refuse),
            ..none()
        },
        StoreFault::Dead => store::FaultChange {
            down: Some(Outage::Dead),
            ..none()
        },
        StoreFault::Slow(delay_ms) => store::FaultChange {
            delay_ms: Some(delay_ms),
            ..none()
        },
        StoreFault::LoseAnswers(count) => store::FaultChange {
            lose_replies: Some(count),
            ..none()
        },
        StoreFault::Forget => store::FaultChange {
            forget: true,
            ..none()
        },
        StoreFault::Restore(age_ms) => return restore_store(harness, age_ms, event).await,
    };
    post_fault(harness, harness.topology.store, &fault).await;
    sleep(event.duration).await;
    let clear = store::FaultChange {
        clear: true,
        ..none()
    };
    post_fault(harness, harness.topology.store, &clear).await;
}

async fn post_fault<T: serde::Serialize>(harness: &Harness, address: SocketAddr, fault: &T) {
    let posted = control::post(address, "/control/fault", fault).await;
    if let (Err(report), false) = (posted, harness.stopped.get()) {
        tracing::error!("soak: {report:#}.");
        harness.add_violation(
            Promise::Exit,
            format!("the control interface at {address} doesn't respond"),
        );
    }
}

/// Writes the next version of the configuration until the store acknowledges it.
pub async fn publish(harness: &Harness) {
    let version = harness.history.borrow().versions.len();
    let table = harness.topology.table(version);
    let text = adapter::route::to_json(&table);
    let Ok(value) = RawValue::from_string(text) else {
        return tracing::error!("soak: the configuration isn't valid JSON.");
    };
    // Recorded before the write, because instances may apply the version before its acknowledgement arrives.
    harness.history.borrow_mut().versions.push(Version {
        acked_us: NOT_ACKED,
        table: Arc::new(table),
    });
    wait_for_earlier(harness, version).await;
    if write_configuration(harness, &value).await {
        if let Some(version) = harness.history.borrow_mut().versions.get_mut(version) {
            version.acked_us = now_us();
        }
        return;
    }
    harness.add_violation(
        Promise::Exit,
        "the store didn't accept a configuration".to_owned(),
    );
}

/// Waits until the versions before `version` are acknowledged, as an operator writes one after the other: a repetition of
/// an earlier write would take a later one back.
async fn wait_for_earlier(harness: &Harness, version: usize) {
    let is_acked = |earlier: &Version| earlier.acked_us != NOT_ACKED;
    for _ in 0..MAX_EARLIER_CHECKS {
        if harness.history.borrow().versions[..version]
            .iter()
            .all(is_acked)
        {
            return;
        }
        sleep(WRITE_RETRY_DELAY).await;
    }
}

/// Writes a configuration; returns whether the store has accepted it.
async fn write_configuration(harness: &Harness, value: &RawValue) -> bool {
    let (kind, name) = Directory::ROUTES;
    for _ in 0..MAX_WRITE_ATTEMPTS {
        let current = harness.store.read(kind, name).await;
        let current = current.map(|object| object.map_or(0, |object| object.version));
        let written = match current {
            Ok(current) => harness.store.write(kind, name, current, value).await,
            Err(failure) => Err(failure),
        };
        if written.is_ok() {
            return true;
        }
        sleep(WRITE_RETRY_DELAY).await;
    }
    false
}
