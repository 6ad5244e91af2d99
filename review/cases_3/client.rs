//! Callers: one request on a connection of its own.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
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

/// Sends a request and reads its answer.
pub fn send(call: &Call) -> Outcome {
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
    if let Err(error) = exchange(call, &mut outcome) {
        outcome.error = Some(error.to_string());
    }
    outcome.ended_at = Instant::now();
    outcome
}

fn exchange(call: &Call, outcome: &mut Outcome) -> io::Result<()> {
    // A caller allows one second for a new connection.
    let mut stream = TcpStream::connect_timeout(&call.relay, Duration::from_secs(1))?;
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
