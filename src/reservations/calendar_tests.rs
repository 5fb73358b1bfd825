//! Local times at their hard places, and the rules that look at the calendar.

use super::book::{Book, Op, hour_of};
use super::calendar::unroll;
use super::tests::{job, minute_of, reason, settings};
use super::*;
use proptest::prelude::*;

const NOW: &str = "2026-12-01T10:00:00Z";

fn starts(request: &Request, now: &str) -> Vec<String> {
    let found = unroll(request, &settings(), minute_of(now)).unwrap();
    found.spans.iter().map(|&s| calendar::window(chrono_tz::Europe::Copenhagen, s).start).collect()
}

fn recurring(start: &str, minutes: u32, rrule: &str) -> Request {
    Request { rrule: Some(rrule.into()), ..job("bills", "a", start, minutes, 10.0) }
}

#[test]
fn an_hour_that_is_leapt_over_is_the_one_after_it() {
    // 2027-03-28 02:00 is 03:00 in Copenhagen.
    let daily = recurring("2027-03-27T02:30", 60, "FREQ=DAILY;COUNT=3");
    assert_eq!(
        starts(&daily, NOW),
        ["2027-03-27T02:30+01:00", "2027-03-28T03:30+02:00", "2027-03-29T02:30+02:00"]
    );
    // A window over the change lasts as many minutes as it says.
    let over = unroll(&job("bills", "a", "2027-03-28T01:30", 60, 1.0), &settings(), minute_of(NOW)).unwrap();
    let (start, end) = (minute_of("2027-03-28T01:30:00+01:00"), minute_of("2027-03-28T03:30:00+02:00"));
    assert_eq!(over.spans, [Span { start, end }]);
    // 02:00 and 03:00 are one instant there, and it is booked once.
    let hourly = recurring("2027-03-28T01:00", 60, "FREQ=HOURLY;COUNT=4");
    assert_eq!(
        starts(&hourly, NOW),
        ["2027-03-28T01:00+01:00", "2027-03-28T03:00+02:00", "2027-03-28T04:00+02:00"]
    );
}

#[test]
fn an_hour_that_comes_twice_is_meant_the_first_time() {
    let daily = recurring("2026-10-24T02:30", 60, "FREQ=DAILY;COUNT=3");
    let found = starts(&daily, "2026-10-01T00:00:00Z");
    assert_eq!(found, ["2026-10-24T02:30+02:00", "2026-10-25T02:30+02:00", "2026-10-26T02:30+01:00"]);
    // Whole days that touch go on touching over the day of 23 hours, and leave an hour on that of 25.
    let days = recurring("2027-03-27T00:00", 1440, "FREQ=DAILY;COUNT=3");
    let spans = unroll(&days, &settings(), minute_of(NOW)).unwrap().spans;
    assert_eq!(spans.iter().map(|s| s.end - s.start).collect::<Vec<_>>(), [1440, 1380, 1440]);
    assert!(spans.windows(2).all(|w| w[0].end == w[1].start));
}

#[test]
fn the_29th_of_february_comes_in_leap_years_only() {
    let far = Settings { horizon_days: 3660, ..settings() };
    let yearly = recurring("2028-02-29T09:00", 30, "FREQ=YEARLY");
    let spans = unroll(&yearly, &far, minute_of(NOW)).unwrap().spans;
    let at = |text| minute_of(text);
    let wanted = [at("2028-02-29T08:00:00Z"), at("2032-02-29T08:00:00Z"), at("2036-02-29T08:00:00Z")];
    assert_eq!(spans.iter().map(|s| s.start).collect::<Vec<_>>(), wanted);
    let last = recurring("2027-01-31T09:00", 30, "FREQ=MONTHLY;BYMONTHDAY=-1;COUNT=2");
    assert_eq!(starts(&last, NOW), ["2027-01-31T09:00+01:00", "2027-02-28T09:00+01:00"]);
    assert!(matches!(
        unroll(&job("bills", "a", "2027-02-29T09:00", 30, 1.0), &settings(), minute_of(NOW)),
        Err((Reason::Malformed, _))
    ));
}

#[test]
fn holidays_and_freezes_are_left_out_of_a_rule_and_refused_alone() {
    let daily = recurring("2026-12-24T22:00", 180, "FREQ=DAILY;UNTIL=20270102");
    let found = unroll(&daily, &settings(), minute_of(NOW)).unwrap();
    // From the 24th on into the 25th, which is a holiday; on the 29th on into the freeze.
    let kept: Vec<_> = found.spans.iter().map(|s| s.start).collect();
    let wanted = [
        "2026-12-26T22:00+01:00",
        "2026-12-27T22:00+01:00",
        "2026-12-28T22:00+01:00",
        "2027-01-02T22:00+01:00",
    ];
    assert_eq!(kept, wanted.map(|t| minute_of(&t.replace("+01", ":00+01"))));
    assert_eq!(found.left_out.len(), 6);
    assert_eq!(
        (found.left_out[0].why.as_str(), found.left_out[5].why.as_str()),
        ("holiday 2026-12-25", "year's end")
    );
    let mut alone = job("bills", "a", "2026-12-25T09:00", 60, 1.0);
    assert_eq!(refusal(&Book::default(), &alone).0, Reason::Holiday);
    alone.on_holidays = true;
    assert!(decide(&Book::default(), &alone).is_ok());
    alone.start = "2026-12-30T09:00".into();
    let (why, nearest) = refusal(&Book::default(), &alone);
    assert_eq!((why, nearest[0].as_str()), (Reason::Freeze, "2026-12-29T23:00+01:00"));
}

