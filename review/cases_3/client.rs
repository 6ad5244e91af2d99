//! Callers: one request on a connection of its own.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    os::fd::FromRawFd,
    time::{Duration, Instant},
};

use crate::http;

/// A request of a caller.
pub struct Call {
    pub relay: SocketAddr,
    pub method: &'static str,
    pub path: String,
    pub id: String,
    pub deadline: Duration,
}

/// What the caller got.
pub struct Outcome {
    pub sent_at: Instant,
    pub ended_at: Instant,
    pub status: Option<u16>,
    pub headers: Vec<(String, String)>,
    /// Length that the answer states, and how many bytes of it arrived.
    pub stated: usize,
    pub received: usize,
    pub body: Vec<u8>,
    pub error: Option<String>,
}

impl Outcome {
    /// Returns whether the answer is complete.
    pub fn is_complete(&self) -> bool {
        self.status.is_some() && self.error.is_none() && self.received == self.stated
    }

    /// Returns whether the answer is a complete success.
    pub fn is_served(&self) -> bool {
        self.is_complete() && self.status.is_some_and(|status| (200..300).contains(&status))
    }

    /// Describes the outcome for the record.
    pub fn text(&self) -> String {
        let status = self.status.map_or("none".to_owned(), |status| status.to_string());
        let error = self.error.as_deref().unwrap_or("no error");
        let ms = (self.ended_at - self.sent_at).as_millis();
        format!("status {status}, {} of {} bytes, {error}, {ms} ms", self.received, self.stated)
    }
}

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;

/// Segment length and receive buffer of a caller behind a slow link, in bytes: those of an Ethernet, and a small window.
const SEGMENT_BYTES: i32 = 1_400;
const WINDOW_BYTES: i32 = 8 * 1024;

#[repr(C)]
struct SocketAddress {
    family: u16,
    port: u16,
    address: [u8; 4],
    zero: [u8; 8],
}

extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const SocketAddress, length: u32) -> i32;
}

/// Connects through a slow link: loopback segments of 64 KiB would let the sender's kernel buffer megabytes.
fn connect_slowly(address: SocketAddr) -> io::Result<TcpStream> {
    let SocketAddr::V4(address) = address else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    // SAFETY: the calls get a descriptor that is open, and values of the stated lengths.
    unsafe {
        let descriptor = socket(AF_INET, SOCK_STREAM, 0);
        if descriptor < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        let options = [
            (IPPROTO_TCP, TCP_MAXSEG, SEGMENT_BYTES),
            (SOL_SOCKET, SO_RCVBUF, WINDOW_BYTES),
        ];
        for (level, name, value) in options {
            if setsockopt(descriptor, level, name, &value, 4) != 0 {
                return Err(io::Error::last_os_error());
            }
        }
        let target = SocketAddress {
            family: AF_INET as u16,
            port: address.port().to_be(),
            address: address.ip().octets(),
            zero: [0; 8],
        };
        match connect(descriptor, &target, 16) {
            0 => Ok(stream),
            _ => Err(io::Error::last_os_error()),
        }
    }
}

/// Sends a request and reads its answer, through a slow link of `bytes_per_s` if that is given.
pub fn send(call: &Call, bytes_per_s: Option<usize>) -> Outcome {
    let mut outcome = Outcome {
        sent_at: Instant::now(),
        ended_at: Instant::now(),
        status: None,
        headers: Vec::new(),
        stated: 0,
        received: 0,
        body: Vec::new(),
        error: None,
    };
    if let Err(error) = exchange(call, bytes_per_s, &mut outcome) {
        outcome.error = Some(error.to_string());
    }
    outcome.ended_at = Instant::now();
    outcome
}

fn exchange(call: &Call, bytes_per_s: Option<usize>, outcome: &mut Outcome) -> io::Result<()> {
    // A caller allows one second for a new connection.
    let mut stream = match bytes_per_s {
        Some(_) => connect_slowly(call.relay)?,
        None => TcpStream::connect_timeout(&call.relay, Duration::from_secs(1))?,
    };
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(call.deadline))?;
    let request = format!(
        "{} {} HTTP/1.1\r\nHost: pupu76.example\r\nX-Request-Id: {}\r\nX-Deadline-Ms: {}\r\nContent-Length: 0\r\n\r\n",
        call.method,
        call.path,
        call.id,
        call.deadline.as_millis()
    );
    stream.write_all(request.as_bytes())?;
    outcome.sent_at = Instant::now();
    let mut reader = BufReader::with_capacity(4 * 1024, stream);
    outcome.status = Some(http::read_status(&mut reader)?);
    outcome.headers = http::read_headers(&mut reader)?;
    let stated = http::header(&outcome.headers, "content-length");
    outcome.stated = stated.and_then(|length| length.parse().ok()).unwrap_or(0);
    let began_at = Instant::now();
    let mut buffer = vec![0; 4 * 1024];
    while outcome.received < outcome.stated {
        let left = outcome.stated - outcome.received;
        let most = left.min(buffer.len());
        let count = reader.read(&mut buffer[..most])?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        outcome.received += count;
        outcome.body.extend_from_slice(&buffer[..count]);
        if let Some(bytes_per_s) = bytes_per_s {
            let due = Duration::from_secs_f64(outcome.received as f64 / bytes_per_s as f64);
            std::thread::sleep(due.saturating_sub(began_at.elapsed()));
        }
        if outcome.sent_at.elapsed() > call.deadline {
            return Err(io::ErrorKind::TimedOut.into());
        }
    }
    Ok(())
}

/// Sends a plain GET; returns the status.
pub fn get(address: SocketAddr, target: &str, timeout: Duration) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let request = format!("GET {target} HTTP/1.1\r\nHost: pupu76.example\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let status = http::read_status(&mut reader).ok()?;
    let _ = reader.fill_buf();
    Some(status)
}
