//! The real program as a process, and what it talks to: callers, call servers and a name service, all here.

use hickory_proto::op::{Message, MessageType, OpCode};
use hickory_proto::rr::rdata::{A, SOA, SRV, TXT};
use hickory_proto::rr::{Name, RData, Record};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Whatever a test waits for comes well within this, or it fails.
pub const PATIENCE: Duration = Duration::from_secs(15);
/// Lines of a call server that answers every set-up: more than a test sets up calls.
const LINES: u32 = 10_000;
/// The configuration's file in the folder of a process.
const CONFIG_FILE: &str = "config.json";
/// The address of a process that has told none yet; nobody can connect there.
const NOT_TOLD: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0));
pub const SDP: &str =
    "9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\ns=\"\u{e6}\"\r\n";

pub fn settings() -> Value {
    json!({"siblings": 1, "index": 0, "zones": ["aarhus"],
        "services": [{"name": "voice", "deadline_ms": 9000.0, "target_ms": 1500.0, "worth": 1.0, "late_worth": 0.2}],
        "report": {"columns": ["free", "size", "latency_ms", "can_take"], "how": "answers"},
        "ceilings": {"attempts_cap": 6, "cancel": true, "dial_timeout_ms": 500.0, "retry_after": true,
            "max_retry_after_ms": 2000.0, "open_cap": 20000},
        "rules": {"cold_from": 0.37, "cold_ms": 14000.0, "fall_ms": 2000.0, "fall_multiple": 3.0},
        "specifics": {"guard_ms": 200.0, "t1_ms": 0.0, "class_width": [1], "pools_by_class": [[0, 1]]}})
}

/// One call server in the list.
#[derive(Clone)]
pub struct Listed {
    pub id: &'static str,
    pub addr: SocketAddr,
    pub place: u32,
    pub draining: bool,
    pub started_ms: u64,
}

/// The name service: it answers with the list that it holds, once it is told to.
pub struct Names {
    pub addr: SocketAddr,
    pub state: Arc<Mutex<NamesState>>,
}

#[derive(Default)]
pub struct NamesState {
    pub serial: u32,
    pub list: Vec<Listed>,
    /// So many queries get no answer, and so many an answer that can't be read.
    pub lose: u32,
    pub garble: u32,
    /// Datagrams that go out before the next answer, as they stand.
    pub stray: Vec<Vec<u8>>,
    /// Records that fill an answer up.
    pub ballast: usize,
    pub longest: usize,
    /// Good answers given since the list last changed.
    pub told: u32,
    /// An answer goes out so long after its query, with the list as it is then.
    pub delay: Duration,
}

impl Names {
    pub fn start() -> Names {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        let addr = socket.local_addr().unwrap();
        let state = Arc::new(Mutex::new(NamesState { serial: 1, ..NamesState::default() }));
        let shared = state.clone();
        std::thread::spawn(move || {
            let mut buffer = [0; 1500];
            while let Ok((n, from)) = socket.recv_from(&mut buffer) {
                let mut state = shared.lock().unwrap();
                if state.lose > 0 {
                    state.lose -= 1;
                    continue;
                }
                if state.delay > Duration::ZERO {
                    answer_later(&socket, &shared, state.delay, buffer[..n].to_vec(), from);
                    continue;
                }
                for datagram in std::mem::take(&mut state.stray) {
                    socket.send_to(&datagram, from).unwrap();
                }
                let mut answer = state.answer(&Message::from_vec(&buffer[..n]).unwrap());
                if state.garble > 0 {
                    state.garble -= 1;
                    answer.truncate(40);
                } else {
                    state.told += 1;
                }
                state.longest = state.longest.max(answer.len());
                socket.send_to(&answer, from).unwrap();
            }
        });
        Names { addr, state }
    }

