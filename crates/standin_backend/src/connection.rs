//! One accepted connection.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use http::{Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::reply::{self, ReplyBody};
use crate::state::{Overloaded, State};
use crate::work;

/// An accepted connection. It counts against the limit from its first work request on.
#[derive(Debug)]
pub(crate) struct Connection {
    state: Arc<State>,
    counted: AtomicBool,
    pub(crate) close_signal: Notify,
}

impl Connection {
    /// Serves requests until either side closes.
    pub(crate) async fn run(state: Arc<State>, stream: TcpStream) {
        let connection = Arc::new(Self {
            state,
            counted: AtomicBool::new(false),
            close_signal: Notify::new(),
        });
        let handler = Arc::clone(&connection);
        let service = service_fn(move |request| Arc::clone(&handler).handle(request));
        let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::select! {
            result = served => {
                if let Err(error) = result {
                    log::debug!("event=connection_ended error={error:?}");
                }
            }
            () = connection.close_signal.notified() => {}
        }
        if connection.counted.load(Ordering::SeqCst) {
            connection.state.close_connection();
        }
    }

    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<ReplyBody>, Infallible> {
        let path = request.uri().path().to_owned();
        let reply = match (request.method(), path.as_str()) {
            (&Method::GET, "/ran") => reply::json(&self.state.ran()),
            (&Method::POST, "/faults") => self.set_fault(request).await,
            (&Method::POST, _) => match path.strip_prefix("/work/") {
                Some(class) => self.serve_work(class, request).await,
                None => reply::status(StatusCode::NOT_FOUND),
            },
            _ => reply::status(StatusCode::NOT_FOUND),
        };
        Ok(reply)
    }

    async fn set_fault(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        let Ok(body) = request.into_body().collect().await else {
            return reply::status(StatusCode::BAD_REQUEST);
        };
        let Ok(fault) = serde_json::from_slice(&body.to_bytes()) else {
            return reply::status(StatusCode::BAD_REQUEST);
        };
        self.state.set_fault(fault);
        reply::status(StatusCode::NO_CONTENT)
    }

    async fn serve_work(&self, class: &str, request: Request<Incoming>) -> Response<ReplyBody> {
        if self.ensure_counted().is_err() {
            return reply::status(StatusCode::SERVICE_UNAVAILABLE);
        }
        work::serve(&self.state, &self.close_signal, class, request).await
    }

    /// Counts the connection against the limit unless it already counts.
    fn ensure_counted(&self) -> Result<(), Overloaded> {
        if self.counted.load(Ordering::SeqCst) {
            return Ok(());
        }
        self.state.open_connection()?;
        self.counted.store(true, Ordering::SeqCst);
        Ok(())
    }
}
