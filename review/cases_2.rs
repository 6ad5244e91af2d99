//! Stand-ins and cases of the second review. `review/build-2.sh` builds this program, `run.sh` of a case starts it.
//!
//! The store, the clients and the checks run in this process. Instances of the system and backends are processes of
//! their own. Uses the standard library only.

use std::{
    collections::BTreeMap,
    env,
    fs::{self, File, OpenOptions},
    io::{self, BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    os::{fd::FromRawFd, unix::process::CommandExt},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Condvar, Mutex,
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

#[path = "10/case.rs"]
mod added_route;
#[path = "6/case.rs"]
mod forged_entry;
#[path = "8/case.rs"]
mod frozen_machines;
#[path = "9/case.rs"]
mod popular_story;
#[path = "7/case.rs"]
mod stop_midway;

const HOST: &str = "review.example";
/// Bounds of the pages, as in the settings of the small deployments.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const GRACE: Duration = Duration::from_secs(6);
const DRAIN: Duration = Duration::from_secs(3);
const CONFIG_APPLY: Duration = Duration::from_secs(3);
const RECOVERY: Duration = Duration::from_secs(12);

const SIGKILL: i32 = 9;
const SIGTERM: i32 = 15;
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64, ...) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const Ipv4Address, length: u32) -> i32;
}

/// `struct sockaddr_in`.
#[repr(C)]
struct Ipv4Address {
    family: u16,
    port: [u8; 2],
    address: [u8; 4],
    zero: [u8; 8],
}

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;
/// Segment of an Ethernet, where the kernel buffers less than for the large segments of the loopback.
const ETHERNET_SEGMENT_BYTES: i32 = 1_460;
const RECEIVE_BUFFER_BYTES: i32 = 64 * 1024;

/// Connects as a client on an Ethernet does.
fn connect_as_on_ethernet(address: SocketAddr) -> io::Result<TcpStream> {
    let SocketAddr::V4(address) = address else {
        return Err(broken("expected an IPv4 address"));
    };
    let target = Ipv4Address {
        family: AF_INET as u16,
        port: address.port().to_be_bytes(),
        address: address.ip().octets(),
        zero: [0; 8],
    };
    // SAFETY: the descriptor is owned by the stream from its creation on, and the pointers are valid during the calls.
    unsafe {
        let descriptor = socket(AF_INET, SOCK_STREAM, 0);
        if descriptor < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        let options = [
            (IPPROTO_TCP, TCP_MAXSEG, ETHERNET_SEGMENT_BYTES),
            (SOL_SOCKET, SO_RCVBUF, RECEIVE_BUFFER_BYTES),
        ];
        for (level, name, value) in options {
            if setsockopt(descriptor, level, name, &value, 4) != 0 {
                return Err(io::Error::last_os_error());
            }
        }
        match connect(descriptor, &target, 16) {
            0 => Ok(stream),
            _ => Err(io::Error::last_os_error()),
        }
    }
}

/// Option of `prctl` that names the signal for a process whose parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

// ---------------------------------------------------------------------------------------------------- HTTP

type Headers = Vec<(String, String)>;

/// A request or a response.
#[derive(Debug, Clone, Default)]
struct Message {
    first: String,
    headers: Headers,
    body: Vec<u8>,
}

impl Message {
    fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(one, _)| one.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or_default()
    }

    fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or_default()
    }
}

fn broken(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, text.to_owned())
}

/// Reads the head of a message; none if the connection ends before it.
fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return match message.first.is_empty() {
                true => Ok(None),
                false => Err(broken("the head is incomplete")),
            };
        }
        let line = line.trim_end();
        match line.split_once(':') {
            _ if message.first.is_empty() => message.first = line.to_owned(),
            Some((name, value)) => {
                let header = (name.to_owned(), value.trim().to_owned());
                message.headers.push(header);
            }
            None if line.is_empty() => return Ok(Some(message)),
            None => return Err(broken("a header line has no colon")),
        }
    }
}

