//! Reads over slow links.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use agate_core::Offset;
use agate_log::{HttpSettings, HttpStore, LogStore, Stream};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const EMPTY_PAGE: &str = r#"{"earliest": 1, "end": 0, "entries": []}"#;

/// Sizes of the pages that were requested.
type Sizes = Arc<Mutex<Vec<usize>>>;

fn store(address: SocketAddr) -> HttpStore {
    store_with_timeout(address, Duration::from_millis(300))
}

fn store_with_timeout(address: SocketAddr, limit: Duration) -> HttpStore {
    let settings = HttpSettings::builder()
        .address(address)
        .call_timeout(limit)
        .build();
    HttpStore::new(settings)
}

/// Returns the size that the next request on a connection asks for.
async fn requested_size(stream: &mut TcpStream) -> Option<usize> {
    let mut request = [0; 4_096];
    let bytes = stream.read(&mut request).await.ok()?;
    let request = String::from_utf8_lossy(&request[..bytes]).into_owned();
    let (_, rest) = request.split_once("max_bytes=")?;
    rest.split_once('&')?.0.parse().ok()
}

/// Serves a log that answers requests for up to `most` bytes and no others.
async fn serve_pages_up_to(most: usize) -> (SocketAddr, Sizes) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("bound");
    let sizes = Sizes::default();
    let requested = Arc::clone(&sizes);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let requested = Arc::clone(&requested);
            tokio::spawn(async move {
                let size = requested_size(&mut stream).await.expect("a read");
                requested.lock().expect("not poisoned").push(size);
                if size > most {
                    tokio::time::sleep(Duration::from_mins(1)).await;
                }
                send_head(&mut stream).await;
                let sent = stream.write_all(EMPTY_PAGE.as_bytes()).await;
                sent.expect("the client is there");
            });
        }
    });
    (address, sizes)
}

async fn send_head(stream: &mut TcpStream) {
    let length = EMPTY_PAGE.len();
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n");
    let sent = stream.write_all(head.as_bytes()).await;
    sent.expect("the client is there");
}

/// Entries that rebuilt their state together requested the same pages of 1 MB again and again.
#[tokio::test]
async fn a_read_that_timed_out_is_repeated_with_a_smaller_page() {
    let (address, sizes) = serve_pages_up_to(100_000).await;
    let store = store(address);
    let mut reads = 1;
    while let Err(error) = store.read(Stream::Snap, Offset(1), Duration::ZERO).await {
        assert!(reads < 4, "{error}");
        reads += 1;
    }
    assert_eq!(*sizes.lock().unwrap(), [262_144, 131_072, 65_536]);
}

/// The time limit was one on the whole response, which a slow link never met.
#[tokio::test]
async fn a_long_response_that_makes_progress_is_complete() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("bound");
    let store = store_with_timeout(address, Duration::from_millis(1_500));
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("accept");
        requested_size(&mut stream).await.expect("a read");
        send_head(&mut stream).await;
        for part in EMPTY_PAGE.as_bytes().chunks(EMPTY_PAGE.len() / 5) {
            tokio::time::sleep(Duration::from_millis(400)).await;
            let sent = stream.write_all(part).await;
            sent.expect("the client is there");
        }
    });
    let page = store.read(Stream::Main, Offset(1), Duration::ZERO).await;
    page.expect("the response is complete");
}

#[tokio::test]
async fn a_stalled_response_fails() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let store = store(listener.local_addr().expect("bound"));
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("accept");
        send_head(&mut stream).await;
        tokio::time::sleep(Duration::from_mins(1)).await;
    });
    let read = store.read(Stream::Main, Offset(1), Duration::ZERO);
    let page = tokio::time::timeout(Duration::from_secs(20), read).await;
    page.expect("the read ends").unwrap_err();
}
