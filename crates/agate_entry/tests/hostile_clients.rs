//! Crowds of callers with unfinished requests, against the `agate-entry` program.
//!
//! The process must live, stay below a bound of memory and descriptors, and answer an ordinary request
//! while the crowd is connected.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use agate_frame::process::Ports;
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

/// Memory that the process may use, in KiB.
const MEMORY_KB: u64 = 96 * 1_024;

/// Descriptors that the process may use.
const DESCRIPTORS: usize = 1_000;

/// Memory for the bodies of all requests, in MiB.
const UNFINISHED_MB: usize = 16;

const BODY: usize = 1_048_576;

/// Time within which an ordinary caller that is refused tries again.
const PATIENCE: Duration = Duration::from_mins(1);

/// Time without progress after which a client stops to send.
const SEND_PAUSE: Duration = Duration::from_secs(1);

struct Entry {
    process: Child,
    callers: SocketAddr,
    _ports: Ports,
}

impl Drop for Entry {
    fn drop(&mut self) {
        // Fails if the process has ended, which the checks report.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Entry {
    async fn start() -> Self {
        let mut ports = Ports::new();
        let mut address = || ports.free().expect("find a free port");
        let (callers, operators, rpc) = (address(), address(), address());
        let process = Command::new(env!("CARGO_BIN_EXE_agate-entry"))
            .arg(format!("--caller-listen={callers}"))
            .arg(format!("--operator-listen={operators}"))
            .arg(format!("--rpc-listen={rpc}"))
            .arg(format!("--advertise={rpc}"))
            .arg(format!("--log={}:9", Ipv4Addr::LOCALHOST))
            .args(["--region=here", "--zone=here-1", "--log-level=error"])
            .arg(format!("--unfinished-mb={UNFINISHED_MB}"))
            .env("AGATE_ENTRY_OPERATOR_TOKEN", "0123456789abcdef")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .spawn()
            .expect("start the program");
        let entry = Self {
            process,
            callers,
            _ports: ports,
        };
        entry.expect_answer().await;
        entry
    }

    /// Waits until an ordinary request has a response. Without a backend server, that is a refusal.
    async fn expect_answer(&self) {
        let deadline = Instant::now() + PATIENCE;
        let request = b"POST /v1/requests/x HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\n\r\nx";
        while !matches!(
            timeout(PATIENCE, exchange(self.callers, request)).await,
            Ok(Some(()))
        ) {
            assert!(Instant::now() < deadline, "there is no response");
            sleep(Duration::from_millis(100)).await;
        }
    }

    fn expect_within_limits(&mut self) {
        let ended = self.process.try_wait().expect("look at the process");
        assert!(ended.is_none(), "the process has ended: {ended:?}");
        let proc = format!("/proc/{}", self.process.id());
        let status = fs::read_to_string(format!("{proc}/status")).expect("read the status");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.and_then(|text| text.trim().strip_suffix(" kB"));
        let peak: u64 = peak
            .and_then(|text| text.trim().parse().ok())
            .expect("it has a peak");
        let descriptors = fs::read_dir(format!("{proc}/fd"))
            .expect("list descriptors")
            .count();
        println!("peak {peak} KB, {descriptors} descriptors");
        assert!(peak <= MEMORY_KB, "{peak} KB of {MEMORY_KB} KB");
        assert!(
            descriptors <= DESCRIPTORS,
            "{descriptors} of {DESCRIPTORS} descriptors"
        );
    }
}

async fn exchange(address: SocketAddr, request: &[u8]) -> Option<()> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(request).await.ok()?;
    let mut start = [0; 9];
    stream.read_exact(&mut start).await.ok()?;
    (&start == b"HTTP/1.1 ").then_some(())
}

/// Sends `bytes` until the server stops reading or closes the connection.
async fn stop_short(address: SocketAddr, bytes: Vec<u8>) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let mut rest = bytes.as_slice();
    while !rest.is_empty() {
        match timeout(SEND_PAUSE, stream.write(rest)).await {
            Ok(Ok(sent)) if sent > 0 => rest = &rest[sent..],
            _ => break,
        }
    }
    Some(stream)
}

/// A body without its last byte.
fn whole_body() -> Vec<u8> {
    let head = format!("POST /v1/requests/x HTTP/1.1\r\nhost: x\r\ncontent-length: {BODY}\r\n\r\n");
    [head.into_bytes(), vec![b'x'; BODY - 1]].concat()
}

fn empty_lines() -> Vec<u8> {
    b"\r\n".repeat(190_000)
}

/// Guards against callers that end the process by its memory or descriptors.
#[rstest]
#[case::whole_bodies(whole_body, 200)]
#[case::empty_lines(empty_lines, 400)]
#[case::silent(Vec::new, 1_200)]
#[tokio::test]
async fn callers_stay_within_the_limits(#[case] sent: fn() -> Vec<u8>, #[case] connections: usize) {
    let mut entry = Entry::start().await;
    let mut clients = JoinSet::new();
    for _ in 0..connections {
        clients.spawn(stop_short(entry.callers, sent()));
    }
    let crowd = clients.join_all().await;
    entry.expect_answer().await;
    entry.expect_within_limits();
    drop(crowd);
}
