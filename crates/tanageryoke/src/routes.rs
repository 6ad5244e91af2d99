//! HTTP routes of an instance that runs `serve`.

use std::rc::Rc;

use bytes::Bytes;
use entry::problem::{
    Kind,
    Problem,
    Run, //
};
use http::{
    header::{
        HeaderValue,
        CONTENT_TYPE, //
    },
    Method,
    Request,
    Response,
    StatusCode, //
};
use web::server::{
    Handler,
    Rejection, //
};

use crate::{
    context::Context,
    state, //
};

/// Handler of the requests of callers and operators.
#[derive(Debug)]
pub struct Routes {
    context: Rc<Context>,
}

impl Routes {
    /// Creates the handler of an instance.
    pub fn new(context: Rc<Context>) -> Rc<Self> {
        Rc::new(Self { context })
    }

    fn page(&self, path: &str) -> Option<Response<Bytes>> {
        let response = match path {
            "/healthz" => text(StatusCode::OK, Bytes::from_static(b"ok\n")),
            "/readyz" if self.context.is_ready() => {
                text(StatusCode::OK, Bytes::from_static(b"ready\n"))
            }
            "/readyz" => text(
                StatusCode::SERVICE_UNAVAILABLE,
                Bytes::from_static(b"not ready\n"),
            ),
            "/metrics" => text(StatusCode::OK, self.context.metrics.text(&self.context)),
            "/debug/state" => json(state::dump(&self.context).to_string().into()),
            _ => return None,
        };
        Some(response)
    }
}

impl Handler for Routes {
    async fn handle(&self, request: Request<Bytes>) -> Response<Bytes> {
        match self.page(request.uri().path()) {
            Some(page) if request.method() == Method::GET => page,
            Some(_) => refuse(Kind::Method, "only GET is allowed"),
            None => self.context.entry.answer(request).await,
        }
    }

    fn reject(&self, rejection: Rejection) -> Response<Bytes> {
        let kind = match rejection.status() {
            StatusCode::PAYLOAD_TOO_LARGE => Kind::Oversized,
            StatusCode::REQUEST_TIMEOUT => Kind::Slow,
            _ => Kind::Malformed,
        };
        tracing::info!("entry: request can't be read: {rejection:?}.");
        refuse(kind, &format!("{rejection:?}"))
    }
}

fn refuse(kind: Kind, detail: &str) -> Response<Bytes> {
    Problem::new(kind, Run::NotRun, detail).respond(None)
}

pub(crate) fn text(status: StatusCode, body: Bytes) -> Response<Bytes> {
    response_with_type(status, "text/plain; charset=utf-8", body)
}

pub(crate) fn json(body: Bytes) -> Response<Bytes> {
    response_with_type(StatusCode::OK, "application/json", body)
}

fn response_with_type(
    status: StatusCode,
    content_type: &'static str,
    body: Bytes,
) -> Response<Bytes> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
