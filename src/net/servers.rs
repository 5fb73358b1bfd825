//! Call servers: the JSON-lines codec and the connections to them.

use super::write_batch::given_up_unwritten;
use super::{HalfMessages, unless_stalled};
use crate::codec::common::{MESSAGE_MAX, NORMAL, RESET, ending, load};
use crate::codec::unreadable::{Unreadable, at_end};
use crate::engine::{Event, FromServer, Lost, ServerConn, ToServer};
use crate::interface::CallId;
use crate::rate_limited_log::{BadInput, RateLimitedLog};
use bytes::{BufMut, BytesMut};
use futures_util::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};
use tokio_util::codec::{Decoder, Encoder, Framed, LinesCodec, LinesCodecError};
use tokio_util::sync::{CancellationToken, DropGuard};

/// Half a line is waited for so long: the calls on that connection wait for answers that will not come.
const HALF_MAX: Duration = Duration::from_millis(240);
/// What is being written when the engine closes the connection has so long to be taken. Within the release guard: the
/// set-ups on the connection count as ended, and may go out elsewhere after it.
const CLOSE_WRITES_FOR: Duration = Duration::from_millis(100);

/// Frames and reads call servers' lines.
pub struct Codec(LinesCodec);

impl Default for Codec {
    fn default() -> Self {
        Codec(LinesCodec::new_with_max_length(MESSAGE_MAX))
    }
}

impl Decoder for Codec {
    type Item = FromServer;
    type Error = io::Error;

    fn decode(&mut self, bytes: &mut BytesMut) -> io::Result<Option<FromServer>> {
        while let Some(line) = self.0.decode(bytes).map_err(lines_error)? {
            if let Some(message) = read(&line)? {
                return Ok(Some(message));
            }
        }
        Ok(None)
    }

    fn decode_eof(&mut self, bytes: &mut BytesMut) -> io::Result<Option<FromServer>> {
        at_end(self.decode(bytes)?, bytes)
    }
}

fn lines_error(error: LinesCodecError) -> io::Error {
    match error {
        LinesCodecError::Io(e) => e,
        LinesCodecError::MaxLineLengthExceeded => {
            Unreadable::Oversized(format!("a line of over {MESSAGE_MAX} bytes")).into()
        }
    }
}

fn json_error(error: serde_json::Error) -> io::Error {
    Unreadable::Malformed(error.to_string()).into()
}

/// Reads a line; what is no JSON object is an error, one of unknown type or without its call is passed over.
fn read(line: &str) -> io::Result<Option<FromServer>> {
    let object: Map<String, Value> = serde_json::from_str(line).map_err(json_error)?;
    let text = |name: &str| object.get(name).and_then(Value::as_str);
    let any = |name: &str| object.get("f").and_then(|f| f.get(name));
    let field = |name: &str| any(name).and_then(Value::as_str);
    // A figure may stand as a number or as text.
    let figure = |name: &str| {
        any(name).and_then(|v| v.as_f64().or_else(|| v.as_str().and_then(|text| text.trim().parse().ok())))
    };
    let call = text("ref").and_then(|id| u64::from_str_radix(id, 16).ok()).map(CallId);
    let report = || field("load").map(load).unwrap_or_default();
    Ok(match (text("t"), call) {
        (Some("up"), Some(call)) => {
            Some(FromServer::Answer { call, description: text("d").map(str::to_owned) })
        }
        (Some("down"), Some(call)) => {
            let cause = object.get("c").and_then(Value::as_u64).unwrap_or(RESET);
            let how = ending(cause, field("note") == Some("nc"), figure("waited"));
            Some(FromServer::Ended { call, how, report: report() })
        }
        (Some("gauge"), _) => Some(FromServer::State(report())),
        (Some("hb_ok"), call) => {
            let passed = object.get("c").and_then(Value::as_u64) == Some(1);
            Some(FromServer::Tested { test: call.unwrap_or_default(), passed, report: report() })
        }
        (Some("wait" | "ack"), _) => Some(FromServer::Sign),
        _ => None,
    })
}

#[derive(Default, Deserialize, Serialize)]
struct Line<'a> {
    t: &'a str,
    #[serde(rename = "ref")]
    call: String,
    f: Fields<'a>,
    #[serde(skip_serializing_if = "Option::is_none")]
    c: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    d: Option<&'a str>,
}

#[derive(Default, Deserialize, Serialize)]
struct Fields<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    class: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    left: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<&'a str>,
}

impl Encoder<&ToServer> for Codec {
    type Error = io::Error;

    fn encode(&mut self, message: &ToServer, bytes: &mut BytesMut) -> io::Result<()> {
        let call = format!("{:016x}", message.call().0);
        let line = match message {
            ToServer::SetUp { class, left_ms, number, description, .. } => {
                let f =
                    Fields { class: Some(class), left: Some(left_ms.to_string()), key: number.as_deref() };
                Line { t: "new", call, f, c: None, d: Some(description) }
            }
            ToServer::Release(_) => Line { t: "down", call, c: Some(NORMAL), ..Line::default() },
            ToServer::Heard(_) => Line { t: "ack", call, ..Line::default() },
            ToServer::Test(_) => Line { t: "hb", call, c: Some(0), ..Line::default() },
        };
        bytes.put_slice(&serde_json::to_vec(&line)?);
        bytes.put_u8(b'\n');
        Ok(())
    }
}

