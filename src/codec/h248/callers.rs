//! Text callers: their transactions as the engine's messages, and its answers as replies and requests.
//!
//! | caller sends | engine hears | engine says | caller gets |
//! | --- | --- | --- | --- |
//! | `T=t{C=call{A=class{O{cork/wait=..}}}}` | `SetUp` | `Answer`, `Refused`, `Failed`, `Unreadable` | `P=t{C=call{A=class{..}}}` or `P=t{C=call{ER=code{".."}}}` |
//! | `T=t{C=call{S=..}}` | `Release` | `Heard` | `P=t{C=call{S=..}}` |
//! | `T=t{C=call{AV=ROOT}}` | `Test` | `Tested` | `P=t{C=call{AV=ROOT}}` or an `ER` |
//! | `P=t{C=call{S=..}}` | `Heard` | `Released` | (before) `T=own{C=call{S=class{SA{cork/cause=16}}}}` |
//!
//! A request whose transaction id is still open is a repeat (H.248.1 §8.2.3): it is not taken up again, so the
//! engine sees one set-up and the caller gets one reply.

use super::frame::Framer;
use super::tree::{Item, Token};
use super::{Open, context, header, next, quote, syntax, unquote};
use crate::codec::common::{MESSAGE_MAX, bounded, extras as read_extras};
use crate::codec::unreadable::at_end;
use crate::engine::{Fault, FromCaller, Release, SetUp, ToCaller};
use crate::interface::CallId;
use bytes::{BufMut, BytesMut};
use std::io;
use tokio_util::codec::{Decoder, Encoder};

/// Error codes of H.248.8 as replies give them.
pub const CONGESTION: u16 = 503;
pub const TEMPORARY_FAILURE: u16 = 500;
pub const MISSING: u16 = 442;
pub const INVALID: u16 = 449;
pub const UNKNOWN: u16 = 443;
pub const SYNTAX: u16 = 400;

/// What a reply to a caller's request needs.
#[derive(Debug, Clone)]
struct Asked {
    transaction: u32,
    termination: String,
}

/// The codec of one text caller's connection; it keeps the transactions that wait for their replies.
#[derive(Debug)]
pub struct CallerCodec {
    framer: Framer,
    mid: String,
    set_ups: Open<CallId, Asked>,
    releases: Open<CallId, Asked>,
    tests: Open<CallId, Asked>,
    /// Requests of the caller that wait for a reply, by transaction id.
    open: Open<u32, CallId>,
    /// Id of the next transaction of ours.
    own: u32,
    /// Terminations of calls that stand, for the release of ours.
    standing: Open<CallId, String>,
}

impl CallerCodec {
    /// `mid`: the mId this program writes in its headers, as `<corkreach>`.
    pub fn new(mid: &str) -> Self {
        CallerCodec {
            framer: Framer::new(MESSAGE_MAX),
            mid: mid.to_owned(),
            set_ups: Open::default(),
            releases: Open::default(),
            tests: Open::default(),
            open: Open::default(),
            own: 0,
            standing: Open::default(),
        }
    }

    /// What a caller is told before its connection is closed for `error`.
    pub fn farewell(&self, error: &io::Error) -> Vec<u8> {
        let mut out = String::new();
        header(&self.mid, &mut out);
        let text = quote(&error.to_string());
        out.push_str(&format!("Error = {SYNTAX} {{{text}}}\n"));
        out.into_bytes()
    }

    /// Transactions that wait for their replies.
    pub fn waiting(&self) -> usize {
        self.open.len()
    }

    fn read(&mut self, item: &Item) -> io::Result<Option<FromCaller>> {
        let transaction: Option<u32> = item.value.and_then(|v| v.parse().ok());
        match item.token() {
            Token::Pending | Token::ResponseAck => return Ok(None),
            Token::Error => {
                return Err(syntax(format!("the caller says error {}", item.value.unwrap_or_default())));
            }
            Token::Reply => {
                let heard = item.children.iter().filter(|c| c.token() == Token::Context);
                return Ok(heard
                    .filter_map(|c| context(c.value))
                    .next()
                    .map(|id| FromCaller::Heard(CallId(id))));
            }
            Token::Transaction => {}
            _ => return Err(syntax(format!("no request nor reply: {}", item.name))),
        }
        let transaction = transaction.ok_or_else(|| syntax("a transaction without its id"))?;
        let action = item.child(Token::Context).ok_or_else(|| syntax("a transaction without a context"))?;
        let call = CallId(context(action.value).ok_or_else(|| syntax("a context id that names no call"))?);
        let Some(command) = action.children.first() else {
            return Err(syntax("a context without a command"));
        };
        if self.open.get(&transaction).is_some() {
            log::debug!("transaction {transaction} repeated while it is open");
            return Ok(None);
        }
        let asked = Asked { transaction, termination: command.value.unwrap_or("-").to_owned() };
        let message = match command.token() {
            Token::Add => {
                self.set_ups.insert(call, asked)?;
                match set_up(call, command) {
                    Ok(set_up) => FromCaller::SetUp(set_up),
                    Err(fault) => FromCaller::Unreadable { call, fault },
                }
            }
            Token::Subtract => {
                self.releases.insert(call, asked)?;
                FromCaller::Release(call)
            }
            Token::AuditValue => {
                self.tests.insert(call, asked)?;
                FromCaller::Test(call)
            }
            _ => {
                self.set_ups.insert(call, asked)?;
                FromCaller::Unreadable { call, fault: Fault::Unknown }
            }
        };
        self.open.insert(transaction, call)?;
        Ok(Some(message))
    }

