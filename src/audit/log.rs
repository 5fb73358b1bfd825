//! The files of an audit log. Each entry is a frame: its length (4 bytes, big-endian; `LengthDelimitedCodec`), then the
//! CRC-32 of its text and the text, JSON. A process begins a new file at each start, so that what a kill left torn at
//! the end of one is never written on. All of a step's entries go out in one write to the system before anything that
//! they tell of is done: a killed process leaves a record of every answer that it gave.

use super::record::{Entry, Record};
use super::settings::AuditSettings;
use crate::version::Version;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// No entry is longer, bytes.
const ENTRY_MAX: usize = 64 * 1024;
/// Bytes of the checksum.
const SUM: usize = 4;

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().length_field_length(4).max_frame_length(ENTRY_MAX + SUM).new_codec()
}

/// Writes one process's log.
#[derive(Debug)]
pub struct Writer {
    settings: AuditSettings,
    file: File,
    written: u64,
    /// Unix millisecond of the start and the file's number since.
    started_ms: u64,
    number: u32,
    /// The version entry that each file begins with.
    version: Entry,
    codec: LengthDelimitedCodec,
    /// Entries yet to be written.
    waiting: BytesMut,
    /// Entries that could not be written.
    lost: u64,
}

impl Writer {
    /// A new file for a process that starts at `now_ms` (Unix) and acts on this version.
    ///
    /// # Errors
    /// The folder or the file can't be made.
    pub fn start(
        settings: AuditSettings,
        now_ms: u64,
        name: &str,
        version: &Version,
        list: u32,
    ) -> std::io::Result<Writer> {
        std::fs::create_dir_all(&settings.folder)?;
        let version = Entry::Version { at_ms: now_ms, name: name.to_owned(), list, version: version.clone() };
        let mut writer = Writer {
            file: open(&settings.folder, now_ms, 0)?,
            settings,
            written: 0,
            started_ms: now_ms,
            number: 0,
            version,
            codec: codec(),
            waiting: BytesMut::new(),
            lost: 0,
        };
        writer.add(&writer.version.clone());
        writer.flush()?;
        writer.remove_oldest();
        Ok(writer)
    }

    /// From now on decisions are taken on this version and list.
    pub fn version(&mut self, now_ms: u64, name: &str, version: &Version, list: u32) {
        self.version =
            Entry::Version { at_ms: now_ms, name: name.to_owned(), list, version: version.clone() };
        self.add(&self.version.clone());
    }

    /// A decision, to be written with the next [`Writer::flush`].
    pub fn record(&mut self, record: Record) {
        self.add(&Entry::Decision(record));
    }

    fn add(&mut self, entry: &Entry) {
        let framed = serde_json::to_vec(entry).map_err(std::io::Error::from).and_then(|text| {
            let mut frame = BytesMut::with_capacity(SUM + text.len());
            frame.put_u32(crc32fast::hash(&text));
            frame.put_slice(&text);
            self.codec.encode(Bytes::from(frame), &mut self.waiting)
        });
        if let Err(e) = framed {
            self.lost += 1;
            log::error!("an audit entry can't be framed: {e}");
        }
    }

