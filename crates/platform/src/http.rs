//! A client for the store's HTTP interface, see `docs/PROTOCOLS.md`.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    header::{
        CONTENT_TYPE,
        IF_MATCH,
        IF_NONE_MATCH, //
    },
    Method,
    Response,
    StatusCode, //
};
use serde::{
    de::DeserializeOwned,
    Deserialize, //
};
use serde_json::value::RawValue;

use crate::{
    counters::{
        Call,
        Counters,
        Meter, //
    },
    path,
    store::{
        Failure,
        Instance,
        Listing,
        Object,
        Store, //
    },
    transport::Transport,
    VALUE_MAX,
};

/// Longest answer to the read of one object, in bytes: the value, its name and its version.
const OBJECT_MAX: usize = VALUE_MAX + 1024;
/// Time that a watch's answer may take over its wait.
const WATCH_MARGIN: Duration = Duration::from_secs(2);

/// A client of the store at one address.
///
/// A write is sent once. A read whose kept connection turns out to be closed is sent again.
///
/// # Examples
///
/// ```no_run
/// use platform::{http::Client, Store};
/// use std::time::Duration;
///
/// # async fn run() -> Result<(), platform::Failure> {
/// let address = "127.0.0.1:9000".parse().expect("an address");
/// let client = Client::new(address, Duration::from_secs(2));
/// if let Some(object) = client.read("config", "presets").await? {
///     // Nothing is written if somebody else changed the object meanwhile.
///     client.write("config", "presets", object.version, &object.value).await?;
/// }
/// assert_eq!(client.counters().reads, 1);
/// # Ok(())
/// # }
/// ```
#[derive(Debug)]
pub struct Client {
    transport: Transport,
    meter: Meter,
}

#[derive(Debug, Deserialize)]
struct Written {
    version: u64,
}

#[derive(Debug, Deserialize)]
struct Instances {
    instances: Vec<Instance>,
}

impl Client {
    /// Makes a client that waits for at most `timeout` for each answer.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            transport: Transport::new(address, timeout),
            meter: Meter::default(),
        }
    }

    /// Returns how many calls of each kind were made.
    pub fn counters(&self) -> Counters {
        self.meter.read()
    }

    /// Closes the connections that are kept.
    pub fn close(self) {}

    async fn get(&self, path: &str, wait: Duration) -> Result<Response<Bytes>, Failure> {
        let request = self.transport.request(Method::GET, path);
        let request = request.body(Bytes::new()).map_err(|_| Failure::Invalid)?;
        self.transport.ask(request, wait).await
    }

    async fn get_all<T: DeserializeOwned>(&self, path: &str, wait: Duration) -> Result<T, Failure> {
        let response = self.get(path, wait).await?;
        match response.status() {
            StatusCode::OK => parse(response.body()),
            StatusCode::GONE => Err(Failure::Compacted),
            _ => Err(Failure::Unavailable),
        }
    }

    async fn get_one(&self, kind: &str, name: &str) -> Result<Option<Object>, Failure> {
        let path = path::object(kind, name)?;
        let response = self.get(&path, self.transport.timeout()).await?;
        match response.status() {
            StatusCode::OK if response.body().len() > OBJECT_MAX => Err(Failure::Malformed),
            StatusCode::OK => object(response.body(), name).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(Failure::Unavailable),
        }
    }

    async fn put(
        &self,
        kind: &str,
        name: &str,
        expected: u64,
        value: &RawValue,
    ) -> Result<u64, Failure> {
        if value.get().len() > VALUE_MAX {
            return Err(Failure::Oversized);
        }
        let request = self
            .transport
            .request(Method::PUT, &path::object(kind, name)?);
        let request = match expected {
            0 => request.header(IF_NONE_MATCH, "*"),
            version => request.header(IF_MATCH, format!("\"{version}\"")),
        };
        let request = request
            .header(CONTENT_TYPE, "application/json")
            .body(Bytes::copy_from_slice(value.get().as_bytes()))
            .map_err(|_| Failure::Invalid)?;
        let response = self
            .transport
            .ask(request, self.transport.timeout())
            .await?;
        written(&response, expected)
    }

    fn counted<T>(&self, call: Call, result: Result<T, Failure>) -> Result<T, Failure> {
        self.meter.call(call);
        if let Err(failure) = &result {
            self.meter.failure(*failure);
        }
        result
    }
}

impl Store for Client {
    async fn read(&self, kind: &str, name: &str) -> Result<Option<Object>, Failure> {
        let result = self.get_one(kind, name).await;
        self.counted(Call::Read, result)
    }

    async fn list(&self, kind: &str) -> Result<Listing, Failure> {
        let path = path::objects(kind)?;
        let result = self.get_all(&path, self.transport.timeout()).await;
        self.counted(Call::List, result)
    }

    async fn write(
        &self,
        kind: &str,
        name: &str,
        expected: u64,
        value: &RawValue,
    ) -> Result<u64, Failure> {
        let result = self.put(kind, name, expected, value).await;
        self.counted(Call::Write, result)
    }

    async fn watch(&self, kind: &str, after: u64, wait: Duration) -> Result<Listing, Failure> {
        let path = path::watch(kind, after, wait)?;
        let result = self.get_all(&path, wait + WATCH_MARGIN).await;
        self.counted(Call::Watch, result)
    }

    async fn instances(&self) -> Result<Vec<Instance>, Failure> {
        let result = self
            .get_all::<Instances>("/v1/instances", self.transport.timeout())
            .await
            .map(|answer| answer.instances);
        self.counted(Call::Instances, result)
    }
}

fn written(response: &Response<Bytes>, expected: u64) -> Result<u64, Failure> {
    match response.status() {
        StatusCode::OK => match parse::<Written>(response.body())?.version {
            version if version > expected => Ok(version),
            _ => Err(Failure::Malformed),
        },
        StatusCode::PRECONDITION_FAILED => {
            let current = parse::<Written>(response.body())?.version;
            Err(Failure::Conflict { current })
        }
        StatusCode::PAYLOAD_TOO_LARGE => Err(Failure::Oversized),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            Err(Failure::Unavailable)
        }
        // Whatever failed may have failed after the write.
        status if status.is_server_error() => Err(Failure::Lost),
        _ => Err(Failure::Malformed),
    }
}

fn object(body: &[u8], name: &str) -> Result<Object, Failure> {
    let object = parse::<Object>(body)?;
    match object.version > 0 && *object.name == *name {
        true => Ok(object),
        false => Err(Failure::Malformed),
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(body).map_err(|_| Failure::Malformed)
}
