//! Text call servers: the engine's orders as transactions, and what the server says as the engine's messages.
//!
//! | engine says | server gets | server sends | engine hears |
//! | --- | --- | --- | --- |
//! | `SetUp` | `T=t{C=call{A=class{O{cork/left=..,cork/desc=".."}}}}` | `PN=t{}` | `Sign` |
//! | | | `P=t{C=call{A=class{O{cork/desc=".."}}}}` | `Answer` |
//! | | | `P=t{C=call{ER=code{".."}}}` | `Ended` (510 full, 432 no line, 503 not sent, else error) |
//! | | | `T=s{C=call{S=class{SA{cork/cause=16,cork/load=".."}}}}` | `Ended` by its Q.850 cause |
//! | `Heard` | `P=s{C=call{S=class}}` | | |
//! | `Release` | `T=t{C=call{S=class}}` | `P=t{C=call{S=..}}` | `Sign` |
//! | `Test` | `T=t{C=-{AV=ROOT}}` | `P=t{C=-{AV=ROOT{SA{cork/load=".."}}}}`, or an `ER` | `Tested`, passed or not |
//! | | | `T=s{C=-{N=ROOT{OE=0{cork/gauge{cork/load=".."}}}}}` | `State` |
//!
//! Load reports travel in `cork/load` as the JSON-lines servers write them (`x0:12;x1:40;queue:3`).

use super::frame::Framer;
use super::tree::{Item, Token};
use super::{Open, context, header, next, quote, syntax, unquote};
use crate::codec::common::{MESSAGE_MAX, ending, load};
use crate::codec::unreadable::at_end;
use crate::engine::{Ending, FromServer, ToServer};
use crate::interface::{CallId, LoadReport};
use bytes::{BufMut, BytesMut};
use std::io;
use tokio_util::codec::{Decoder, Encoder};

/// Error codes of H.248.8 that a text server gives a set-up.
pub const INSUFFICIENT_RESOURCES: u16 = 510;
pub const NO_TERMINATION: u16 = 432;
pub const UNAVAILABLE: u16 = 503;

/// The codec of one connection to a text call server.
#[derive(Debug)]
pub struct ServerCodec {
    framer: Framer,
    mid: String,
    own: u32,
    /// Our set-ups by transaction, for replies that name no context.
    set_ups: Open<u32, CallId>,
    /// Our tests by transaction.
    tests: Open<u32, CallId>,
    /// The server's releases that wait for our reply, by call.
    releases: Open<CallId, (u32, String)>,
    /// Classes of calls on their way or standing, for our releases.
    classes: Open<CallId, String>,
    /// Replies owed to the server's own requests (`Notify`, and those that mean nothing here), to be written.
    replies: String,
}

impl ServerCodec {
    pub fn new(mid: &str) -> Self {
        ServerCodec {
            framer: Framer::new(MESSAGE_MAX),
            mid: mid.to_owned(),
            own: 0,
            set_ups: Open::default(),
            tests: Open::default(),
            releases: Open::default(),
            classes: Open::default(),
            replies: String::new(),
        }
    }

