//! Bookings in several real processes: asked for over the management address, kept by a majority, paid from their own
//! budgets, cut, given back and read again. The parts of bookings and of the operator's budget together are never more
//! than the whole.

use crate::fleet::{BURST, FLOOR, Fleet, Heard, PER_S, Setup};
use crate::{CUT, PASS, nearly_all};
use corkreach::lab::caller::{Class, Tally};
use corkreach::lab::datagrams::Faults;
use corkreach::lab::standin::Mode;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const PATIENCE: Duration = Duration::from_secs(30);
/// Numbers that begin with 4570, and those that begin with 0.
const JOB: std::ops::RangeInclusive<u64> = 0x4570_0000_0000_0000..=0x4570_ffff_ffff_ffff;
const OTHERS: std::ops::RangeInclusive<u64> = 0..=0x0fff_ffff_ffff_ffff;
/// A way on which much is lost and much comes twice.
const LOSSY: Faults = Faults { lose: 0.15, double: 0.15, ..PASS };
/// Bookings that are not used keep all, in tests that are about something else.
const PATIENT: &str = "grace_s: 600";
/// Those that are not used for three seconds keep a tenth, and are given back what is theirs a step a second.
const SHORT: &str = "grace_s: 3, step_s: 1";

/// Of each site 60 a second may be booked; a booking's burst and static parts are the same shares as the operator's.
fn reservations(sites: &str, no_show: &str, more: &str) -> String {
    format!(
        "reservations:\n  notice_min: 0\n  sites: [{sites}]\n  teams:\n    \
         - {{name: bills, per_s: 60, week_set_ups: 10000000, priority_most: 9}}\n    \
         - {{name: polls, per_s: 60, week_set_ups: 10000000, priority_most: 9}}\n  \
         no_show: {{{no_show}}}\n  floor: {FLOOR}\n  burst_s: {}\n{more}",
        BURST / PER_S
    )
}

fn setup(no_show: &str) -> Setup {
    let file = reservations("{name: aarhus, per_s: 100, share: 0.6}", no_show, "");
    Setup { file, ..Setup::default() }
}

/// What becomes of a file's text.
type Change<'a> = &'a dyn Fn(&str) -> String;

fn unix_s() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs()
}

fn minute(unix_s: u64) -> String {
    chrono::DateTime::from_timestamp(unix_s as i64, 0).unwrap().format("%Y-%m-%dT%H:%M").to_string()
}

/// The present minute, once some of it is left: a window may begin with it still when it is decided.
fn this_minute() -> String {
    while unix_s() % 60 > 54 {
        std::thread::sleep(Duration::from_millis(50));
    }
    minute(unix_s())
}

fn job(team: &str, id: &str, start: &str, per_s: f64) -> Value {
    json!({"id": id, "team": team, "class": "voice", "number_prefix": "4570", "per_s": per_s, "start": start,
        "minutes": 10})
}

/// Sends a call; what comes is read later.
fn sent(at: SocketAddr, method: &str, path: &str, body: &str) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(at)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    let length = body.len();
    write!(stream, "{method} {path} HTTP/1.1\r\nHost: n\r\nContent-Length: {length}\r\n\r\n{body}")?;
    Ok(stream)
}

/// Status and JSON; none if the instance is gone.
fn call(at: SocketAddr, method: &str, path: &str, body: &str) -> Option<(u16, Value)> {
    let mut text = String::new();
    sent(at, method, path, body).and_then(|mut stream| stream.read_to_string(&mut text)).ok()?;
    let status = text.split(' ').nth(1)?.parse().ok()?;
    let (_, body) = text.split_once("\r\n\r\n")?;
    Some((status, serde_json::from_str(body).unwrap_or_default()))
}

fn bookings(at: SocketAddr, method: &str, body: &Value) -> Option<(u16, Value)> {
    call(at, method, "/control/bookings", &body.to_string())
}

