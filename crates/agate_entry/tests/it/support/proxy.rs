//! A TCP proxy whose open connections can be silenced while new ones work.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

#[derive(Debug)]
pub struct SilentProxy {
    pub address: SocketAddr,
    /// Connections with a lower number forward nothing.
    muted: Arc<AtomicUsize>,
    opened: Arc<AtomicUsize>,
    cut: CancellationToken,
    task: JoinHandle<()>,
}

impl SilentProxy {
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (muted, opened) = (Arc::default(), Arc::<AtomicUsize>::default());
        let (silence, count) = (Arc::clone(&muted), Arc::clone(&opened));
        let cut = CancellationToken::new();
        let token = cut.clone();
        let task = tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let number = count.fetch_add(1, Ordering::SeqCst);
                let Ok(far) = TcpStream::connect(target).await else {
                    continue;
                };
                let (near_in, near_out) = near.into_split();
                let (far_in, far_out) = far.into_split();
                let there = relay(near_in, far_out, number, Arc::clone(&silence));
                let back = relay(far_in, near_out, number, Arc::clone(&silence));
                tokio::spawn(token.clone().run_until_cancelled_owned(there));
                tokio::spawn(token.clone().run_until_cancelled_owned(back));
            }
        });
        Self {
            address,
            muted,
            opened,
            cut,
            task,
        }
    }

    /// Silences every connection that is open now.
    pub fn mute(&self) {
        self.muted
            .store(self.opened.load(Ordering::SeqCst), Ordering::SeqCst);
    }

    /// Closes all connections and accepts no new ones.
    pub fn cut(&self) {
        self.task.abort();
        self.cut.cancel();
    }

    pub fn opened(&self) -> usize {
        self.opened.load(Ordering::SeqCst)
    }
}

impl Drop for SilentProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn relay(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    number: usize,
    muted: Arc<AtomicUsize>,
) {
    let mut buffer = vec![0; 16 * 1024];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        if number < muted.load(Ordering::SeqCst) {
            std::future::pending::<()>().await;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
