//! Cost of the audit record per decision: nanoseconds and bytes, framed and written to a file, with one decision to a
//! write (the least busy case) and with ten; and of reading it back.
//!
//!     cargo bench --bench audit [-- DECISIONS]
//!
//! DECISIONS decisions (200,000 by default) of the kinds that an answered call has. The file lies in the system's folder
//! for temporary files.

use corkreach::audit::{AuditSettings, Decision, Record, Writer, read_folder};
use corkreach::version::Version;
use std::time::Instant;

fn decision(i: u64) -> Record {
    let decision = match i % 4 {
        0 => Decision::Admitted { class: "verdict-set".into() },
        1 => Decision::Routed { server: "s-00c41f7a".into() },
        2 => Decision::Answered { server: "s-00c41f7a".into() },
        _ => Decision::Released,
    };
    Record { at_ms: 1_796_000_000_000 + i, call: 0x9d41_c07a_5be2_f318 ^ i, decision }
}

/// Nanoseconds and bytes a decision with so many to a write, and nanoseconds to read one.
fn written(n: u64, to_a_write: u64) -> std::io::Result<(f64, f64, f64)> {
    let folder = tempfile::tempdir()?;
    let settings = AuditSettings { folder: folder.path().into(), file_mb: 1024, keep: 4, sync: false };
    let mut log = Writer::start(settings, 1, "n0", &Version::default(), 1)?;
    let since = Instant::now();
    for i in 0..n {
        log.record(decision(i));
        if i % to_a_write == to_a_write - 1 {
            log.flush()?;
        }
    }
    log.flush()?;
    let nanos = since.elapsed().as_nanos() as f64 / n as f64;
    let since = Instant::now();
    let files = read_folder(folder.path())?;
    let read = since.elapsed().as_nanos() as f64 / n as f64;
    let bytes: u64 = files.iter().map(|(path, _)| std::fs::metadata(path).map_or(0, |m| m.len())).sum();
    let entries: usize = files.iter().map(|(_, read)| read.entries.len()).sum();
    assert_eq!(entries as u64, n + 1, "every decision and the version are read back");
    Ok((nanos, bytes as f64 / n as f64, read))
}

fn main() -> std::io::Result<()> {
    let n = std::env::args().skip(1).find_map(|a| a.parse().ok()).unwrap_or(200_000);
    println!("{n} decisions");
    println!("{:<28} {:>8} {:>8} {:>9}", "", "ns", "bytes", "ns read");
    for to_a_write in [1, 10] {
        let (nanos, bytes, read) = written(n, to_a_write)?;
        println!("{:<28} {nanos:>8.0} {bytes:>8.1} {read:>9.0}", format!("{to_a_write} to a write"));
    }
    Ok(())
}
