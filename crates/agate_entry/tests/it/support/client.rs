//! An HTTP client that never retries.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

#[derive(Debug, Clone)]
pub struct Http {
    client: Client<HttpConnector, Full<Bytes>>,
    base: SocketAddr,
    headers: Vec<(&'static str, String)>,
}

pub type Answer = Response<Vec<u8>>;

impl Http {
    pub fn new(base: SocketAddr) -> Self {
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build_http();
        Self {
            client,
            base,
            headers: Vec::new(),
        }
    }

    pub fn with(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    pub async fn get(&self, path: &str) -> Answer {
        self.send(Method::GET, path, "").await
    }

    pub async fn delete(&self, path: &str) -> Answer {
        self.send(Method::DELETE, path, "").await
    }

    pub async fn delete_with(&self, path: &str, body: impl Into<Bytes>) -> Answer {
        self.send(Method::DELETE, path, body).await
    }

    pub async fn post(&self, path: &str, body: impl Into<Bytes>) -> Answer {
        self.send(Method::POST, path, body).await
    }

    async fn send(&self, method: Method, path: &str, body: impl Into<Bytes>) -> Answer {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.base));
        for (name, value) in &self.headers {
            request = request.header(*name, value);
        }
        let request = request.body(Full::new(body.into())).unwrap();
        let (parts, body) = self.client.request(request).await.unwrap().into_parts();
        let body = body.collect().await.unwrap().to_bytes().to_vec();
        Response::from_parts(parts, body)
    }
}

/// Returns the value of a header, or an empty string if it is missing.
pub fn header<'a>(answer: &'a Answer, name: &str) -> &'a str {
    answer
        .headers()
        .get(name)
        .map_or("", |value| value.to_str().unwrap())
}

pub fn text(answer: &Answer) -> &str {
    std::str::from_utf8(answer.body()).unwrap()
}

pub fn value(answer: &Answer) -> serde_json::Value {
    serde_json::from_slice(answer.body()).unwrap()
}