    fn reply(&mut self, asked: Option<Asked>, call: CallId, body: &str, out: &mut String) {
        let Some(asked) = asked else {
            return log::debug!("no open transaction to answer for call {}", call.0);
        };
        self.open.take(&asked.transaction);
        let body = body.replace("$term", &asked.termination);
        out.push_str(&format!("Reply = {} {{Context = {} {{{body}}}}}\n", asked.transaction, call.0));
    }
}

/// A set-up out of an `Add`: its termination id is the class; its fields are properties of `cork`.
fn set_up(call: CallId, command: &Item) -> Result<SetUp, Fault> {
    if call == CallId(0) {
        return Err(Fault::Missing);
    }
    let class = command.value.filter(|c| !matches!(*c, "" | "$" | "*" | "-")).ok_or(Fault::Missing)?;
    let property = |name: &str| command.property(name);
    let mut set_up = SetUp { call, width: 1, class: class.to_owned(), ..SetUp::default() };
    let wait: f64 = property("cork/wait").ok_or(Fault::Missing)?.parse().map_err(|_| Fault::Invalid)?;
    set_up.wait_ms = Some(wait).filter(|w| w.is_finite() && *w >= 0.0).ok_or(Fault::Invalid)?;
    set_up.redial = property("cork/redial") == Some("1");
    let description = property("cork/desc").ok_or(Fault::Missing)?;
    set_up.description = unquote(description).filter(|d| !d.is_empty()).ok_or(Fault::Invalid)?;
    set_up.number = property("cork/number").filter(|n| !n.is_empty()).map(str::to_owned);
    if let Some(extras) = property("cork/extras") {
        let extras = unquote(extras).ok_or(Fault::Invalid)?;
        (set_up.first_choice, set_up.width) = read_extras(&extras).ok_or(Fault::Invalid)?;
    }
    bounded(&set_up)?;
    Ok(set_up)
}

impl Decoder for CallerCodec {
    type Item = FromCaller;
    type Error = io::Error;

    fn decode(&mut self, bytes: &mut BytesMut) -> io::Result<Option<FromCaller>> {
        let mut framer = std::mem::take(&mut self.framer);
        let message = next(&mut framer, bytes, |item| self.read(item));
        self.framer = framer;
        message
    }

    fn decode_eof(&mut self, bytes: &mut BytesMut) -> io::Result<Option<FromCaller>> {
        at_end(self.decode(bytes)?, bytes)
    }
}

fn error(code: u16, text: &str) -> String {
    format!("Error = {code} {{{}}}", quote(text))
}

impl Encoder<ToCaller> for CallerCodec {
    type Error = io::Error;

    fn encode(&mut self, message: ToCaller, bytes: &mut BytesMut) -> io::Result<()> {
        let mut out = String::new();
        header(&self.mid.clone(), &mut out);
        match message {
            ToCaller::Answer { call, description } => {
                let asked = self.set_ups.take(&call);
                if let Some(asked) = &asked {
                    self.standing.insert(call, asked.termination.clone())?;
                }
                let body =
                    format!("Add = $term {{Media {{LocalControl {{cork/desc = {}}}}}}}", quote(&description));
                self.reply(asked, call, &body, &mut out);
            }
            ToCaller::Refused { call, stay_away_ms } => {
                let asked = self.set_ups.take(&call);
                let text = if stay_away_ms >= 1.0 {
                    format!("congestion; stay_away_ms={}", stay_away_ms as u64)
                } else {
                    "congestion".to_owned()
                };
                self.reply(asked, call, &error(CONGESTION, &text), &mut out);
            }
            ToCaller::Failed(call) => {
                let asked = self.set_ups.take(&call);
                self.reply(asked, call, &error(TEMPORARY_FAILURE, "temporary failure"), &mut out);
            }
            ToCaller::Unreadable { call, fault } => {
                let (code, text) = match fault {
                    Fault::Missing => (MISSING, "a field is missing"),
                    Fault::Invalid => (INVALID, "a field is invalid"),
                    Fault::Unknown => (UNKNOWN, "unknown command"),
                };
                let asked = self.set_ups.take(&call).or_else(|| self.releases.take(&call));
                self.reply(asked, call, &error(code, text), &mut out);
            }
            ToCaller::Released { call, how } => {
                self.own = self.own.wrapping_add(1);
                let cause = if how == Release::Completed { 16 } else { 41 };
                let term = self.standing.take(&call).unwrap_or_else(|| "-".to_owned());
                out.push_str(&format!(
                    "Transaction = {} {{Context = {} {{Subtract = {term} {{Statistics {{cork/cause = {cause}}}}}}}}}\n",
                    self.own, call.0
                ));
            }
            ToCaller::Progress(call) => {
                if let Some(asked) = self.set_ups.get(&call) {
                    out.push_str(&format!("Pending = {} {{}}\n", asked.transaction));
                }
            }
            ToCaller::Heard(call) => {
                self.standing.take(&call);
                let asked = self.releases.take(&call);
                self.reply(asked, call, "Subtract = $term", &mut out);
            }
            ToCaller::Tested { call, passed } => {
                let asked = self.tests.take(&call);
                let body =
                    if passed { "AuditValue = ROOT".to_owned() } else { error(CONGESTION, "not ready") };
                self.reply(asked, call, &body, &mut out);
            }
        }
        if out.lines().count() > 1 {
            bytes.put_slice(out.as_bytes());
        }
        Ok(())
    }
}
