//! Tests for `tanageryoke relay` as a process, with a store, a backend server and callers.

#[path = "common/process.rs"]
mod process;

use std::{
    collections::HashSet,
    io::{
        BufRead,
        BufReader,
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    path::PathBuf,
    process::{
        Child,
        Command,
        Stdio, //
    },
    sync::{
        Arc,
        Mutex, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use adapter::{
    names,
    wire::OBJECTS_PATH,
    Client,
    Directory, //
};
use monoio::{
    LegacyDriver,
    RuntimeBuilder, //
};
use platform::Store;
use process::{
    free_address,
    send_request,
    send_signal,
    PROGRAM, //
};
use relay::follow::Directory as _;
use serde_json::value::RawValue;

const CONFIG: &str = include_str!("../../../platform/tests/data/process-config.json");
const SERVER: &str = include_str!("../../../platform/tests/data/process-server.json");
const SETTINGS: &str = include_str!("../../../platform/tests/data/process-settings.yaml");
/// Maximum time to wait for a condition.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Starts a store that serves until the test process exits.
fn start_store() -> SocketAddr {
    let listen = free_address();
    let options = bench::store::Options {
        listen,
        writes: 1_000,
        reads: 1_000,
        delay_ms: 0,
        list_lag_ms: 0,
        expire_ms: 0,
    };
    thread::spawn(move || bench::store::run(options));
    listen
}

/// A backend server that replies to every request with the request's id and a signature.
struct Server {
    address: SocketAddr,
    /// Ids of the requests that it has begun to run.
    ran: Arc<Mutex<HashSet<String>>>,
}

/// Starts a backend server that takes `service_time` for each request.
fn start_server(service_time: Duration) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let ran = Arc::<Mutex<HashSet<String>>>::default();
    let server = Server {
        address,
        ran: ran.clone(),
    };
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let ran = ran.clone();
            thread::spawn(move || reply_to_requests(stream, service_time, &ran));
        }
    });
    server
}

fn reply_to_requests(stream: TcpStream, service_time: Duration, ran: &Mutex<HashSet<String>>) {
    let mut reader = BufReader::new(stream.try_clone().expect("a stream"));
    let mut writer = stream;
    let mut id = String::new();
    let mut line = String::new();
    while reader.read_line(&mut line).unwrap_or(0) > 0 {
        let names = names::headers();
        if let Some((name, value)) = line.split_once(':') {
            if name.eq_ignore_ascii_case(names.request.as_str()) {
                value.trim().clone_into(&mut id);
            }
        }
        if line == "\r\n" {
            ran.lock().expect("ids").insert(id.clone());
            thread::sleep(service_time);
            let (request, signature) = (names.request, names.signature);
            let reply = format!("HTTP/1.1 200 OK\r\n{request}: {id}\r\n{signature}: s\r\ncontent-length: 2\r\n\r\nok");
            if writer.write_all(reply.as_bytes()).is_err() {
                return;
            }
        }
        line.clear();
    }
}

fn write_objects(store: SocketAddr, config: &str, server: SocketAddr) {
    let entry = SERVER.replace("ADDRESS", &server.to_string());
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let client = Client::new(store, Duration::from_secs(1));
        for (kind, name, value) in [
            (Directory::ROUTES.0, Directory::ROUTES.1, config),
            (Directory::SERVERS, "i-1", &entry),
            (Directory::SERVERS, "spoilt", "\"what another writer left\""),
        ] {
            let value = RawValue::from_string(value.to_owned()).expect("JSON");
            let started_at = Instant::now();
            while client.write(kind, name, 0, &value).await.is_err() {
                assert!(started_at.elapsed() < MAX_WAIT, "the store doesn't start");
                monoio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    });
}

/// Writes entries of another writer, more than a page of a listing holds; all come before the sound one.
fn write_odd_entries(store: SocketAddr) {
    const COUNT: usize = 510;
    for number in 0..COUNT {
        let object = format!("{{\"meta\":{{\"name\":\"a&+#% {number:03}\"}},\"spec\":{{}}}}");
        let (kind, length) = (Directory::SERVERS, object.len());
        let request = format!("POST {OBJECTS_PATH}/{kind} HTTP/1.1\r\nhost: s\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{object}");
        let reply = send_request(store, &request).unwrap_or_default();
        assert!(reply.starts_with("HTTP/1.1 200"), "{reply}");
    }
}