    /// Whether anything waits to be written.
    #[must_use]
    pub fn waits(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Entries that could not be written.
    #[must_use]
    pub fn lost(&self) -> u64 {
        self.lost
    }

    /// Hands what waits to the system in one write, and begins the next file if this one is full.
    ///
    /// # Errors
    /// It can't be written; what waited is dropped and counted as lost, and a new file is begun with the next write, as
    /// the end of this one may be torn.
    pub fn flush(&mut self) -> std::io::Result<()> {
        if self.waiting.is_empty() {
            return Ok(());
        }
        let waiting = self.waiting.split();
        let done = self.file.write_all(&waiting).and_then(|()| match self.settings.sync {
            true => self.file.sync_data(),
            false => Ok(()),
        });
        self.written += waiting.len() as u64;
        if done.is_err() {
            self.lost += 1;
        }
        if done.is_err() || self.written >= self.settings.file_mb * 1024 * 1024 {
            self.next_file()?;
        }
        done
    }

    fn next_file(&mut self) -> std::io::Result<()> {
        self.number += 1;
        self.file = open(&self.settings.folder, self.started_ms, self.number)?;
        self.written = 0;
        // It stands at the head of the new file, and goes out with the next write.
        let rest = self.waiting.split();
        self.add(&self.version.clone());
        self.waiting.unsplit(rest);
        self.remove_oldest();
        Ok(())
    }

    fn remove_oldest(&self) {
        let Ok(files) = files(&self.settings.folder) else { return };
        for old in files.iter().take(files.len().saturating_sub(self.settings.keep)) {
            if let Err(e) = std::fs::remove_file(old) {
                log::warn!("audit file {}: {e}", old.display());
            }
        }
    }
}

fn open(folder: &Path, started_ms: u64, number: u32) -> std::io::Result<File> {
    let path = folder.join(format!("audit-{started_ms:014}-{number:06}.log"));
    OpenOptions::new().create_new(true).append(true).open(path)
}

/// The files of a folder, oldest first.
fn files(folder: &Path) -> std::io::Result<Vec<PathBuf>> {
    let mut files: Vec<PathBuf> = std::fs::read_dir(folder)?
        .filter_map(|entry| entry.ok().map(|e| e.path()))
        .filter(|path| {
            let name = path.file_name().and_then(|n| n.to_str()).unwrap_or_default();
            name.starts_with("audit-") && name.ends_with(".log")
        })
        .collect();
    files.sort();
    Ok(files)
}

/// What a file holds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Read {
    /// Its whole entries, in their order.
    pub entries: Vec<Entry>,
    /// Bytes at its end that are no whole entry: torn by a kill.
    pub torn: usize,
    /// An entry in its middle whose checksum is wrong, with the place of its first byte: what follows is not read.
    pub damaged_at: Option<usize>,
}

/// Reads a file up to its last whole entry. An entry that is cut short or fails its checksum is never taken for one.
///
/// # Errors
/// The file can't be read.
pub fn read(path: &Path) -> std::io::Result<Read> {
    let whole = std::fs::read(path)?;
    let mut bytes = BytesMut::from(&whole[..]);
    let (mut codec, mut got) = (codec(), Read::default());
    loop {
        let at = whole.len() - bytes.len();
        let mut frame = match codec.decode(&mut bytes) {
            Ok(Some(frame)) => frame,
            Ok(None) => {
                got.torn = whole.len() - at;
                return Ok(got);
            }
            // A length that no entry has: what is there was never written whole.
            Err(_) => {
                got.damaged_at = Some(at);
                return Ok(got);
            }
        };
        let sum = (frame.len() >= SUM).then(|| frame.get_u32());
        let entry = sum
            .filter(|&sum| sum == crc32fast::hash(&frame))
            .and_then(|_| serde_json::from_slice(&frame).ok());
        match entry {
            Some(entry) => got.entries.push(entry),
            None if bytes.is_empty() => {
                got.torn = whole.len() - at;
                return Ok(got);
            }
            None => {
                got.damaged_at = Some(at);
                return Ok(got);
            }
        }
    }
}

/// Reads all files of a folder, oldest first.
///
/// # Errors
/// The folder or a file can't be read.
pub fn read_folder(folder: &Path) -> std::io::Result<Vec<(PathBuf, Read)>> {
    files(folder)?.into_iter().map(|path| read(&path).map(|got| (path, got))).collect()
}

#[cfg(test)]
mod tests {
    use super::super::record::Decision;
    use super::*;

    fn writer(folder: &Path, file_mb: u64, keep: usize) -> Writer {
        let settings = AuditSettings { folder: folder.to_owned(), file_mb, keep, sync: false };
        Writer::start(settings, 1000, "n0", &Version::default(), 1).unwrap()
    }

    fn refused(call: u64) -> Record {
        Record { at_ms: 5, call, decision: Decision::Refused { stay_away_ms: 200 } }
    }

    fn decisions(read: &Read) -> Vec<u64> {
        let call = |e: &Entry| match e {
            Entry::Decision(r) => Some(r.call),
            Entry::Version { .. } => None,
        };
        read.entries.iter().filter_map(call).collect()
    }

