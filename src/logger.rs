//! The program's logger: one line an entry on standard error.

use crate::version::Version;
use log::kv::{Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};
use std::fmt::Write as _;
use std::io::Write as _;
use std::sync::{PoisonError, RwLock};
use std::time::{SystemTime, UNIX_EPOCH};

/// The id of the version that decisions are taken on.
static VERSION: RwLock<String> = RwLock::new(String::new());

/// From now on entries that tell of a decision (target `decision`) name this version.
pub fn act_on(version: &Version) {
    *VERSION.write().unwrap_or_else(PoisonError::into_inner) = version.id();
}

struct Lines {
    name: String,
}

/// An entry's fields, each as ` key=value` at the end of its line.
struct Fields(String);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let _ = write!(self.0, " {key}={value}");
        Ok(())
    }
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
        let mut fields = Fields(String::new());
        // Writing to a text does not fail.
        let _ = record.key_values().visit(&mut fields);
        if record.target() == "decision" {
            let version = VERSION.read().unwrap_or_else(PoisonError::into_inner);
            let _ = write!(fields.0, " version={version}");
        }
        // A log that can't be written is no reason to stop serving.
        let (name, said) = (&self.name, record.args());
        let _ = writeln!(std::io::stderr().lock(), "{s}.{ms:03} {name} {level} {said}{}", fields.0);
    }

    fn flush(&self) {}
}

/// Starts logging at this level, with the instance's name in each line.
pub fn start(name: &str, level: LevelFilter) -> Result<(), String> {
    log::set_boxed_logger(Box::new(Lines { name: name.to_owned() })).map_err(|e| format!("logger: {e}"))?;
    log::set_max_level(level);
    Ok(())
}
