//! Payments on one instance, and attempts that wait for theirs.

use super::*;
use crate::engine::{
    CallerConn, Effect, Event, FromCaller, FromServer, Listing, ServerConn, SetUp, ToCaller, ToServer,
};
use crate::interface::{CallId, Listed, LoadReport};
use crate::terms::{BudgetId, Part};
use serde_json::json;

fn budget(id: u16, spending: Spending, server: Option<&str>, class: Option<&str>) -> Budget {
    Budget {
        id: BudgetId(id),
        name: format!("b{id}"),
        spending,
        server: server.map(str::to_owned),
        site: None,
        class: class.map(str::to_owned),
        number_prefix: None,
        per_s: 10.0,
        burst: 4.0,
        floor: 0.0,
    }
}

fn parts(budgets: &[Budget]) -> Parts {
    // Of classes that differ in worth.
    Parts { dear_from: 2.0, ..Parts::new(Arc::new(Exchange::new(budgets)), 2, 7, 0.0) }
}

fn set_up<'a>(server: &'a str, class: &'a str) -> Payment<'a> {
    let (site, number) = (Some("aarhus"), Some("0045"));
    Payment { spending: Spending::SetUps, server, site, class: Some(class), number, worth: 1.0 }
}

fn give(parts: &mut Parts, budgets: &[u16], until: f64) {
    let part = |&id: &u16| Part { budget: BudgetId(id), per_s: 10.0, burst: 4.0, until, ..Part::default() };
    parts.exchange.publish(budgets.iter().map(part).collect());
    parts.look();
}

#[test]
fn all_that_match_must_agree_and_none_is_charged_if_one_refuses() {
    let all = budget(0, Spending::SetUps, None, None);
    let mut p = parts(&[all, budget(1, Spending::SetUps, Some("s-a"), None)]);
    give(&mut p, &[0], 9000.0);
    p.now = 200.0;
    assert!(!p.pays(&set_up("s-a", "voice")), "the call server's own has nothing");
    assert_eq!(p.purse.level(200.0, BudgetId(0)), 2.0);
    assert!(p.pays(&set_up("s-b", "voice")) && p.pays(&set_up("s-b", "voice")));
    assert!(!p.pays(&set_up("s-b", "voice")));
    let figures = p.figures();
    assert_eq!((figures.budgets[0].spent, figures.budgets[0].refused), (2, 2));
    assert_eq!((figures.budgets[1].spent, figures.budgets[1].refused), (0, 1));
    let (demand, spent) = p.exchange.demands(1000.0);
    assert_eq!((demand[0].per_s, demand[1].per_s, spent), (4.0, 1.0, vec![2, 0]));
}

#[test]
fn what_no_budget_speaks_of_costs_nothing() {
    let mut p = parts(&[budget(0, Spending::SetUps, None, Some("video"))]);
    assert!(p.pays(&set_up("s-a", "voice")));
    assert!(!p.pays(&set_up("s-a", "video")));
    assert!(p.pays(&Payment { spending: Spending::SecondAttempts, ..set_up("s-a", "video") }));
    let prefix = Budget { number_prefix: Some("0046".into()), ..budget(0, Spending::SetUps, None, None) };
    let mut p = parts(&[prefix]);
    assert!(p.pays(&set_up("s-a", "voice")));
    assert!(!p.pays(&Payment { number: Some("00461"), ..set_up("s-a", "voice") }));
}

#[test]
fn under_scarcity_the_dear_are_paid_first_and_nothing_is_kept_where_none_come() {
    let mut p = parts(&[budget(0, Spending::SetUps, None, None)]);
    give(&mut p, &[0], 1e6);
    let pay = |p: &mut Parts, worth| u32::from(p.pays(&Payment { worth, ..set_up("s-a", "voice") }));
    let mut paid = [0; 2];
    // 40 a second want one of 10, every fifth of them of worth 3.
    for i in 0..400u32 {
        p.now = f64::from(i) * 25.0;
        let dear = i % 5 == 0;
        paid[usize::from(dear)] += pay(&mut p, if dear { 3.0 } else { 1.0 });
    }
    assert!(paid[1] >= 78 && (15..=25).contains(&paid[0]), "{paid:?}");
    p.now = 20_000.0;
    assert_eq!((0..9).map(|_| pay(&mut p, 1.0)).sum::<u32>(), 4, "the whole burst, with no dear ones about");
}

#[test]
fn a_jobs_set_ups_are_paid_from_its_booking_and_beyond_it_as_others() {
    let job = Budget {
        number_prefix: Some("0045".into()),
        ..budget(BudgetId::BOOKED, Spending::SetUps, None, None)
    };
    let mut p = parts(&[budget(0, Spending::SetUps, None, None), job]);
    give(&mut p, &[0, BudgetId::BOOKED], 9000.0);
    p.now = 200.0;
    assert_eq!((0..9).filter(|_| p.pays(&set_up("s-a", "voice"))).count(), 4, "two of each");
    assert!(!p.pays(&Payment { number: None, ..set_up("s-a", "voice") }));
    let figures = p.figures();
    assert_eq!((figures.budgets[0].spent, figures.budgets[1].spent), (2, 2));
}