/// Sends a request again until somebody decides: an answer that is not 503.
fn decided(at: SocketAddr, request: &Value) -> (u16, Value) {
    let since = Instant::now();
    while since.elapsed() < PATIENCE {
        match bookings(at, "POST", request) {
            Some((503, _)) | None => std::thread::sleep(Duration::from_millis(50)),
            Some(answer) => return answer,
        }
    }
    panic!("nobody decides about {request}");
}

/// Books, and says under which number.
fn booked(at: SocketAddr, request: &Value) -> u64 {
    let (status, answer) = decided(at, request);
    assert_eq!(status, 200, "{answer}");
    answer["booked"]["booking"].as_u64().unwrap()
}

fn listed(fleet: &Fleet, i: usize) -> Vec<Value> {
    let (status, listing) = bookings(fleet.management(i), "GET", &Value::Null).unwrap();
    assert_eq!(status, 200);
    listing["bookings"].as_array().unwrap().clone()
}

/// The bookings of an instance with their state.
fn states(fleet: &Fleet, i: usize) -> Vec<(String, String)> {
    let text = |v: &Value| v.as_str().unwrap().to_owned();
    listed(fleet, i).iter().map(|b| (text(&b["request"]["id"]), text(&b["state"]))).collect()
}

fn state_is(fleet: &Fleet, i: usize, wanted: &[(&str, &str)]) -> bool {
    let states = states(fleet, i);
    states.len() == wanted.len() && wanted.iter().all(|(id, s)| states.contains(&((*id).into(), (*s).into())))
}

/// What a booking has, as an instance sees it.
fn granted(fleet: &Fleet, i: usize, id: &str) -> f64 {
    let listed = listed(fleet, i);
    let booking = listed.iter().find(|b| b["request"]["id"] == id).unwrap_or_else(|| panic!("{id}"));
    booking["granted_per_s"].as_f64().unwrap()
}

/// What bookings have by the listing of whoever grants, which alone hears live traffic, and why each is cut.
fn by_grantor(fleet: &Fleet, ids: [&str; 2]) -> Option<[(f64, Option<String>); 2]> {
    let listing = |i| bookings(fleet.management(i), "GET", &Value::Null).unwrap().1;
    let listing = (0..3).map(listing).find(|listing| listing["grantor"] == true)?;
    let of = |id: &str| {
        let booking = listing["bookings"].as_array()?.iter().find(|b| b["request"]["id"] == id)?;
        Some((booking["granted_per_s"].as_f64()?, booking["cut"].as_str().map(str::to_owned)))
    };
    Some([of(ids[0])?, of(ids[1])?])
}

fn all(heard: &[Heard]) -> Tally {
    let mut sum = Tally::default();
    heard.iter().for_each(|h| sum.add(&h.tally));
    sum
}

/// Waits until the booking's and the operator's parts are these at least.
fn until_held(fleet: &Fleet, booking: &str, least: f64, rest: f64) {
    fleet.until("a booking has its parts, and the others theirs", |f| {
        f.held_of(booking) >= least && f.held_of("set-ups") >= rest
    });
}

#[test]
fn a_booked_job_has_its_rate_at_all_instances_under_half_as_much_again() {
    let mut fleet = Fleet::start_with(3, "booked", |_| PASS, setup(PATIENT));
    fleet.booked.push("bills/survey");
    fleet.until_divided(nearly_all());
    let request = job("bills", "survey", &this_minute(), 40.0);
    let number = booked(fleet.management(1), &request);
    assert!((0..3).all(|i| booked(fleet.management(i), &request) == number));
    until_held(&fleet, "bills/survey", 40.0 * (1.0 - FLOOR) * 0.9, 60.0 * (1.0 - FLOOR) * 0.9);
    // A part's bucket starts empty, and chance alone would spend an empty one: its burst is a second's worth.
    let first = fleet.offer_to(JOB, |_| 2.0, Duration::from_secs(2)).heard();
    let job = fleet.offer_to(JOB, |_| 11.0, Duration::from_secs(6));
    let others = fleet.offer_to(OTHERS, |_| 39.0, Duration::from_secs(6));
    let (job, others) = (job.heard(), others.heard());
    let (j, o) = (all(&job), all(&others));
    assert!(j.answered as f64 >= 0.95 * j.offered as f64, "{j:?}");
    assert!(o.answered as f64 >= 0.8 * 60.0 * 6.0 && o.refused > 0, "{o:?}");
    assert!((0..3).all(|i| fleet.figure(i, "gw_share_spent{budget=\"bills/survey\"}") > 30.0));
    assert_eq!(
        bookings(fleet.management(2), "DELETE", &json!({"team": "bills", "id": "survey"})).unwrap().0,
        200
    );
    until_held(&fleet, "set-ups", nearly_all(), nearly_all());
    let heard: Vec<Heard> = first.into_iter().chain(job).chain(others).collect();
    fleet.check(&heard, &[]);
}

