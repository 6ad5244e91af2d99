//! Services and backend servers of both users, in the sizes of their current fleets.

use std::{
    sync::Arc,
    time::Duration, //
};

use crate::trace::profile::User;

/// Availability zones.
pub const ZONES: [&str; 4] = ["a", "b", "c", "d"];

/// Delay of the first reply on a new connection to a small server.
const FIRST_REPLY_DELAY_SMALL: Duration = Duration::from_millis(6);
/// Delay of the first reply on a new connection to a large server.
const FIRST_REPLY_DELAY_LARGE: Duration = Duration::from_millis(1);

/// Returns a user's groups, each with its number of services.
pub fn groups(user: User) -> [(&'static str, usize); 2] {
    match user {
        User::Kestrel => [("deskline", 20), ("archivist", 30)],
        User::Prairie => [("booking-desk", 20), ("gear-ledger", 30)],
    }
}

/// Returns a user's services outside the groups: name, number of servers, connection limit of each.
pub fn ungrouped_services(user: User) -> [(&'static str, usize, usize); 2] {
    match user {
        User::Kestrel => [("storyhook", 4, 100), ("tallyroom", 4, 100)],
        User::Prairie => [("crew-roster", 7, 40), ("invoice-hall", 4, 40)],
    }
}

/// Description of a backend server that has no address yet.
#[derive(Debug, Clone)]
pub struct Spec {
    /// Name.
    pub name: Arc<str>,
    /// Group of its service, if the service is in one.
    pub group: Option<Arc<str>>,
    /// Service.
    pub service: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Requests that it serves concurrently.
    pub slots: usize,
    /// Connections that it accepts at most.
    pub connections: usize,
    /// Delay of the first reply on a new connection.
    pub first_reply_delay: Duration,
}

/// Returns the name of a group's service.
pub fn service_name(group: &str, index: usize) -> Arc<str> {
    Arc::from(format!("{group}-{index:02}"))
}

/// Returns every backend server of a user.
pub fn specs(user: User) -> Vec<Spec> {
    let grouped = groups(user)
        .into_iter()
        .flat_map(|(group, count)| (0..count).flat_map(move |index| replicas(group, index)));
    let ungrouped = ungrouped_services(user)
        .into_iter()
        .flat_map(|(name, count, connections)| {
            (0..count).map(move |index| large_server(name, index, connections))
        });
    grouped.chain(ungrouped).collect()
}

fn replicas(group: &str, index: usize) -> [Spec; 2] {
    let first = index % ZONES.len();
    // The second replica is in another zone than the first; which one varies with the index.
    let second = (first + 1 + (index / ZONES.len()) % (ZONES.len() - 1)) % ZONES.len();
    [("a", first), ("b", second)].map(|(suffix, zone)| {
        let service = service_name(group, index);
        Spec {
            name: Arc::from(format!("{service}-{suffix}")),
            group: Some(Arc::from(group)),
            service,
            zone: Arc::from(ZONES[zone]),
            slots: 2,
            connections: 25,
            first_reply_delay: FIRST_REPLY_DELAY_SMALL,
        }
    })
}

fn large_server(service: &str, index: usize, connections: usize) -> Spec {
    let suffix = char::from(b'a' + index as u8);
    Spec {
        name: Arc::from(format!("{service}-{suffix}")),
        group: None,
        service: Arc::from(service),
        zone: Arc::from(ZONES[index % ZONES.len()]),
        slots: 4,
        connections,
        first_reply_delay: FIRST_REPLY_DELAY_LARGE,
    }
}
