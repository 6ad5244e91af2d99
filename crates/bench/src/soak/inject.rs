//! Carries the faults of a plan out.

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
    history::{
        Place,
        Version, //
    },
    plan::{
        Blow,
        Event,
        Fault,
        Harm,
        Trouble, //
    },
    process::Process,
    site::{
        GRACE,
        SERVER_DRAIN, //
    },
    world::World,
};
use crate::{
    backends::now_us,
    demo::control,
    proxy::Change,
    store::{
        self,
        Down, //
    },
};

/// Time over its drain after which a server that was told to leave is killed.
const SERVER_GRACE: std::time::Duration = std::time::Duration::from_secs(4);
/// Tries to write a configuration while the store is in trouble, and the pause between them.
const WRITE_TRIES: usize = 60;
const WRITE_PAUSE: std::time::Duration = std::time::Duration::from_millis(100);

/// Starts a task for each fault; it ends with the fault.
pub fn start(world: &Rc<World>, events: Vec<Event>) -> Vec<monoio::task::JoinHandle<()>> {
    let began = Instant::now();
    let tasks = events.into_iter().map(|event| {
        let world = world.clone();
        monoio::spawn(async move {
            sleep_until(began + event.at).await;
            tracing::debug!("soak: {:?} for {:?}.", event.fault, event.length);
            run(&world, event).await;
        })
    });
    tasks.collect()
}

async fn run(world: &World, event: Event) {
    match event.fault {
        Fault::Relay(index, blow) => strike(world, index, blow, event).await,
        Fault::Relays(blow) => {
            let all = (0..world.relays.len()).map(|index| strike(world, index, blow, event));
            futures_util::future::join_all(all).await;
        }
        Fault::Settings(index) => {
            let (relay, process) = (&world.site.relays[index], &world.relays[index]);
            // A start with such a file is refused, as it should be.
            process.hold(true);
            spoil(&relay.file, "node_name: [");
            process.signal(Signal::HUP);
            sleep(event.length).await;
            spoil(&relay.file, &relay.settings.text());
            process.signal(Signal::HUP);
            process.hold(false);
            restart(process);
        }
        Fault::Server(index, blow) => {
            let server = &world.servers[index];
            let disturbance = world.disturb(Place::Server(server.name.clone()), false);
            hit(server, blow, event).await;
            world.calm(disturbance);
        }
        Fault::CallerLink(index, harm) => {
            let disturbance = world.disturb(Place::Relay(index), false);
            link(world, world.site.relays[index].callers_link, harm, event).await;
            world.calm(disturbance);
        }
        Fault::StoreLink(index, harm) => {
            let disturbance = world.disturb(Place::Relay(index), false);
            link(world, world.site.relays[index].store_link, harm, event).await;
            world.calm(disturbance);
        }
        Fault::ServerLink(index, harm) => {
            let name = world.servers[index].name.clone();
            let disturbance = world.disturb(Place::Server(name), false);
            link(world, world.site.servers[index].link, harm, event).await;
            world.calm(disturbance);
        }
        Fault::Store(trouble) => {
            let disturbance = world.disturb(Place::Store, false);
            upset(world, trouble, event).await;
            world.calm(disturbance);
        }
        Fault::Version => publish(world).await,
    }
}

fn spoil(file: &std::path::Path, text: &str) {
    if let Err(error) = fs::write(file, text) {
        tracing::error!("soak: {} isn't written: {error}.", file.display());
    }
}

/// Strikes an instance.
async fn strike(world: &World, index: usize, blow: Blow, event: Event) {
    let disturbance = world.disturb(Place::Relay(index), blow == Blow::Stop);
    let relay = &world.relays[index];
    match blow {
        Blow::Stop if relay.is_running() => {
            // One that is frozen meanwhile may need the kill.
            if !relay.stop(GRACE).await {
                tracing::warn!("soak: {} had to be killed.", relay.name);
            }
        }
        _ => hit(relay, blow, event).await,
    }
    restart(relay);
    world.calm(disturbance);
}