struct Instance {
    child: Child,
    callers: SocketAddr,
    readiness: SocketAddr,
    admin: SocketAddr,
    settings: PathBuf,
}

impl Drop for Instance {
    fn drop(&mut self) {
        // Killing a process that has already exited fails, which is fine.
        let _ = self.child.kill();
        let _ = std::fs::remove_file(&self.settings);
    }
}

fn settings_text(
    callers: SocketAddr,
    readiness: SocketAddr,
    port: u16,
    store: SocketAddr,
) -> String {
    SETTINGS
        .replace("CALLERS", &callers.to_string())
        .replace("READINESS", &readiness.to_string())
        .replace("FIRST", &port.to_string())
        .replace("LAST", &(port + 1).to_string())
        .replace("STORE", &store.to_string())
}

/// Returns the first of two adjacent free ports.
fn free_port_pair() -> u16 {
    loop {
        let first = free_address().port();
        if first < u16::MAX && TcpListener::bind(("127.0.0.1", first + 1)).is_ok() {
            return first;
        }
    }
}

fn start(store: SocketAddr) -> Instance {
    let (callers, readiness, port) = (free_address(), free_address(), free_port_pair());
    let name = format!("tanageryoke-relay-{port}.yaml");
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, settings_text(callers, readiness, port, store)).expect("a file");
    let child = Command::new(PROGRAM)
        .arg("relay")
        .env(names::SETTINGS_VARIABLE, &path)
        .stdout(Stdio::piped())
        .spawn()
        .expect("a process");
    Instance {
        child,
        callers,
        readiness,
        admin: SocketAddr::from(([127, 0, 0, 1], port)),
        settings: path,
    }
}

fn get(address: SocketAddr, path: &str) -> String {
    let names = names::headers();
    let (id, deadline) = (names.request, names.deadline);
    let request = format!("GET {path} HTTP/1.1\r\nhost: h\r\n{id}: q1\r\n{deadline}: 2000\r\nconnection: close\r\n\r\n");
    send_request(address, &request).unwrap_or_default()
}

fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(started_at.elapsed() < MAX_WAIT, "{what}");
        thread::sleep(Duration::from_millis(20));
    }
}

fn is_ready(instance: &Instance) -> bool {
    get(instance.readiness, names::READINESS_PATH).starts_with("HTTP/1.1 200")
}

#[test]
fn an_instance_serves_reloads_and_shuts_down() {
    let store = start_store();
    let server = start_server(Duration::ZERO);
    let mut instance = start(store);
    wait_for("a start", || {
        get(instance.admin, "/healthz").starts_with("HTTP/1.1 200")
    });
    assert!(!is_ready(&instance), "ready without a configuration");
    write_objects(store, CONFIG, server.address);
    wait_for("readiness", || is_ready(&instance));
    wait_for("an answer", || {
        get(instance.callers, "/p/x").starts_with("HTTP/1.1 200")
    });
    let answer = get(instance.callers, "/p/x");
    assert!(
        answer.contains("x-server-stamp: s") && answer.ends_with("ok"),
        "{answer}"
    );
    assert!(get(instance.callers, "/none/x").starts_with("HTTP/1.1 404"));

    // If the file can't be parsed, the previous settings stay in force and the process continues.
    let text = std::fs::read_to_string(&instance.settings).expect("a file");
    std::fs::write(&instance.settings, "node_name: [").expect("a file");
    send_signal(&instance.child, "-HUP");
    thread::sleep(Duration::from_millis(200));
    std::fs::write(&instance.settings, text).expect("a file");
    send_signal(&instance.child, "-HUP");
    assert!(get(instance.callers, "/p/x").starts_with("HTTP/1.1 200"));

    let metrics = get(instance.admin, "/metrics");
    assert!(metrics.contains("kind=\"unreadable\""), "{metrics}");
    assert!(get(instance.admin, "/debug/state").contains("\"configuration\":3"));

    send_signal(&instance.child, "-TERM");
    wait_for("unreadiness", || !is_ready(&instance));
    assert!(get(instance.callers, "/p/x").starts_with("HTTP/1.1 200"));
    let mut log = String::new();
    let mut output = instance.child.stdout.take().expect("a log");
    output.read_to_string(&mut log).expect("text");
    assert_eq!(instance.child.wait().expect("an end").code(), Some(0));
    for line in [
        "relay: started.",
        "follow: entry names no server.",
        "registry: server found.",
        "relay: configuration in force.",
        "relay: answered.",
        "relay: not routed.",
        "relay: settings can't be read, the previous ones stay in force.",
        "relay: leaving.",
        "relay: draining.",
        "relay: stopped.",
    ] {
        assert!(log.contains(line), "{line} isn't in\n{log}");
    }
}

