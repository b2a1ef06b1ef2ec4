//! The record of a run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    pub start: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> Record {
        let file = File::create(folder.join("record.txt"));
        let file = file.expect("the folder of the case can be written to");
        Record { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    /// Writes a line with the time since the start.
    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: &str) {
        let seconds = (at - self.start).as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:8.3} {text}");
    }
}