    /// A later event: the list changes, and whatever else is to. Returns once the program has asked again
    /// after it was told.
    pub fn change(&self, list: Vec<Listed>, more: impl FnOnce(&mut NamesState)) {
        let mut state = self.state.lock().unwrap();
        (state.serial, state.list, state.told) = (state.serial + 1, list, 0);
        more(&mut state);
        drop(state);
        self.wait_until_told();
    }

    /// Returns once the program has asked again after it was told.
    pub fn wait_until_told(&self) {
        let since = Instant::now();
        while self.state.lock().unwrap().told < 2 {
            assert!(since.elapsed() < PATIENCE, "the program does not ask");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

fn answer_later(
    socket: &UdpSocket,
    state: &Arc<Mutex<NamesState>>,
    delay: Duration,
    query: Vec<u8>,
    from: SocketAddr,
) {
    let (socket, state) = (socket.try_clone().unwrap(), state.clone());
    std::thread::spawn(move || {
        std::thread::sleep(delay);
        let mut state = state.lock().unwrap();
        state.told += 1;
        let answer = state.answer(&Message::from_vec(&query).unwrap());
        // The program may be gone by then.
        let _ = socket.send_to(&answer, from);
    });
}

impl NamesState {
    fn answer(&self, query: &Message) -> Vec<u8> {
        let name = |text: &str| Name::from_ascii(text).unwrap();
        let record = |owner: &str, data: RData| Record::from_rdata(name(owner), 0, data);
        let mut message = Message::new(query.metadata.id, MessageType::Response, OpCode::Query);
        message.add_queries(query.queries.iter().cloned());
        for s in &self.list {
            let host = format!("{}.aarhus.hosts.", s.id);
            let srv = SRV::new(u16::from(s.draining), 40, s.addr.port(), name(&host));
            message.add_answer(record("_back._tcp.pool.lan.", RData::SRV(srv)));
            let SocketAddr::V4(v4) = s.addr else { panic!("{}", s.addr) };
            message.add_additional(record(&host, RData::A(A(*v4.ip()))));
            let text =
                vec!["kind=std".into(), format!("cell={}", s.place), format!("started={}", s.started_ms)];
            message.add_additional(record(&host, RData::TXT(TXT::new(text))));
        }
        for n in 0..self.ballast {
            let text = vec!["x".repeat(200)];
            message.add_additional(record(&format!("filler{n}.hosts."), RData::TXT(TXT::new(text))));
        }
        let soa = SOA::new(name("ns.pool.lan."), name("root.pool.lan."), self.serial, 1, 1, 1, 1);
        message.add_authority(record("pool.lan.", RData::SOA(soa)));
        message.to_vec().unwrap()
    }
}

/// A call server: it listens, and a test accepts each connection by hand.
pub struct Server {
    pub listener: TcpListener,
    pub listed: Listed,
    /// It speaks H.248 text.
    pub text: bool,
}

impl Server {
    pub fn start(id: &'static str, place: u32) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        Server {
            listener,
            listed: Listed { id, addr, place, draining: false, started_ms: 0 },
            text: text_servers(),
        }
    }

    /// One that speaks JSON lines in every run.
    pub fn json(id: &'static str, place: u32) -> Server {
        Server { text: false, ..Server::start(id, place) }
    }

    /// The next connection, before its first word, if there is one already.
    pub fn try_accept_mute(&self) -> Option<Link> {
        self.listener.set_nonblocking(true).unwrap();
        self.listener.accept().ok().map(|(stream, _)| Link::new(stream, self.text))
    }

    /// The next connection, before its first word.
    pub fn accept_mute(&self) -> Link {
        let since = Instant::now();
        loop {
            if let Some(link) = self.try_accept_mute() {
                return link;
            }
            assert!(since.elapsed() < PATIENCE, "the program does not connect");
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    pub fn accept(&self) -> Link {
        let mut link = self.accept_mute();
        link.gauge();
        link
    }

    /// From here on every connection is accepted, and every set-up on it answered.
    pub fn answer_all(&self) {
        let (listener, text) = (self.listener.try_clone().unwrap(), self.text);
        listener.set_nonblocking(false).unwrap();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                std::thread::spawn(move || Link::new(stream, text).answer_all());
            }
        });
    }
}

/// A listening socket whose queue is full, so that no connection to it comes up, and the connections that fill it.
pub fn full_listener() -> (TcpListener, Vec<TcpStream>) {
    /// Within this a connection on this machine is made, or it never is.
    const CONNECTED_WITHIN: Duration = Duration::from_secs(1);
    let listener = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    listener.bind(&any.into()).unwrap();
    listener.listen(0).unwrap();
    let listener: TcpListener = listener.into();
    let addr = listener.local_addr().unwrap();
    let connect = || TcpStream::connect_timeout(&addr, CONNECTED_WITHIN);
    let waiting = std::iter::from_fn(|| connect().ok()).collect();
    (listener, waiting)
}

/// A call server whose address answers no connection.
pub struct Unreachable {
    pub listed: Listed,
    _listener: TcpListener,
    _waiting: Vec<TcpStream>,
}

impl Unreachable {
    pub fn start(id: &'static str, place: u32) -> Unreachable {
        let (listener, waiting) = full_listener();
        let addr = listener.local_addr().unwrap();
        let listed = Listed { id, addr, place, draining: false, started_ms: 0 };
        Unreachable { listed, _listener: listener, _waiting: waiting }
    }
}

/// A call server's end of a connection. With `CORKREACH_RIG_SERVERS=text` every call server speaks H.248 text
/// (`text::Speech`) and the program is told so, while tests read and write the same JSON lines as ever.
pub struct Link {
    lines: BufReader<TcpStream>,
    text: Option<crate::speech::Speech>,
}

impl Link {
    fn new(stream: TcpStream, text: bool) -> Link {
        stream.set_nonblocking(false).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        let text = text.then(crate::speech::Speech::default);
        Link { lines: BufReader::new(stream), text }
    }

