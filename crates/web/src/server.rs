//! The server side: one task per connection, which serves one request at a time.

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
        closes_connection,
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

/// Why a request is rejected before it reaches the handler.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// The head isn't valid HTTP.
    Malformed,
    /// The headers are too large, or the declared length is ambiguous, malformed or too large.
    Framing(Fault),
    /// The head or the body exceeds its size limit.
    Oversized,
    /// The body didn't arrive in time.
    Slow,
    /// The body is incomplete or malformed.
    Truncated,
}

impl Rejection {
    /// Returns the status of the response to the rejected request.
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
    /// Answers one complete request.
    fn handle(&self, request: Request<Bytes>) -> impl Future<Output = Response<Bytes>>;

    /// Creates the response to a rejected request.
    fn reject(&self, rejection: Rejection) -> Response<Bytes> {
        let mut response = Response::new(Bytes::new());
        *response.status_mut() = rejection.status();
        response
    }
}

/// Accepts connections until `stop` is set, then waits for the requests in flight.
///
/// Once `stop` is set, idle connections are closed immediately, and a connection with a request in
/// flight is closed after the response.
pub async fn serve<H: Handler>(listener: TcpListener, handler: Rc<H>, limits: Limits, stop: Stop) {
    let (open_connection, mut all_closed) = futures_channel::mpsc::channel::<()>(0);
    loop {
        let accept = listener.accept();
        let stopped = stop.wait();
        pin_mut!(accept);
        match select(accept, stopped).await {
            Either::Left((Ok((stream, _)), _)) => {
                let handler = handler.clone();
                let limits = limits.clone();
                let stop = stop.clone();
                let open_connection = open_connection.clone();
                monoio::spawn(async move {
                    connection(stream, &*handler, &limits, &stop).await;
                    drop(open_connection);
                });
            }
            Either::Left((Err(error), _)) => {
                tracing::warn!("web: accept failed: {error}.");
                // Avoids a busy loop while the process is out of file descriptors.
                monoio::time::sleep(std::time::Duration::from_millis(10)).await;
            }
            Either::Right(_) => break,
        }
    }
    drop(listener);
    drop(open_connection);
    let _ = futures_util::StreamExt::next(&mut all_closed).await;
}

/// Serves one connection until the client closes it, it fails, a request is rejected or `stop` is
/// set.
pub async fn connection<H: Handler>(stream: TcpStream, handler: &H, limits: &Limits, stop: &Stop) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let budget = Budget::default();
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
        self.budget.start_head(self.limits);
        let request = {
            let next = timeout(self.limits.idle_timeout, self.decoder.next());
            let stopped = stop.wait();
            pin_mut!(next);
            match select(next, stopped).await {
                Either::Left((Ok(Some(Ok(request))), _)) => request,
                Either::Left((Ok(Some(Err(_))), _)) if self.budget.is_exhausted() => {
                    return Step::Reject(Rejection::Oversized)
                }
                Either::Left((Ok(Some(Err(error))), _)) if is_connection_error(&error) => {
                    return Step::End
                }
                Either::Left((Ok(Some(Err(_))), _)) => return Step::Reject(Rejection::Malformed),
                _ => return Step::End,
            }
        };
        self.budget.start_body(self.limits);
        if let Err(fault) = framing::check(request.headers(), self.limits) {
            return Step::Reject(Rejection::Framing(fault));
        }
        self.body(request).await
    }

    async fn body(&mut self, request: Request<Payload>) -> Step {
        match timeout(self.limits.body_timeout, self.decoder.fill_payload()).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) if self.budget.is_exhausted() => return Step::Reject(Rejection::Oversized),
            Ok(Err(_)) => return Step::Reject(Rejection::Truncated),
            Err(_) => return Step::Reject(Rejection::Slow),
        }
        let (head, payload) = request.into_parts();
        match collect_body(payload).await {
            Some(body) if body.len() <= self.limits.max_body_bytes => {
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
        let closes = is_last_request(&request);
        let mut response = handler.handle(request).await;
        let is_last = closes || stop.is_set();
        if is_last {
            response
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        match self.write(response).await {
            true if !is_last => Step::Next,
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
        let result = timeout(
            self.limits.write_timeout,
            self.encoder.send_and_flush(response),
        )
        .await;
        matches!(result, Ok(Ok(())))
    }
}

async fn collect_body(payload: Payload) -> Option<Bytes> {
    match payload.stream_hint() {
        monoio_http::common::body::StreamHint::None => Some(Bytes::new()),
        _ => payload.bytes().await.ok(),
    }
}

fn is_last_request(request: &Request<Bytes>) -> bool {
    closes_connection(request.headers()) || request.version() != Version::HTTP_11
}

fn is_connection_error(error: &monoio_http::common::error::HttpError) -> bool {
    use monoio_http::{
        common::error::HttpError,
        h1::codec::decoder::DecodeError, //
    };
    matches!(
        error,
        HttpError::IOError(_) | HttpError::H1DecodeError(DecodeError::Io(_))
    )
}
