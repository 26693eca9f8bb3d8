//! The relay's listener and its switch.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::pipe::pipe;

/// What happens to connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Bytes pass.
    Open,
    /// Bytes vanish; the connection stays open.
    Silent,
    /// Bytes from the far end vanish; those to it pass.
    Swallowing,
    /// Bytes are held up.
    Delayed(Duration),
    /// The connection is closed.
    Cut,
}

/// Relays connections to a process.
#[derive(Debug)]
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    current: Arc<Mutex<watch::Sender<Mode>>>,
    refuses: watch::Sender<bool>,
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
        let current = Arc::new(Mutex::new(watch::Sender::new(Mode::Open)));
        let refuses = watch::Sender::new(false);
        let accept = accept(
            TcpListener::from_std(listener)?,
            target,
            Arc::clone(&current),
            refuses.subscribe(),
        );
        Ok(Self {
            address,
            current,
            refuses,
            accept: tokio::spawn(accept),
        })
    }

    /// Makes every open connection go silent; new ones work.
    pub fn silence(&self) {
        self.switch(Mode::Silent);
    }

    /// Closes every open connection and refuses new ones until [`Relay::heal`].
    pub fn cut(&self) {
        self.refuses.send_replace(true);
        self.switch(Mode::Cut);
    }

    /// Loses what the target sends, on every connection until [`Relay::heal`]; what it is sent
    /// passes.
    pub fn swallow(&self) {
        self.keep(Mode::Swallowing);
    }

    /// Holds up bytes on every connection until [`Relay::heal`].
    pub fn delay(&self, time: Duration) {
        self.keep(Mode::Delayed(time));
    }

    /// Accepts new connections again, and lets bytes pass on those that don't lose any.
    pub fn heal(&self) {
        self.refuses.send_replace(false);
        match self.mode() {
            Mode::Delayed(_) => self.keep(Mode::Open),
            // A connection that has lost bytes stays silent; new ones work.
            Mode::Swallowing => self.switch(Mode::Silent),
            Mode::Open | Mode::Silent | Mode::Cut => {}
        }
    }

    fn mode(&self) -> Mode {
        let current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        *current.borrow()
    }

    /// Sets the mode of open and of new connections.
    fn keep(&self, mode: Mode) {
        let current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        current.send_replace(mode);
    }

    fn switch(&self, mode: Mode) {
        let mut current = self.current.lock().expect("no holder of this lock panics");
        current.send_replace(mode);
        *current = watch::Sender::new(Mode::Open);
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
    current: Arc<Mutex<watch::Sender<Mode>>>,
    refuses: watch::Receiver<bool>,
) {
    while let Ok((near, _)) = listener.accept().await {
        if *refuses.borrow() {
            continue;
        }
        let mode = current
            .lock()
            .expect("no holder of this lock panics")
            .subscribe();
        tokio::spawn(async move {
            if let Ok(far) = TcpStream::connect(target).await {
                pipe(near, far, mode).await;
            }
        });
    }
}