    #[test]
    fn what_was_written_is_read_and_a_torn_end_is_dropped_wherever_it_is_cut() {
        let folder = tempfile::tempdir().unwrap();
        let mut log = writer(folder.path(), 1, 4);
        for call in 0..20 {
            log.record(refused(call));
            log.flush().unwrap();
        }
        let [(path, whole)] = &read_folder(folder.path()).unwrap()[..] else { panic!("one file") };
        assert_eq!(decisions(whole), (0..20).collect::<Vec<_>>());
        assert!(matches!(whole.entries[0], Entry::Version { .. }));
        let bytes = std::fs::read(path).unwrap();
        // Where the last entry begins, found by cutting a byte off it.
        let cut = tempfile::NamedTempFile::new().unwrap();
        std::fs::write(cut.path(), &bytes[..bytes.len() - 1]).unwrap();
        let last = bytes.len() - 1 - read(cut.path()).unwrap().torn;
        for end in last + 1..bytes.len() {
            let cut = tempfile::NamedTempFile::new().unwrap();
            std::fs::write(cut.path(), &bytes[..end]).unwrap();
            let got = read(cut.path()).unwrap();
            assert_eq!(decisions(&got), (0..19).collect::<Vec<_>>(), "cut at {end}");
            assert_eq!((got.torn, got.damaged_at), (end - last, None), "cut at {end}");
        }
    }

    #[test]
    fn a_changed_byte_is_never_misread() {
        let folder = tempfile::tempdir().unwrap();
        let mut log = writer(folder.path(), 1, 4);
        (0..10).for_each(|call| log.record(refused(call)));
        log.flush().unwrap();
        let (path, whole) = read_folder(folder.path()).unwrap().remove(0);
        let bytes = std::fs::read(&path).unwrap();
        for i in 0..bytes.len() {
            let mut spoilt = bytes.clone();
            spoilt[i] ^= 0x10;
            let file = tempfile::NamedTempFile::new().unwrap();
            std::fs::write(file.path(), &spoilt).unwrap();
            let got = read(file.path()).unwrap();
            assert!(got.entries.len() < whole.entries.len(), "byte {i}");
            assert_eq!(got.entries[..], whole.entries[..got.entries.len()], "byte {i}");
            assert!(got.torn > 0 || got.damaged_at.is_some(), "byte {i}");
        }
    }

    #[test]
    fn a_full_file_is_followed_by_the_next_and_the_oldest_go() {
        let folder = tempfile::tempdir().unwrap();
        let mut log = writer(folder.path(), 1, 3);
        for call in 0..60_000 {
            log.record(refused(call));
            if call % 100 == 99 {
                log.flush().unwrap();
            }
        }
        let files = read_folder(folder.path()).unwrap();
        assert_eq!(files.len(), 3);
        for (path, read) in &files[..2] {
            assert!(matches!(read.entries[0], Entry::Version { .. }), "{}", path.display());
            assert_eq!((read.torn, read.damaged_at), (0, None));
        }
        let last = files.iter().flat_map(|(_, read)| decisions(read)).next_back();
        assert_eq!(last, Some(59_999));
    }

    #[test]
    fn a_second_start_leaves_what_the_first_tore_alone() {
        let folder = tempfile::tempdir().unwrap();
        let mut log = writer(folder.path(), 1, 4);
        log.record(refused(1));
        log.flush().unwrap();
        let first = files(folder.path()).unwrap().remove(0);
        let bytes = std::fs::read(&first).unwrap();
        std::fs::write(&first, &bytes[..bytes.len() - 3]).unwrap();
        let settings = AuditSettings { folder: folder.path().into(), file_mb: 1, keep: 4, sync: false };
        let mut again = Writer::start(settings, 2000, "n0", &Version::default(), 1).unwrap();
        again.record(refused(2));
        again.flush().unwrap();
        let read = read_folder(folder.path()).unwrap();
        assert_eq!(read.len(), 2);
        assert!(read[0].1.torn > 0 && decisions(&read[0].1).is_empty());
        assert_eq!(decisions(&read[1].1), vec![2]);
    }
}
