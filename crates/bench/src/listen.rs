//! Accepts connections with a handler for each.

use std::{
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use monoio::net::{
    ListenerOpts,
    TcpListener, //
};
use web::{
    server::Handler,
    Limits,
    Stop, //
};

use crate::socket::Socket;

/// Pause after a failed accept, so that a full descriptor table is no busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Binds a listener that shares its port with no other process.
///
/// # Errors
///
/// Fails if the address is taken or isn't local.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let options = ListenerOpts::default().reuse_port(false).reuse_addr(true);
    TcpListener::bind_with_config(address, &options)
}

/// Accepts connections for ever; `make` gives each one its handler.
pub async fn serve<H: Handler>(listener: TcpListener, make: impl Fn(Socket) -> H, limits: Limits) {
    let limits = Rc::new(limits);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            monoio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let handler = make(Socket::new(&stream));
        let limits = limits.clone();
        monoio::spawn(async move {
            web::server::connection(stream, &handler, &limits, &Stop::new()).await;
        });
    }
}
