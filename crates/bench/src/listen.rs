//! Accepts connections and serves each with a handler of its own.

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

/// Delay after a failed accept, which avoids a busy loop while the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Binds a listener without `SO_REUSEPORT`, so that a port in use is reported as an error.
///
/// # Errors
///
/// Fails if the address is in use or isn't local.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let options = ListenerOpts::default().reuse_port(false).reuse_addr(true);
    TcpListener::bind_with_config(address, &options)
}

/// Accepts connections forever; `make_handler` returns the handler of each connection.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    make_handler: impl Fn(Socket) -> H,
    limits: Limits,
) {
    let limits = Rc::new(limits);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            monoio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let handler = make_handler(Socket::new(&stream));
        let limits = limits.clone();
        monoio::spawn(async move {
            web::server::connection(stream, &handler, &limits, &Stop::new()).await;
        });
    }
}