#[test]
fn a_request_sent_to_two_instances_at_once_books_once_under_loss_and_doubling() {
    let fleet = Fleet::start_with(3, "twice", |_| PASS, setup(PATIENT));
    fleet.until_divided(nearly_all());
    (0..3).for_each(|i| fleet.links.set_around(i, LOSSY));
    let request = job("bills", "survey", &this_minute(), 10.0);
    let asks: Vec<_> = [0, 2, 0, 2]
        .map(|i| (fleet.management(i), request.clone()))
        .map(|(at, request)| std::thread::spawn(move || booked(at, &request)))
        .into_iter()
        .collect();
    let numbers: Vec<u64> = asks.into_iter().map(|ask| ask.join().unwrap()).collect();
    assert!(numbers.iter().all(|n| *n == numbers[0]), "{numbers:?}");
    for i in 0..3 {
        fleet.until("it is there once", |f| state_is(f, i, &[("survey", "running")]));
    }
    fleet.check(&[], &[]);
}

#[test]
fn of_two_teams_on_two_sides_of_a_split_one_at_most_is_promised_the_last_capacity() {
    let fleet = Fleet::start_with(3, "last", |_| PASS, setup(PATIENT));
    fleet.until_divided(nearly_all());
    let grantor = fleet.grantor();
    let others: Vec<usize> = (0..3).filter(|&i| i != grantor).collect();
    for &other in &others {
        fleet.links.set(grantor, other, CUT);
        fleet.links.set(other, grantor, CUT);
    }
    let start = this_minute();
    let (alone, most) = (job("bills", "alone", &start, 40.0), job("polls", "most", &start, 40.0));
    let (at, ask) = (fleet.management(grantor), alone.clone());
    let cut_off = std::thread::spawn(move || bookings(at, "POST", &ask).unwrap());
    booked(fleet.management(others[0]), &most);
    let (status, answer) = cut_off.join().unwrap();
    assert_eq!((status, &answer["refused"]["reason"]), (503, &"no_grantor".into()));
    for &other in &others {
        fleet.links.set(grantor, other, PASS);
        fleet.links.set(other, grantor, PASS);
    }
    for i in 0..3 {
        fleet.until("all know the one", |f| state_is(f, i, &[("most", "running")]));
    }
    let (status, answer) = decided(fleet.management(grantor), &alone);
    assert_eq!((status, &answer["refused"]["reason"]), (409, &"capacity".into()), "{answer}");
    assert!(!answer["refused"]["nearest"].as_array().unwrap().is_empty());
    fleet.check(&[], &[]);
}

#[test]
fn what_was_answered_outlives_the_grantor_and_what_was_not_is_booked_once_when_sent_again() {
    let mut fleet = Fleet::start_with(3, "killed", |_| PASS, setup(PATIENT));
    fleet.until_divided(nearly_all());
    let start = this_minute();
    let (first, second) = (job("bills", "first", &start, 10.0), job("polls", "second", &start, 10.0));
    let number = booked(fleet.management(0), &first);
    let grantor = fleet.grantor();
    let path = "/control/bookings";
    let cut_short = sent(fleet.management(grantor), "POST", path, &second.to_string()).unwrap();
    fleet.kill(grantor);
    let mut others = (0..3).filter(|&i| i != grantor);
    let (one, other) = (others.next().unwrap(), others.next().unwrap());
    let again = booked(fleet.management(one), &second);
    assert_eq!(booked(fleet.management(other), &second), again);
    assert_eq!(booked(fleet.management(other), &first), number);
    for i in [one, other] {
        fleet
            .until("both are there once", |f| state_is(f, i, &[("first", "running"), ("second", "running")]));
    }
    drop(cut_short);
    fleet.check(&[], &[grantor]);
}