/// A codec of call servers' messages, of any front.
pub trait ServerFront:
    Decoder<Item = FromServer, Error = io::Error> + for<'a> Encoder<&'a ToServer, Error = io::Error>
{
    /// What the protocol itself owes the call server for what was read, to be written at once, in no engine's
    /// words (H.248's replies to a server's own requests); taken out.
    fn replies(&mut self) -> Vec<u8> {
        Vec::new()
    }
}

impl ServerFront for Codec {}

impl ServerFront for crate::codec::h248::servers::ServerCodec {
    fn replies(&mut self) -> Vec<u8> {
        self.take_replies()
    }
}

/// What is to be written, and whether the engine wants to know when it is.
pub type Order = (ToServer, bool);

/// The engine's end of a connection: orders go in. Letting go of it ends the connection at once; see [`Handle::close`].
#[derive(Debug)]
pub struct Handle {
    pub orders: mpsc::Sender<Order>,
    closes: DropGuard,
    abandons: DropGuard,
}

impl Handle {
    /// Closes the connection: nothing more is written, and what the call server says is read until it closes its side or
    /// what is returned is let go of.
    pub fn close(self) -> Closing {
        drop(self.closes);
        Closing { _abandons: self.abandons }
    }
}

/// A connection that was closed from here and is still read. Letting go of it ends that.
#[derive(Debug)]
pub struct Closing {
    _abandons: DropGuard,
}

/// The task's end of a connection's queue.
#[derive(Debug)]
pub struct Orders {
    queue: mpsc::Receiver<Order>,
    /// The engine closed the connection.
    closed: CancellationToken,
    /// The engine wants to hear nothing more of it.
    abandoned: CancellationToken,
}

/// Both ends of a connection's queue.
pub fn queue(length: usize) -> (Handle, Orders) {
    let (orders, queue) = mpsc::channel(length);
    let (closed, abandoned) = (CancellationToken::new(), CancellationToken::new());
    let handle =
        Handle { orders, closes: closed.clone().drop_guard(), abandons: abandoned.clone().drop_guard() };
    (handle, Orders { queue, closed, abandoned })
}

/// Opens a connection and serves it until either side ends it. The task owns the stream; the engine closes it
/// by letting go of the queue's other end.
pub async fn serve<C: ServerFront>(
    codec: C,
    addr: SocketAddr,
    dial_timeout: Duration,
    conn: ServerConn,
    mut orders: Orders,
    events: mpsc::Sender<Event>,
    bad_input: RateLimitedLog,
) {
    let dialled = tokio::select! {
        dialled = timeout(dial_timeout, TcpStream::connect(addr)) => dialled,
        // Opened all the same, it would be told of ends that nobody hears here.
        () = orders.closed.cancelled() => {
            let _ = events.send(Event::ServerLost { conn, how: Lost::Closed }).await;
            return;
        }
    };
    let how = match dialled {
        Ok(Ok(stream)) => {
            if let Err(e) = stream.set_nodelay(true) {
                log::debug!("call server {addr}: {e}");
            }
            if events.send(Event::ServerOpened(conn)).await.is_err() {
                return;
            }
            exchange(Framed::new(stream, codec), conn, &mut orders, &events, &bad_input).await
        }
        Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => Lost::Refused,
        Ok(Err(e)) => {
            log::info!("call server {addr}: {e}");
            Lost::TimedOut
        }
        Err(_) => Lost::TimedOut,
    };
    let _ = events.send(Event::ServerLost { conn, how }).await;
}

async fn exchange<C: ServerFront>(
    mut framed: Framed<TcpStream, C>,
    conn: ServerConn,
    Orders { queue, closed, abandoned }: &mut Orders,
    events: &mpsc::Sender<Event>,
    bad_input: &RateLimitedLog,
) -> Lost {
    let mut halves = HalfMessages::new(HALF_MAX);
    loop {
        let result = tokio::select! {
            order = queue.recv() => {
                let Some(order) = order else { return read_out(framed, conn, events, abandoned).await };
                let mut batch = vec![order];
                while let Ok(order) = queue.try_recv() {
                    batch.push(order);
                }
                tokio::select! {
                    written = write(&mut framed, &batch) => match written {
                        Ok(()) => confirm(batch, conn, events).await,
                        Err(e) => Err(e),
                    },
                    () = closed_for(closed, CLOSE_WRITES_FOR) => {
                        return read_out(framed, conn, events, abandoned).await;
                    }
                }
            }
            () = halves.due() => halves.look(framed.read_buffer()),
            message = framed.next() => match message {
                Some(Ok(message)) => {
                    halves.got_whole();
                    match write_replies(&mut framed).await {
                        Ok(()) => events.send(Event::Server { conn, message }).await.map_err(io::Error::other),
                        Err(e) => Err(e),
                    }
                }
                Some(Err(e)) => Err(e),
                None => return Lost::Closed,
            }
        };
        match result {
            Ok(()) => {}
            Err(e) if e.kind() == io::ErrorKind::ConnectionReset => return Lost::Reset,
            Err(e) => {
                match Unreadable::in_error(&e) {
                    Some(cause) => bad_input.write(
                        BadInput::of_server(cause),
                        format_args!("connection {} to a call server: {e}", conn.0),
                    ),
                    None => log::info!("connection {} to a call server: {e}", conn.0),
                }
                return Lost::Abandoned;
            }
        }
    }
}