/// Guards against a service that stops at the next restart, as the servers can't be listed beside entries of another
/// writer.
#[test]
fn instance_that_starts_beside_odd_entries_serves() {
    let store = start_store();
    let server = start_server(Duration::ZERO);
    write_objects(store, CONFIG, server.address);
    write_odd_entries(store);
    let instance = start(store);
    wait_for("readiness", || is_ready(&instance));
    wait_for("an answer", || {
        get(instance.callers, "/p/x").starts_with("HTTP/1.1 200")
    });
}

/// Guards against a head that ends the process, and the requests of other callers with it.
#[test]
fn long_field_name_leaves_the_process_running() {
    const NAME_BYTES: usize = 70_000;
    let store = start_store();
    let mut instance = start(store);
    wait_for("a start", || {
        get(instance.admin, "/healthz").starts_with("HTTP/1.1 200")
    });
    let name = "x".repeat(NAME_BYTES);
    let request = format!("GET / HTTP/1.1\r\nhost: h\r\n{name}: 1\r\nconnection: close\r\n\r\n");
    for address in [instance.admin, instance.readiness, instance.callers] {
        // The instance may close the connection before all bytes are sent.
        let answer = send_request(address, &request).unwrap_or_default();
        assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
        thread::sleep(Duration::from_millis(100));
        assert_eq!(instance.child.try_wait().expect("a state"), None);
    }
    assert!(get(instance.admin, "/healthz").starts_with("HTTP/1.1 200"));
}

/// Guards against planned stops that close connections whose requests wait in the queue or run at a server.
#[test]
fn every_request_is_answered_at_a_shutdown_under_load() {
    const CALLERS: usize = 60;
    let store = start_store();
    let server = start_server(Duration::from_millis(900));
    let instance = start(store);
    let config = CONFIG
        .replace("\"safe\"", "\"unsafe\"")
        .replace("\"timeout_ms\": 2000", "\"timeout_ms\": 10000");
    write_objects(store, &config, server.address);
    wait_for("readiness", || is_ready(&instance));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let address = instance.callers;
            thread::spawn(move || {
                let names = names::headers();
                let (id, deadline) = (names.request, names.deadline);
                let request = format!("GET /p/x HTTP/1.1\r\nhost: h\r\n{id}: c{number}\r\n{deadline}: 10000\r\nconnection: close\r\n\r\n");
                send_request(address, &request).unwrap_or_default()
            })
        })
        .collect();
    wait_for("a queue", || !server.ran.lock().expect("ids").is_empty());
    thread::sleep(Duration::from_millis(100));
    send_signal(&instance.child, "-TERM");
    let mut statuses: Vec<String> = Vec::new();
    for (number, caller) in callers.into_iter().enumerate() {
        let answer = caller.join().expect("a caller");
        let status = answer.get(9..12).unwrap_or("none").to_owned();
        let has_run = server
            .ran
            .lock()
            .expect("ids")
            .contains(&format!("c{number}"));
        assert!(
            status != "503" || !has_run,
            "c{number} is refused and has run"
        );
        statuses.push(status);
    }
    assert!(
        !statuses.iter().any(|status| status == "none"),
        "{statuses:?}"
    );
    for status in ["200", "503"] {
        assert!(statuses.iter().any(|one| one == status), "{statuses:?}");
    }
}

#[test]
fn invalid_settings_give_exit_code_2() {
    let output = Command::new(PROGRAM)
        .arg("relay")
        .env(names::SETTINGS_VARIABLE, "/nowhere/settings.yaml")
        .output()
        .expect("a process");
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("/nowhere/settings.yaml"));
    let output = Command::new(PROGRAM)
        .args(["relay", "--caller-margin", "2h", "--log-format", "tea"])
        .env_remove(names::SETTINGS_VARIABLE)
        .output()
        .expect("a process");
    assert_eq!(output.status.code(), Some(2));
    insta::assert_snapshot!(String::from_utf8_lossy(&output.stderr), @r#"
    --caller-margin (TANAGERYOKE_CALLER_MARGIN): "2h" isn't valid, expected 0ms to 1s
    --log-format (TANAGERYOKE_LOG_FORMAT): "tea" isn't valid, expected text or json
    "#);
}