#[test]
fn a_rules_end_is_read_in_every_form_and_a_bad_rule_is_refused() {
    for until in ["20261204", "20261204T090000", "20261204T080000Z"] {
        let daily = recurring("2026-12-02T09:00", 30, &format!("FREQ=DAILY;UNTIL={until}"));
        assert_eq!(starts(&daily, NOW).len(), 3, "{until}");
    }
    for (rule, why) in [
        ("FREQ=MINUTELY", Reason::Malformed),
        ("FREQ=DAILY;UNTIL=tomorrow", Reason::Malformed),
        ("DAILY", Reason::Malformed),
        ("FREQ=HOURLY", Reason::Occurrences),
        ("FREQ=YEARLY;BYMONTH=2;BYMONTHDAY=30", Reason::Occurrences),
    ] {
        let found = unroll(&recurring("2026-12-02T09:00", 30, rule), &settings(), minute_of(NOW));
        assert_eq!(found.unwrap_err().0, why, "{rule}");
    }
    let over = recurring("2026-12-02T09:00", 90, "FREQ=HOURLY;COUNT=3");
    assert_eq!(unroll(&over, &settings(), minute_of(NOW)).unwrap_err().0, Reason::Overlap);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    #[test]
    fn any_rule_is_unrolled_or_refused(
        freq in prop::sample::select(vec!["HOURLY", "DAILY", "WEEKLY", "MONTHLY", "YEARLY"]),
        parts in prop::collection::vec(
            (
                prop::sample::select(vec![
                    "INTERVAL", "COUNT", "BYDAY", "BYMONTHDAY", "BYYEARDAY", "BYWEEKNO", "BYMONTH", "BYHOUR",
                    "BYSETPOS", "WKST", "UNTIL",
                ]),
                prop_oneof![
                    (-400i32..70_000).prop_map(|n| n.to_string()),
                    "(-?[0-9]{0,2}(MO|TU|SU)|-?[0-9]{1,3})(,-?[0-9]{1,2}(MO|FR)?){0,2}",
                    "[0-9]{8}(T[0-9]{6}Z?)?",
                ],
            ),
            0..4,
        ),
    ) {
        let parts: Vec<String> = parts.into_iter().map(|(key, value)| format!(";{key}={value}")).collect();
        let request = recurring("2026-12-02T09:00", 10, &format!("FREQ={freq}{}", parts.concat()));
        if let Ok(found) = unroll(&request, &settings(), minute_of(NOW)) {
            prop_assert!(found.spans.windows(2).all(|w| w[0].end <= w[1].start));
            prop_assert!(found.spans.len() <= 1000);
        }
    }
}

fn decide(book: &Book, request: &Request) -> Result<(Placed, Answer), Answer> {
    let now = minute_of(NOW);
    rules::decide(book, &settings(), now, u64::from(now) * 60_000, request, false)
}