    pub fn say(&mut self, line: Value) {
        match self.text.as_mut() {
            Some(speech) => {
                let text = speech.say(&line);
                self.say_raw(&text);
            }
            None => self.say_raw(&format!("{line}\n")),
        }
    }

    pub fn say_raw(&mut self, text: &str) {
        self.lines.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// Shuts this side of the connection: nothing more is said.
    pub fn shut(&self) {
        self.lines.get_ref().shutdown(std::net::Shutdown::Write).unwrap();
    }

    /// The next line, or none if the connection was closed.
    pub fn hear(&mut self) -> Option<Value> {
        if let Some(speech) = self.text.as_mut() {
            return speech.hear(&mut self.lines);
        }
        let mut line = String::new();
        match self.lines.read_line(&mut line) {
            Ok(0) => None,
            Ok(_) => Some(serde_json::from_str(&line).unwrap()),
            Err(e) => panic!("a line from the program: {e}"),
        }
    }

    /// The next JSON line; none if none begins within this time. Not every suite listens so.
    #[allow(dead_code)]
    pub fn try_hear(&mut self, within: Duration) -> Option<Value> {
        self.lines.get_ref().set_read_timeout(Some(within)).unwrap();
        let came = !self.lines.buffer().is_empty() || self.lines.get_ref().peek(&mut [0]).is_ok();
        self.lines.get_ref().set_read_timeout(Some(PATIENCE)).unwrap();
        if came { self.hear() } else { None }
    }

    /// The next line that is of this type; what is heard of releases means nothing.
    pub fn expect(&mut self, kind: &str, call: u64) -> Value {
        loop {
            let line = self.hear().expect("an open connection");
            if line["t"] != "ack" || kind == "ack" {
                assert_eq!((line["t"].as_str(), &line["ref"]), (Some(kind), &json!(format!("{call:016x}"))));
                return line;
            }
        }
    }

    /// Whether the connection is open still; what comes on it is dropped.
    pub fn is_open(&mut self) -> bool {
        self.lines.get_ref().set_nonblocking(true).unwrap();
        let mut line = String::new();
        let open = loop {
            match self.lines.read_line(&mut line) {
                Ok(0) => break false,
                Ok(_) => {}
                Err(e) => break e.kind() == std::io::ErrorKind::WouldBlock,
            }
        };
        self.lines.get_ref().set_nonblocking(false).unwrap();
        open
    }

    /// Whether something has come and was not heard yet.
    pub fn speaks(&self) -> bool {
        let stream = self.lines.get_ref();
        stream.set_nonblocking(true).unwrap();
        let unread = self.text.as_ref().is_some_and(|t| t.unread.iter().any(|b| !b.is_ascii_whitespace()));
        let came = stream.peek(&mut [0]).is_ok_and(|n| n > 0) || !self.lines.buffer().is_empty() || unread;
        stream.set_nonblocking(false).unwrap();
        came
    }

    /// Waits until something has come on one of two connections: true if it was on this one.
    pub fn speaks_before(&mut self, other: &mut Link) -> bool {
        let since = Instant::now();
        loop {
            for (link, own) in [(&*self, true), (&*other, false)] {
                if link.speaks() {
                    return own;
                }
            }
            assert!(since.elapsed() < PATIENCE, "the program says nothing");
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// Waits until something has come, and leaves it unread.
    pub fn peek(&mut self) {
        assert!(self.lines.get_ref().peek(&mut [0]).unwrap() > 0);
    }

    /// Tells that there is room for any number of calls, and answers every set-up until the connection is closed.
    pub fn answer_all(mut self) {
        self.gauge_lines(LINES, LINES);
        while let Some(line) = self.hear() {
            if line["t"] == "new" {
                let call = line["ref"].as_str().and_then(|id| u64::from_str_radix(id, 16).ok());
                self.up(call.expect("a set-up with an id"));
            }
        }
    }

    pub fn gauge(&mut self) {
        self.gauge_lines(90, 100);
    }

    /// Tells how many lines are free, and how many there are.
    fn gauge_lines(&mut self, free: u32, lines: u32) {
        let load = format!("x0:{free};x1:{lines};latency_ms:-1");
        self.say(json!({"t": "gauge", "ref": "0000000000000000", "f": {"load": load}}));
    }

    pub fn up(&mut self, call: u64) {
        self.say(json!({"t": "up", "ref": format!("{call:016x}"), "f": {}, "d": SDP}));
    }

    pub fn down(&mut self, call: u64, cause: u8, fields: Value) {
        self.say(json!({"t": "down", "ref": format!("{call:016x}"), "f": fields, "c": cause}));
    }
}

/// A caller's connection.
pub struct Caller {
    pub stream: TcpStream,
}

/// The type of a message to a caller that means nothing.
pub const PROGRESS: u8 = 6;

/// The type of the message that a call stands.
pub const ANSWER: u8 = 9;

/// A message to a caller: type, call, and the parameters by code.
pub type Heard = (u8, u64, Vec<(u8, String)>);

impl Caller {
    /// A connection to a program's address for callers.
    pub fn connect(addr: SocketAddr) -> Caller {
        Caller::try_connect(addr).unwrap()
    }

    /// The same where perhaps nobody listens.
    pub fn try_connect(addr: SocketAddr) -> std::io::Result<Caller> {
        let stream = TcpStream::connect(addr)?;
        stream.set_read_timeout(Some(PATIENCE))?;
        Ok(Caller { stream })
    }

    /// One on which tests pass: the program there is ready.
    pub fn ready_at(addr: SocketAddr) -> Caller {
        let mut caller = Caller::connect(addr);
        let since = Instant::now();
        while !caller.test() {
            assert!(since.elapsed() < PATIENCE, "the program is not ready");
        }
        caller
    }

    fn bytes(kind: u8, call: u64, parameters: &[(u8, &[u8])]) -> Vec<u8> {
        let body: Vec<u8> = parameters
            .iter()
            .flat_map(|(code, v)| [&[*code][..], &(v.len() as u16).to_be_bytes(), v].concat())
            .collect();
        let head = [&((9 + body.len()) as u16).to_be_bytes()[..], &[kind], &call.to_be_bytes()].concat();
        [head, body].concat()
    }

    pub fn say(&mut self, kind: u8, call: u64, parameters: &[(u8, &[u8])]) {
        self.stream.write_all(&Caller::bytes(kind, call, parameters)).unwrap();
    }

    pub fn set_patience(&self, patience: Duration) {
        self.stream.set_read_timeout(Some(patience)).unwrap();
    }

    pub fn set_up(&mut self, call: u64, place: u32, wait_ms: u32) {
        self.stream.write_all(&Caller::set_up_bytes(call, place, wait_ms)).unwrap();
    }

    /// The same; false if the connection can't be written to any more.
    pub fn try_set_up(&mut self, call: u64, place: u32, wait_ms: u32) -> bool {
        self.stream.write_all(&Caller::set_up_bytes(call, place, wait_ms)).is_ok()
    }

    pub fn set_up_bytes(call: u64, place: u32, wait_ms: u32) -> Vec<u8> {
        let (wait, extras) = (wait_ms.to_string(), format!("dest:{place};width:1;via:-1"));
        let parameters: [(u8, &[u8]); 5] = [
            (129, b"voice"),
            (130, wait.as_bytes()),
            (133, b"7f3a9c21e0b4d655"),
            (134, extras.as_bytes()),
            (144, SDP.as_bytes()),
        ];
        Caller::bytes(1, call, &parameters)
    }

    /// The next message, or none if the connection was closed.
    pub fn hear(&mut self) -> Option<Heard> {
        let mut length = [0; 2];
        self.stream.read_exact(&mut length).ok()?;
        let mut body = vec![0; usize::from(u16::from_be_bytes(length))];
        self.stream.read_exact(&mut body).unwrap();
        let (mut rest, mut parameters) = (&body[9..], Vec::new());
        while !rest.is_empty() {
            let end = 3 + usize::from(u16::from_be_bytes([rest[1], rest[2]]));
            let value = &rest[3..end];
            let text = if rest[0] == 143 {
                value[0].to_string()
            } else {
                String::from_utf8(value.to_vec()).unwrap()
            };
            parameters.push((rest[0], text));
            rest = &rest[end..];
        }
        Some((body[0], u64::from_be_bytes(body[1..9].try_into().unwrap()), parameters))
    }

    /// The next message other than progress, which means nothing; it is of this type, for this call, with this cause if
    /// any.
    pub fn expect(&mut self, kind: u8, call: u64, cause: Option<u8>) -> Heard {
        let mut heard = self.hear().expect("an open connection");
        while heard.0 == PROGRESS {
            heard = self.hear().expect("an open connection");
        }
        let told = heard.2.iter().find(|(code, _)| *code == 143).map(|(_, v)| v.parse().unwrap());
        assert_eq!((heard.0, heard.1, told), (kind, call, cause), "{heard:?}");
        heard
    }

    /// Closes in order: returns once the program has closed its side too.
    pub fn leave(mut self) {
        self.stream.shutdown(std::net::Shutdown::Write).unwrap();
        assert_eq!(self.hear(), None);
    }

    /// A round trip: what the program had to say before its answer has been said.
    pub fn test(&mut self) -> bool {
        self.say(52, 0, &[(143, &[0])]);
        self.expect_test()
    }

    pub fn expect_test(&mut self) -> bool {
        let (kind, _, parameters) = self.hear().expect("an open connection");
        assert_eq!(kind, 53, "{parameters:?}");
        parameters == [(143, "1".to_owned())]
    }
}

/// The lines of a program's log so far.
type Log = Arc<Mutex<Vec<String>>>;

/// The program, and the folder of its configuration.
pub struct Program {
    pub child: Child,
    addr: SocketAddr,
    management: SocketAddr,
    folder: PathBuf,
    config: Value,
    log: Log,
}

impl Program {
    /// Waits until the process tells its addresses; with `text_callers` it tells the text callers' one first.
    pub fn wait_until_it_listens(&mut self, text_callers: bool) -> Option<SocketAddr> {
        let (text, addr, management) = addresses(&mut self.child, text_callers, self.log.clone());
        (self.addr, self.management) = (addr, management);
        text
    }

    /// The text of the configuration that it is started on.
    pub fn file(&self) -> String {
        self.config.to_string()
    }

    /// Where its configuration is.
    pub fn config_path(&self) -> PathBuf {
        self.folder.join(CONFIG_FILE)
    }

    pub fn caller(&self) -> Caller {
        Caller::connect(self.addr)
    }

    /// A caller's connection on which tests pass: the program is ready.
    pub fn ready_caller(&self) -> Caller {
        Caller::ready_at(self.addr)
    }

    /// An operator's call, cut into single bytes: status and text of its answer.
    pub fn operator(&self, call: &str) -> (u16, String) {
        let mut stream = TcpStream::connect(self.management).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream.set_nodelay(true).unwrap();
        let request = format!("{call} HTTP/1.1\r\nHost: n0\r\nContent-Length: 2\r\n\r\n{{}}");
        for byte in request.bytes() {
            stream.write_all(&[byte]).unwrap();
        }
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        let (head, text) = answer.split_once("\r\n\r\n").unwrap();
        (head.split(' ').nth(1).unwrap().parse().unwrap(), text.to_owned())
    }

    /// An operator's connection that says this and no more.
    pub fn half_call(&self, text: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.management).unwrap();
        stream.write_all(text.as_bytes()).unwrap();
        stream
    }

    /// Another process of the program, at the same address for callers.
    pub fn successor(&self) -> Program {
        let mut child = spawn(&self.folder, run(&["serve", "--listen", &self.addr.to_string()]));
        let log = Log::default();
        let (_, addr, management) = addresses(&mut child, false, log.clone());
        assert_eq!(addr, self.addr);
        Program { child, addr, management, folder: self.folder.clone(), config: self.config.clone(), log }
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().unwrap().success());
    }

    /// Stops the process where it is; returns once it stands still. What is sent to it meanwhile waits in the system.
    pub fn hold(&self) {
        self.signal("-STOP");
        let since = Instant::now();
        while !self.stands_still() {
            assert!(since.elapsed() < PATIENCE, "the program does not stand still");
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// The state in /proc is the field after the command's name, which ends with the last parenthesis.
    fn stands_still(&self) -> bool {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        stat.rsplit_once(") ").is_some_and(|(_, fields)| fields.starts_with('T'))
    }

    /// Lets a held process go on: what came meanwhile reaches it all at once.
    pub fn go_on(&self) {
        self.signal("-CONT");
    }

    /// The configuration's file, with another name service.
    pub fn file_with(&self, names: &Names) -> String {
        let mut config = self.config.clone();
        config["dns"] = json!(names.addr);
        config.to_string()
    }

    /// Replaces the configuration's file and says so.
    pub fn reload(&self, text: &str) {
        let new = self.folder.join("new.json");
        std::fs::write(&new, text).unwrap();
        std::fs::rename(new, self.config_path()).unwrap();
        self.signal("-HUP");
    }

    /// No attempt is called off and sent elsewhere before its time is over. Returns once the program goes by that.
    pub fn forbid_cancelling(&self) {
        let mut config = self.config.clone();
        config["settings"]["ceilings"]["cancel"] = false.into();
        self.reload(&config.to_string());
        let since = Instant::now();
        while !self.log.lock().unwrap().iter().any(|line| line.contains("configuration read again")) {
            assert!(since.elapsed() < PATIENCE, "the program does not read its configuration again");
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// All lines logged so far: a reload that fails is logged after them, and is waited for. It replaces the
    /// configuration's file.
    pub fn log_lines(&self) -> Vec<String> {
        let reloads =
            |lines: &[String]| lines.iter().filter(|l| l.contains("configuration stays as it was")).count();
        let before = reloads(&self.log.lock().unwrap());
        self.reload("");
        let since = Instant::now();
        loop {
            let lines = self.log.lock().unwrap().clone();
            if reloads(&lines) > before {
                return lines;
            }
            assert!(since.elapsed() < PATIENCE, "the program logs no reload");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    pub fn wait(&mut self) -> ExitStatus {
        let since = Instant::now();
        loop {
            match self.child.try_wait().unwrap() {
                Some(status) => return status,
                None => assert!(since.elapsed() < PATIENCE, "the program does not end"),
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Whether the call servers of this run speak H.248 text.
pub fn text_servers() -> bool {
    std::env::var("CORKREACH_RIG_SERVERS").is_ok_and(|v| v == "text")
}

pub fn run(arguments: &[&str]) -> Command {
    run_within(arguments, None)
}

/// The program's command with a limit of its own on the process's descriptors, if any.
fn run_within(arguments: &[&str], open_files: Option<u32>) -> Command {
    let program = env!("CARGO_BIN_EXE_corkreach");
    let mut command = match open_files {
        None => Command::new(program),
        Some(most) => {
            let mut shell = Command::new("sh");
            shell.args(["-c", &format!("ulimit -n {most} && exec \"$0\" \"$@\""), program]);
            shell
        }
    };
    command.args(arguments);
    for variable in ["GW_CONFIG", "GW_LISTEN", "GW_MANAGEMENT", "GW_NAME", "GW_FRONTS", "GW_LIMITS"] {
        command.env_remove(variable);
    }
    command
}

/// How the program is started.
#[derive(Clone, Copy)]
pub struct Start<'a> {
    /// The configuration's limit on descriptors.
    pub sockets: usize,
    /// The system's limit on the process's descriptors, where it is not that of the tests.
    pub open_files: Option<u32>,
    /// The name service answers nothing from the start.
    pub names_silent: bool,
    /// The operator's file of fronts.
    pub fronts: Option<&'a str>,
    /// The program says where text callers connect.
    pub text_callers: bool,
}

impl Default for Start<'_> {
    fn default() -> Self {
        Start { sockets: 1024, open_files: None, names_silent: false, fronts: None, text_callers: false }
    }
}

/// Starts the program with these call servers known.
pub fn start(servers: &[&Server]) -> (Program, Names) {
    start_as(servers, Start::default())
}

/// The same with a limit on descriptors.
pub fn start_with(servers: &[&Server], sockets: usize) -> (Program, Names) {
    start_as(servers, Start { sockets, ..Start::default() })
}

/// The same in any way.
pub fn start_as(servers: &[&Server], start: Start) -> (Program, Names) {
    let listed: Vec<Listed> = servers.iter().map(|s| s.listed.clone()).collect();
    let (program, names, _) = launch(&listed, servers.iter().any(|s| s.text), start);
    (program, names)
}

/// Starts the program with this list known; `text`: call servers on it speak H.248 text.
pub fn launch(list: &[Listed], text: bool, start: Start) -> (Program, Names, Option<SocketAddr>) {
    let write = |path: &Path, config: &str| std::fs::write(path, config).unwrap();
    let (mut program, names) = launch_on(list, text, start, write);
    let text = program.wait_until_it_listens(start.text_callers);
    (program, names, text)
}

/// Starts the program on the file that `provide` makes at the configuration's path, given the configuration's text.
/// It need not listen yet: `Program::wait_until_it_listens` comes before anything else is asked of it.
pub fn launch_on(
    list: &[Listed],
    text: bool,
    start: Start,
    provide: impl FnOnce(&Path, &str),
) -> (Program, Names) {
    let names = Names::start();
    {
        let mut state = names.state.lock().unwrap();
        state.list = list.to_vec();
        state.lose = if start.names_silent { u32::MAX } else { 0 };
    }
    let known: Vec<Value> = list
        .iter()
        .map(|s| {
            json!({"id": s.id, "addr": s.addr, "zone": "aarhus", "kind": "std", "cell": s.place,
            "state": "Ready", "weight": 4, "started_ms": s.started_ms})
        })
        .collect();
    let config = json!({"name": "n0", "listen": "127.0.0.1:0", "management": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": start.sockets}, "dns": names.addr, "settings": settings(),
        "known": {"seq": 1, "results": [{"seq": 1, "fleet": {"version": 1, "full": true, "servers": known}}]}});
    let folder = std::env::temp_dir().join(format!("corkreach-{}-{}", std::process::id(), names.addr.port()));
    std::fs::create_dir_all(&folder).unwrap();
    provide(&folder.join(CONFIG_FILE), &config.to_string());
    let mut arguments = vec!["serve".to_owned()];
    let all_text = "text:\n  servers:\n    all: true\n";
    if let Some(fronts) = start.fronts.or(text.then_some(all_text)) {
        let path = folder.join("fronts.yaml");
        std::fs::write(&path, fronts).unwrap();
        arguments.extend(["--fronts".to_owned(), path.to_str().unwrap().to_owned()]);
    }
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let child = spawn(&folder, run_within(&arguments, start.open_files));
    let log = Log::default();
    (Program { child, addr: NOT_TOLD, management: NOT_TOLD, folder, config, log }, names)
}

/// The same with an operator's file of fronts; with `text_callers` it says where text callers connect.
pub fn start_fronts(
    servers: &[&Server],
    fronts: &str,
    text_callers: bool,
) -> (Program, Names, Option<SocketAddr>) {
    let listed: Vec<Listed> = servers.iter().map(|s| s.listed.clone()).collect();
    let start = Start { fronts: Some(fronts), text_callers, ..Start::default() };
    launch(&listed, servers.iter().any(|s| s.text), start)
}

/// Starts a process with the configuration and the `$TMPDIR` in this folder.
fn spawn(folder: &Path, mut command: Command) -> Child {
    command.env("GW_CONFIG", folder.join(CONFIG_FILE)).env("TMPDIR", folder);
    // A successor speaks as its forerunner.
    if folder.join("fronts.yaml").exists() {
        command.env("GW_FRONTS", folder.join("fronts.yaml"));
    }
    command.stdin(Stdio::null()).stderr(Stdio::piped()).spawn().unwrap()
}

/// What a process tells of its addresses, for callers and for operators; with `text`, it tells the text callers'
/// address first.
fn addresses(child: &mut Child, text: bool, kept: Log) -> (Option<SocketAddr>, SocketAddr, SocketAddr) {
    let mut log = BufReader::new(child.stderr.take().unwrap());
    let mut told = |what: &str| {
        let mut line = String::new();
        while !line.contains(what) {
            line.clear();
            assert!(log.read_line(&mut line).unwrap() > 0, "the program ended before it listened");
        }
        line.trim().rsplit(' ').next().unwrap().parse().unwrap()
    };
    let text = text.then(|| told("text callers on "));
    let (management, addr) = (told("operators on "), told("listening on "));
    // The log is read on, or the program would stand still once the pipe is full.
    // The log is kept where CORKREACH_RIG_LOG says too, for a look at a failure.
    std::thread::spawn(move || {
        let path = std::env::var_os("CORKREACH_RIG_LOG");
        let mut file = path.map(|path| std::fs::File::create(path).unwrap());
        for line in log.lines().map_while(Result::ok) {
            if let Some(file) = &mut file {
                writeln!(file, "{line}").unwrap();
            }
            kept.lock().unwrap().push(line);
        }
    });
    (text, addr, management)
}
