//! Building of answers.

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

/// Body of an answer.
pub(crate) type ReplyBody = BoxBody<Bytes, Infallible>;

/// An answer with `status` and no body.
pub(crate) fn status(status: StatusCode) -> Response<ReplyBody> {
    with_body(status, Empty::new().boxed())
}

/// An answer with `value` as JSON.
pub(crate) fn json(value: &impl Serialize) -> Response<ReplyBody> {
    let Ok(text) = serde_json::to_vec(value) else {
        return status(StatusCode::INTERNAL_SERVER_ERROR);
    };
    let mut reply = bytes(StatusCode::OK, Bytes::from(text));
    let media = http::HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, media);
    reply
}

/// An answer with `status` and `body`.
pub(crate) fn bytes(status: StatusCode, body: Bytes) -> Response<ReplyBody> {
    with_body(status, Full::new(body).boxed())
}

/// An answer that states a longer length than `body` has.
pub(crate) fn cut(body: Bytes) -> Response<ReplyBody> {
    let stated = http::HeaderValue::from(body.len() + 1);
    let mut reply = with_body(StatusCode::OK, CutBody::new(body).boxed());
    reply.headers_mut().insert(CONTENT_LENGTH, stated);
    reply
}

fn with_body(status: StatusCode, body: ReplyBody) -> Response<ReplyBody> {
    let mut reply = Response::new(body);
    *reply.status_mut() = status;
    reply
}

/// Time for the head and the data of a cut answer to leave before the connection is closed.
const FLUSH_TIME: Duration = Duration::from_millis(20);

/// A body that tells nothing of its length, so that the server doesn't check the header against
/// it, and that ends some time after its data.
#[derive(Debug)]
struct CutBody {
    data: Option<Bytes>,
    flushed: Pin<Box<Sleep>>,
}

impl CutBody {
    fn new(data: Bytes) -> Self {
        Self {
            data: Some(data),
            flushed: Box::pin(sleep(FLUSH_TIME)),
        }
    }
}

impl Body for CutBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if let Some(data) = self.data.take() {
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        ready!(self.flushed.as_mut().poll(cx));
        Poll::Ready(None)
    }
}
