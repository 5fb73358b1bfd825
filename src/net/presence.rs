//! Processes of this program that serve at one address beside each other, as a new version takes over from an old one: each
//! shows its presence to the ones that start later, which notice when it is gone and take up the ends of calls that it could
//! not pass on.
//!
//! A presence is a file that its process keeps locked. Before it is unlocked, the ends are written there, a line each: the
//! call's id and the cause of its release.

use crate::engine::{Release, UndeliveredEnd};
use crate::interface::CallId;
use std::fs::{self, File, TryLockError};
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Predecessors are looked at so often: what they left undone is due within a second.
pub const PREDECESSOR_POLL: Duration = Duration::from_millis(50);

/// A file in `$TMPDIR` that this process keeps locked for as long as call servers may tell it of calls. The system unlocks
/// it with the process, however that ends.
#[derive(Debug)]
pub struct Presence {
    locked: File,
    path: PathBuf,
    /// What the names of all presences at its address begin with.
    prefix: String,
}

/// Words for how a call ended, in a presence's file.
const COMPLETED: &str = "completed";
const CUT: &str = "cut";
/// A presence's file is read up to this, bytes: more ends than a process keeps.
const UNDELIVERED_MAX: u64 = 1 << 20;

/// The processes at the same address that were there before this one.
#[derive(Debug, Default)]
pub struct Predecessors {
    locked_by_them: Vec<File>,
}

/// Shows this process's presence at an address and finds the ones that are there. Without a `$TMPDIR` no process sees
/// another.
pub fn join(at: SocketAddr) -> (Option<Presence>, Predecessors) {
    let Some(folder) = folder() else { return (None, Predecessors::default()) };
    join_in(&folder, at).unwrap_or_else(|e| {
        log::warn!("no predecessor will be noticed: {e}");
        (None, Predecessors::default())
    })
}

/// `$TMPDIR`.
pub(super) fn folder() -> Option<PathBuf> {
    std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty()).map(PathBuf::from)
}

fn join_in(folder: &Path, at: SocketAddr) -> io::Result<(Option<Presence>, Predecessors)> {
    let prefix = format!("corkreach-{}.", at.to_string().replace(':', "-"));
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let own = format!("{}-{}", std::process::id(), since_epoch.as_nanos());
    // It gets its name once it is locked: an unlocked one is taken for a dead process's.
    let unnamed = folder.join(format!("corkreach-starting-{own}"));
    let locked = File::create(&unnamed)?;
    locked.try_lock()?;
    let path = folder.join(format!("{prefix}{own}"));
    fs::rename(&unnamed, &path)?;
    let presence = Presence { locked, path, prefix };
    let predecessors = predecessors(folder, &presence.prefix, &presence.path)?;
    Ok((Some(presence), predecessors))
}

/// The files with this prefix that other processes keep locked; the ones that nobody does are removed.
fn predecessors(folder: &Path, prefix: &str, own: &Path) -> io::Result<Predecessors> {
    let mut locked_by_them = Vec::new();
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        let name = path.file_name().and_then(|name| name.to_str());
        if path == own || !name.is_some_and(|name| name.starts_with(prefix)) {
            continue;
        }
        // It may be gone by now.
        let Ok(file) = File::open(&path) else { continue };
        match file.try_lock() {
            Err(TryLockError::WouldBlock) => locked_by_them.push(file),
            Ok(()) | Err(TryLockError::Error(_)) => {
                let _ = fs::remove_file(&path);
            }
        }
    }
    Ok(Predecessors { locked_by_them })
}

impl Presence {
    /// Leaves these ends to the processes that saw this one, and ends its presence.
    ///
    /// # Errors
    /// The ends can't be written; the presence ends all the same.
    pub fn leave(mut self, undelivered: &[UndeliveredEnd]) -> io::Result<()> {
        self.locked.write_all(lines(undelivered).as_bytes())
    }

    /// Whether another process is present at the address.
    ///
    /// # Errors
    /// The folder can't be read.
    pub fn any_other(&self) -> io::Result<bool> {
        let Some(folder) = self.path.parent() else { return Ok(false) };
        Ok(predecessors(folder, &self.prefix, &self.path)?.any())
    }
}

/// These ends, a line each.
pub(super) fn lines(ends: &[UndeliveredEnd]) -> String {
    let line = |end: &UndeliveredEnd| {
        let how = if end.how == Release::Completed { COMPLETED } else { CUT };
        format!("{:016x} {how}\n", end.call.0)
    };
    ends.iter().map(line).collect()
}

/// The ends in such a file; a line that is no such end is passed over.
pub(super) fn read_undelivered(file: &File) -> Vec<UndeliveredEnd> {
    let mut text = String::new();
    if let Err(e) = file.take(UNDELIVERED_MAX).read_to_string(&mut text) {
        log::warn!("the ends of calls that a predecessor left can't be read: {e}");
    }
    text.lines().filter_map(read_end).collect()
}

fn read_end(line: &str) -> Option<UndeliveredEnd> {
    let (call, how) = line.split_once(' ')?;
    let how = match how {
        COMPLETED => Release::Completed,
        CUT => Release::Cut,
        _ => return None,
    };
    Some(UndeliveredEnd { call: CallId(u64::from_str_radix(call, 16).ok()?), how })
}

impl Drop for Presence {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.path);
    }
}

impl Predecessors {
    /// Whether any is left.
    pub fn any(&self) -> bool {
        !self.locked_by_them.is_empty()
    }

    /// For each that has gone since this was last asked, the ends of calls that it left.
    pub fn take_gone(&mut self) -> Vec<Vec<UndeliveredEnd>> {
        let is_gone = |file: &mut File| !matches!(file.try_lock(), Err(TryLockError::WouldBlock));
        self.locked_by_them.extract_if(.., is_gone).map(|file| read_undelivered(&file)).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_predecessor_is_noticed_until_it_is_gone() {
        let folder = std::env::temp_dir().join(format!("corkreach-presence-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        let at = "127.0.0.1:3868".parse().unwrap();
        let (first, mut none) = join_in(&folder, at).unwrap();
        assert!(!none.any());
        let (_second, mut predecessors) = join_in(&folder, at).unwrap();
        let (_elsewhere, others) = join_in(&folder, "127.0.0.1:386".parse().unwrap()).unwrap();
        assert!(predecessors.any() && !others.any());
        assert!(predecessors.take_gone().is_empty() && none.take_gone().is_empty());
        let ends = [
            UndeliveredEnd { call: CallId(7), how: Release::Completed },
            UndeliveredEnd { call: CallId(u64::MAX), how: Release::Cut },
        ];
        first.unwrap().leave(&ends).unwrap();
        assert_eq!((predecessors.take_gone(), predecessors.any()), (vec![ends.to_vec()], false));
        fs::remove_dir_all(&folder).unwrap();
    }
}
