//! Callers: the binary codec and their connections.

use super::{HalfMessages, unless_stalled};
use crate::clock::Clock;
use crate::codec::common::{MESSAGE_MAX, bounded, extras};
use crate::codec::h248::callers::CallerCodec;
use crate::codec::unreadable::{Unreadable, at_end};
use crate::engine::{CallerConn, Event, Fault, FromCaller, Release, SetUp, ToCaller};
use crate::interface::CallId;
use crate::rate_limited_log::{BadInput, RateLimitedLog};
use bytes::{Buf, BufMut, BytesMut};
use futures_util::{FutureExt, SinkExt, StreamExt};
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::yield_now;
use tokio::time::timeout;
use tokio_util::codec::{Decoder, Encoder, Framed};

const SET_UP: u8 = 1;
const ANSWER: u8 = 9;
const PROGRESS: u8 = 6;
const RELEASE: u8 = 12;
const HEARD: u8 = 16;
const TEST: u8 = 52;
const TESTED: u8 = 53;

const CLASS: u8 = 129;
const WAIT: u8 = 130;
const RETRY: u8 = 132;
const NUMBER: u8 = 133;
const EXTRAS: u8 = 134;
const STAY_AWAY: u8 = 135;
const CAUSE: u8 = 143;
const DESCRIPTION: u8 = 144;

/// Causes of Q.850.
const NORMAL: u8 = 16;
const TEMPORARY_FAILURE: u8 = 41;
const CONGESTION: u8 = 42;
const MISSING_ELEMENT: u8 = 96;
const UNKNOWN_TYPE: u8 = 97;
const INVALID_ELEMENT: u8 = 100;

/// Type and call id, which the length counts.
const HEAD: usize = 9;
/// Half a message is waited for so long: some callers write one over two seconds.
const HALF_MAX: Duration = Duration::from_millis(2300);

/// Frames and reads callers' messages.
pub struct Codec;

impl Decoder for Codec {
    type Item = FromCaller;
    type Error = io::Error;

    fn decode(&mut self, bytes: &mut BytesMut) -> io::Result<Option<FromCaller>> {
        while bytes.len() >= 2 {
            let length = usize::from(u16::from_be_bytes([bytes[0], bytes[1]]));
            // Nothing that follows such a length can be told apart: the connection is of no more use.
            if !(HEAD..=MESSAGE_MAX).contains(&length) {
                let text = format!("a message of {length} bytes");
                let oversized = length > MESSAGE_MAX;
                let cause = if oversized { Unreadable::Oversized(text) } else { Unreadable::Malformed(text) };
                return Err(cause.into());
            }
            if bytes.len() < 2 + length {
                bytes.reserve(2 + length - bytes.len());
                return Ok(None);
            }
            bytes.advance(2);
            if let Some(message) = read(&bytes.split_to(length)) {
                return Ok(Some(message));
            }
        }
        Ok(None)
    }

    fn decode_eof(&mut self, bytes: &mut BytesMut) -> io::Result<Option<FromCaller>> {
        at_end(self.decode(bytes)?, bytes)
    }
}

/// Reads a message; one that means nothing is passed over.
fn read(message: &[u8]) -> Option<FromCaller> {
    let (head, parameters) = message.split_at_checked(HEAD)?;
    let call = CallId(u64::from_be_bytes(head[1..].try_into().ok()?));
    match head[0] {
        SET_UP => Some(match set_up(call, parameters) {
            Ok(set_up) => FromCaller::SetUp(set_up),
            Err(fault) => FromCaller::Unreadable { call, fault },
        }),
        RELEASE => Some(FromCaller::Release(call)),
        HEARD => Some(FromCaller::Heard(call)),
        TEST => Some(FromCaller::Test(call)),
        PROGRESS => None,
        _ => Some(FromCaller::Unreadable { call, fault: Fault::Unknown }),
    }
}

