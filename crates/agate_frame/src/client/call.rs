//! A single HTTP request on its own connection, without retries.

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

/// HTTP method of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Method {
    /// `GET`.
    Get,
    /// `POST`.
    Post,
    /// `DELETE`.
    Delete,
}

/// An HTTP request.
#[derive(Debug, Clone, Builder)]
pub struct Call {
    /// Address of the server.
    pub to: SocketAddr,
    /// HTTP method.
    #[builder(default = Method::Get)]
    pub method: Method,
    /// Path and query.
    #[builder(into)]
    pub path: String,
    /// Request headers.
    #[builder(default)]
    pub headers: Vec<(&'static str, String)>,
    /// Request body.
    #[builder(default, into)]
    pub body: Bytes,
    /// Timeout for the complete response.
    #[builder(default = Duration::from_secs(10))]
    pub limit: Duration,
}

/// call to {to}: {cause}
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct CallError {
    /// Address of the server.
    pub to: SocketAddr,
    /// Cause of the failure.
    pub cause: String,
}

impl std::error::Error for CallError {}

/// Sends a request and returns the response.
///
/// # Errors
///
/// Fails if no complete response arrives in time. The request may still have taken effect.
pub async fn call(call: Call) -> Result<Reply, CallError> {
    let to = call.to;
    let fail = |cause: String| CallError { to, cause };
    match timeout(call.limit, exchange(call)).await {
        Ok(done) => done.map_err(|error| fail(error.to_string())),
        Err(_) => Err(fail("timed out".to_owned())),
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
