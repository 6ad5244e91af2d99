//! Backend servers that are marked as leaving, so that instances drain them.

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
    Context, //
};
use crate::backends::{
    self,
    FaultChange, //
};

/// Marks three servers as leaving, and removes the marks at the end.
pub(super) async fn run(context: &Context) -> Result<(), Report<Failure>> {
    let servers = servers(context);
    let cluster = &context.cluster;
    let mark = |marks: &mut Marks| {
        for server in &servers {
            marks.servers.insert(server.clone(), Mark::Leaving);
        }
    };
    cluster.update_document(Marks::NAME, mark).await?;
    for server in &servers {
        cluster.events.borrow_mut().record_mark(server);
        log_leaving(context, server, true).await?;
    }
    sleep(context.duration).await;
    for server in &servers {
        cluster.events.borrow_mut().record_mark_removal(server);
        log_leaving(context, server, false).await?;
    }
    let unmark = |marks: &mut Marks| {
        for server in &servers {
            marks.servers.remove(server);
        }
    };
    cluster.update_document(Marks::NAME, unmark).await?;
    Ok(())
}

fn servers(context: &Context) -> [Arc<str>; 3] {
    let user = context.cluster.options.user;
    let [(first, _), (second, _)] = backends::groups(user);
    let ungrouped = backends::ungrouped_services(user)[0].0;
    [
        Arc::from(format!("{}-a", backends::service_name(first, 3))),
        Arc::from(format!("{}-b", backends::service_name(second, 7))),
        Arc::from(format!("{ungrouped}-a")),
    ]
}

async fn log_leaving(
    context: &Context,
    server: &Arc<str>,
    leaving: bool,
) -> Result<(), Report<Failure>> {
    let change = FaultChange {
        name: Some(server.clone()),
        leaving: Some(leaving),
        ..FaultChange::default()
    };
    server::set(context, &change).await
}
