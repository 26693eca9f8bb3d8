//! Construction of responses.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE};
use http::{Response, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Empty, Full};
use hyper::body::{Body, Frame};
use serde::Serialize;
use tokio::time::{Sleep, sleep};

/// Body of a response.
pub(crate) type ReplyBody = BoxBody<Bytes, Infallible>;

/// Returns a response with `status` and no body.
pub(crate) fn status(status: StatusCode) -> Response<ReplyBody> {
    with_body(status, Empty::new().boxed())
}

/// Returns a response with `value` as JSON.
pub(crate) fn json(value: &impl Serialize) -> Response<ReplyBody> {
    let Ok(text) = serde_json::to_vec(value) else {
        return status(StatusCode::INTERNAL_SERVER_ERROR);
    };
    let mut reply = bytes(StatusCode::OK, Bytes::from(text));
    let media = http::HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, media);
    reply
}

/// Returns a response with `status` and `body`.
pub(crate) fn bytes(status: StatusCode, body: Bytes) -> Response<ReplyBody> {
    with_body(status, Full::new(body).boxed())
}

/// Returns a response whose `Content-Length` is one byte more than `body` has.
pub(crate) fn truncated(body: Bytes) -> Response<ReplyBody> {
    let content_length = http::HeaderValue::from(body.len() + 1);
    let mut reply = with_body(StatusCode::OK, TruncatedBody::new(body).boxed());
    reply.headers_mut().insert(CONTENT_LENGTH, content_length);
    reply
}

fn with_body(status: StatusCode, body: ReplyBody) -> Response<ReplyBody> {
    let mut reply = Response::new(body);
    *reply.status_mut() = status;
    reply
}

/// Time for a truncated response to be sent before its connection is closed.
const FLUSH_DELAY: Duration = Duration::from_millis(20);

/// A body of unknown length, so that the server doesn't check `Content-Length` against it. It ends
/// [`FLUSH_DELAY`] after its data.
#[derive(Debug)]
struct TruncatedBody {
    data: Option<Bytes>,
    flush_delay: Pin<Box<Sleep>>,
}

impl TruncatedBody {
    fn new(data: Bytes) -> Self {
        Self {
            data: Some(data),
            flush_delay: Box::pin(sleep(FLUSH_DELAY)),
        }
    }
}

impl Body for TruncatedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if let Some(data) = self.data.take() {
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        ready!(self.flush_delay.as_mut().poll(cx));
        Poll::Ready(None)
    }
}
