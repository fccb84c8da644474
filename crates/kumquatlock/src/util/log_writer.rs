//! The thread that writes the lines of the log.
//!
//! Whoever reads the log may be slow or hang. The lines go through a bounded queue, so that no
//! decision waits for the reader; lines beyond the bound are lost, counted and told.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, Receiver, SyncSender, TrySendError};
use std::thread;
use std::time::{Duration, SystemTime};

use log::{Level, Record};

use super::logging::write_record;

/// Lines that wait for the reader.
const MAX_LINES: usize = 2_048;
/// Longest wait at the end of the process for a slow reader.
const LAST_WAIT: Duration = Duration::from_millis(300);

enum QueueItem {
    Line(Vec<u8>),
    End,
}

/// Takes whole lines and never waits.
#[derive(Clone, Debug)]
pub struct LineQueue {
    items: SyncSender<QueueItem>,
    /// Lines lost since the last one that was written.
    lost: Arc<AtomicU64>,
}

/// Lets the lines that still wait be written when it is dropped at the end of the process.
#[derive(Debug)]
#[must_use = "lines are lost if the process ends without it"]
pub struct LogGuard {
    queue: LineQueue,
    ended: Receiver<()>,
}

impl LineQueue {
    /// Starts the thread that writes to `output`.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<(Self, LogGuard)> {
        let (items, waiting) = mpsc::sync_channel(MAX_LINES);
        let (end, ended) = mpsc::channel();
        let lost = Arc::new(AtomicU64::new(0));
        let queue = LineQueue {
            items,
            lost: lost.clone(),
        };
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || {
                write_lines(&waiting, &lost, output);
                // Without a guard nobody waits for this.
                let _ = end.send(());
            })?;
        let guard = LogGuard {
            queue: queue.clone(),
            ended,
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
        // With a full queue the reader hangs, and the last lines are lost as well.
        if self.queue.items.try_send(QueueItem::End).is_ok() {
            let _ = self.ended.recv_timeout(LAST_WAIT);
        }
    }
}

/// Writes until the end is asked for or the reader has gone.
fn write_lines(waiting: &Receiver<QueueItem>, lost: &AtomicU64, mut output: impl Write) {
    while let Ok(QueueItem::Line(line)) = waiting.recv() {
        let lost = lost.swap(0, Ordering::Relaxed);
        let told = match lost {
            0 => Ok(()),
            lost => tell_lost(&mut output, lost),
        };
        if told.and_then(|()| output.write_all(&line)).is_err() {
            return;
        }
    }
}

fn tell_lost(output: &mut impl Write, lost: u64) -> io::Result<()> {
    let pairs = [("lost", lost)];
    let record = Record::builder()
        .args(format_args!("log_lines_lost"))
        .level(Level::Warn)
        .target(module_path!())
        .key_values(&pairs)
        .build();
    write_record(output, &record, SystemTime::now())
}
