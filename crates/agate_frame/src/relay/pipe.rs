//! One relayed connection.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep;

use super::listener::Mode;

/// Where bytes go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    /// To the target.
    There,
    /// From the target.
    Back,
}

/// Bytes copied at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// Copies bytes both ways until an end closes, the connection is cut, or it has gone silent.
pub(crate) async fn pipe(near: TcpStream, far: TcpStream, mode: watch::Receiver<Mode>) {
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let mut cut = mode.clone();
    tokio::select! {
        () = copy(near_read, far_write, mode.clone(), Direction::There) => {}
        () = copy(far_read, near_write, mode, Direction::Back) => {}
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
        // A silent connection loses what it carries and is never closed by the relay.
        let present = *mode.borrow();
        match (present, direction) {
            (Mode::Silent, _) | (Mode::Swallowing, Direction::Back) => {
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