/// Reads the body of a message, whose head says how long it is.
fn read_body(
    reader: &mut impl BufRead,
    message: &mut Message,
    is_response: bool,
) -> io::Result<()> {
    if message
        .header("transfer-encoding")
        .is_some_and(|value| value.contains("chunked"))
    {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let length =
                usize::from_str_radix(line.trim(), 16).map_err(|_| broken("no chunk size"))?;
            let mut chunk = vec![0; length + 2];
            reader.read_exact(&mut chunk)?;
            if length == 0 {
                return Ok(());
            }
            message.body.extend_from_slice(&chunk[..length]);
        }
    }
    match message
        .header("content-length")
        .and_then(|length| length.parse().ok())
    {
        Some(length) => {
            message.body = vec![0; length];
            reader.read_exact(&mut message.body)
        }
        None if is_response => reader.read_to_end(&mut message.body).map(drop),
        None => Ok(()),
    }
}

fn write_message(
    stream: &mut TcpStream,
    first: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = format!("{first}\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

fn status_line(status: u16) -> String {
    format!("HTTP/1.1 {status} Status")
}

/// Accepts connections in a thread of its own and serves each in another one.
fn serve(
    listener: TcpListener,
    handle: impl Fn(&mut TcpStream, Message) -> io::Result<()> + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(mut request)) = read_head(&mut reader) {
                    let body = read_body(&mut reader, &mut request, false);
                    if body.is_err() || handle(&mut writer, request).is_err() {
                        break;
                    }
                }
                let _ = writer.shutdown(Shutdown::Both);
            });
        }
    });
}

// --------------------------------------------------------------------------------------------------- store

#[derive(Debug, Clone)]
struct Object {
    revision: u64,
    spec: String,
}

#[derive(Debug)]
struct Change {
    revision: u64,
    kind: String,
    name: String,
    object: Option<Object>,
}

#[derive(Debug, Default)]
struct Objects {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    changes: Vec<Change>,
}

/// Stand-in of the platform's store.
#[derive(Debug, Default)]
struct Store {
    state: Mutex<Objects>,
    changed: Condvar,
}

fn object_text(name: &str, object: &Object) -> String {
    let Object { revision, spec } = object;
    format!("{{\"meta\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}")
}

impl Store {
    fn start() -> (Arc<Self>, SocketAddr) {
        let store = Arc::<Self>::default();
        store.state.lock().unwrap().revision = 1;
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let shared = store.clone();
        serve(listener, move |stream, request| {
            let (status, body) = shared.answer(&request);
            let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
            write_message(stream, &status_line(status), &headers, body.as_bytes())
        });
        (store, address)
    }

    /// Creates or replaces an object, if it has the expected revision; returns its revision.
    fn put(
        &self,
        kind: &str,
        name: &str,
        spec: &str,
        expected: Option<u64>,
    ) -> Result<u64, Option<Object>> {
        let mut state = self.state.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let known = state.objects.get(&key).cloned();
        let current = known.as_ref().map_or(0, |known| known.revision);
        if expected.is_some_and(|expected| expected != current) {
            return Err(known);
        }
        if known.as_ref().is_some_and(|known| known.spec == spec) {
            return Ok(current);
        }
        state.revision += 1;
        let revision = state.revision;
        let object = Object {
            revision,
            spec: spec.to_owned(),
        };
        state.objects.insert(key, object.clone());
        state.changes.push(Change {
            revision,
            kind: kind.to_owned(),
            name: name.to_owned(),
            object: Some(object),
        });
        self.changed.notify_all();
        Ok(revision)
    }

    fn delete(&self, kind: &str, name: &str) {
        let mut state = self.state.lock().unwrap();
        if state
            .objects
            .remove(&(kind.to_owned(), name.to_owned()))
            .is_some()
        {
            state.revision += 1;
            let revision = state.revision;
            state.changes.push(Change {
                revision,
                kind: kind.to_owned(),
                name: name.to_owned(),
                object: None,
            });
            self.changed.notify_all();
        }
    }

