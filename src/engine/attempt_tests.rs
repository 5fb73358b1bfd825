//! Words of call servers that come late, twice or on another connection: to which attempt of a call they belong.

use super::tests::engine;
use super::*;
use crate::interface::{CallId, LoadReport};

const CALLER: CallerConn = CallerConn(1);
const CALL: CallId = CallId(0xabcdef);

/// An engine with one call server, driven by events.
struct Rig {
    engine: Engine,
    conn: ServerConn,
    now: f64,
}

impl Rig {
    fn new() -> Rig {
        let (engine, _, conn) = engine();
        let now = engine.now;
        let mut rig = Rig { engine, conn, now };
        rig.step(Event::CallerOpened(CALLER));
        rig
    }

    fn step(&mut self, event: Event) -> Vec<Effect> {
        let mut out = Vec::new();
        self.engine.step(self.now, event, &mut out);
        out
    }

    fn after(&mut self, ms: f64) -> Vec<Effect> {
        self.now += ms;
        self.step(Event::Tick)
    }

    fn set_up(&mut self, call: CallId) -> Vec<Effect> {
        let set_up = SetUp {
            call,
            class: "voice".into(),
            wait_ms: 9000.0,
            width: 1,
            description: "d".into(),
            ..SetUp::default()
        };
        let message = FromCaller::SetUp(set_up);
        self.step(Event::Caller { conn: CALLER, read_at: self.now, message })
    }

    /// The connection of the set-up of this call among these effects.
    fn sent(effects: &[Effect], call: CallId) -> Option<ServerConn> {
        effects.iter().find_map(|e| match e {
            Effect::ToServer { conn, message: ToServer::SetUp { call: of, .. }, .. } if *of == call => {
                Some(*conn)
            }
            _ => None,
        })
    }

    fn release(&mut self, call: CallId) -> Vec<Effect> {
        let message = FromCaller::Release(call);
        self.step(Event::Caller { conn: CALLER, read_at: self.now, message })
    }

    fn answer(&mut self, conn: ServerConn, call: CallId) -> Vec<Effect> {
        let message = FromServer::Answer { call, description: Some("d".into()) };
        self.step(Event::Server { conn, message })
    }

    fn end(&mut self, conn: ServerConn, call: CallId, how: Ending) -> Vec<Effect> {
        let message = FromServer::Ended { call, how, report: LoadReport::default() };
        self.step(Event::Server { conn, message })
    }

    /// The connection that was dialled is open, and the call server has told its state there.
    fn open(&mut self, effects: &[Effect]) -> ServerConn {
        let dialled = |e: &Effect| match e {
            Effect::Dial { conn, .. } => Some(*conn),
            _ => None,
        };
        let conn = effects.iter().find_map(dialled).expect("a connection is dialled");
        self.step(Event::ServerOpened(conn));
        self.step(Event::Server { conn, message: FromServer::State(LoadReport::default()) });
        conn
    }
}

fn told(effects: &[Effect], call: CallId) -> usize {
    let of_call = |e: &&Effect| matches!(e, Effect::ToCaller { message: ToCaller::Released { call: of, .. }, .. } if *of == call);
    effects.iter().filter(of_call).count()
}

/// Guards against a second final answer: the end of a call whose answer was lost is passed on as news from before the start
/// once enough other calls have come and gone.
#[test]
fn the_end_of_a_call_refused_long_ago_is_not_passed_on() {
    let mut rig = Rig::new();
    rig.set_up(CALL);
    rig.now += 1000.0;
    let lost = rig.step(Event::ServerLost { conn: rig.conn, how: Lost::Reset });
    rig.release(CALL);
    let conn = rig.open(&lost);
    for call in 1..=5000 {
        rig.now += 10.0;
        rig.set_up(CallId(call));
        rig.answer(conn, CallId(call));
        rig.release(CallId(call));
    }
    assert_eq!(told(&rig.end(conn, CALL, Ending::Normal), CALL), 0);
    let before_the_start = CallId(0xfedcba);
    assert_eq!(told(&rig.end(conn, before_the_start, Ending::Normal), before_the_start), 1);
}

/// Guards against a release that is overtaken: a call that was called off went to the same call server again, on another
/// connection, while the release of its first attempt was unread there. Read late, that cut the call that stood.
#[test]
fn a_call_goes_to_a_call_server_again_only_once_its_release_there_was_read() {
    let mut rig = Rig::new();
    let first = rig.conn;
    assert_eq!(Rig::sent(&rig.set_up(CALL), CALL), Some(first));
    let dialled = rig.after(250.0);
    let second = rig.open(&dialled);
    let next = CallId(7);
    assert_eq!(Rig::sent(&rig.set_up(next), next), Some(second));
    let overtaken = rig.answer(second, next);
    assert!(overtaken.contains(&Effect::CloseServer(first)), "{overtaken:?}");
    for _ in 0..5 {
        assert_eq!(Rig::sent(&rig.after(80.0), CALL), None, "its call server may not know that it is over");
    }
    rig.step(Event::ServerLost { conn: first, how: Lost::Closed });
    let sent = (0..5).find_map(|_| Rig::sent(&rig.after(50.0), CALL));
    assert!(sent.is_some_and(|conn| conn != first), "the call server closed its side: {sent:?}");
}

/// Guards against a third attempt beside the second: a "moot" that came twice ended the attempt that followed the first.
#[test]
fn a_second_copy_of_a_moot_answer_does_not_end_the_next_attempt() {
    let mut rig = Rig::new();
    let first = rig.conn;
    rig.set_up(CALL);
    rig.now += 20.0;
    let dialled = rig.end(first, CALL, Ending::NotSent);
    assert_eq!(Rig::sent(&dialled, CALL), None, "not on the connection of the first");
    rig.now += 1.0;
    let Some(Effect::Dial { conn: second, .. }) = dialled.iter().find(|e| matches!(e, Effect::Dial { .. }))
    else {
        panic!("{dialled:?}")
    };
    assert_eq!(Rig::sent(&rig.step(Event::ServerOpened(*second)), CALL), Some(*second));
    let copy = rig.end(first, CALL, Ending::NotSent);
    assert!(copy.is_empty(), "{copy:?}");
    let answered = rig.answer(*second, CALL);
    assert!(answered.iter().any(|e| matches!(e, Effect::ToCaller { message: ToCaller::Answer { .. }, .. })));
}
