//! Backend servers that are marked leaving.

use std::sync::Arc;

use config::{
    marks::Mark,
    Marks, //
};
use error_stack::Report;
use monoio::time::sleep;

use super::{
    super::failure::Failure,
    server,
    Scene, //
};
use crate::backends::{
    self,
    Change, //
};

/// Marks three servers, and takes the marks back at the end.
pub(super) async fn run(scene: &Scene) -> Result<(), Report<Failure>> {
    let servers = servers(scene);
    let cluster = &scene.cluster;
    let mark = |marks: &mut Marks| {
        for server in &servers {
            marks.servers.insert(server.clone(), Mark::Leaving);
        }
    };
    cluster.change(Marks::NAME, mark).await?;
    for server in &servers {
        cluster.events.borrow_mut().leave(server);
        note(scene, server, true).await?;
    }
    sleep(scene.length).await;
    for server in &servers {
        cluster.events.borrow_mut().come_back(server);
        note(scene, server, false).await?;
    }
    let unmark = |marks: &mut Marks| {
        for server in &servers {
            marks.servers.remove(server);
        }
    };
    cluster.change(Marks::NAME, unmark).await?;
    Ok(())
}

fn servers(scene: &Scene) -> [Arc<str>; 3] {
    let user = scene.cluster.options.user;
    let [(first, _), (second, _)] = backends::groups(user);
    let single = backends::singles(user)[0].0;
    [
        Arc::from(format!("{}-a", backends::service(first, 3))),
        Arc::from(format!("{}-b", backends::service(second, 7))),
        Arc::from(format!("{single}-a")),
    ]
}

async fn note(scene: &Scene, server: &Arc<str>, leaving: bool) -> Result<(), Report<Failure>> {
    let change = Change {
        name: Some(server.clone()),
        leaving: Some(leaving),
        ..Change::default()
    };
    server::set(scene, &change).await
}
