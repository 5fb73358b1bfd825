//! A stand-in border controller, for the checks: it is simple, keeps the rules, and breaks one of them on demand.

use crate::message::*;
use crate::name_service::NameService;
use crate::world::{Shared, pause};
use bytes::BytesMut;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, spawn_local};

/// The rule that it breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    None,
    /// Some set-ups get no answer.
    NoAnswer,
    /// Answers come twice.
    SecondAnswer,
    /// The description in an answer is its own.
    ForeignAnswer,
    /// What callers read is no message.
    Unreadable,
    /// A set-up goes to two servers at once.
    TwoAttempts,
    /// After a reset the set-up goes out again at once.
    NoGuard,
    /// A set-up goes out as often as it is sent back.
    TooManyAttempts,
    /// The list is not followed.
    IgnoresDrains,
    /// All set-ups go to the server that started last.
    RushesCold,
    /// Callers are not told of the end of calls.
    NoRelease,
    /// The number called is changed.
    AltersSetUp,
    /// A class goes to a place that it may not go to.
    ForbiddenServer,
    /// Attempts begin for callers that are gone.
    CallerGone,
    /// Servers are tested.
    Probes,
    /// Each server gets more connections than it may.
    ManyLinks,
    /// Refusals advise to stay away for longer than allowed.
    StayAway,
}

/// Answers are given so long before a set-up's time is over, ms.
const SPARE_MS: f64 = 10.0;
/// A set-up that is to outlive its caller waits so long, ms.
const LATE_START_MS: f64 = 400.0;
const LINKS_WITH_FLAW: usize = 6;

struct Server {
    place: u32,
    lines: mpsc::UnboundedSender<Value>,
}

struct Call {
    caller: mpsc::UnboundedSender<Vec<u8>>,
    set_up: Message,
    tried: Vec<String>,
    answered: bool,
    stands: bool,
}

struct State {
    world: Shared,
    flaw: Flaw,
    node: usize,
    guard_ms: f64,
    attempts_max: usize,
    places: BTreeMap<String, Vec<u32>>,
    servers: RefCell<BTreeMap<String, Server>>,
    calls: RefCell<BTreeMap<u64, Call>>,
}

