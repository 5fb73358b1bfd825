//! The program's logger: one line an entry on standard error.

use log::{LevelFilter, Log, Metadata, Record};
use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

struct Lines {
    name: String,
}

impl Log for Lines {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.level() <= log::max_level()
    }

    fn log(&self, record: &Record) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let (s, ms, level) = (at.as_secs(), at.subsec_millis(), record.level());
        // A log that can't be written is no reason to stop serving.
        let _ = writeln!(std::io::stderr().lock(), "{s}.{ms:03} {} {level} {}", self.name, record.args());
    }

    fn flush(&self) {}
}

/// Starts logging at this level, with the instance's name in each line.
pub fn start(name: &str, level: LevelFilter) -> Result<(), String> {
    log::set_boxed_logger(Box::new(Lines { name: name.to_owned() })).map_err(|e| format!("logger: {e}"))?;
    log::set_max_level(level);
    Ok(())
}
