//! The control interface of the proxy.

use std::{
    io,
    net::SocketAddr,
    rc::Rc, //
};

use bytes::Bytes;
use http::{
    Method,
    Request,
    Response,
    StatusCode, //
};
use web::Limits;

use super::{
    fault::FaultChange,
    link::Link, //
};
use crate::response;

/// Serves the control interface until the process ends.
pub async fn serve(links: Vec<Rc<Link>>, address: SocketAddr) -> io::Result<()> {
    let listener = crate::listen::bind(address)?;
    tracing::info!("proxy: control on {address}.");
    let make = move |_| Handler(links.clone());
    crate::listen::serve(listener, make, Limits::default()).await;
    Ok(())
}

#[derive(Debug)]
struct Handler(Vec<Rc<Link>>);

impl Handler {
    fn change_faults(&self, body: &[u8]) -> Response<Bytes> {
        let Ok(change) = serde_json::from_slice::<FaultChange>(body) else {
            return response::empty(StatusCode::BAD_REQUEST);
        };
        let is_selected = |link: &&Rc<Link>| change.link.is_none_or(|listen| listen == link.listen);
        let selected: Vec<_> = self.0.iter().filter(is_selected).collect();
        selected.iter().for_each(|link| link.apply(&change));
        match selected.is_empty() {
            true => response::empty(StatusCode::NOT_FOUND),
            false => response::empty(StatusCode::OK),
        }
    }
}

impl web::server::Handler for Handler {
    async fn handle(&self, request: Request<Bytes>) -> Response<Bytes> {
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/control/fault") => self.change_faults(request.body()),
            (&Method::GET, "/control/ready") => response::empty(StatusCode::OK),
            _ => response::empty(StatusCode::NOT_FOUND),
        }
    }
}
