//! The H.248-style text front as a process: stand-in text call servers and scripted text callers.

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
    stream: TcpStream,
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

const SDP: &str = "v=0\r\nc=IN IP4 10.4.7.9\r\ns=\"æ\"";

fn text_servers() -> (Server, Server, Program, Names, Peer, Peer) {
    let (a, b) = (Server::start("s-a", 0), Server::start("s-b", 1));
    let (program, names, _) = start_fronts(&[&a, &b], "text:\n  servers:\n    all: true\n", false);
    let mut peers = [&a, &b].map(|s| Peer::new(s.listener.accept().unwrap().0));
    for peer in &mut peers {
        peer.say(
            "MEGACO/1 <s>\nT=1{C=-{N=ROOT{OE=0{cork/gauge{cork/load=\"x0:90;x1:100;latency_ms:-1\"}}}}}\n",
        );
    }
    let [pa, pb] = peers;
    (a, b, program, names, pa, pb)
}

#[test]
fn a_text_servers_notify_is_answered() {
    let (_a, _b, _program, _names, mut pa, _pb) = text_servers();
    let reply = pa.hear().unwrap();
    assert_eq!((read(&reply).token(), read(&reply).value), (Token::Reply, Some("1")));
    pa.say("T=77{C=-{MF=ROOT}}");
    let reply = pa.hear().unwrap();
    assert_eq!(read(&reply).value, Some("77"));
}

#[test]
fn a_binary_caller_is_served_by_a_text_server() {
    let (_a, _b, program, _names, mut pa, _pb) = text_servers();
    let mut caller = program.ready_caller();
    caller.set_up(7, 0, 9000);
    let (add, transaction) = pa.expect(Token::Transaction, 7);
    let add = read(&add);
    let add = &add.child(Token::Context).unwrap().children[0];
    assert_eq!((add.token(), add.value), (Token::Add, Some("voice")));
    pa.say(&format!("MEGACO/1 <s>\nPending = {transaction} {{}}\n"));
    // The reply comes byte by byte.
    let reply = format!(
        "!/1 <s> P={transaction}{{C=7{{A=voice{{M{{O{{cork/desc=\"{}\"}}}}}}}}}}",
        SDP.replace('"', "%22")
    );
    for byte in reply.bytes() {
        pa.stream.write_all(&[byte]).unwrap();
    }
    let (kind, call, parameters) = caller.expect(9, 7, None);
    assert_eq!((kind, call, parameters[0].1.as_str()), (9, 7, SDP));
    pa.say("T=9{C=7{S=voice{SA{cork/cause=16,cork/load=\"x0:91;x1:100\"}}}}");
    caller.expect(12, 7, Some(16));
    let (_, heard) = pa.expect(Token::Reply, 7);
    assert_eq!(heard, 9);
}

#[test]
fn a_text_server_that_resets_mid_reply_leaves_the_call_one_final_answer() {
    let (_a, _b, program, _names, mut pa, mut pb) = text_servers();
    let mut caller = program.ready_caller();
    caller.set_up(7, 0, 9000);
    let (_, transaction) = pa.expect(Token::Transaction, 7);
    pa.say(&format!("P={transaction}{{C=7{{A=voice{{M{{O{{cork/desc=\"v="));
    socket2::SockRef::from(&pa.stream).set_linger(Some(std::time::Duration::ZERO)).unwrap();
    drop(pa);
    // The set-up never stood: it goes to the other server, and the caller hears of it once.
    let (_, transaction) = pb.expect(Token::Transaction, 7);
    pb.say(&format!("P={transaction}{{C=7{{A=voice{{M{{O{{cork/desc=\"v=0\"}}}}}}}}}}"));
    caller.expect(9, 7, None);
    assert!(caller.test());
}

#[test]
fn a_text_caller_is_served_by_a_json_server_and_its_garbage_ends_only_its_own_connection() {
    let a = Server::json("s-a", 0);
    let fronts = "text:\n  listen: 127.0.0.1:0\n";
    let (program, _names, text) = start_fronts(&[&a], fronts, true);
    let mut la = a.accept();
    let mut binary = program.ready_caller();
    let mut caller = Peer::connect(text.unwrap());
    let add = format!(
        "MEGACO/1 [127.0.0.1]:2944\nTransaction = 5 {{ Context = 7 {{ Add = voice {{ Media {{ \
         LocalControl {{ cork/wait = 9000, cork/number = 7f3a, cork/desc = \"{}\" }} }} }} }} }}\n",
        SDP.replace('"', "%22")
    );
    for byte in add.bytes() {
        caller.stream.write_all(&[byte]).unwrap();
    }
    // The same transaction again, while it is open: a repeat, not a second set-up.
    caller.say(&add);
    let new = la.expect("new", 7);
    assert_eq!((new["d"].as_str(), &new["f"]["key"]), (Some(SDP), &json!("7f3a")));
    la.up(7);
    let (reply, transaction) = caller.expect(Token::Reply, 7);
    let reply = read(&reply);
    assert_eq!(transaction, 5);
    let answered = reply.child(Token::Context).unwrap().children[0].property("cork/desc").map(str::to_owned);
    assert!(answered.is_some_and(|d| d.starts_with("9d41")), "{reply:?}");
    binary.set_up(8, 0, 9000);
    la.expect("new", 8);
    // Garbage: an ErrorDescriptor, and this connection only is closed.
    caller.say("T=6{C=7{S=voice}} } garbage");
    let mut heard = Vec::new();
    while let Some(item) = caller.hear() {
        heard.push(read(&item).token());
    }
    assert_eq!(heard.last(), Some(&Token::Error), "{heard:?}");
    la.up(8);
    binary.expect(9, 8, None);
}

#[test]
fn an_endless_item_from_a_text_caller_is_refused() {
    let a = Server::json("s-a", 0);
    let (program, _names, text) = start_fronts(&[&a], "text:\n  listen: 127.0.0.1:0\n", true);
    let _la = a.accept();
    let _ready = program.ready_caller();
    let mut caller = Peer::connect(text.unwrap());
    caller.say(&format!("T=1{{C=1{{A=voice{{M{{O{{cork/desc=\"{}", "x".repeat(20_000)));
    let mut last = None;
    while let Some(item) = caller.hear() {
        last = Some(item);
    }
    assert_eq!(last.map(|i| read(&i).token()), Some(Token::Error));
}

#[test]
fn two_text_set_ups_in_one_read_are_two_calls() {
    let a = Server::json("s-a", 0);
    let (program, _names, text) = start_fronts(&[&a], "text:\n  listen: 127.0.0.1:0\n", true);
    let mut la = a.accept();
    let _ready = program.ready_caller();
    let mut caller = Peer::connect(text.unwrap());
    let add =
        |t: u32, call: u64| format!("T={t}{{C={call}{{A=voice{{O{{cork/wait=9000,cork/desc=\"v=0\"}}}}}}}}");
    caller.say(&format!("MEGACO/1 <c>\n{}\n{}\n", add(1, 21), add(2, 22)));
    la.expect("new", 21);
    la.expect("new", 22);
    la.up(22);
    la.up(21);
    assert_eq!(caller.expect(Token::Reply, 22).1, 2);
    assert_eq!(caller.expect(Token::Reply, 21).1, 1);
}