/// Strikes a process.
async fn hit(process: &Process, blow: Blow, event: Event) {
    match blow {
        Blow::Kill => {
            process.kill();
            sleep(event.length).await;
        }
        Blow::Stop => drop(process.stop(SERVER_DRAIN + SERVER_GRACE).await),
        Blow::Pause => {
            process.signal(Signal::STOP);
            sleep(event.length).await;
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

async fn link(world: &World, address: SocketAddr, harm: Harm, event: Event) {
    let none = Change {
        link: Some(address),
        ..Change::default()
    };
    let change = match harm {
        Harm::Delay(delay_ms) => Change {
            delay_ms: Some(delay_ms),
            ..none.clone()
        },
        Harm::Cut => Change {
            cut: Some(true),
            ..none.clone()
        },
        Harm::Reset => Change {
            cut: Some(true),
            reset: Some(true),
            ..none.clone()
        },
        Harm::Silence(way) => Change {
            way: Some(way),
            freeze: Some(true),
            ..none.clone()
        },
        Harm::Truncate(bytes) => Change {
            truncate_after: Some(bytes),
            ..none.clone()
        },
        Harm::LoseAnswers(count) => Change {
            lose_replies: Some(count),
            ..none.clone()
        },
    };
    let clear = Change {
        clear: true,
        ..none
    };
    tell(world, world.site.proxy, &change).await;
    sleep(event.length).await;
    tell(world, world.site.proxy, &clear).await;
}

async fn upset(world: &World, trouble: Trouble, event: Event) {
    let none = store::Fault::default;
    let fault = match trouble {
        Trouble::Refuse => store::Fault {
            down: Some(Down::Refuse),
            ..none()
        },
        Trouble::Dead => store::Fault {
            down: Some(Down::Dead),
            ..none()
        },
        Trouble::Slow(delay_ms) => store::Fault {
            delay_ms: Some(delay_ms),
            ..none()
        },
        Trouble::LoseAnswers(count) => store::Fault {
            lose_replies: Some(count),
            ..none()
        },
        Trouble::Forget => store::Fault {
            forget: true,
            ..none()
        },
    };
    tell(world, world.site.store, &fault).await;
    sleep(event.length).await;
    let clear = store::Fault {
        clear: true,
        ..none()
    };
    tell(world, world.site.store, &clear).await;
}

async fn tell<T: serde::Serialize>(world: &World, address: SocketAddr, fault: &T) {
    let told = control::post(address, "/control/fault", fault).await;
    if let (Err(report), false) = (told, world.stopped.get()) {
        tracing::error!("soak: {report:#}.");
        world.broken(Promise::Exit, format!("no control at {address}"));
    }
}

/// Writes the next version of the configuration until the store acknowledges it.
pub async fn publish(world: &World) {
    let version = world.history.borrow().versions.len();
    let table = world.site.table(version);
    let text = adapter::route::text(&table);
    let Ok(value) = RawValue::from_string(text) else {
        return tracing::error!("soak: a configuration is no JSON.");
    };
    // It may be in force before its acknowledgement is here.
    world.history.borrow_mut().versions.push(Version {
        acked_us: u64::MAX / 2,
        table: Arc::new(table),
    });
    let (kind, name) = Directory::ROUTES;
    for _ in 0..WRITE_TRIES {
        let current = world.store.read(kind, name).await;
        let current = current.map(|object| object.map_or(0, |object| object.version));
        let written = match current {
            Ok(current) => world.store.write(kind, name, current, &value).await,
            Err(failure) => Err(failure),
        };
        if written.is_ok() {
            if let Some(version) = world.history.borrow_mut().versions.get_mut(version) {
                version.acked_us = now_us();
            }
            return;
        }
        sleep(WRITE_PAUSE).await;
    }
    world.broken(Promise::Exit, "the store takes no configuration".to_owned());
}
