//! `corkreach audit`: what an audit log says.

use argh::FromArgs;
use corkreach::audit::{self, Entry, Read, Record};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// Read an audit log: its decisions, one a line, and what they add up to.
#[derive(FromArgs)]
#[argh(subcommand, name = "audit")]
pub struct Audit {
    /// the log's folder
    #[argh(positional)]
    folder: PathBuf,
    /// print each entry as JSON
    #[argh(switch)]
    json: bool,
    /// print the sums alone
    #[argh(switch)]
    sums: bool,
}

impl Audit {
    /// Prints the log's entries and sums; a damaged file is an error, once all is printed.
    pub fn run(self) -> Result<(), String> {
        let folder = self.folder.display();
        let files = audit::read_folder(&self.folder).map_err(|e| format!("{folder}: {e}"))?;
        let mut sums = Sums::default();
        for (path, read) in &files {
            self.print_entries(&read.entries, &mut sums)?;
            complain(path, read);
        }
        if !self.json {
            sums.print();
        }
        let damaged = files.iter().filter(|(_, read)| read.damaged_at.is_some()).count();
        if damaged > 0 { Err(format!("{damaged} of {} files are damaged", files.len())) } else { Ok(()) }
    }

    /// Prints the entries of one file, as far as they are asked for, and adds them up.
    fn print_entries(&self, entries: &[Entry], sums: &mut Sums) -> Result<(), String> {
        let mut version = String::new();
        for entry in entries {
            match entry {
                Entry::Version { version: now, .. } => version = now.id(),
                Entry::Decision(record) => sums.add(record),
            }
            if self.json {
                println!("{}", serde_json::to_string(entry).map_err(|e| e.to_string())?);
            } else if let (false, Entry::Decision(record)) = (self.sums, entry) {
                println!("{} {:016x} version={version} {:?}", record.at_ms, record.call, record.decision);
            }
        }
        Ok(())
    }
}

/// How many decisions there are of each name, and how many of all were final.
#[derive(Default)]
struct Sums {
    by_name: BTreeMap<&'static str, u64>,
    finals: u64,
}

impl Sums {
    fn add(&mut self, record: &Record) {
        *self.by_name.entry(record.decision.name()).or_default() += 1;
        self.finals += u64::from(record.decision.is_final());
    }

    fn print(&self) {
        for (name, count) in &self.by_name {
            println!("{name:<12} {count}");
        }
        println!("{:<12} {}", "final", self.finals);
    }
}

/// Says on standard error what of a file could not be read.
fn complain(path: &Path, read: &Read) {
    if read.torn > 0 {
        eprintln!("{}: {} bytes torn at its end are left out", path.display(), read.torn);
    }
    if let Some(at) = read.damaged_at {
        eprintln!("{}: damaged at byte {at}; what follows is not read", path.display());
    }
}
