//! The parts that a process cannot do without.
//!
//! A reducer that has panicked decides nothing any more, and a thread that has ended keeps nothing,
//! while listeners still take connections and peers see a member that answers its links. So the end
//! of one part is the end of the process: whoever started it starts it anew, with what its disk
//! keeps, which is what every other loss of a process comes to as well.

use std::fmt;

use tokio::sync::mpsc;

/// A part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CriticalTask {
    /// The actor around the reducer.
    Reducer,
    /// The thread that writes the log of the control group.
    LogWriter,
    /// The thread that writes the file of claims.
    ClaimsWriter,
}

impl fmt::Display for CriticalTask {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Reducer => "the reducer",
            Self::LogWriter => "the writer of the log",
            Self::ClaimsWriter => "the writer of claims",
        })
    }
}

/// Hands out a guard to each part.
#[derive(Debug, Clone)]
pub struct TaskRegistry {
    ended: mpsc::UnboundedSender<CriticalTask>,
}

impl TaskRegistry {
    /// A registry and where the end of a part is told.
    pub fn new() -> (Self, TaskMonitor) {
        let (ended, receiver) = mpsc::unbounded_channel();
        (Self { ended }, TaskMonitor { ended: receiver })
    }

    /// What a part holds for as long as it lives.
    pub fn guard(&self, part: CriticalTask) -> TaskGuard {
        TaskGuard {
            part,
            ended: self.ended.clone(),
            is_disarmed: false,
        }
    }
}

/// Tells the end of its part when it is dropped, by a panic too, unless it was let go.
#[derive(Debug)]
pub struct TaskGuard {
    part: CriticalTask,
    ended: mpsc::UnboundedSender<CriticalTask>,
    is_disarmed: bool,
}

impl TaskGuard {
    /// Lets a part end without a word: one that ends with another one, which tells the cause.
    pub fn disarm(mut self) {
        self.is_disarmed = true;
    }
}

impl Drop for TaskGuard {
    fn drop(&mut self) {
        if !self.is_disarmed {
            // Nobody listens once the process stops.
            let _ = self.ended.send(self.part);
        }
    }
}

/// Where the end of a part is told.
#[derive(Debug)]
pub struct TaskMonitor {
    ended: mpsc::UnboundedReceiver<CriticalTask>,
}

impl TaskMonitor {
    /// Waits until a part has ended; returns which.
    pub async fn ended(&mut self) -> CriticalTask {
        match self.ended.recv().await {
            Some(part) => part,
            None => std::future::pending().await,
        }
    }
}