#[test]
fn a_window_that_begins_while_no_grantor_is_reached_runs_on_what_is_known() {
    let mut fleet = Fleet::start_with(4, "alone", |_| PASS, setup(PATIENT));
    fleet.booked.push("bills/later");
    fleet.until_divided(nearly_all());
    // The next minute that is not about to begin.
    let start_s = (unix_s() + 4) / 60 * 60 + 60;
    booked(fleet.management(3), &job("bills", "later", &minute(start_s), 40.0));
    fleet.until("the member knows it", |f| state_is(f, 3, &[("later", "booked")]));
    for keeper in 0..3 {
        fleet.links.set(3, keeper, CUT);
        fleet.links.set(keeper, 3, CUT);
    }
    assert!(unix_s() < start_s, "cut off before it begins");
    // Longer than the wait for any condition.
    std::thread::sleep(Duration::from_secs(start_s.saturating_sub(unix_s())));
    fleet.until("it runs there", |f| state_is(f, 3, &[("later", "running")]));
    let heard = fleet.offer_to(JOB, |i| if i == 3 { 20.0 } else { 0.0 }, Duration::from_secs(4)).heard();
    assert!(fleet.figure(3, "gw_share_spent{budget=\"bills/later\"}") >= 4.0);
    assert_eq!(heard[3].idle, 0, "{heard:?}");
    fleet.check(&heard, &[]);
}

#[test]
fn a_job_that_does_not_come_gives_back_its_rate_and_has_it_again_in_steps() {
    let mut fleet = Fleet::start_with(3, "no-show", |_| PASS, setup(SHORT));
    fleet.booked.push("bills/survey");
    fleet.until_divided(nearly_all());
    booked(fleet.management(1), &job("bills", "survey", &this_minute(), 40.0));
    until_held(&fleet, "bills/survey", 40.0 * (1.0 - FLOOR) * 0.9, 60.0 * (1.0 - FLOOR) * 0.9);
    let others = fleet.offer_to(OTHERS, |_| 40.0, Duration::from_secs(20));
    // Its static parts are for good; all else is the others'.
    fleet.until("it keeps the first step", |f| (0..3).all(|i| granted(f, i, "survey") == 4.0));
    fleet.until("the others have the rest", |f| f.held_of("set-ups") >= nearly_all());
    let job = fleet.offer_to(JOB, |_| 12.0, Duration::from_secs(12));
    fleet.until("it has all again", |f| (0..3).all(|i| granted(f, i, "survey") == 40.0));
    until_held(&fleet, "bills/survey", 40.0 * (1.0 - FLOOR) * 0.9, 0.0);
    // Who grants may be another by now; each says what it decided.
    let said: String = (0..3).map(|i| fleet.said(i)).collect();
    for told in ["4.0 are kept", "it has 12.0 set-ups", "it has 24.0 set-ups", "it has 40.0 set-ups"] {
        assert!(said.contains(told), "{told}");
    }
    let heard: Vec<Heard> = job.heard().into_iter().chain(others.heard()).collect();
    fleet.check(&heard, &[]);
}

