//! A logger that never blocks on a slow reader of its output.

use std::io::Write as _;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::Duration;

use env_logger::{Target, WriteStyle};
use log::{LevelFilter, SetLoggerError};

use super::setup::builder;

/// Maximum number of queued lines. Further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 4_096;

/// Maximum size of the lines that are queued or being written. Further lines are dropped and counted.
const MAX_QUEUED_BYTES: usize = 2 << 20;

/// Longest wait of [`flush`].
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

enum Item {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

static QUEUE: OnceLock<SyncSender<Item>> = OnceLock::new();

struct Queue {
    lines: SyncSender<Item>,
    counts: Arc<Counts>,
}

#[derive(Default)]
struct Counts {
    /// Lines that were dropped since the last report.
    dropped: AtomicU64,
    /// Bytes of the lines that are queued or being written.
    queued: AtomicUsize,
}

impl std::io::Write for Queue {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        let Counts { dropped, queued } = &*self.counts;
        if queued.fetch_add(buf.len(), Ordering::Relaxed) + buf.len() > MAX_QUEUED_BYTES {
            queued.fetch_sub(buf.len(), Ordering::Relaxed);
            dropped.fetch_add(1, Ordering::Relaxed);
        } else if let Err(TrySendError::Full(_)) = self.lines.try_send(Item::Line(buf.to_vec())) {
            queued.fetch_sub(buf.len(), Ordering::Relaxed);
            dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Logs events of `level` and above to standard output, one line each, through a bounded queue.
/// If the reader of standard output stops, lines are dropped and counted instead of blocking the
/// process.
///
/// # Errors
///
/// Fails if the process already has a logger.
pub fn init_bounded(level: LevelFilter) -> Result<(), SetLoggerError> {
    let (lines, receiver) = sync_channel(MAX_QUEUED_LINES);
    let counts = Arc::new(Counts::default());
    let queue = Queue {
        lines: lines.clone(),
        counts: Arc::clone(&counts),
    };
    let mut builder = builder(level);
    builder.write_style(WriteStyle::Never);
    builder.target(Target::Pipe(Box::new(queue)));
    builder.try_init()?;
    thread::spawn(move || write_lines(&receiver, &counts));
    // Only the first logger of a process gets here, so the queue is not set yet.
    let _ = QUEUE.set(lines);
    Ok(())
}

/// Waits for a short time until the queued lines are written.
pub fn flush() {
    let Some(queue) = QUEUE.get() else {
        return;
    };
    let (done, written) = sync_channel(1);
    if queue.try_send(Item::Flush(done)).is_ok() {
        // A reader that has stopped must not delay the exit of the process.
        let _ = written.recv_timeout(FLUSH_TIMEOUT);
    }
}

fn write_lines(queue: &Receiver<Item>, counts: &Counts) {
    let mut text = Vec::new();
    while let Ok(item) = queue.recv() {
        let mut waiting = Vec::new();
        let mut next = Some(item);
        while let Some(item) = next {
            match item {
                Item::Line(line) => text.extend_from_slice(&line),
                Item::Flush(done) => waiting.push(done),
            }
            next = queue.try_recv().ok();
        }
        let taken = text.len();
        let lost = counts.dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            text.extend_from_slice(
                format!("level=warn event=lines_dropped lines={lost}\n").as_bytes(),
            );
        }
        let mut out = std::io::stdout().lock();
        // If standard output fails, there is nowhere left to report it.
        let _ = out.write_all(&text).and_then(|()| out.flush());
        counts.queued.fetch_sub(taken, Ordering::Relaxed);
        text.clear();
        for done in waiting {
            // Fails if the waiting side has timed out.
            let _ = done.try_send(());
        }
    }
}
