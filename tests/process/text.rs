//! The H.248-style text front as a process: stand-in text call servers and scripted text callers.

use crate::rig::*;
use crate::speech::*;
use corkreach::codec::h248::tree::Token;
use serde_json::json;
use std::io::Write;

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