fn set_up(call: CallId, mut parameters: &[u8]) -> Result<SetUp, Fault> {
    let (mut class, mut wait, mut description) = (None, None, None);
    // All calls without an id would be one; a call server closes the connection on it.
    if call == CallId(0) {
        return Err(Fault::Missing);
    }
    let mut set_up = SetUp { call, width: 1, ..SetUp::default() };
    while !parameters.is_empty() {
        let (code, value, rest) = parameter(parameters).ok_or(Fault::Invalid)?;
        parameters = rest;
        let text = || std::str::from_utf8(value).map_err(|_| Fault::Invalid);
        match code {
            CLASS => class = Some(text()?),
            WAIT => wait = Some(text()?),
            RETRY => set_up.redial = text()? == "1",
            NUMBER => set_up.number = Some(text()?).filter(|n| !n.is_empty()).map(str::to_owned),
            EXTRAS => (set_up.first_choice, set_up.width) = extras(text()?).ok_or(Fault::Invalid)?,
            DESCRIPTION => description = Some(text()?).filter(|d| !d.is_empty()),
            _ => {}
        }
    }
    set_up.class = class.ok_or(Fault::Missing)?.to_owned();
    set_up.description = description.ok_or(Fault::Missing)?.to_owned();
    let wait: f64 = wait.ok_or(Fault::Missing)?.trim().parse().map_err(|_| Fault::Invalid)?;
    set_up.wait_ms = Some(wait).filter(|w| w.is_finite() && *w >= 0.0).ok_or(Fault::Invalid)?;
    bounded(&set_up)?;
    Ok(set_up)
}

/// Code and value of the first parameter, and what follows it.
fn parameter(bytes: &[u8]) -> Option<(u8, &[u8], &[u8])> {
    let (head, rest) = bytes.split_at_checked(3)?;
    let (value, rest) = rest.split_at_checked(usize::from(u16::from_be_bytes([head[1], head[2]])))?;
    Some((head[0], value, rest))
}

impl Encoder<ToCaller> for Codec {
    type Error = io::Error;

    fn encode(&mut self, message: ToCaller, bytes: &mut BytesMut) -> io::Result<()> {
        let mut parameters = BytesMut::new();
        let mut put = |code: u8, value: &[u8]| -> io::Result<()> {
            let length = u16::try_from(value.len()).map_err(|_| io::ErrorKind::InvalidInput)?;
            parameters.put_u8(code);
            parameters.put_u16(length);
            parameters.put_slice(value);
            Ok(())
        };
        let (kind, call) = match message {
            ToCaller::Answer { call, description } => {
                put(DESCRIPTION, description.as_bytes())?;
                (ANSWER, call)
            }
            ToCaller::Refused { call, stay_away_ms } => {
                put(CAUSE, &[CONGESTION])?;
                if stay_away_ms >= 1.0 {
                    put(STAY_AWAY, (stay_away_ms as u64).to_string().as_bytes())?;
                }
                (RELEASE, call)
            }
            ToCaller::Failed(call) => {
                put(CAUSE, &[TEMPORARY_FAILURE])?;
                (RELEASE, call)
            }
            ToCaller::Unreadable { call, fault } => {
                let cause = match fault {
                    Fault::Missing => MISSING_ELEMENT,
                    Fault::Invalid => INVALID_ELEMENT,
                    Fault::Unknown => UNKNOWN_TYPE,
                };
                put(CAUSE, &[cause])?;
                (RELEASE, call)
            }
            ToCaller::Released { call, how } => {
                put(CAUSE, &[if how == Release::Completed { NORMAL } else { TEMPORARY_FAILURE }])?;
                (RELEASE, call)
            }
            ToCaller::Heard(call) => (HEARD, call),
            ToCaller::Progress(call) => (PROGRESS, call),
            ToCaller::Tested { call, passed } => {
                put(CAUSE, &[u8::from(passed)])?;
                (TESTED, call)
            }
        };
        let length = HEAD + parameters.len();
        if length > MESSAGE_MAX {
            return Err(io::ErrorKind::InvalidInput.into());
        }
        bytes.reserve(2 + length);
        bytes.put_u16(length as u16);
        bytes.put_u8(kind);
        bytes.put_u64(call.0);
        bytes.put_slice(&parameters);
        Ok(())
    }
}

/// A codec of callers' messages, of any front.
pub trait CallerFront:
    Decoder<Item = FromCaller, Error = io::Error> + Encoder<ToCaller, Error = io::Error>
{
    /// What is written before the connection is closed for an error in what the caller sent, if anything.
    fn farewell(&self, _error: &io::Error) -> Option<Vec<u8>> {
        None
    }
}