/// It runs until it is dropped.
pub struct StandIn {
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for StandIn {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl StandIn {
    pub fn start(
        world: &Shared,
        flaw: Flaw,
        node: usize,
        address: SocketAddr,
        settings: &Value,
        _names: &Rc<NameService>,
    ) -> StandIn {
        let state = Rc::new(State {
            world: world.clone(),
            flaw,
            node,
            guard_ms: settings["specifics"]["guard_ms"].as_f64().unwrap(),
            attempts_max: settings["ceilings"]["attempts_cap"].as_u64().unwrap() as usize,
            places: crate::trial::places(settings),
            servers: RefCell::default(),
            calls: RefCell::default(),
        });
        StandIn { tasks: vec![spawn_local(state.clone().follow_list()), spawn_local(state.accept(address))] }
    }
}

impl State {
    /// Connects to the servers of the list as it stands.
    async fn follow_list(self: Rc<Self>) {
        loop {
            let list = self.world.list.borrow().clone();
            for listed in &list {
                let known = self.servers.borrow().contains_key(&listed.id);
                if known || listed.draining {
                    continue;
                }
                let links = if self.flaw == Flaw::ManyLinks { LINKS_WITH_FLAW } else { 1 };
                for _ in 0..links {
                    spawn_local(self.clone().serve_server(
                        listed.id.clone(),
                        listed.place,
                        listed.addresses[self.node],
                    ));
                }
            }
            if self.flaw != Flaw::IgnoresDrains {
                let serves = |id: &String| list.iter().any(|l| &l.id == id && !l.draining);
                self.servers.borrow_mut().retain(|id, _| serves(id));
            }
            pause(100.0).await;
        }
    }

    async fn serve_server(self: Rc<Self>, id: String, place: u32, address: SocketAddr) {
        let Ok(stream) = TcpStream::connect(address).await else { return };
        let (read, mut write) = stream.into_split();
        let (lines, mut queue) = mpsc::unbounded_channel::<Value>();
        if self.flaw == Flaw::Probes {
            let _ = lines.send(json!({"t": "hb", "ref": "0000000000000001", "f": {}, "c": 0}));
        }
        self.servers.borrow_mut().insert(id.clone(), Server { place, lines });
        spawn_local(async move {
            while let Some(line) = queue.recv().await {
                if write.write_all(format!("{line}\n").as_bytes()).await.is_err() {
                    return;
                }
            }
            // The server may still say what becomes of what it has.
            std::future::pending::<()>().await;
        });
        let mut lines = BufReader::new(read).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            if let Ok(line) = serde_json::from_str(&line) {
                self.clone().hear_server(&id, &line);
            }
        }
        self.servers.borrow_mut().remove(&id);
        self.server_lost(&id);
    }

    /// What stood at a server that is gone is over, and what was out there is failed.
    fn server_lost(&self, id: &str) {
        let mut calls = self.calls.borrow_mut();
        let at = |c: &Call| c.tried.last().is_some_and(|last| last == id);
        let ended: Vec<u64> =
            calls.iter().filter(|(_, c)| at(c) && (c.stands || !c.answered)).map(|(&id, _)| id).collect();
        for id in ended {
            let Some(call) = calls.remove(&id) else { continue };
            if self.flaw != Flaw::NoRelease || !call.stands {
                let _ = call.caller.send(Message::new(RELEASE, id, &[(CAUSE, &[41])]).bytes());
            }
        }
    }

    async fn accept(self: Rc<Self>, address: SocketAddr) {
        let listener = TcpListener::bind(address).await.unwrap();
        loop {
            if let Ok((stream, _)) = listener.accept().await {
                spawn_local(self.clone().serve_caller(stream));
            }
        }
    }

    async fn serve_caller(self: Rc<Self>, stream: TcpStream) {
        let (mut read, mut write) = stream.into_split();
        let (answers, mut queue) = mpsc::unbounded_channel::<Vec<u8>>();
        spawn_local(async move {
            while let Some(bytes) = queue.recv().await {
                if write.write_all(&bytes).await.is_err() {
                    return;
                }
            }
        });
        let mut bytes = BytesMut::new();
        while read.read_buf(&mut bytes).await.is_ok_and(|n| n > 0) {
            while let Ok(Some(message)) = decode(&mut bytes) {
                self.clone().hear_caller(&answers, message);
            }
        }
        if self.flaw != Flaw::CallerGone {
            let gone: Vec<u64> = {
                let calls = self.calls.borrow();
                calls
                    .iter()
                    .filter(|(_, c)| c.caller.same_channel(&answers) && !c.answered)
                    .map(|(&id, _)| id)
                    .collect()
            };
            gone.into_iter().for_each(|call| self.call_off(call));
        }
    }

    fn hear_caller(self: Rc<Self>, answers: &mpsc::UnboundedSender<Vec<u8>>, message: Message) {
        let call = message.call;
        match message.kind {
            TEST => {
                let ready = u8::from(!self.servers.borrow().is_empty());
                let _ = answers.send(Message::new(TESTED, call, &[(CAUSE, &[ready])]).bytes());
            }
            SET_UP => {
                let wait_ms: f64 = message.text(WAIT).and_then(|ms| ms.parse().ok()).unwrap_or_default();
                let new = Call {
                    caller: answers.clone(),
                    set_up: message,
                    tried: Vec::new(),
                    answered: false,
                    stands: false,
                };
                self.calls.borrow_mut().insert(call, new);
                if self.flaw == Flaw::NoAnswer && call.is_multiple_of(5) {
                    return;
                }
                spawn_local(self.clone().watch_deadline(call, wait_ms));
                spawn_local(self.begin(call));
            }
            RELEASE if self.flaw != Flaw::CallerGone => self.call_off(call),
            _ => {}
        }
    }

    async fn begin(self: Rc<Self>, call: u64) {
        if self.flaw == Flaw::CallerGone {
            pause(LATE_START_MS).await;
        }
        self.clone().send(call);
        if self.flaw == Flaw::TwoAttempts {
            self.send(call);
        }
    }

    async fn watch_deadline(self: Rc<Self>, call: u64, wait_ms: f64) {
        pause(wait_ms - SPARE_MS).await;
        let late = self.calls.borrow().get(&call).is_some_and(|c| !c.answered);
        if late && self.flaw != Flaw::CallerGone {
            self.tell_final(call, &Message::new(RELEASE, call, &[(CAUSE, &[41])]));
            self.call_off(call);
        }
    }

    /// Forgets a call and releases it wherever it may be.
    fn call_off(&self, call: u64) {
        let Some(ended) = self.calls.borrow_mut().remove(&call) else { return };
        if let Some(server) =
            ended.tried.last().and_then(|id| self.servers.borrow().get(id).map(|s| s.lines.clone()))
        {
            let _ = server.send(json!({"t": "down", "ref": format!("{call:016x}"), "f": {}, "c": 16}));
        }
    }

    /// Sends a set-up to a server that it has not been to, or refuses it.
    fn send(self: Rc<Self>, call: u64) {
        let chosen = {
            let calls = self.calls.borrow();
            let Some(state) = calls.get(&call).filter(|c| !c.answered) else { return };
            let class = state.set_up.text(CLASS).unwrap_or_default();
            let allowed = self.places.get(&class).cloned().unwrap_or_default();
            let servers = self.servers.borrow();
            let cold = self.world.list.borrow().iter().max_by_key(|l| l.started_ms).map(|l| l.id.clone());
            let fits = |id: &String, s: &Server| match self.flaw {
                Flaw::ForbiddenServer => !allowed.contains(&s.place),
                Flaw::RushesCold => Some(id) == cold.as_ref(),
                _ => allowed.is_empty() || allowed.contains(&s.place),
            };
            let again = self.flaw == Flaw::TooManyAttempts;
            let fresh = |id: &String| again || !state.tried.contains(id);
            let room = again || state.tried.len() < self.attempts_max;
            let found = servers.iter().find(|(id, s)| room && fresh(id) && fits(id, s));
            found.map(|(id, s)| (id.clone(), s.lines.clone()))
        };
        let Some((id, lines)) = chosen else {
            let stay_away: &[u8] = if self.flaw == Flaw::StayAway { b"600000" } else { b"1" };
            return self
                .tell_final(call, &Message::new(RELEASE, call, &[(CAUSE, &[42]), (STAY_AWAY, stay_away)]));
        };
        let mut calls = self.calls.borrow_mut();
        let Some(state) = calls.get_mut(&call) else { return };
        state.tried.push(id);
        let text = |code| state.set_up.text(code).unwrap_or_default();
        let number = if self.flaw == Flaw::AltersSetUp { "0".to_owned() } else { text(NUMBER) };
        let _ = lines.send(json!({"t": "new", "ref": format!("{call:016x}"),
            "f": {"class": text(CLASS), "left": "1", "key": number}, "d": text(DESCRIPTION)}));
    }

    fn tell_final(&self, call: u64, message: &Message) {
        let mut calls = self.calls.borrow_mut();
        let Some(state) = calls.get_mut(&call).filter(|c| !c.answered) else { return };
        state.answered = true;
        let mut bytes = message.bytes();
        if self.flaw == Flaw::Unreadable {
            bytes = vec![0; 4];
        }
        let _ = state.caller.send(bytes.clone());
        if self.flaw == Flaw::SecondAnswer {
            let _ = state.caller.send(bytes);
        }
    }

    fn hear_server(self: Rc<Self>, id: &str, line: &Value) {
        let call = line["ref"].as_str().and_then(|id| u64::from_str_radix(id, 16).ok()).unwrap_or_default();
        match line["t"].as_str() {
            Some("up") => {
                let given = line["d"].as_str().unwrap_or_default();
                let description = if self.flaw == Flaw::ForeignAnswer { "elsewhere" } else { given };
                self.tell_final(call, &Message::new(ANSWER, call, &[(DESCRIPTION, description.as_bytes())]));
                if let Some(state) = self.calls.borrow_mut().get_mut(&call) {
                    state.stands = true;
                }
            }
            Some("down") => self.hear_end(id, call, line["c"].as_u64().unwrap_or_default()),
            _ => {}
        }
    }

    fn hear_end(self: Rc<Self>, id: &str, call: u64, cause: u64) {
        let stands = self.calls.borrow().get(&call).map(|c| c.stands);
        match stands {
            Some(true) => {
                if let Some(server) = self.servers.borrow().get(id) {
                    let _ = server.lines.send(json!({"t": "ack", "ref": format!("{call:016x}"), "f": {}}));
                }
                let ended = self.calls.borrow_mut().remove(&call);
                if let Some(ended) = ended.filter(|_| self.flaw != Flaw::NoRelease) {
                    let _ = ended.caller.send(Message::new(RELEASE, call, &[(CAUSE, &[16])]).bytes());
                }
            }
            Some(false) if cause == 41 && self.flaw != Flaw::NoGuard => {
                spawn_local(async move {
                    pause(self.guard_ms).await;
                    self.send(call);
                });
            }
            Some(false) => self.send(call),
            None => {}
        }
    }
}
