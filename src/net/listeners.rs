//! Listening sockets, and what two processes of this program at one address need of each other.

use std::fs::{File, TryLockError};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::{future, io};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Connections that may wait to be taken up: a crowd comes at once.
const BACKLOG: u32 = 1024;

/// Listens with SO_REUSEPORT: a new version starts beside the one that runs, at the same address.
pub fn bind(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(at)?;
    socket.listen(BACKLOG)
}

/// The next connection; none ever where the listener was let go.
pub async fn accept(listener: Option<&TcpListener>) -> io::Result<(TcpStream, SocketAddr)> {
    match listener {
        Some(listener) => listener.accept().await,
        None => future::pending().await,
    }
}

/// Lets a listener go, with all that it was given: a connection still in its queue would be reset with it.
pub fn last_of(listener: TcpListener) -> Vec<TcpStream> {
    let Ok(listener) = listener.into_std() else { return Vec::new() };
    let last = std::iter::from_fn(|| listener.accept().ok());
    let last = last.filter_map(|(stream, _)| {
        stream.set_nonblocking(true).ok()?;
        TcpStream::from_std(stream).ok()
    });
    last.collect()
}

/// A file in `$TMPDIR` on which each process that serves at an address holds a shared lock: whoever is told to stop
/// sees by it whether another serves there. The system gives the lock back with the process, however it ends.
pub struct Heirs(Option<File>);

impl Heirs {
    pub fn join(at: SocketAddr) -> Heirs {
        let folder = std::env::var_os("TMPDIR").filter(|v| !v.is_empty());
        let open = |folder: PathBuf| {
            let path = folder.join(format!("corkreach-{}", at.to_string().replace(':', "-")));
            let file = File::options().read(true).write(true).create(true).truncate(false).open(path)?;
            file.try_lock_shared()?;
            Ok::<_, io::Error>(file)
        };
        Heirs(folder.and_then(|folder| {
            let complain = |e: &io::Error| log::warn!("no successor will be noticed: {e}");
            open(folder.into()).inspect_err(complain).ok()
        }))
    }

    /// Another process holds its lock. To be asked only by one that stops: it gives up its own.
    pub fn any_other(&self) -> bool {
        self.0.as_ref().is_some_and(|file| match file.try_lock() {
            Err(TryLockError::WouldBlock) => true,
            // Nobody there now; whoever starts while this process ends is to find the file free.
            Ok(()) => {
                let _ = file.unlock();
                false
            }
            Err(TryLockError::Error(_)) => false,
        })
    }
}