impl CallerFront for Codec {}

impl CallerFront for crate::codec::h248::callers::CallerCodec {
    fn farewell(&self, error: &io::Error) -> Option<Vec<u8>> {
        Some(CallerCodec::farewell(self, error))
    }
}

/// A last word to a faulty caller is given so long to be written.
const LAST_WORD: Duration = Duration::from_millis(200);

/// Writes a last word and reads what still comes, so that the close is no reset that would lose the word.
async fn last_word(stream: &mut TcpStream, last: &[u8]) -> io::Result<()> {
    stream.write_all(last).await?;
    stream.shutdown().await?;
    let mut rest = [0; 4096];
    while stream.read(&mut rest).await? > 0 {}
    Ok(())
}

/// What the engine wants of a caller's connection; without further orders it is closed.
#[derive(Debug)]
pub enum Order {
    Write(ToCaller),
    CloseIfIdle(IdleCheck),
}

/// When a connection counts as idle, as in [`crate::engine::Effect::CloseIdleCaller`].
#[derive(Clone, Copy, Debug)]
pub struct IdleCheck {
    pub heard: u64,
    pub keep_partial: bool,
}

/// Whether a connection goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Connection {
    GoesOn,
    Ends,
}

/// Serves one connection until either side ends it. The task owns the stream; the engine closes it by letting
/// go of the queue's other end, or by an order that leaves it open if something has come in.
pub async fn serve<C: CallerFront>(
    stream: TcpStream,
    codec: C,
    conn: CallerConn,
    mut queue: mpsc::Receiver<Order>,
    events: mpsc::Sender<Event>,
    clock: Clock,
    bad_input: RateLimitedLog,
) {
    let framed = Framed::new(stream, codec);
    let halves = HalfMessages::new(HALF_MAX);
    let mut link = CallerLink {
        framed,
        conn,
        events,
        clock,
        bad_input,
        halves,
        reading: true,
        passed_on: 0,
        shut_early: false,
    };
    let mut unsent = Vec::new();
    loop {
        let next = tokio::select! {
            order = queue.recv() => {
                let Some(order) = order else {
                    link.log_half_if_any();
                    break;
                };
                let (batch, check) = take_orders(order, &mut queue);
                if let Err(e) = write(&mut link.framed, &batch).await {
                    log::debug!("caller {}: {e}", conn.0);
                    unsent = batch;
                    break;
                }
                match check {
                    Some(check) => link.close_if_idle(check).await,
                    None => Connection::GoesOn,
                }
            }
            () = link.halves.due(), if link.reading => link.look_at_halves().await,
            message = link.framed.next(), if link.reading => link.pass_on(message).await,
        };
        if next == Connection::Ends {
            break;
        }
    }
    queue.close();
    while let Ok(order) = queue.try_recv() {
        if let Order::Write(message) = order {
            unsent.push(message);
        }
    }
    link.end(unsent).await;
}

/// This order and those that wait behind it: what is to be written, and whether the connection is to be closed after it.
fn take_orders(first: Order, queue: &mut mpsc::Receiver<Order>) -> (Vec<ToCaller>, Option<IdleCheck>) {
    let (mut batch, mut check) = (Vec::new(), None);
    let mut next = Some(first);
    while let Some(order) = next {
        match order {
            Order::Write(message) => batch.push(message),
            Order::CloseIfIdle(wanted) => check = Some(wanted),
        }
        next = queue.try_recv().ok();
    }
    (batch, check)
}

/// A caller's connection, as its task holds it.
struct CallerLink<C> {
    framed: Framed<TcpStream, C>,
    conn: CallerConn,
    events: mpsc::Sender<Event>,
    clock: Clock,
    bad_input: RateLimitedLog,
    halves: HalfMessages,
    /// The caller has not shut its side.
    reading: bool,
    /// Messages that the engine hears, or will.
    passed_on: u64,
    /// The engine knows that the caller had shut its side before the last of its messages were read.
    shut_early: bool,
}

