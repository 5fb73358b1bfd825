//! The real program as a process, and what it talks to: callers, call servers and a name service, all here.

use hickory_proto::op::{Message, MessageType, OpCode};
use hickory_proto::rr::rdata::{A, SOA, SRV, TXT};
use hickory_proto::rr::{Name, RData, Record};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Whatever a test waits for comes well within this, or it fails.
pub const PATIENCE: Duration = Duration::from_secs(15);
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

    pub fn gauge(&mut self) {
        self.say(
            json!({"t": "gauge", "ref": "0000000000000000", "f": {"load": "x0:90;x1:100;latency_ms:-1"}}),
        );
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

/// A message to a caller: type, call, and the parameters by code.
pub type Heard = (u8, u64, Vec<(u8, String)>);

impl Caller {
    /// A connection to a program's address for callers.
    pub fn connect(addr: SocketAddr) -> Caller {
        let stream = TcpStream::connect(addr).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Caller { stream }
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

    /// The next message; it is of this type, for this call, with this cause if any.
    pub fn expect(&mut self, kind: u8, call: u64, cause: Option<u8>) -> Heard {
        let heard = self.hear().expect("an open connection");
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
    folder: std::path::PathBuf,
    config: Value,
    log: Log,
}

impl Program {
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
        let (child, addr, management, log) =
            spawn(&self.folder, &["serve", "--listen", &self.addr.to_string()]);
        assert_eq!(addr, self.addr);
        Program { child, addr, management, folder: self.folder.clone(), config: self.config.clone(), log }
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().unwrap().success());
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
        std::fs::rename(new, self.folder.join("config.json")).unwrap();
        self.signal("-HUP");
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
    let mut command = Command::new(env!("CARGO_BIN_EXE_corkreach"));
    command.args(arguments);
    for variable in ["GW_CONFIG", "GW_LISTEN", "GW_MANAGEMENT", "GW_NAME", "GW_FRONTS", "GW_LIMITS"] {
        command.env_remove(variable);
    }
    command
}

/// Starts the program with these call servers known.
pub fn start(servers: &[&Server]) -> (Program, Names) {
    start_with(servers, 1024)
}

/// The same with a limit on descriptors.
pub fn start_with(servers: &[&Server], sockets: usize) -> (Program, Names) {
    let (program, names, _) = launch(servers, sockets, None, false);
    (program, names)
}

fn launch(
    servers: &[&Server],
    sockets: usize,
    fronts: Option<&str>,
    text_callers: bool,
) -> (Program, Names, Option<SocketAddr>) {
    let names = Names::start();
    let list: Vec<Listed> = servers.iter().map(|s| s.listed.clone()).collect();
    names.state.lock().unwrap().list = list.clone();
    let known: Vec<Value> = list
        .iter()
        .map(|s| {
            json!({"id": s.id, "addr": s.addr, "zone": "aarhus", "kind": "std", "cell": s.place,
            "state": "Ready", "weight": 4, "started_ms": s.started_ms})
        })
        .collect();
    let config = json!({"name": "n0", "listen": "127.0.0.1:0", "management": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets}, "dns": names.addr, "settings": settings(),
        "known": {"seq": 1, "results": [{"seq": 1, "fleet": {"version": 1, "full": true, "servers": known}}]}});
    let folder = std::env::temp_dir().join(format!("corkreach-{}-{}", std::process::id(), names.addr.port()));
    std::fs::create_dir_all(&folder).unwrap();
    std::fs::write(folder.join("config.json"), config.to_string()).unwrap();
    let mut arguments = vec!["serve".to_owned()];
    let all_text = "text:\n  servers:\n    all: true\n";
    let text = servers.iter().any(|s| s.text);
    if let Some(fronts) = fronts.or(text.then_some(all_text)) {
        let path = folder.join("fronts.yaml");
        std::fs::write(&path, fronts).unwrap();
        arguments.extend(["--fronts".to_owned(), path.to_str().unwrap().to_owned()]);
    }
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let (child, text, addr, management, log) = spawn_text(&folder, &arguments, text_callers);
    (Program { child, addr, management, folder, config, log }, names, text)
}

/// The same with an operator's file of fronts; with `text_callers` it says where text callers connect.
pub fn start_fronts(
    servers: &[&Server],
    fronts: &str,
    text_callers: bool,
) -> (Program, Names, Option<SocketAddr>) {
    launch(servers, 1024, Some(fronts), text_callers)
}

/// Starts a process with the configuration and the `$TMPDIR` in this folder; it tells its two addresses.
fn spawn(folder: &std::path::Path, arguments: &[&str]) -> (Child, SocketAddr, SocketAddr, Log) {
    let (child, _, addr, management, log) = spawn_text(folder, arguments, false);
    (child, addr, management, log)
}

/// The same; with `text`, the process tells the text callers' address first.
fn spawn_text(
    folder: &std::path::Path,
    arguments: &[&str],
    text: bool,
) -> (Child, Option<SocketAddr>, SocketAddr, SocketAddr, Log) {
    let mut command = run(arguments);
    command.env("GW_CONFIG", folder.join("config.json")).env("TMPDIR", folder);
    // A successor speaks as its forerunner.
    if folder.join("fronts.yaml").exists() {
        command.env("GW_FRONTS", folder.join("fronts.yaml"));
    }
    let mut child = command.stdin(Stdio::null()).stderr(Stdio::piped()).spawn().unwrap();
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
    let lines = Log::default();
    let kept = lines.clone();
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
    (child, text, addr, management, lines)
}
