//! Hosts controllers on the simulator's wire: one instance each, nothing shared, translation only.

use std::io::{BufReader, BufWriter, Read, Write};
use std::process::ExitCode;

mod host;
mod wire;

/// Largest body accepted, in bytes: far above any real batch, far below memory.
const MAX_BODY: u32 = 1 << 28;

fn run(mut input: impl Read, mut output: impl Write) -> Result<(), String> {
    let mut host = host::Host::default();
    let (mut header, mut body, mut reply) = ([0u8; 16], Vec::new(), Vec::new());
    loop {
        match read_full(&mut input, &mut header)? {
            0 => return Ok(()),
            16 => {}
            n => return Err(format!("input ends inside a frame header, after {n} bytes")),
        }
        let mut fields = wire::Reader::new(&header);
        let (length, now, count) = (fields.u32()?, fields.f64()?, fields.u32()?);
        if length > MAX_BODY {
            return Err(format!("frame of {length} bytes, {MAX_BODY} at most"));
        }
        body.resize(length as usize, 0);
        let got = read_full(&mut input, &mut body)?;
        if got != body.len() {
            return Err(format!("input ends inside a frame, after {got} of {length} bytes"));
        }
        host.batch(now, count, &body, &mut reply)?;
        output
            .write_all(&reply)
            .and_then(|()| output.flush())
            .map_err(|e| format!("writing a reply: {e}"))?;
    }
}

/// Reads until `buffer` is full or the input ends; says how much came.
fn read_full(input: &mut impl Read, buffer: &mut [u8]) -> Result<usize, String> {
    let mut filled = 0;
    while filled < buffer.len() {
        match input.read(&mut buffer[filled..]) {
            Ok(0) => break,
            Ok(n) => filled += n,
            Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
            Err(e) => return Err(format!("reading a frame: {e}")),
        }
    }
    Ok(filled)
}

fn main() -> ExitCode {
    let (input, output) = (std::io::stdin().lock(), std::io::stdout().lock());
    match run(BufReader::with_capacity(1 << 16, input), BufWriter::with_capacity(1 << 16, output)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("corkreach-benchlink: {message}");
            ExitCode::FAILURE
        }
    }
}