fn refusal(book: &Book, request: &Request) -> (Reason, Vec<String>) {
    match decide(book, request) {
        Err(Answer::Refused { reason, nearest, .. }) => {
            (reason, nearest.into_iter().map(|w| w.start).collect())
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn each_rule_refuses_with_its_reason() {
    let book = Book::default();
    let good = job("bills", "a", "2026-12-02T09:00", 60, 10.0);
    assert!(decide(&book, &good).is_ok());
    let refused = |change: &dyn Fn(&mut Request)| {
        let mut request = good.clone();
        change(&mut request);
        refusal(&book, &request).0
    };
    assert_eq!(refused(&|r| r.team = "others".into()), Reason::Unknown);
    assert_eq!(refused(&|r| r.site = Some("ribe".into())), Reason::Unknown);
    assert_eq!(refused(&|r| r.per_s = f64::NAN), Reason::Malformed);
    assert_eq!(refused(&|r| r.zone = Some("Mars/North".into())), Reason::Malformed);
    assert_eq!(refused(&|r| r.start = "2026-12-01T11:20".into()), Reason::Notice);
    assert_eq!(refused(&|r| r.start = "2028-12-01T11:20".into()), Reason::TooFar);
    assert_eq!(refused(&|r| r.minutes = 481), Reason::TooLong);
    assert_eq!(refused(&|r| r.priority = 6), Reason::Priority);
    assert_eq!(refused(&|r| r.per_s = 61.0), Reason::TeamRate);
    assert_eq!(refused(&|r| (r.per_s, r.site) = (31.0, Some("odense".into()))), Reason::Capacity);
    // 20 a second for 5 hours are 360,000 a day.
    let week = |r: &mut Request| {
        (r.per_s, r.minutes, r.rrule) = (20.0, 300, Some("FREQ=DAILY;COUNT=2".into()));
    };
    assert_eq!(refused(&week), Reason::TeamWeek);
}

#[test]
fn the_nearest_windows_that_fit_are_named_and_do_fit() {
    let mut book = Book::default();
    let taken = job("polls", "t", "2026-12-02T08:00", 120, 50.0);
    let (placed, _) = decide(&book, &taken).unwrap_or_else(|e| panic!("{e:?}"));
    book.apply(1, &Op::Book(Box::new(placed)));
    let asked = job("bills", "a", "2026-12-02T09:00", 60, 40.0);
    let (why, nearest) = refusal(&book, &asked);
    assert_eq!(why, Reason::Capacity);
    assert_eq!(nearest, ["2026-12-02T10:00+01:00", "2026-12-02T10:15+01:00", "2026-12-02T10:30+01:00"]);
    for start in nearest {
        assert!(decide(&book, &Request { start: start[..16].into(), ..asked.clone() }).is_ok());
    }
}

#[test]
fn less_may_be_booked_in_hours_that_live_traffic_needed() {
    let mut book = Book::default();
    let at = minute_of("2026-12-02T08:00:00Z");
    let mut asked = job("bills", "a", "2026-12-02T09:00", 60, 50.0);
    asked.site = Some("aarhus".into());
    assert!(decide(&book, &asked).is_ok());
    let peak = |hour: usize, per_s| Op::Peak { site: "aarhus".into(), hour: hour as u32, per_s };
    for hour in 0..168 {
        book.apply(1, &peak(hour, 20.0));
    }
    // 80 with the margin are 88 of 100: 12 are left of the 50 that may be booked elsewhere.
    book.apply(2, &peak(hour_of(at), 80.0));
    assert_eq!(refusal(&book, &asked).0, Reason::Capacity);
    asked.per_s = 12.0;
    assert!(decide(&book, &asked).is_ok());
    // Four calm weeks, and it is forgotten.
    for week in 1..5 {
        book.apply(3, &peak(hour_of(at) + 168 * week, 20.0));
    }
    asked.per_s = 50.0;
    assert!(decide(&book, &asked).is_ok());
}

#[test]
fn settings_that_can_not_be_followed_are_refused() {
    let wrong = |text: &str, more: &str| Settings::parse(&format!("{text}{more}")).unwrap_err();
    let good = "sites: [{name: a, per_s: 10}]\nteams: [{name: t, per_s: 5, week_set_ups: 100}]\n";
    assert!(Settings::parse(good).is_ok());
    assert!(wrong(good, "zone: Mars\n").contains("zone"));
    assert!(wrong(good, "notice: 5\n").contains("notice"));
    assert!(wrong(good, "no_show: {steps: [0.5, 0.2]}\n").contains("no_show.steps"));
    assert!(wrong(good, "floor: 2\n").contains("floor"));
    assert!(
        wrong(good, "freezes: [{from: 2027-01-02T00:00:00, to: 2027-01-01T00:00:00}]\n").contains("freezes")
    );
    assert!(
        wrong(good, "bookings: [{id: x, team: t, class: c, per_s: 0, start: y, minutes: 1}]\n")
            .contains("per_s")
    );
    assert!(wrong("teams: []\n", "").contains("sites"));
    let page = include_str!("../../docs/operations-reservations.md");
    let example = page.split("```yaml\n").nth(1).and_then(|rest| rest.split("```").next()).unwrap();
    let value: serde_yaml_ng::Value = serde_yaml_ng::from_str(example).unwrap();
    let part: Settings = serde_yaml_ng::from_value(value["reservations"].clone()).unwrap();
    part.check().unwrap();
}

#[test]
fn requests_and_answers_read_back_as_json() {
    let text =
        r#"{"id":"a","team":"bills","class":"batch","per_s":10,"start":"2026-12-02T09:00","minutes":60}"#;
    let request: Request = serde_json::from_str(text).unwrap();
    assert_eq!(request, job("bills", "a", "2026-12-02T09:00", 60, 10.0));
    let (_, answer) = decide(&Book::default(), &request).unwrap();
    let json = serde_json::to_value(&answer).unwrap();
    assert_eq!(json["booked"]["windows"][0]["start"], "2026-12-02T09:00+01:00");
    assert_eq!(serde_json::from_value::<Answer>(json).unwrap(), answer);
    let wrong = serde_json::from_str::<Request>(&text.replace("minutes", "minuets")).unwrap_err();
    assert!(wrong.to_string().contains("minuets"));
    assert_eq!(
        reason(&decide(&Book::default(), &Request { minutes: 0, ..request }).unwrap_err()),
        Reason::Malformed
    );
}
