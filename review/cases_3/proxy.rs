//! A TCP proxy whose open connections can fall silent, while new ones work.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
};

/// The proxy.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    silent: Arc<Mutex<Vec<Arc<AtomicBool>>>>,
}

impl Proxy {
    /// Starts a proxy to `target` on a free port.
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("the proxy can't listen");
        let proxy = Self {
            address: listener.local_addr().expect("the proxy has an address"),
            silent: Arc::default(),
        };
        let links = proxy.silent.clone();
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(target) else {
                    continue;
                };
                let is_silent = Arc::new(AtomicBool::new(false));
                links.lock().expect("the links can be locked").push(is_silent.clone());
                for stream in [&client, &server] {
                    let _ = stream.set_nodelay(true);
                }
                pump(&client, &server, &is_silent);
                pump(&server, &client, &is_silent);
            }
        });
        proxy
    }

    /// Drops all further bytes of the connections that are open now; returns their number.
    pub fn silence_open_connections(&self) -> usize {
        let links = std::mem::take(&mut *self.silent.lock().expect("the links can be locked"));
        links.iter().for_each(|link| link.store(true, Ordering::SeqCst));
        links.len()
    }
}

fn pump(from: &TcpStream, to: &TcpStream, is_silent: &Arc<AtomicBool>) {
    let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else {
        return;
    };
    let is_silent = is_silent.clone();
    std::thread::spawn(move || {
        let mut buffer = vec![0; 64 * 1024];
        while let Ok(count @ 1..) = from.read(&mut buffer) {
            if !is_silent.load(Ordering::SeqCst) && to.write_all(&buffer[..count]).is_err() {
                break;
            }
        }
        if !is_silent.load(Ordering::SeqCst) {
            let _ = to.shutdown(Shutdown::Both);
        }
    });
}