/// Waits until the engine has closed the connection, and so long more.
async fn closed_for(closed: &CancellationToken, time: Duration) {
    closed.cancelled().await;
    sleep(time).await;
}

/// Closed from here: what the call server says until it closes its side is still heard, as it may be told nowhere else.
async fn read_out<C: ServerFront>(
    mut framed: Framed<TcpStream, C>,
    conn: ServerConn,
    events: &mpsc::Sender<Event>,
    abandoned: &CancellationToken,
) -> Lost {
    if framed.get_mut().shutdown().await.is_err() {
        return Lost::Reset;
    }
    loop {
        let message = tokio::select! {
            message = framed.next() => message,
            () = abandoned.cancelled() => return Lost::Abandoned,
        };
        match message {
            Some(Ok(message)) => {
                if events.send(Event::Server { conn, message }).await.is_err() {
                    return Lost::Abandoned;
                }
            }
            Some(Err(e)) if Unreadable::in_error(&e) == Some(&Unreadable::Half) => return Lost::Closed,
            Some(Err(e)) if e.kind() == io::ErrorKind::ConnectionReset => return Lost::Reset,
            Some(Err(_)) => return Lost::Abandoned,
            None => return Lost::Closed,
        }
    }
}

async fn write<C: ServerFront>(framed: &mut Framed<TcpStream, C>, batch: &[Order]) -> io::Result<()> {
    let given_up = given_up_unwritten(batch);
    for (place, (message, _)) in batch.iter().enumerate() {
        if !given_up.contains(&place) {
            // A full buffer is written out before the message is added to it.
            unless_stalled(framed.feed(message)).await?;
        }
    }
    unless_stalled(framed.flush()).await
}

/// Writes what the protocol owes the call server for what it said.
async fn write_replies<C: ServerFront>(framed: &mut Framed<TcpStream, C>) -> io::Result<()> {
    let replies = framed.codec_mut().replies();
    if replies.is_empty() {
        return Ok(());
    }
    framed.write_buffer_mut().extend_from_slice(&replies);
    unless_stalled(framed.flush()).await
}

async fn confirm(batch: Vec<Order>, conn: ServerConn, events: &mpsc::Sender<Event>) -> io::Result<()> {
    for (message, wanted) in batch {
        if wanted {
            let written = Event::Written { conn, call: message.call() };
            events.send(written).await.map_err(io::Error::other)?;
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::engine::Ending;

    fn ended(line: &str) -> Ending {
        match read(line).unwrap() {
            Some(FromServer::Ended { how, .. }) => how,
            other => panic!("{other:?}"),
        }
    }

    #[test]
    fn notes_and_told_waits_are_read_as_numbers_or_texts() {
        let full = |lines, waited_ms| Ending::Full { lines, waited_ms };
        let down =
            |fields: &str, cause| ended(&format!(r#"{{"t":"down","ref":"7","f":{fields},"c":{cause}}}"#));
        assert_eq!(down(r#"{"note":"ovl","waited":"900"}"#, 34), full(false, Some(900)));
        assert_eq!(down(r#"{"note":"ovl","waited":900.5}"#, 34), full(false, Some(900)));
        assert_eq!(down(r#"{"note":"ovl","waited":"soon"}"#, 34), full(false, None));
        assert_eq!(down(r#"{"note":"nc"}"#, 34), full(true, None));
        assert_eq!(down(r#"{"note":"busy"}"#, 17), Ending::Error);
    }

    #[test]
    fn a_test_and_its_answer_carry_their_id_and_cause() {
        let mut bytes = BytesMut::new();
        Codec::default().encode(&ToServer::Test(CallId(26)), &mut bytes).unwrap();
        let line: Value = serde_json::from_slice(&bytes).unwrap();
        assert_eq!(line, serde_json::json!({"t": "hb", "ref": "000000000000001a", "f": {}, "c": 0}));
        let answer = |cause, load: &str| {
            let line = format!(r#"{{"t":"hb_ok","ref":"1a","f":{{{load}}},"c":{cause}}}"#);
            match read(&line).unwrap() {
                Some(FromServer::Tested { test: CallId(26), passed, report }) => (passed, report.wait_ms),
                other => panic!("{other:?}"),
            }
        };
        assert_eq!(answer(1, r#""load":"x0:9;x1:9;latency_ms:12""#), (true, Some(12.0)));
        assert_eq!(answer(0, ""), (false, None));
    }
}