#[test]
fn a_lost_site_cuts_the_lower_priority_after_dear_live_traffic() {
    let sites = "{name: aarhus, per_s: 100, share: 0.6}, {name: odense, per_s: 60, share: 0.6}";
    let class = |name: &str, worth, part| Class { name: name.into(), worth, part };
    let classes = vec![class("voice", 1.0, 0.5), class("emergency", 10.0, 0.5)];
    let file = reservations(sites, PATIENT, "");
    let setup = Setup { file, classes, sites: ["aarhus", "odense"], ..Setup::default() };
    let mut fleet = Fleet::start_with(3, "lost-site", |_| PASS, setup);
    fleet.booked.extend(["bills/high", "polls/low"]);
    fleet.until_divided(nearly_all());
    let asked = |team: &str, id: &str, per_s: f64, priority: u8| {
        let mut request = job(team, id, &this_minute(), per_s);
        request["priority"] = priority.into();
        booked(fleet.management(0), &request);
    };
    asked("polls", "low", 20.0, 1);
    asked("bills", "high", 35.0, 5);
    let load = fleet.offer_to(OTHERS, |_| 10.0, Duration::from_secs(14));
    fleet.until_reached(60);
    let ids = ["low", "high"];
    let whole = |f: &Fleet| by_grantor(f, ids) == Some([(20.0, None), (35.0, None)]);
    fleet.until("both have all", whole);
    fleet.serve_in(0, Mode::Down);
    // Of the 60 that are left dear traffic needs 15 and the higher priority 35.
    fleet.until("the lower priority is cut", |f| {
        by_grantor(f, ids).is_some_and(|[(low, why), high]| {
            let cut = why.is_some_and(|why| why.contains("can take less"));
            cut && (4.0..16.0).contains(&low) && high == (35.0, None)
        })
    });
    fleet.serve_in(0, Mode::Answer);
    fleet.until("both have all again", whole);
    // Calls that were out at the lost site may have been failed; none is without an answer.
    fleet.check(&load.heard(), &[]);
}

#[test]
fn a_file_read_again_is_followed_whole_and_a_broken_one_changes_nothing() {
    let mut fleet = Fleet::start_with(3, "reread", |_| PASS, setup(PATIENT));
    fleet.booked.push("bills/nightly");
    fleet.until_divided(nearly_all());
    let booking = |more: &str| {
        let start = minute(unix_s() - 120);
        format!(
            "  bookings: [{{id: nightly, team: bills, class: voice, number_prefix: \"4570\", per_s: 40, \
             start: \"{start}\", minutes: 30{more}}}]\n"
        )
    };
    let all_with = |fleet: &Fleet, change: Change| {
        (0..3).for_each(|i| fleet.rewrite(i, change));
        (0..3).for_each(|i| fleet.signal(i, "HUP"));
    };
    let good = booking("");
    all_with(&fleet, &|old| format!("{old}{good}"));
    until_held(&fleet, "bills/nightly", 40.0 * (1.0 - FLOOR) * 0.9, 60.0 * (1.0 - FLOOR) * 0.9);
    for i in 0..3 {
        fleet.until("all know it", |f| state_is(f, i, &[("nightly", "running")]));
    }
    let wrong: [(Change, &str); 3] = [
        (&|old| format!("{old}{}", booking(", colour: red")), "colour"),
        (&|old| old.replace("floor: 0.2\n", "floor: 2\n"), "floor"),
        (&|old| old.replace("lease_ms: 600", "lease_ms: 700"), "lease_ms: a change needs a restart"),
    ];
    for (change, why) in wrong {
        all_with(&fleet, change);
        for i in 0..3 {
            fleet.until("it says why it stays as it was", |f| {
                let (_, status) = call(f.management(i), "GET", "/control/version", "").unwrap();
                status["reload_failed"].as_str().is_some_and(|failed| failed.contains(why))
            });
            assert_eq!(call(fleet.management(i), "POST", "/control/reload", "").unwrap().0, 409);
            assert!(state_is(&fleet, i, &[("nightly", "running")]), "{why}");
        }
    }
    assert!(fleet.held_of("bills/nightly") >= 40.0 * (1.0 - FLOOR) * 0.9);
    all_with(&fleet, &|old| old.to_owned());
    for i in 0..3 {
        fleet.until("gone from the file, it is cancelled", |f| state_is(f, i, &[("nightly", "cancelled")]));
    }
    fleet.until_divided(nearly_all());
    fleet.check(&[], &[]);
}

#[test]
fn a_fleet_without_reservations_says_so() {
    let fleet = Fleet::start(3, "none", |_| PASS);
    let (status, answer) = bookings(fleet.management(0), "GET", &Value::Null).unwrap();
    assert!(status == 404 && answer["why"].is_string(), "{status} {answer}");
}
