//! Signals that arrive while the program starts. Its configuration's file is a FIFO: a test knows that the program has
//! begun to read it, and decides when the program gets something to read.

use crate::rig::*;
use crate::stand;
use std::fs::File;
use std::io::{Read, Write};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::mpsc;

/// Starts the program with these call servers known, and returns once it waits for the text of its configuration: what
/// is written into the FIFO.
fn start_on_a_fifo(servers: &[&Server]) -> (Program, Names, File) {
    let make_fifo = |path: &Path, _config: &str| {
        assert!(Command::new("mkfifo").arg(path).status().unwrap().success());
    };
    let listed: Vec<Listed> = servers.iter().map(|server| server.listed.clone()).collect();
    let text = servers.iter().any(|server| server.text);
    let (program, names) = launch_on(&listed, text, Start::default(), make_fifo);
    let fifo = open_once_it_is_read(program.config_path());
    (program, names, fifo)
}

/// Opens a FIFO for writing: the system returns from that only once another process opens it for reading.
fn open_once_it_is_read(fifo: PathBuf) -> File {
    let (sender, opened) = mpsc::channel();
    std::thread::spawn(move || sender.send(File::options().write(true).open(fifo)));
    opened.recv_timeout(PATIENCE).expect("the program does not open its configuration").unwrap()
}

/// Whoever changes the configuration tells all instances at once, also those that have just been started: such a one
/// starts on what it read, then reads the configuration again.
#[test]
fn a_hangup_while_the_program_starts_is_acted_on_once_it_serves() {
    let server = Server::start("s-a", 0);
    let (mut program, _names, mut fifo) = start_on_a_fifo(&[&server]);
    let new = Names::start();
    new.state.lock().unwrap().list = vec![server.listed.clone()];
    program.reload(&program.file_with(&new));
    fifo.write_all(program.file().as_bytes()).expect("a program that still reads its configuration");
    drop(fifo);
    program.wait_until_it_listens(false);
    let mut link = server.accept();
    let mut caller = program.ready_caller();
    new.wait_until_told();
    stand(&mut caller, &mut link, 7);
}

/// Nothing has been taken from any caller yet, so there is nothing to answer: the program ends at once, whether or not
/// its configuration can ever be read, and has not listened.
#[test]
fn a_stop_while_the_program_starts_ends_it_at_once() {
    for signal in ["-TERM", "-INT"] {
        let (mut program, _names, _fifo) = start_on_a_fifo(&[]);
        program.signal(signal);
        let status = program.wait();
        assert!(status.success(), "{signal}: {status}");
        let mut said = String::new();
        program.child.stderr.take().unwrap().read_to_string(&mut said).unwrap();
        assert_eq!(said, "", "{signal}");
    }
}
