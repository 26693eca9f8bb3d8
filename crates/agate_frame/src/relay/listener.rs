//! Listener of the relay and the mode of its connections.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::pipe::pipe;

/// Treatment of relayed connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Bytes are forwarded.
    Open,
    /// Bytes are dropped in both directions; the connection stays open.
    Silent,
    /// Bytes from the target are dropped; those to it are forwarded.
    Swallowing,
    /// Bytes are forwarded with a delay.
    Delayed(Duration),
    /// The connection is closed.
    Cut,
}

/// A TCP relay to a process.
#[derive(Debug)]
pub struct Relay {
    /// Address that the relay listens on.
    pub address: SocketAddr,
    mode_sender: Arc<Mutex<watch::Sender<Mode>>>,
    refuse_new: watch::Sender<bool>,
    accept: JoinHandle<()>,
}

impl Relay {
    /// Starts a relay to `target`.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let mode_sender = Arc::new(Mutex::new(watch::Sender::new(Mode::Open)));
        let refuse_new = watch::Sender::new(false);
        let accept = accept(
            TcpListener::from_std(listener)?,
            target,
            Arc::clone(&mode_sender),
            refuse_new.subscribe(),
        );
        Ok(Self {
            address,
            mode_sender,
            refuse_new,
            accept: tokio::spawn(accept),
        })
    }

    /// Silences every open connection; new ones work.
    pub fn silence(&self) {
        self.set_existing(Mode::Silent);
    }

    /// Closes every open connection and refuses new ones until [`Relay::heal`].
    pub fn cut(&self) {
        self.refuse_new.send_replace(true);
        self.set_existing(Mode::Cut);
    }

    /// Drops bytes from the target on every connection until [`Relay::heal`]; bytes to it are still
    /// forwarded.
    pub fn swallow(&self) {
        self.set_all(Mode::Swallowing);
    }

    /// Delays bytes on every connection until [`Relay::heal`].
    pub fn delay(&self, time: Duration) {
        self.set_all(Mode::Delayed(time));
    }

    /// Accepts new connections again, and ends delays. A connection that may have lost bytes stays
    /// silent.
    pub fn heal(&self) {
        self.refuse_new.send_replace(false);
        match self.mode() {
            Mode::Delayed(_) => self.set_all(Mode::Open),
            // Bytes may have been dropped from the open connections, so only new ones work.
            Mode::Swallowing => self.set_existing(Mode::Silent),
            Mode::Open | Mode::Silent | Mode::Cut => {}
        }
    }

    fn mode(&self) -> Mode {
        let mode_sender = self
            .mode_sender
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *mode_sender.borrow()
    }

    /// Sets the mode of open and new connections.
    fn set_all(&self, mode: Mode) {
        let mode_sender = self
            .mode_sender
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        mode_sender.send_replace(mode);
    }

    /// Sets the mode of open connections; new ones forward bytes.
    fn set_existing(&self, mode: Mode) {
        let mut mode_sender = self
            .mode_sender
            .lock()
            .expect("no holder of this lock panics");
        mode_sender.send_replace(mode);
        *mode_sender = watch::Sender::new(Mode::Open);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.accept.abort();
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    mode_sender: Arc<Mutex<watch::Sender<Mode>>>,
    refuse_new: watch::Receiver<bool>,
) {
    while let Ok((client, _)) = listener.accept().await {
        if *refuse_new.borrow() {
            continue;
        }
        let mode = mode_sender
            .lock()
            .expect("no holder of this lock panics")
            .subscribe();
        tokio::spawn(async move {
            if let Ok(server) = TcpStream::connect(target).await {
                pipe(client, server, mode).await;
            }
        });
    }
}