impl<C: CallerFront> CallerLink<C> {
    /// Hands on what was read.
    async fn pass_on(&mut self, message: Option<io::Result<FromCaller>>) -> Connection {
        self.halves.got_whole();
        let conn = self.conn;
        let event = match message {
            Some(Ok(message)) => {
                if matches!(message, FromCaller::SetUp(_)) && !self.shut_early && self.has_shut() {
                    self.shut_early = true;
                    if self.events.send(Event::CallerShutEarly(conn)).await.is_err() {
                        return Connection::Ends;
                    }
                }
                self.passed_on += 1;
                Event::Caller { conn, read_at: self.clock.read_at(), message }
            }
            Some(Err(e)) if Unreadable::in_error(&e) == Some(&Unreadable::Half) => {
                self.log_error(&e);
                if let Some(last) = self.framed.codec().farewell(&e) {
                    let _ = timeout(LAST_WORD, self.framed.get_mut().write_all(&last)).await;
                }
                // Its set-ups are answered before the connection is closed.
                self.reading = false;
                Event::CallerEof(conn)
            }
            Some(Err(e)) => {
                self.log_error(&e);
                if let Some(last) = self.framed.codec().farewell(&e) {
                    let _ = timeout(LAST_WORD, last_word(self.framed.get_mut(), &last)).await;
                }
                return Connection::Ends;
            }
            None => {
                self.reading = false;
                Event::CallerEof(conn)
            }
        };
        match self.events.send(event).await {
            Ok(()) => Connection::GoesOn,
            Err(_) => Connection::Ends,
        }
    }

    /// Whether the system knows that the caller has shut its side, though there is more to read.
    fn has_shut(&self) -> bool {
        let ready = self.framed.get_ref().ready(Interest::READABLE).now_or_never();
        ready.is_some_and(|ready| ready.is_ok_and(|ready| ready.is_read_closed()))
    }

    /// Bad input gets a line of the rate-limited log; how a connection failed is of no interest to operators.
    fn log_error(&self, error: &io::Error) {
        match Unreadable::in_error(error) {
            Some(cause) => {
                let details = format_args!("caller {}: {error}", self.conn.0);
                self.bad_input.write(BadInput::of_caller(cause), details);
            }
            None => log::debug!("caller {}: {error}", self.conn.0),
        }
    }

    /// The connection is closed from here, maybe in the middle of a message.
    fn log_half_if_any(&self) {
        if self.halves.any() {
            self.log_error(&Unreadable::Half.into());
        }
    }

    /// Half a message that goes no further: the engine closes the connection once no set-up is open on it.
    async fn look_at_halves(&mut self) -> Connection {
        let Err(e) = self.halves.look(self.framed.read_buffer()) else { return Connection::GoesOn };
        self.log_error(&e);
        match self.events.send(Event::CallerStalled(self.conn)).await {
            Ok(()) => Connection::GoesOn,
            Err(_) => Connection::Ends,
        }
    }

    /// The engine takes the connection for idle. It is, unless a message is on its way there or has come in unread.
    async fn close_if_idle(&mut self, check: IdleCheck) -> Connection {
        if check.heard != self.passed_on {
            return Connection::GoesOn;
        }
        if !self.reading {
            return Connection::Ends;
        }
        // One turn of the reactor, which does not know yet what came in while the program stood still.
        yield_now().await;
        match self.framed.next().now_or_never() {
            Some(message) => self.pass_on(message).await,
            None if check.keep_partial && !self.framed.read_buffer().is_empty() => Connection::GoesOn,
            None => {
                self.log_half_if_any();
                Connection::Ends
            }
        }
    }

    /// Closes the connection, then says so.
    async fn end(self, unsent: Vec<ToCaller>) {
        let CallerLink { framed, conn, events, .. } = self;
        drop(framed);
        let _ = events.send(Event::CallerClosed { conn, unsent }).await;
    }
}

async fn write<C: CallerFront>(framed: &mut Framed<TcpStream, C>, batch: &[ToCaller]) -> io::Result<()> {
    for message in batch {
        // A full buffer is written out before the message is added to it.
        unless_stalled(framed.feed(message.clone())).await?;
    }
    unless_stalled(framed.flush()).await
}
