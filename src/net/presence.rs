//! Processes of this program that serve at one address beside each other, as a new version takes over from an old one: each
//! shows its presence to the ones that start later, which notice when it is gone.

use std::fs::{self, File, TryLockError};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Predecessors are looked at so often: what they left undone is due within a second.
pub const PREDECESSOR_POLL: Duration = Duration::from_millis(50);

/// A file in `$TMPDIR` that this process keeps locked for as long as call servers may tell it of calls. The system unlocks
/// it with the process, however that ends.
#[derive(Debug)]
pub struct Presence {
    _locked: File,
    path: PathBuf,
}

/// The processes at the same address that were there before this one.
#[derive(Debug, Default)]
pub struct Predecessors {
    locked_by_them: Vec<File>,
}

/// Shows this process's presence at an address and finds the ones that are there. Without a `$TMPDIR` no process sees
/// another.
pub fn join(at: SocketAddr) -> (Option<Presence>, Predecessors) {
    let Some(folder) = std::env::var_os("TMPDIR").filter(|v| !v.is_empty()).map(PathBuf::from) else {
        return (None, Predecessors::default());
    };
    join_in(&folder, at).unwrap_or_else(|e| {
        log::warn!("no predecessor will be noticed: {e}");
        (None, Predecessors::default())
    })
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
    let presence = Presence { _locked: locked, path };
    let predecessors = predecessors(folder, &prefix, &presence.path)?;
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

    /// How many have gone since this was last asked.
    pub fn take_gone(&mut self) -> usize {
        let before = self.locked_by_them.len();
        self.locked_by_them.retain(|file| matches!(file.try_lock(), Err(TryLockError::WouldBlock)));
        before - self.locked_by_them.len()
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
        assert_eq!((predecessors.take_gone(), none.take_gone()), (0, 0));
        drop(first);
        assert_eq!((predecessors.take_gone(), predecessors.any()), (1, false));
        fs::remove_dir_all(&folder).unwrap();
    }
}