    /// The replies owed so far, each a message of its own; taken out.
    pub fn take_replies(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.replies).into_bytes()
    }

    /// H.248.1 §8.2.2: every request gets its reply, or the server sends it again.
    fn owe(&mut self, transaction: u32, command: &Item) {
        if self.replies.len() < MESSAGE_MAX {
            header(&self.mid, &mut self.replies);
            let (name, term) = (command.name, command.value.unwrap_or("-"));
            self.replies.push_str(&format!("Reply = {transaction} {{Context = - {{{name} = {term}}}}}\n"));
        }
    }

    fn read(&mut self, item: &Item) -> io::Result<Option<FromServer>> {
        let transaction: Option<u32> = item.value.and_then(|v| v.parse().ok());
        let action = item.child(Token::Context);
        let call = action.and_then(|a| context(a.value)).map(CallId);
        let command = action.and_then(|a| a.children.first());
        Ok(match item.token() {
            Token::Pending | Token::ResponseAck => Some(FromServer::Sign),
            Token::Reply => {
                if let Some(test) = transaction.and_then(|t| self.tests.take(&t)) {
                    let passed = command.filter(|c| c.token() == Token::AuditValue);
                    let load_of = |c: &Item| c.property("cork/load").and_then(unquote).map(|l| load(&l));
                    let report = passed.and_then(load_of).unwrap_or_default();
                    return Ok(Some(FromServer::Tested { test, passed: passed.is_some(), report }));
                }
                let ours = transaction.and_then(|t| self.set_ups.take(&t));
                let Some(call) = call.or(ours) else { return Ok(Some(FromServer::Sign)) };
                match command.or_else(|| item.child(Token::Error)) {
                    Some(c) if c.token() == Token::Add => {
                        let description = c.property("cork/desc").and_then(unquote);
                        Some(FromServer::Answer { call, description })
                    }
                    Some(c) if c.token() == Token::Error => {
                        self.classes.take(&call);
                        let how = match c.value.and_then(|v| v.parse().ok()) {
                            Some(INSUFFICIENT_RESOURCES) => Ending::Full { lines: false, waited_ms: None },
                            Some(NO_TERMINATION) => Ending::Full { lines: true, waited_ms: None },
                            Some(UNAVAILABLE) => Ending::NotSent,
                            _ => Ending::Error,
                        };
                        Some(FromServer::Ended { call, how, report: LoadReport::default() })
                    }
                    _ => Some(FromServer::Sign),
                }
            }
            Token::Transaction => {
                let transaction = transaction.ok_or_else(|| syntax("a transaction without its id"))?;
                let command = command.ok_or_else(|| syntax("a transaction without a command"))?;
                let report =
                    || command.property("cork/load").and_then(unquote).map(|l| load(&l)).unwrap_or_default();
                match (command.token(), call) {
                    (Token::Subtract, Some(call)) => {
                        let cause = command.property("cork/cause").and_then(|c| c.parse().ok()).unwrap_or(41);
                        let lines = command.property("cork/note") == Some("nc");
                        let waited_ms = command.property("cork/waited").and_then(|ms| ms.parse().ok());
                        let class = self.classes.take(&call).unwrap_or_else(|| "-".to_owned());
                        self.releases.insert(call, (transaction, class))?;
                        Some(FromServer::Ended {
                            call,
                            how: ending(cause, lines, waited_ms),
                            report: report(),
                        })
                    }
                    (Token::Notify, _) => {
                        self.owe(transaction, command);
                        Some(FromServer::State(report()))
                    }
                    // It means nothing here but that the server is there; the reply it is owed goes out with that.
                    _ => {
                        self.owe(transaction, command);
                        Some(FromServer::Sign)
                    }
                }
            }
            Token::Error => {
                return Err(syntax(format!("the server says error {}", item.value.unwrap_or(""))));
            }
            _ => return Err(syntax(format!("no request nor reply: {}", item.name))),
        })
    }
}

impl Decoder for ServerCodec {
    type Item = FromServer;
    type Error = io::Error;

    fn decode(&mut self, bytes: &mut BytesMut) -> io::Result<Option<FromServer>> {
        let mut framer = std::mem::take(&mut self.framer);
        let message = next(&mut framer, bytes, |item| self.read(item));
        self.framer = framer;
        message
    }

    fn decode_eof(&mut self, bytes: &mut BytesMut) -> io::Result<Option<FromServer>> {
        at_end(self.decode(bytes)?, bytes)
    }
}

impl Encoder<&ToServer> for ServerCodec {
    type Error = io::Error;

    fn encode(&mut self, message: &ToServer, bytes: &mut BytesMut) -> io::Result<()> {
        let mut out = String::new();
        header(&self.mid, &mut out);
        match message {
            ToServer::SetUp { call, class, left_ms, number, description } => {
                self.own = self.own.wrapping_add(1);
                self.set_ups.insert(self.own, *call)?;
                self.classes.insert(*call, class.clone())?;
                let number = number.as_deref().map(|n| format!(", cork/number = {n}")).unwrap_or_default();
                out.push_str(&format!(
                    "Transaction = {} {{Context = {} {{Add = {class} {{Media {{LocalControl {{cork/left = {left_ms}{number}, cork/desc = {}}}}}}}}}}}\n",
                    self.own,
                    call.0,
                    quote(description)
                ));
            }
            ToServer::Release(call) => {
                self.own = self.own.wrapping_add(1);
                let class = self.classes.take(call).unwrap_or_else(|| "-".to_owned());
                out.push_str(&format!(
                    "Transaction = {} {{Context = {} {{Subtract = {class}}}}}\n",
                    self.own, call.0
                ));
            }
            ToServer::Test(test) => {
                self.own = self.own.wrapping_add(1);
                self.tests.insert(self.own, *test)?;
                out.push_str(&format!("Transaction = {} {{Context = - {{AuditValue = ROOT}}}}\n", self.own));
            }
            ToServer::Heard(call) => {
                let Some((transaction, class)) = self.releases.take(call) else {
                    log::debug!("no release of call {} to answer", call.0);
                    return Ok(());
                };
                out.push_str(&format!(
                    "Reply = {transaction} {{Context = {} {{Subtract = {class}}}}}\n",
                    call.0
                ));
            }
        }
        bytes.put_slice(out.as_bytes());
        Ok(())
    }
}
