//! Speaking H.248-style text in tests: stand-in text call servers' speech and scripted text peers.

use crate::rig::*;
use bytes::BytesMut;
use corkreach::codec::h248::frame::Framer;
use corkreach::codec::h248::tree::{Item, Token, parse};
use corkreach::codec::h248::{quote, unquote};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// One end that speaks text: a stand-in call server's connection, or a text caller.
pub struct Peer {
    pub stream: TcpStream,
    framer: Framer,
    unread: BytesMut,
}

impl Peer {
    pub fn new(stream: TcpStream) -> Peer {
        stream.set_nonblocking(false).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Peer { stream, framer: Framer::new(1 << 16), unread: BytesMut::new() }
    }

    pub fn connect(addr: SocketAddr) -> Peer {
        Peer::new(TcpStream::connect(addr).unwrap())
    }

    pub fn say(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).unwrap();
    }

    /// The text of the next item, or none once the connection is closed; `read` gives its tree.
    pub fn hear(&mut self) -> Option<String> {
        loop {
            if let Some(frame) = self.framer.next(&mut self.unread).unwrap() {
                return Some(String::from_utf8(frame.to_vec()).unwrap());
            }
            let mut bytes = [0; 4096];
            match self.stream.read(&mut bytes) {
                Ok(0) | Err(_) => return None,
                Ok(n) => self.unread.extend_from_slice(&bytes[..n]),
            }
        }
    }

    /// The next item, of this token, for this context; gives its text and its transaction id.
    pub fn expect(&mut self, token: Token, call: u64) -> (String, u32) {
        let mut text = self.hear().expect("an open connection");
        while owed(&read(&text)) {
            text = self.hear().expect("an open connection");
        }
        let item = read(&text);
        assert_eq!(item.token(), token, "{item:?}");
        let context = item.child(Token::Context).and_then(|c| c.value);
        assert_eq!(context, Some(call.to_string().as_str()), "{item:?}");
        let transaction = item.value.unwrap().parse().unwrap();
        (text, transaction)
    }
}

/// A reply to a request of the server's own, as to its `Notify`: it says nothing of a call.
fn owed(item: &Item) -> bool {
    item.token() == Token::Reply && item.child(Token::Context).is_some_and(|c| c.value == Some("-"))
}

/// The tree of an item that was heard.
pub fn read(text: &str) -> Item<'_> {
    parse(text).unwrap().item
}

/// A stand-in text call server's speech, for the JSON lines of the rule suite: what a test says in JSON is said
/// in text, and what the program says in text is heard as the JSON it would have written.
pub struct Speech {
    framer: Framer,
    pub unread: BytesMut,
    /// The program's set-ups: their transactions and classes, by call.
    set_ups: HashMap<u64, (u32, String)>,
    own: u32,
}

impl Default for Speech {
    fn default() -> Self {
        Speech { framer: Framer::new(1 << 16), unread: BytesMut::new(), set_ups: HashMap::new(), own: 0 }
    }
}

impl Speech {
    pub fn say(&mut self, line: &Value) -> String {
        let call = line["ref"].as_str().and_then(|r| u64::from_str_radix(r, 16).ok());
        let field = |name: &str| line["f"][name].as_str();
        let (transaction, class) =
            call.and_then(|c| self.set_ups.get(&c).cloned()).unwrap_or((0, "-".to_owned()));
        self.own += 1;
        let body = match (line["t"].as_str(), call) {
            (Some("up"), Some(call)) => {
                let description = line["d"].as_str().map(|d| format!("{{M{{O{{cork/desc={}}}}}}}", quote(d)));
                format!("P={transaction}{{C={call}{{A={class}{}}}}}", description.unwrap_or_default())
            }
            (Some("down"), Some(call)) => {
                let mut properties = Vec::new();
                if let Some(cause) = line["c"].as_u64() {
                    properties.push(format!("cork/cause={cause}"));
                }
                for name in ["note", "load"] {
                    if let Some(value) = field(name) {
                        properties.push(format!("cork/{name}={}", quote(value)));
                    }
                }
                format!("T={}{{C={call}{{S={class}{{SA{{{}}}}}}}}}", self.own, properties.join(","))
            }
            (Some("gauge"), _) => {
                let load = quote(field("load").unwrap_or(""));
                format!("T={}{{C=-{{N=ROOT{{OE=0{{cork/gauge{{cork/load={load}}}}}}}}}}}", self.own)
            }
            (Some("wait" | "ack" | "hb_ok"), _) => format!("PN={transaction}{{}}"),
            _ => format!("T={}{{C=-{{MF=ROOT}}}}", self.own),
        };
        format!("MEGACO/1 <stand-in>\n{body}\n")
    }

    /// The next item as a JSON line, or none once the connection is closed.
    pub fn hear(&mut self, from: &mut BufReader<TcpStream>) -> Option<Value> {
        let frame = loop {
            if let Some(frame) = self.framer.next(&mut self.unread).unwrap() {
                break frame;
            }
            let bytes = from.fill_buf().unwrap_or_else(|e| panic!("text from the program: {e}"));
            if bytes.is_empty() {
                return None;
            }
            let n = bytes.len();
            self.unread.extend_from_slice(bytes);
            from.consume(n);
        };
        let item = parse(std::str::from_utf8(&frame).unwrap()).unwrap().item;
        if owed(&item) {
            return self.hear(from);
        }
        let context = item.child(Token::Context).unwrap();
        let call: u64 = context.value.unwrap().parse().unwrap();
        let command = &context.children[0];
        let reference = format!("{call:016x}");
        Some(match (item.token(), command.token()) {
            (Token::Transaction, Token::Add) => {
                let transaction = item.value.unwrap().parse().unwrap();
                let class = command.value.unwrap();
                self.set_ups.insert(call, (transaction, class.to_owned()));
                let mut f = json!({"class": class, "left": command.property("cork/left").unwrap()});
                if let Some(number) = command.property("cork/number") {
                    f["key"] = json!(number);
                }
                let description = unquote(command.property("cork/desc").unwrap()).unwrap();
                json!({"t": "new", "ref": reference, "f": f, "d": description})
            }
            (Token::Transaction, Token::Subtract) => json!({"t": "down", "ref": reference, "f": {}, "c": 16}),
            (Token::Reply, Token::Subtract) => json!({"t": "ack", "ref": reference, "f": {}}),
            other => panic!("no JSON line for {other:?}: {item:?}"),
        })
    }
}
