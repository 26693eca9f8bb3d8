//! A relayed connection.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep;

use super::listener::Mode;

/// Direction of a byte stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    /// To the target.
    ToTarget,
    /// From the target.
    FromTarget,
}

/// Size of the copy buffer.
const CHUNK_BYTES: usize = 16 * 1024;

/// Copies bytes in both directions until either end closes, or the connection is cut or silent.
pub(crate) async fn pipe(client: TcpStream, server: TcpStream, mode: watch::Receiver<Mode>) {
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let mut cut = mode.clone();
    tokio::select! {
        () = copy(client_read, server_write, mode.clone(), Direction::ToTarget) => {}
        () = copy(server_read, client_write, mode, Direction::FromTarget) => {}
        _ = cut.wait_for(|mode| *mode == Mode::Cut) => {}
    }
}

async fn copy(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    mut mode: watch::Receiver<Mode>,
    direction: Direction,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let count = from.read(&mut chunk).await;
        // Drops the bytes just read and stays open until the connection is cut.
        let current = *mode.borrow();
        match (current, direction) {
            (Mode::Silent, _) | (Mode::Swallowing, Direction::FromTarget) => {
                let _ = mode.wait_for(|mode| *mode == Mode::Cut).await;
                return;
            }
            (Mode::Delayed(time), _) => sleep(time).await,
            (Mode::Open | Mode::Cut | Mode::Swallowing, _) => {}
        }
        let Ok(count @ 1..) = count else { return };
        if to.write_all(&chunk[..count]).await.is_err() {
            return;
        }
    }
}
