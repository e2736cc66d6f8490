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
pub enum ProcessPart {
    /// The actor around the reducer.
    Reducer,
    /// The thread that writes the log of the control group.
    LogWriter,
    /// The thread that writes the file of claims.
    ClaimsWriter,
}

impl fmt::Display for ProcessPart {
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
pub struct PartRegistry {
    ended: mpsc::UnboundedSender<ProcessPart>,
}

impl PartRegistry {
    /// A registry and where the end of a part is told.
    pub fn new() -> (Self, PartWatch) {
        let (ended, receiver) = mpsc::unbounded_channel();
        (Self { ended }, PartWatch { ended: receiver })
    }

    /// What a part holds for as long as it lives.
    pub fn guard(&self, part: ProcessPart) -> PartGuard {
        PartGuard {
            part,
            ended: self.ended.clone(),
            is_released: false,
        }
    }
}

/// Tells the end of its part when it is dropped, by a panic too, unless it was let go.
#[derive(Debug)]
pub struct PartGuard {
    part: ProcessPart,
    ended: mpsc::UnboundedSender<ProcessPart>,
    is_released: bool,
}

impl PartGuard {
    /// Lets a part end without a word: one that ends with another one, which tells the cause.
    pub fn release(mut self) {
        self.is_released = true;
    }
}

impl Drop for PartGuard {
    fn drop(&mut self) {
        if !self.is_released {
            // Nobody listens once the process stops.
            let _ = self.ended.send(self.part);
        }
    }
}

/// Where the end of a part is told.
#[derive(Debug)]
pub struct PartWatch {
    ended: mpsc::UnboundedReceiver<ProcessPart>,
}

impl PartWatch {
    /// Waits until a part has ended; returns which.
    pub async fn ended(&mut self) -> ProcessPart {
        match self.ended.recv().await {
            Some(part) => part,
            None => std::future::pending().await,
        }
    }
}