/// A control thread that died or is stuck publishes nothing more: its parts lapse, and no answer waits for it.
#[test]
fn parts_lapse_by_the_monotonic_clock_where_nobody_renews_them() {
    let mut p = parts(&[budget(0, Spending::SetUps, None, None)]);
    give(&mut p, &[0], 600.0);
    p.now = 599.0;
    assert!(p.pays(&set_up("s-a", "voice")));
    p.now = 2400.0;
    assert!(!p.pays(&set_up("s-a", "voice")));
}

#[test]
fn second_attempts_need_room_only_where_they_have_a_budget_and_advice_is_spread() {
    let p = parts(&[budget(0, Spending::SetUps, None, None)]);
    assert!(p.has_room(0.9));
    let mut p = parts(&[budget(0, Spending::SecondAttempts, None, None)]);
    assert!(p.has_room(0.0) && !p.has_room(0.4));
    let advice: Vec<f64> = (0..200).map(|_| p.stay_away_ms(2000.0)).collect();
    assert!(advice.iter().all(|ms| (500.0..=2000.0).contains(ms)));
    let late = advice.iter().filter(|&&ms| ms > 1250.0).count();
    assert!((60..140).contains(&late), "{late} of 200 in the later half");
    assert_eq!(p.stay_away_ms(0.0), 0.0);
}

fn held(p: &mut Parts, worth: f64, n: usize) {
    let one = || Held { call: CallId(1), server: ServerId(0), worth, budget: Some(BudgetId(0)), until: 0.0 };
    p.held.extend(std::iter::repeat_with(one).take(n));
}

const ID: Option<BudgetId> = Some(BudgetId(0));

#[test]
fn the_dearest_wait_for_their_turn_others_a_moment_and_none_in_vain() {
    let mut p = parts(&[budget(0, Spending::SetUps, None, None)]);
    give(&mut p, &[0], 1e6);
    let mut pay = |worth, waiting: usize, left_ms| {
        p.held.clear();
        held(&mut p, 3.0, waiting);
        p.pay(&Payment { worth, ..set_up("s-a", "voice") }, ServerId(0), true, (left_ms, 0.0))
    };
    // Ten a second, and nothing is there yet.
    assert_eq!(pay(3.0, 0, 2000.0), Paid::Later(700.0, ID));
    assert_eq!(pay(1.0, 0, 2000.0), Paid::Later(250.0, ID));
    assert_eq!(pay(1.0, 3, 2000.0), Paid::No, "three that are dearer take all for longer than that");
    assert_eq!(pay(3.0, 6, 2000.0), Paid::Later(700.0, ID));
    assert_eq!(pay(3.0, 7, 2000.0), Paid::No);
    assert_eq!(pay(3.0, 0, 1000.0), Paid::Later(300.0, ID), "the set-up itself takes time");
    assert_eq!(pay(3.0, 0, 700.0), Paid::No);
    assert_eq!(p.figures().budgets[0].refused, 3, "one that waits is neither paid nor refused yet");
}

#[test]
fn nobody_overtakes_one_that_waits_and_is_worth_as_much() {
    let mut p = parts(&[budget(0, Spending::SetUps, None, None)]);
    give(&mut p, &[0], 1e6);
    p.now = 400.0;
    held(&mut p, 2.0, 1);
    let pay = |p: &mut Parts, worth, server| {
        p.pay(&Payment { worth, ..set_up("s-a", "voice") }, ServerId(server), true, (2000.0, 0.0))
    };
    assert!(matches!(pay(&mut p, 2.0, 0), Paid::Later(..)));
    assert_eq!(pay(&mut p, 3.0, 0), Paid::Now, "a dearer one goes first");
    assert!(matches!(pay(&mut p, 2.0, 1), Paid::Later(..)), "the budget is the same at another call server");
    p.held[0].budget = None;
    assert_eq!(pay(&mut p, 2.0, 1), Paid::Now, "it waits for that call server alone");
    let wait = |p: &mut Parts, held_ms| {
        p.pay(&Payment { worth: 2.0, ..set_up("s-a", "voice") }, ServerId(0), true, (2000.0, held_ms))
    };
    assert_eq!(wait(&mut p, 100.0), Paid::Later(150.0, ID), "placed anew it waits on, not afresh");
    assert_eq!(wait(&mut p, 245.0), Paid::No);
    let later = Payment { spending: Spending::SecondAttempts, worth: 3.0, ..set_up("s-b", "voice") };
    assert_eq!(
        p.pay(&later, ServerId(1), false, (2000.0, 0.0)),
        Paid::No,
        "a pressed call server is not waited for"
    );
}

