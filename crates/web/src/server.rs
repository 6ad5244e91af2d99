//! The server side: one task a connection, one request at a time.

use std::{
    future::Future,
    rc::Rc, //
};

use bytes::Bytes;
use futures_util::{
    future::{
        select,
        Either, //
    },
    pin_mut,
};
use http::{
    header::CONNECTION,
    HeaderValue,
    Request,
    Response,
    StatusCode,
    Version, //
};
use monoio::{
    io::{
        sink::SinkExt,
        stream::Stream,
        OwnedReadHalf,
        OwnedWriteHalf,
        Splitable, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    time::timeout,
};
use monoio_http::{
    common::body::{
        Body,
        BodyExt, //
    },
    h1::{
        codec::{
            decoder::{
                FillPayload,
                RequestDecoder, //
            },
            encoder::GenericEncoder,
        },
        payload::Payload,
    },
};

use crate::{
    body::{
        closes,
        payload, //
    },
    bounded::{
        Budget,
        Reader, //
    },
    framing::{
        self,
        Fault, //
    },
    limits::Limits,
    stop::Stop, //
};

/// Why a request is refused before it reaches the handler.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// The head isn't HTTP/1.1.
    Malformed,
    /// The declared lengths are ambiguous or malformed.
    Framing(Fault),
    /// The head or the body is over its bound.
    Oversized,
    /// The body didn't arrive in time.
    Slow,
    /// The body ended before its declared length.
    Truncated,
}

impl Rejection {
    /// Returns the status that the rejection is answered with.
    pub fn status(self) -> StatusCode {
        match self {
            Self::Oversized | Self::Framing(Fault::Oversized) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Slow => StatusCode::REQUEST_TIMEOUT,
            _ => StatusCode::BAD_REQUEST,
        }
    }
}

/// Answers requests.
pub trait Handler: 'static {
    /// Answers one whole request.
    fn handle(&self, request: Request<Bytes>) -> impl Future<Output = Response<Bytes>>;

    /// Makes the response to a request that can't be read.
    fn reject(&self, rejection: Rejection) -> Response<Bytes> {
        let mut response = Response::new(Bytes::new());
        *response.status_mut() = rejection.status();
        response
    }
}

/// Accepts connections until `stop` is set, then waits for the requests in flight.
///
/// Idle connections are closed at once; a connection with a request in flight is closed after its
/// response.
pub async fn serve<H: Handler>(listener: TcpListener, handler: Rc<H>, limits: Limits, stop: Stop) {
    let (alive, mut ended) = futures_channel::mpsc::channel::<()>(0);
    loop {
        let accept = listener.accept();
        let stopped = stop.wait();
        pin_mut!(accept);
        match select(accept, stopped).await {
            Either::Left((Ok((stream, _)), _)) => {
                let handler = handler.clone();
                let limits = limits.clone();
                let stop = stop.clone();
                let alive = alive.clone();
                monoio::spawn(async move {
                    connection(stream, &*handler, &limits, &stop).await;
                    drop(alive);
                });
            }
            Either::Left((Err(error), _)) => {
                tracing::warn!("web: accept failed: {error}.");
                // A full descriptor table must not turn into a busy loop.
                monoio::time::sleep(std::time::Duration::from_millis(10)).await;
            }
            Either::Right(_) => break,
        }
    }
    drop(listener);
    drop(alive);
    let _ = futures_util::StreamExt::next(&mut ended).await;
}

/// Serves one connection until it is closed, broken or stopped.
pub async fn connection<H: Handler>(stream: TcpStream, handler: &H, limits: &Limits, stop: &Stop) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let budget = Budget::new(0);
    let (read, write) = stream.into_split();
    let mut session = Session {
        encoder: GenericEncoder::new(write),
        decoder: RequestDecoder::new(Reader::new(read, budget.clone())),
        budget,
        limits,
    };
    loop {
        let step = match session.receive(stop).await {
            Step::Request(request) => session.answer(handler, *request, stop).await,
            step => step,
        };
        match step {
            Step::Next => {}
            Step::Reject(rejection) => return session.reject(handler, rejection).await,
            _ => return,
        }
    }
}

enum Step {
    Request(Box<Request<Bytes>>),
    Reject(Rejection),
    Next,
    End,
}

struct Session<'a> {
    encoder: GenericEncoder<OwnedWriteHalf<TcpStream>>,
    decoder: RequestDecoder<Reader<OwnedReadHalf<TcpStream>>>,
    budget: Budget,
    limits: &'a Limits,
}

impl Session<'_> {
    async fn receive(&mut self, stop: &Stop) -> Step {
        self.budget.reset(self.limits.head + self.limits.body);
        let request = {
            let next = timeout(self.limits.idle, self.decoder.next());
            let stopped = stop.wait();
            pin_mut!(next);
            match select(next, stopped).await {
                Either::Left((Ok(Some(Ok(request))), _)) => request,
                Either::Left((Ok(Some(Err(_))), _)) if self.budget.is_spent() => {
                    return Step::Reject(Rejection::Oversized)
                }
                Either::Left((Ok(Some(Err(error))), _)) if is_broken(&error) => return Step::End,
                Either::Left((Ok(Some(Err(_))), _)) => return Step::Reject(Rejection::Malformed),
                _ => return Step::End,
            }
        };
        if let Err(fault) = framing::check(request.headers(), self.limits) {
            return Step::Reject(Rejection::Framing(fault));
        }
        self.body(request).await
    }

    async fn body(&mut self, request: Request<Payload>) -> Step {
        match timeout(self.limits.read, self.decoder.fill_payload()).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) if self.budget.is_spent() => return Step::Reject(Rejection::Oversized),
            Ok(Err(_)) => return Step::Reject(Rejection::Truncated),
            Err(_) => return Step::Reject(Rejection::Slow),
        }
        let (head, payload) = request.into_parts();
        match collect(payload).await {
            Some(body) if body.len() <= self.limits.body => {
                Step::Request(Box::new(Request::from_parts(head, body)))
            }
            Some(_) => Step::Reject(Rejection::Oversized),
            None => Step::Reject(Rejection::Truncated),
        }
    }

    async fn answer<H: Handler>(
        &mut self,
        handler: &H,
        request: Request<Bytes>,
        stop: &Stop,
    ) -> Step {
        let ends = ends_with(&request);
        let mut response = handler.handle(request).await;
        let last = ends || stop.is_set();
        if last {
            response
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        match self.write(response).await {
            true if !last => Step::Next,
            _ => Step::End,
        }
    }

    async fn reject<H: Handler>(&mut self, handler: &H, rejection: Rejection) {
        let mut response = handler.reject(rejection);
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
        self.write(response).await;
    }

    async fn write(&mut self, response: Response<Bytes>) -> bool {
        let response = response.map(payload);
        let written = timeout(self.limits.write, self.encoder.send_and_flush(response)).await;
        matches!(written, Ok(Ok(())))
    }
}

async fn collect(payload: Payload) -> Option<Bytes> {
    match payload.stream_hint() {
        monoio_http::common::body::StreamHint::None => Some(Bytes::new()),
        _ => payload.bytes().await.ok(),
    }
}

fn ends_with(request: &Request<Bytes>) -> bool {
    closes(request.headers()) || request.version() != Version::HTTP_11
}

fn is_broken(error: &monoio_http::common::error::HttpError) -> bool {
    use monoio_http::{
        common::error::HttpError,
        h1::codec::decoder::DecodeError, //
    };
    matches!(
        error,
        HttpError::IOError(_) | HttpError::H1DecodeError(DecodeError::Io(_))
    )
}
