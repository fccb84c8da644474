//! The thread that writes log lines.
//!
//! The reader of the log output may be slow or hang. Lines therefore go through a bounded queue, so
//! that the threads that log never wait for the reader. Lines that do not fit into the queue are
//! lost; their number is logged.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, Receiver, SyncSender, TrySendError};
use std::thread;
use std::time::{Duration, SystemTime};

use log::{Level, Record};

use super::logging::write_record;

/// Maximum number of queued lines.
const MAX_QUEUED_LINES: usize = 2_048;
/// Maximum wait for the queued lines to be written at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

enum QueueItem {
    Line(Vec<u8>),
    End,
}

/// Writer that queues whole lines and never blocks.
#[derive(Clone, Debug)]
pub struct LineQueue {
    items: SyncSender<QueueItem>,
    /// Number of lines lost since the last line was written.
    lost: Arc<AtomicU64>,
}

/// Guard that waits for the queued lines to be written when it is dropped at the end of the
/// process.
#[derive(Debug)]
#[must_use = "queued lines are lost if the guard is dropped before the end of the process"]
pub struct LogGuard {
    queue: LineQueue,
    finished: Receiver<()>,
}

impl LineQueue {
    /// Starts the thread that writes the queued lines to `output`.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<(Self, LogGuard)> {
        let (items, receiver) = mpsc::sync_channel(MAX_QUEUED_LINES);
        let (finish, finished) = mpsc::channel();
        let lost = Arc::new(AtomicU64::new(0));
        let queue = LineQueue {
            items,
            lost: lost.clone(),
        };
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || {
                write_lines(&receiver, &lost, output);
                // Sending fails if the guard does not exist any more.
                let _ = finish.send(());
            })?;
        let guard = LogGuard {
            queue: queue.clone(),
            finished,
        };
        Ok((queue, guard))
    }
}

impl Write for LineQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        match self.items.try_send(QueueItem::Line(line.to_vec())) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.lost.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        // If the queue is full, the reader is not keeping up, and the last lines are lost too.
        if self.queue.items.try_send(QueueItem::End).is_ok() {
            let _ = self.finished.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// Writes lines until the end is requested or the output fails, for example because the reader has
/// closed it.
fn write_lines(receiver: &Receiver<QueueItem>, lost: &AtomicU64, mut output: impl Write) {
    while let Ok(QueueItem::Line(line)) = receiver.recv() {
        let lost = lost.swap(0, Ordering::Relaxed);
        let result = match lost {
            0 => Ok(()),
            lost => write_lost_count(&mut output, lost),
        };
        if result.and_then(|()| output.write_all(&line)).is_err() {
            return;
        }
    }
}

fn write_lost_count(output: &mut impl Write, lost: u64) -> io::Result<()> {
    let pairs = [("lost", lost)];
    let record = Record::builder()
        .args(format_args!("log_lines_lost"))
        .level(Level::Warn)
        .target(module_path!())
        .key_values(&pairs)
        .build();
    write_record(output, &record, SystemTime::now())
}