#[test]
fn a_later_attempt_is_paid_from_what_the_set_ups_leave() {
    let all =
        [budget(0, Spending::SecondAttempts, None, None), budget(1, Spending::SetUps, Some("s-a"), None)];
    let mut p = parts(&all);
    give(&mut p, &[0, 1], 1e6);
    p.now = 400.0;
    let later = |server| Payment { spending: Spending::SecondAttempts, ..set_up(server, "voice") };
    assert!((0..3).all(|_| p.pays(&set_up("s-a", "voice"))));
    assert!(p.pays(&later("s-a")), "the last of four");
    assert!(!p.pays(&later("s-a")), "its set-ups' budget is spent, whatever the other has");
    assert!(p.pays(&later("s-b")), "where no set-ups are bounded its own alone counts");
    let spent: Vec<u64> = p.figures().budgets.iter().map(|b| b.spent).collect();
    assert_eq!(spent, [2, 4]);
}

const BORN: f64 = 1_000_000.0;

/// An engine under these budgets, split evenly for good in a fleet of one, with an open connection to each of two call
/// servers; its monotonic clock stands at 1,000 ms.
fn engine(budgets: &[Budget]) -> Engine {
    let class = |name: &str, worth: f64| json!({"name": name, "deadline_ms": 9000.0, "target_ms": 1500.0, "worth": worth});
    let settings = json!({"siblings": 1, "services": [class("voice", 1.0), class("other", 0.5)], "ceilings": {"attempts_cap": 5, "dial_timeout_ms": 500.0, "retry_after": true,
        "max_retry_after_ms": 2000.0, "open_cap": 100}, "rules": {"cold_from": 0.3, "cold_ms": 9000.0,
        "fall_multiple": 2.5, "fall_ms": 1500.0}, "specifics": {"guard_ms": 300.0, "class_width": [1, 1],
        "pools_by_class": [[0, 1], [0, 1]]}});
    let text = settings.to_string();
    let (settings, _) = crate::settings::parse(text.as_bytes()).unwrap();
    let host = crate::settings::parse_host(text.as_bytes()).unwrap();
    let exchange = Arc::new(Exchange::new(budgets));
    let mut engine = Engine::new(settings, host, 1, BORN).with_shares(exchange, 1, 1, 0.0);
    let listed = |(place, name): (usize, &str)| Listing {
        name: name.into(),
        zone: None,
        addr: std::net::SocketAddr::from(([127, 0, 0, 1], place as u16 + 1)),
        place: place as u32,
        state: Listed::Ready,
        started_at: None,
    };
    let servers = ["s-a", "s-b"].into_iter().enumerate().map(listed).collect();
    let mut out = Vec::new();
    engine.step(BORN, Event::List { serial: 1, servers }, &mut out);
    for effect in std::mem::take(&mut out) {
        let Effect::Dial { conn, .. } = effect else { panic!("{effect:?}") };
        engine.step(BORN, Event::ServerOpened(conn), &mut out);
        let message = FromServer::State(LoadReport::default());
        engine.step(BORN, Event::Server { conn, message }, &mut out);
    }
    engine.step(BORN, Event::CallerOpened(CallerConn(1)), &mut out);
    engine.monotonic(1000.0);
    engine
}

/// What becomes of a set-up that wants this place: the call servers to which attempts go, and answers.
fn offer(engine: &mut Engine, call: u64, place: u32) -> Vec<Effect> {
    let set_up = SetUp {
        call: CallId(call),
        class: "voice".into(),
        wait_ms: 2000.0,
        number: Some("0045".into()),
        first_choice: Some(place),
        width: 1,
        ..SetUp::default()
    };
    let mut out = Vec::new();
    let (conn, read_at) = (CallerConn(1), engine.now);
    engine.step(engine.now, Event::Caller { conn, read_at, message: FromCaller::SetUp(set_up) }, &mut out);
    out
}

fn later(engine: &mut Engine, ms: f64) -> Vec<Effect> {
    let mut out = Vec::new();
    let shares_now = engine.shares.as_ref().map_or(0.0, |s| s.now);
    engine.monotonic(shares_now + ms);
    engine.step(engine.now + ms, Event::Tick, &mut out);
    out
}

fn sent_to(engine: &Engine, effects: &[Effect]) -> Vec<String> {
    let name = |conn: &ServerConn| engine.fleet.by_conn.get(conn).map(|&id| engine.fleet.name(id).to_owned());
    let set_up = |effect: &Effect| match effect {
        Effect::ToServer { conn, message: ToServer::SetUp { .. }, .. } => name(conn),
        _ => None,
    };
    effects.iter().filter_map(set_up).collect()
}