    fn list(&self, kind: &str) -> Vec<(String, Object)> {
        let state = self.state.lock().unwrap();
        let of_kind = state.objects.iter().filter(|((one, _), _)| one == kind);
        of_kind
            .map(|((_, name), object)| (name.clone(), object.clone()))
            .collect()
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (path, query) = request
            .word(1)
            .split_once('?')
            .unwrap_or((request.word(1), ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .into_iter()
                .find(|(one, _)| *one == name)
                .and_then(|(_, value)| value.parse::<u64>().ok())
        };
        let mut parts = path
            .trim_start_matches("/tanageryoke/objects")
            .split('/')
            .skip(1);
        let (kind, name) = (parts.next().unwrap_or_default(), parts.next());
        let body = String::from_utf8_lossy(&request.body).into_owned();
        match (request.word(0), name) {
            ("GET", None) => match parameter("watch") {
                Some(after) => (
                    200,
                    self.watch(kind, after, parameter("wait_ms").unwrap_or_default()),
                ),
                None => {
                    let items: Vec<String> = self
                        .list(kind)
                        .iter()
                        .map(|(name, object)| object_text(name, object))
                        .collect();
                    let revision = self.state.lock().unwrap().revision;
                    (
                        200,
                        format!(
                            "{{\"items\":[{}],\"more\":false,\"current_rev\":{revision}}}",
                            items.join(",")
                        ),
                    )
                }
            },
            ("GET", Some(name)) => {
                let state = self.state.lock().unwrap();
                match state.objects.get(&(kind.to_owned(), name.to_owned())) {
                    Some(object) => (200, object_text(name, object)),
                    None => (404, "{}".to_owned()),
                }
            }
            ("POST" | "PUT", name) => {
                let written = text_field(&body, "\"name\":\"").unwrap_or_default();
                let name = name.unwrap_or(&written);
                let expected = match request.word(0) {
                    "POST" => Some(0),
                    _ => number_field(&body, "\"revision\":"),
                };
                let spec = body
                    .find("\"spec\":")
                    .map_or("null", |at| &body[at + 7..body.len() - 1]);
                match self.put(kind, name, spec, expected) {
                    Ok(revision) => (
                        200,
                        object_text(
                            name,
                            &Object {
                                revision,
                                spec: spec.to_owned(),
                            },
                        ),
                    ),
                    Err(Some(known)) => (409, object_text(name, &known)),
                    Err(None) => (404, "{}".to_owned()),
                }
            }
            ("DELETE", Some(name)) => {
                self.delete(kind, name);
                (200, "{}".to_owned())
            }
            _ => (400, "{}".to_owned()),
        }
    }

    fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> String {
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            let changes = state.changes.iter();
            let changes = changes.filter(|change| change.kind == kind && change.revision > after);
            let events: Vec<String> = changes
                .map(|change| {
                    let gone = Object {
                        revision: change.revision,
                        spec: "null".to_owned(),
                    };
                    let object = change.object.as_ref().unwrap_or(&gone);
                    let deleted = change.object.is_none();
                    format!(
                        "{{\"object\":{},\"deleted\":{deleted}}}",
                        object_text(&change.name, object)
                    )
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!(
                    "{{\"events\":[{}],\"current_rev\":{}}}",
                    events.join(","),
                    state.revision
                );
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn text_field(text: &str, name: &str) -> Option<String> {
    let start = text.find(name)? + name.len();
    let length = text[start..].find('"')?;
    Some(text[start..start + length].to_owned())
}

fn number_field(text: &str, name: &str) -> Option<u64> {
    let start = text.find(name)? + name.len();
    let digits: String = text[start..]
        .chars()
        .take_while(char::is_ascii_digit)
        .collect();
    digits.parse().ok()
}

// ------------------------------------------------------------------------------------------------- backend

/// Settings of a backend, as arguments of its process.
#[derive(Debug, Clone)]
struct Backend {
    id: String,
    service: String,
    address: SocketAddr,
    store: SocketAddr,
    slots: usize,
    work: Duration,
    reply_bytes: usize,
    /// Status of the replies to requests that ran.
    status: u16,
    /// File that runs are appended to.
    log: PathBuf,
}

impl Backend {
    fn entry(&self, born: u64, sequence: u64, warmup_ms: u64) -> String {
        let Self {
            service,
            address,
            slots,
            ..
        } = self;
        format!("{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"a\",\"version\":\"1\",\"slots\":{slots},\"state\":\"ready\",\"warmup_remaining_ms\":{warmup_ms},\"sequence_number\":{sequence},\"born\":{born}}}")
    }

    fn arguments(&self) -> Vec<String> {
        let Self {
            id,
            service,
            address,
            store,
            slots,
            work,
            reply_bytes,
            status,
            log,
        } = self;
        vec![
            "backend".to_owned(),
            id.clone(),
            service.clone(),
            address.to_string(),
            store.to_string(),
            slots.to_string(),
            work.as_millis().to_string(),
            reply_bytes.to_string(),
            status.to_string(),
            log.display().to_string(),
        ]
    }

    fn from_arguments(arguments: &[String]) -> Option<Self> {
        let [id, service, address, store, slots, work, reply_bytes, status, log] = arguments else {
            return None;
        };
        Some(Self {
            id: id.clone(),
            service: service.clone(),
            address: address.parse().ok()?,
            store: store.parse().ok()?,
            slots: slots.parse().ok()?,
            work: Duration::from_millis(work.parse().ok()?),
            reply_bytes: reply_bytes.parse().ok()?,
            status: status.parse().ok()?,
            log: PathBuf::from(log),
        })
    }

    /// Registers in the store and serves until the process is killed.
    fn run(self) -> io::Result<()> {
        let listener = TcpListener::bind(self.address)?;
        let log = OpenOptions::new()
            .append(true)
            .create(true)
            .open(&self.log)?;
        let (log, runs) = (Mutex::new(log), AtomicU64::new(0));
        let (free, slot_freed) = (Mutex::new(self.slots), Condvar::new());
        let born = now_ms();
        let backend = self.clone();
        serve(listener, move |stream, request| {
            let id = request
                .header("x-request-id")
                .unwrap_or_default()
                .to_owned();
            let is_target = request
                .header("x-target-instance")
                .is_none_or(|target| target == backend.id);
            let refuse = |stream: &mut TcpStream, status: u16| {
                let headers = [("X-Request-Id", id.as_str()), ("X-Not-Executed", "1")];
                write_message(stream, &status_line(status), &headers, b"")
            };
            match request.word(1) {
                "/health" => {
                    let headers = [("X-Instance-Id", backend.id.as_str())];
                    return write_message(stream, &status_line(200), &headers, b"");
                }
                _ if id.is_empty() => return refuse(stream, 400),
                _ if !is_target => return refuse(stream, 421),
                _ => {}
            }
            let wait = request
                .header("x-deadline-ms")
                .and_then(|wait| wait.parse().ok())
                .unwrap_or(10_000);
            let until = Instant::now() + Duration::from_millis(wait);
            let mut slots = free.lock().unwrap();
            while *slots == 0 {
                let left = until.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    drop(slots);
                    return refuse(stream, 503);
                }
                slots = slot_freed.wait_timeout(slots, left).unwrap().0;
            }
            *slots -= 1;
            drop(slots);
            let run = runs.fetch_add(1, Ordering::Relaxed);
            let line = format!(
                "{} ran {} {} {} {id}\n",
                now_ms(),
                backend.service,
                backend.id,
                request.word(0)
            );
            let _ = log.lock().unwrap().write_all(line.as_bytes());
            thread::sleep(backend.work);
            *free.lock().unwrap() += 1;
            slot_freed.notify_one();
            let stamp = format!("{}.{}.{run}.{id}", backend.service, backend.id);
            let mut body = stamp.clone().into_bytes();
            body.resize(backend.reply_bytes.max(body.len()), b'.');
            let headers = [
                ("X-Request-Id", id.as_str()),
                ("X-Server-Stamp", stamp.as_str()),
            ];
            write_message(stream, &status_line(backend.status), &headers, &body)
        });
        let mut sequence = 0;
        loop {
            sequence += 1;
            let spec = self.entry(born, sequence, 0);
            let body = format!("{{\"meta\":{{\"name\":\"{}\"}},\"spec\":{spec}}}", self.id);
            let path = format!("/tanageryoke/objects/servers/{}", self.id);
            let _ = exchange(
                self.store,
                "PUT",
                &path,
                &[],
                body.as_bytes(),
                Duration::from_secs(1),
            );
            thread::sleep(HEARTBEAT);
        }
    }
}

// -------------------------------------------------------------------------------------------------- client

/// Sends one request on a new connection.
fn exchange(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    wait: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(wait))?;
    let mut all = vec![("Host", HOST)];
    all.extend_from_slice(headers);
    write_message(
        &mut stream,
        &format!("{method} {path} HTTP/1.1"),
        &all,
        body,
    )?;
    let mut reader = BufReader::new(stream);
    let mut answer = read_head(&mut reader)?.ok_or_else(|| broken("closed without an answer"))?;
    read_body(&mut reader, &mut answer, true)?;
    Ok(answer)
}

/// A request of a client and what came of it.
#[derive(Debug, Clone)]
struct Sent {
    at_ms: u64,
    id: String,
    path: String,
    /// Index of the instance that it was sent to, where that matters.
    instance: usize,
    /// Status of a complete answer; none without one.
    status: Option<u16>,
    body: Vec<u8>,
    error: String,
}

impl Sent {
    fn is_served(&self) -> bool {
        self.status
            .is_some_and(|status| (200..300).contains(&status))
    }
}

/// Number that makes the ids of a run unique.
static LAST_ID: AtomicU64 = AtomicU64::new(0);

fn next_id() -> String {
    format!(
        "{:x}{:06x}",
        now_ms(),
        LAST_ID.fetch_add(1, Ordering::Relaxed)
    )
}

fn send(address: SocketAddr, method: &str, path: &str, deadline_ms: u64) -> Sent {
    let (at_ms, id) = (now_ms(), next_id());
    let deadline = deadline_ms.to_string();
    let headers = [
        ("X-Request-Id", id.as_str()),
        ("X-Deadline-Ms", deadline.as_str()),
    ];
    let answer = exchange(
        address,
        method,
        path,
        &headers,
        b"",
        Duration::from_millis(deadline_ms + 1_000),
    );
    let path = path.to_owned();
    match answer {
        Ok(answer) => Sent {
            at_ms,
            id,
            path,
            instance: 0,
            status: Some(answer.status()),
            body: answer.body,
            error: String::new(),
        },
        Err(error) => Sent {
            at_ms,
            id,
            path,
            instance: 0,
            status: None,
            body: Vec::new(),
            error: error.to_string(),
        },
    }
}

// ------------------------------------------------------------------------------------------------ processes

/// A process that is killed when its handle is dropped, or when this process ends.
struct Process(Child);

impl Process {
    fn start(
        program: &Path,
        arguments: &[String],
        variables: &[(&str, &Path)],
        log: &Path,
    ) -> io::Result<Self> {
        let out = OpenOptions::new().append(true).create(true).open(log)?;
        let mut command = Command::new(program);
        command
            .args(arguments)
            .stdin(Stdio::null())
            .stderr(out.try_clone()?)
            .stdout(out);
        for (name, value) in variables {
            command.env(name, value);
        }
        // SAFETY: the call only sets an attribute of the new process.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        command.spawn().map(Self)
    }

    fn signal(&self, signal: i32) {
        // SAFETY: the process was started here and isn't waited for yet.
        unsafe { kill(self.0.id() as i32, signal) };
    }

    fn has_ended(&mut self) -> bool {
        matches!(self.0.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Range of the ports that are given out, below those that the kernel takes for outgoing connections.
const FIRST_PORT: u32 = 10_000;
const PORTS: u32 = 20_000;
/// Number of ports that each process of this program keeps to at first.
const PORTS_PER_PROCESS: u32 = 397;
/// Number of ports that were given out or found taken.
static LAST_PORT: AtomicU64 = AtomicU64::new(0);

/// Returns the first of `count` free ports in a row.
fn free_ports(count: u16) -> u16 {
    loop {
        let offset = LAST_PORT.fetch_add(u64::from(count), Ordering::Relaxed) as u32;
        let base = std::process::id().wrapping_mul(PORTS_PER_PROCESS);
        let first = (FIRST_PORT + base.wrapping_add(offset) % PORTS) as u16;
        let ports = first..first + count;
        let bound: Vec<_> = ports
            .filter_map(|port| TcpListener::bind(("127.0.0.1", port)).ok())
            .collect();
        if bound.len() == usize::from(count) {
            return first;
        }
    }
}

fn free_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], free_ports(1)))
}

/// An instance of the system.
struct Relay {
    name: String,
    callers: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Process>,
}

impl Relay {
    fn new(
        folder: &Path,
        name: &str,
        cores: f64,
        zone: &str,
        store: SocketAddr,
    ) -> io::Result<Self> {
        let first = free_ports(4);
        let address = |offset: u16| SocketAddr::from(([127, 0, 0, 1], first + offset));
        let (callers, readiness) = (address(0), address(1));
        let (from, to) = (first + 2, first + 3);
        let text = format!("node_name: \"{name}\"\nrole: \"relay\"\nmachine_class: \"front\"\nserves: [\"front\"]\nip: \"127.0.0.1\"\nzone: \"{zone}\"\nregion: \"r\"\nlisten_addresses:\n  front: \"{callers}\"\n  ready: \"{readiness}\"\ninternal_port_range: [{from}, {to}]\nbootstrap: false\nlimits:\n  cpu_share: {cores}\n  cores: 1\nheartbeat_ms: {}\nbounds:\n  drain_ms: {}\n  grace_s: {}\n  config_apply_ms: {}\n  retry_budget_ratio: 0.2\n  retry_window_s: 10\n  retry_budget_slack: 54\n  recovery_s: {}\nplatform:\n  address: \"{store}\"\n  form: \"objects\"\n", HEARTBEAT.as_millis(), DRAIN.as_millis(), GRACE.as_secs(), CONFIG_APPLY.as_millis(), RECOVERY.as_secs());
        let settings = folder.join(format!("{name}.yaml"));
        fs::write(&settings, text)?;
        let log = folder.join(format!("{name}.log"));
        Ok(Self {
            name: name.to_owned(),
            callers,
            readiness,
            settings,
            log,
            process: None,
        })
    }

    fn start(&mut self) -> io::Result<()> {
        let program = Path::new("target/release/tanageryoke");
        let variables = [("TANAGERYOKE_SETTINGS", self.settings.as_path())];
        self.process = Some(Process::start(
            program,
            &["relay".to_owned()],
            &variables,
            &self.log,
        )?);
        Ok(())
    }

    fn signal(&self, signal: i32) {
        if let Some(process) = &self.process {
            process.signal(signal);
        }
    }

    fn is_ready(&self) -> bool {
        let path = "/tanageryoke/readiness";
        let answer = exchange(
            self.readiness,
            "GET",
            path,
            &[],
            b"",
            Duration::from_millis(500),
        );
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

// ------------------------------------------------------------------------------------------------- the run

/// What a case needs: the store, a folder for files, the record, and whether the disruption happens.
struct Run {
    store: Arc<Store>,
    store_address: SocketAddr,
    folder: PathBuf,
    record: Mutex<File>,
    started_at: Instant,
    has_trouble: bool,
}

/// Why a case couldn't run.
type Unrun = String;

impl Run {
    fn note(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.started_at.elapsed().as_secs_f64());
        let _ = self.record.lock().unwrap().write_all(line.as_bytes());
    }

    fn log(&self) -> PathBuf {
        self.folder.join("runs.log")
    }

    /// Returns the runs that backends have logged: service, backend and id of the request.
    fn runs(&self) -> Vec<(String, String, String)> {
        let text = fs::read_to_string(self.log()).unwrap_or_default();
        let lines = text.lines().map(|line| line.split(' ').collect::<Vec<_>>());
        lines
            .filter(|words| words.len() == 6)
            .map(|words| {
                (
                    words[2].to_owned(),
                    words[3].to_owned(),
                    words[5].to_owned(),
                )
            })
            .collect()
    }

    fn backend(&self, id: &str, service: &str, work_ms: u64) -> Backend {
        Backend {
            id: id.to_owned(),
            service: service.to_owned(),
            address: free_address(),
            store: self.store_address,
            slots: 4,
            work: Duration::from_millis(work_ms),
            reply_bytes: 200,
            status: 200,
            log: self.log(),
        }
    }

    fn start_backend(&self, backend: &Backend) -> Result<Process, Unrun> {
        self.note(&format!(
            "backend {} of {} starts",
            backend.id, backend.service
        ));
        let program = env::current_exe().map_err(|error| error.to_string())?;
        let log = self.folder.join("backends.log");
        Process::start(&program, &backend.arguments(), &[], &log).map_err(|error| error.to_string())
    }

    fn relay(&self, name: &str, cores: f64) -> Result<Relay, Unrun> {
        self.relay_in(name, cores, "a")
    }

    fn relay_in(&self, name: &str, cores: f64, zone: &str) -> Result<Relay, Unrun> {
        let relay = Relay::new(&self.folder, name, cores, zone, self.store_address);
        let mut relay = relay.map_err(|error| error.to_string())?;
        relay.start().map_err(|error| error.to_string())?;
        Ok(relay)
    }

    fn wait_ready(&self, relays: &[&Relay]) -> Result<(), Unrun> {
        for relay in relays {
            if !relay.wait_ready(Duration::from_secs(15)) {
                return Err(format!("instance {} isn't ready", relay.name));
            }
        }
        Ok(())
    }

    fn configure(&self, version: u64, routes: &[Route<'_>], services: &[&str]) {
        let routes: Vec<String> = routes.iter().map(Route::text).collect();
        let services: Vec<String> = services
            .iter()
            .map(|name| format!("{{\"name\":\"{name}\",\"health_check_path\":\"/health\",\"max_connections\":100}}"))
            .collect();
        let spec = format!("{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}", routes.join(","), services.join(","));
        let _ = self.store.put("config", "main", &spec, None);
        self.note(&format!("configuration {version} acknowledged"));
    }

    /// Records the requests of a case, with what came of each.
    fn note_sent(&self, sent: &[Sent]) {
        let origin = now_ms() - self.started_at.elapsed().as_millis() as u64;
        for one in sent {
            let at = one.at_ms.saturating_sub(origin);
            let outcome = one
                .status
                .map_or_else(|| one.error.clone(), |status| status.to_string());
            let body = String::from_utf8_lossy(&one.body[..one.body.len().min(60)]).into_owned();
            self.note(&format!(
                "sent at {:.3} s: {} {} -> {outcome} {body:?}",
                at as f64 / 1e3,
                one.path,
                one.id
            ));
        }
    }
}

/// A route of the operator.
struct Route<'a> {
    name: &'a str,
    prefix: &'a str,
    kind: &'a str,
    timeout_ms: u64,
    objective_ms: u64,
    service: &'a str,
}

impl Route<'_> {
    fn text(&self) -> String {
        let Self {
            name,
            prefix,
            kind,
            timeout_ms,
            objective_ms,
            service,
        } = self;
        format!("{{\"name\":\"{name}\",\"hostname\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\"type\":\"{kind}\",\"timeout_ms\":{timeout_ms},\"target_latency_ms\":{objective_ms},\"priority\":1,\"max_attempts\":2,\"service\":\"{service}\"}}")
    }
}

/// Sends requests from several clients until `stop` is set; each calls `next` for the instance and the path.
fn clients(
    count: usize,
    pause: Duration,
    stop: &Arc<AtomicBool>,
    next: impl Fn(usize) -> Sent + Send + Sync + 'static,
) -> Vec<thread::JoinHandle<Vec<Sent>>> {
    let next = Arc::new(next);
    let client = |index| {
        let (next, stop) = (next.clone(), stop.clone());
        thread::spawn(move || {
            let mut all = Vec::new();
            while !stop.load(Ordering::Relaxed) {
                all.push(next(index));
                thread::sleep(pause);
            }
            all
        })
    };
    (0..count).map(client).collect()
}

fn collect(threads: Vec<thread::JoinHandle<Vec<Sent>>>) -> Vec<Sent> {
    let mut all: Vec<Sent> = threads
        .into_iter()
        .flat_map(|thread| thread.join().unwrap_or_default())
        .collect();
    all.sort_by_key(|one| one.at_ms);
    all
}

/// Whether the rule held.
enum Verdict {
    Held,
    Broken,
}

fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let Some((command, rest)) = arguments.split_first() else {
        std::process::exit(2);
    };
    if command == "backend" {
        let ended = Backend::from_arguments(rest).map(Backend::run);
        eprintln!("backend: ended: {ended:?}");
        std::process::exit(2);
    }
    std::process::exit(run_case(command, rest));
}

/// Runs a case; returns the exit code of its script.
fn run_case(name: &str, rest: &[String]) -> i32 {
    let [record, folder] = rest else { return 2 };
    let Ok(record) = File::create(record) else {
        return 2;
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let (store, store_address) = Store::start();
    let run = Run {
        store,
        store_address,
        folder: PathBuf::from(folder),
        record: Mutex::new(record),
        started_at: Instant::now(),
        has_trouble,
    };
    run.note(&format!("case {name}, disruption: {has_trouble}"));
    let verdict = match name {
        "6" => forged_entry::run(&run),
        "7" => stop_midway::run(&run),
        "8" => frozen_machines::run(&run),
        "9" => popular_story::run(&run),
        "10" => added_route::run(&run),
        _ => Err("no such case".to_owned()),
    };
    let (text, code) = match verdict {
        Ok(Verdict::Held) => ("the rule held".to_owned(), 0),
        Ok(Verdict::Broken) => ("the rule was broken".to_owned(), 1),
        Err(reason) => (format!("the case couldn't run: {reason}"), 2),
    };
    for (service, backend, id) in run.runs() {
        run.note(&format!("request {id} ran at {backend} of {service}"));
    }
    run.note(&text);
    println!("case {name}: {text}");
    code
}
