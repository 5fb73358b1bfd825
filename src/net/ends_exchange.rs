//! Ends of calls that processes of this program at one address pass on to each other.
//!
//! While a new version serves beside an old one, the callers of a process may all be connected to the other. An end that finds
//! no caller here is put into a folder in `$TMPDIR`, a file for each lot of ends, and taken from there by the process that has
//! callers. Whoever can rename a file has taken it, so each end is told by one process.

use super::presence::{self, Presence};
use crate::engine::UndeliveredEnd;
use std::fs::{self, File};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Callers wait no longer for the end of a call: what nobody took by then is removed.
const KEPT_FOR: Duration = Duration::from_secs(30);
/// Names of files that are not whole yet, or are taken, end in this.
const IN_WORK: &str = ".part";

/// This process's side of the exchange.
#[derive(Debug)]
pub struct EndsExchange {
    folder: PathBuf,
    /// What the names of this process's own files begin with.
    own: String,
    passed_on: u64,
}

/// Ends that were taken from the exchange.
#[derive(Debug, PartialEq, Eq)]
pub struct TakenEnds {
    /// This process had put them there.
    pub own: bool,
    pub ends: Vec<UndeliveredEnd>,
}

impl EndsExchange {
    /// The exchange of the processes at this address; none without a `$TMPDIR`.
    pub fn join(at: SocketAddr) -> Option<EndsExchange> {
        Some(EndsExchange::join_in(presence::folder()?, at))
    }

    fn join_in(folder: PathBuf, at: SocketAddr) -> EndsExchange {
        let folder = folder.join(format!("corkreach-ends-{}", at.to_string().replace(':', "-")));
        EndsExchange { folder, own: format!("{}-", std::process::id()), passed_on: 0 }
    }

    /// Puts these ends where another process at the address takes them. False: there is no other.
    ///
    /// # Errors
    /// The folder or the file can't be written.
    pub fn pass_on(&mut self, presence: &Presence, ends: &[UndeliveredEnd]) -> io::Result<bool> {
        if !presence.any_other()? {
            return Ok(false);
        }
        self.put(ends)?;
        Ok(true)
    }

    fn put(&mut self, ends: &[UndeliveredEnd]) -> io::Result<()> {
        fs::create_dir_all(&self.folder)?;
        self.passed_on += 1;
        let path = self.folder.join(format!("{}{}", self.own, self.passed_on));
        let part = path.with_extension(&IN_WORK[1..]);
        fs::write(&part, presence::lines(ends))?;
        fs::rename(part, path)
    }

    /// Takes what lies there.
    pub fn take(&self) -> Vec<TakenEnds> {
        // Mostly there is no such folder.
        let Ok(entries) = fs::read_dir(&self.folder) else { return Vec::new() };
        let names = entries.flatten().filter_map(|entry| entry.file_name().into_string().ok());
        names.filter(|name| !name.ends_with(IN_WORK)).filter_map(|name| self.take_file(&name)).collect()
    }

    fn take_file(&self, name: &str) -> Option<TakenEnds> {
        let taken = self.folder.join(format!("{name}.{}{IN_WORK}", std::process::id()));
        fs::rename(self.folder.join(name), &taken).ok()?;
        let file = File::open(&taken).ok()?;
        let age = file.metadata().and_then(|m| m.modified()).ok().and_then(|at| at.elapsed().ok());
        let ends = presence::read_undelivered(&file);
        let _ = fs::remove_file(&taken);
        let timely = age.is_none_or(|age| age < KEPT_FOR);
        timely.then(|| TakenEnds { own: name.starts_with(&self.own), ends })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::engine::Release;
    use crate::interface::CallId;

    #[test]
    fn ends_are_taken_once_and_known_by_who_put_them_there() {
        let folder = std::env::temp_dir().join(format!("corkreach-exchange-{}", std::process::id()));
        let at = "127.0.0.1:3868".parse().unwrap();
        let mut exchange = EndsExchange::join_in(folder.clone(), at);
        assert_eq!(exchange.take(), []);
        let ends = vec![UndeliveredEnd { call: CallId(7), how: Release::Completed }];
        exchange.put(&ends).unwrap();
        let other = EndsExchange { own: "other-".to_owned(), ..EndsExchange::join_in(folder.clone(), at) };
        assert_eq!(other.take(), [TakenEnds { own: false, ends: ends.clone() }]);
        assert_eq!(exchange.take(), []);
        exchange.put(&ends).unwrap();
        assert_eq!(exchange.take(), [TakenEnds { own: true, ends }]);
        fs::remove_dir_all(folder).unwrap();
    }
}