fn refusals(effects: &[Effect]) -> usize {
    effects.iter().filter(|e| matches!(e, Effect::ToCaller { message: ToCaller::Refused { .. }, .. })).count()
}

#[test]
fn a_call_goes_where_there_is_a_budget_left_and_else_waits_for_the_next() {
    let of = |id, server, per_s| Budget {
        burst: 1.0,
        floor: 1.0,
        per_s,
        ..budget(id, Spending::SetUps, Some(server), None)
    };
    let mut engine = engine(&[of(0, "s-a", 10.0), of(1, "s-b", 10.0)]);
    let out = offer(&mut engine, 1, 0);
    assert_eq!(sent_to(&engine, &out), ["s-a"]);
    let out = offer(&mut engine, 2, 0);
    assert_eq!(sent_to(&engine, &out), ["s-b"], "that of its wish is spent");
    let out = offer(&mut engine, 3, 0);
    assert_eq!(out, [], "it waits");
    assert_eq!(later(&mut engine, 50.0), []);
    let out = later(&mut engine, 60.0);
    assert_eq!(sent_to(&engine, &out), ["s-a"]);
}

#[test]
fn one_that_is_not_paid_in_its_time_is_refused_once_and_one_whose_server_drains_goes_elsewhere() {
    let of = |id, server, per_s| Budget {
        burst: 1.0,
        floor: 1.0,
        per_s,
        ..budget(id, Spending::SetUps, Some(server), None)
    };
    let mut engine = engine(&[of(0, "s-a", 0.5), of(1, "s-b", 0.1)]);
    assert_eq!(offer(&mut engine, 1, 0), [], "it may come to be paid");
    assert_eq!(refusals(&offer(&mut engine, 2, 1)), 0, "and so may one at the other");
    assert_eq!(refusals(&offer(&mut engine, 3, 0)), 1, "a third would wait in vain");
    let mut out = Vec::new();
    (0..80).for_each(|_| out.extend(later(&mut engine, 10.0)));
    assert_eq!((refusals(&out), sent_to(&engine, &out)), (2, vec![]), "{out:?}");
    assert!(engine.calls.none_in_set_up());

    let server = engine.fleet.ids["s-a"];
    assert_eq!(offer(&mut engine, 4, 0), []);
    let drains = |s: &super::super::fleet::Server| Listing { state: Listed::Draining, ..s.listing.clone() };
    let servers =
        engine.fleet.servers.iter().map(|(&id, s)| if id == server { drains(s) } else { s.listing.clone() });
    let servers: Vec<Listing> = servers.collect();
    let mut out = Vec::new();
    engine.step(engine.now, Event::List { serial: 2, servers }, &mut out);
    (0..2).for_each(|_| out.extend(later(&mut engine, 10.0)));
    assert_eq!(engine.calls.out_at(server), 0, "{out:?}");
}

/// Those that waited counted as a line of the call server's, for which set-ups of a booking were refused.
#[test]
fn where_all_calls_are_worth_the_same_none_waits() {
    let mut p = parts(&[budget(0, Spending::SetUps, None, None)]);
    p.dear_from = f64::INFINITY;
    give(&mut p, &[0], 9000.0);
    let pay = |p: &mut Parts| p.pay(&set_up("s-a", "voice"), ServerId(1), true, (5000.0, 0.0));
    assert_eq!(pay(&mut p), Paid::No, "nothing is left yet");
    p.now = 200.0;
    assert_eq!(pay(&mut p), Paid::Now);
}

/// A caller leaves while its set-up waits for a budget: by closing its connection, shutting its side of it, or giving
/// the set-up up. Once the budget has something again, nothing goes out for it.
#[test]
fn a_set_up_that_waits_for_a_budget_is_not_sent_for_a_caller_that_left() {
    let of =
        |id, server| Budget { burst: 1.0, floor: 1.0, ..budget(id, Spending::SetUps, Some(server), None) };
    let conn = CallerConn(1);
    let gives_up = Event::Caller { conn, read_at: BORN, message: FromCaller::Release(CallId(3)) };
    let closes = Event::CallerClosed { conn, unsent: Vec::new() };
    for leaves in [gives_up, closes, Event::CallerEof(conn)] {
        let mut engine = engine(&[of(0, "s-a"), of(1, "s-b")]);
        for call in [1, 2] {
            let out = offer(&mut engine, call, 0);
            assert_eq!(sent_to(&engine, &out).len(), 1);
        }
        assert_eq!(offer(&mut engine, 3, 0), [], "it waits");
        let mut out = Vec::new();
        engine.step(engine.now, leaves.clone(), &mut out);
        (0..30).for_each(|_| out.extend(later(&mut engine, 10.0)));
        assert_eq!(sent_to(&engine, &out), Vec::<String>::new(), "{leaves:?}");
    }
}
