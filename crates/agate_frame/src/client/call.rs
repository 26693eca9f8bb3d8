//! One HTTP call on a connection of its own, never sent twice.

use std::net::SocketAddr;
use std::time::Duration;

use bon::Builder;
use bytes::Bytes;
use displaydoc::Display;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::Reply;

/// Method of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Method {
    /// Reads.
    Get,
    /// Writes or asks for work.
    Post,
    /// Takes back.
    Delete,
}

/// One call.
#[derive(Debug, Clone, Builder)]
pub struct Call {
    /// Where it goes.
    pub to: SocketAddr,
    /// Method.
    #[builder(default = Method::Get)]
    pub method: Method,
    /// Path and query.
    #[builder(into)]
    pub path: String,
    /// Headers.
    #[builder(default)]
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    #[builder(default, into)]
    pub body: Bytes,
    /// Longest wait for the whole answer.
    #[builder(default = Duration::from_secs(10))]
    pub limit: Duration,
}

/// call to {to}: {cause}
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct CallError {
    /// Where the call went.
    pub to: SocketAddr,
    /// What went wrong.
    pub cause: String,
}

impl std::error::Error for CallError {}

/// Makes a call.
///
/// # Errors
///
/// Fails if no whole answer came in time; the call may have taken effect all the same.
pub async fn call(call: Call) -> Result<Reply, CallError> {
    let to = call.to;
    let fail = |cause: String| CallError { to, cause };
    match timeout(call.limit, exchange(call)).await {
        Ok(done) => done.map_err(|error| fail(error.to_string())),
        Err(_) => Err(fail("no answer in time".to_owned())),
    }
}

async fn exchange(call: Call) -> Result<Reply, Box<dyn std::error::Error + Send + Sync>> {
    let stream = TcpStream::connect(call.to).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let driver = tokio::spawn(connection);
    let response = sender.send_request(request(call)?).await?;
    let (head, body) = response.into_parts();
    let body = body.collect().await?.to_bytes();
    driver.abort();
    Ok(Reply {
        status: head.status,
        headers: head.headers,
        body,
    })
}

fn request(call: Call) -> http::Result<Request<Full<Bytes>>> {
    let method = match call.method {
        Method::Get => http::Method::GET,
        Method::Post => http::Method::POST,
        Method::Delete => http::Method::DELETE,
    };
    let mut request = Request::builder()
        .method(method)
        .uri(call.path)
        .header("host", call.to.to_string());
    for (name, value) in call.headers {
        request = request.header(name, value);
    }
    request.body(Full::new(call.body))
}
