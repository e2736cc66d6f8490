//! Monitors the tasks and threads without which the process cannot work.
//!
//! If the reducer panics or a writer thread ends, nothing is decided or persisted any more, while
//! listeners still accept connections and peers still see a reachable member. So the process exits
//! when one of these tasks ends. Its supervisor restarts it with the state on disk, as after any
//! other crash.

use std::fmt;

use tokio::sync::mpsc;

/// A task or thread whose end ends the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CriticalTask {
    /// The actor that runs the reducer.
    Reducer,
    /// The thread that writes the replicated log of the control group.
    LogWriter,
    /// The thread that writes the claims file.
    ClaimsWriter,
    /// The thread that writes the file of withdrawal notices.
    NoticesWriter,
}

impl fmt::Display for CriticalTask {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Reducer => "reducer actor",
            Self::LogWriter => "log writer thread",
            Self::ClaimsWriter => "claims writer thread",
            Self::NoticesWriter => "notices writer thread",
        })
    }
}

/// Creates the guards of critical tasks.
#[derive(Debug, Clone)]
pub struct TaskRegistry {
    ended: mpsc::UnboundedSender<CriticalTask>,
}

impl TaskRegistry {
    /// Returns a registry and the monitor that its guards report to.
    pub fn new() -> (Self, TaskMonitor) {
        let (ended, receiver) = mpsc::unbounded_channel();
        (Self { ended }, TaskMonitor { ended: receiver })
    }

    /// Returns a guard that a task holds while it runs.
    pub fn guard(&self, task: CriticalTask) -> TaskGuard {
        TaskGuard {
            task,
            ended: self.ended.clone(),
            is_disarmed: false,
        }
    }
}

/// Reports the end of its task when dropped, including on a panic, unless it has been disarmed.
#[derive(Debug)]
pub struct TaskGuard {
    task: CriticalTask,
    ended: mpsc::UnboundedSender<CriticalTask>,
    is_disarmed: bool,
}

impl TaskGuard {
    /// Drops the guard without a report, for a thread that ends because another task has ended.
    pub fn disarm(mut self) {
        self.is_disarmed = true;
    }
}

impl Drop for TaskGuard {
    fn drop(&mut self) {
        if !self.is_disarmed {
            // Fails once the process stops, when there is no monitor any more.
            let _ = self.ended.send(self.task);
        }
    }
}

/// Reports the first critical task that has ended.
#[derive(Debug)]
pub struct TaskMonitor {
    ended: mpsc::UnboundedReceiver<CriticalTask>,
}

impl TaskMonitor {
    /// Waits until a task has ended and returns which one.
    pub async fn ended(&mut self) -> CriticalTask {
        match self.ended.recv().await {
            Some(task) => task,
            None => std::future::pending().await,
        }
    }
}
