//! The record of a case: what was sent, answered and run, with times since the start.

use std::{
    fs,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<fs::File>>,
    started_at: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> Self {
        let file = fs::File::create(folder.join("record.txt")).expect("a record");
        Self {
            file: Arc::new(Mutex::new(file)),
            started_at: Instant::now(),
        }
    }

    /// Time since the start of the case.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    pub fn line(&self, text: &str) {
        let now = self.now().as_secs_f64();
        let mut file = self.file.lock().expect("no holder panics");
        let _ = writeln!(file, "{now:8.3} {text}");
    }
}
