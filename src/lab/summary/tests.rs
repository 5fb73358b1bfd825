use super::*;
use crate::lab::{CallerSecond, InstanceRun, ServerSecond};

fn callers(run: Run, second: usize, class: &str, worth: f64, tally: Tally) -> CallerSecond {
    CallerSecond { run, second, class: class.into(), worth, tally }
}

fn server(run: Run, second: usize, server: &str, attempts: u64, pressed: bool) -> ServerSecond {
    ServerSecond {
        run,
        second,
        server: server.into(),
        site: String::new(),
        attempts,
        answered: 0,
        sent_back: 0,
        wait_ms: 0,
        pressed,
        falls: 0,
        dials: 0,
    }
}

fn instance(run: Run, instance: usize, in_time: f64) -> InstanceRun {
    InstanceRun { run, instance, tally: Tally::default(), worth: Worth { offered: 20.0, in_time } }
}

/// Ten first set-ups in second 0 and none in second 1, where only repeats come. Off: each server is tried with all and
/// again in second 1; on: one is tried with half as many, and what callers repeat is the same.
fn figures() -> Figures {
    let cheap = Tally { offered: 8, stood: 6, in_time: 4, late: 1, answered: 3, ..Tally::default() };
    let dear = Tally { offered: 2, stood: 1, in_time: 1, answered: 1, ..Tally::default() };
    let again = Tally { offered: 10, repeats: 10, answered: 3, ..Tally::default() };
    let (off, on) = (Run::Off, Run::On);
    let heard = |run| {
        [
            callers(run, 0, "cheap", 1.0, cheap),
            callers(run, 0, "dear", 5.0, dear),
            callers(run, 1, "cheap", 1.0, again),
        ]
    };
    Figures {
        servers: vec![
            server(off, 0, "s-a", 10, true),
            server(off, 0, "s-b", 5, false),
            server(off, 1, "s-a", 10, false),
            server(on, 0, "s-a", 5, false),
            server(on, 0, "s-b", 5, true),
            server(on, 1, "s-a", 5, false),
        ],
        callers: heard(off).into_iter().chain(heard(on)).collect(),
        instances: vec![
            instance(off, 0, 4.0),
            instance(off, 1, 12.0),
            instance(on, 0, 0.0),
            instance(on, 1, 0.0),
        ],
    }
}

#[test]
fn repeats_are_folded_into_their_first_try() {
    let summary = summarize(&figures());
    let (all, dear) = (&summary[0], &summary[2]);
    assert_eq!((all.offered, all.repeats, all.firsts), (20, 10, 10));
    // 25 attempts: 1.25 for each try and 2.5 for each first one.
    assert_eq!((all.attempts_per_offered, all.attempts_per_first), (Some(1.25), Some(2.5)));
    assert_eq!((all.answered, all.stood), (0.35, 0.7));
    // Offered 8 x 1 and 2 x 5; in time 4 x 1 and 1 x 5, and a fifth of one that was late.
    assert!((all.worth_in_time - 9.2 / 18.0).abs() < 1e-9);
    assert_eq!((dear.class.as_str(), dear.firsts, dear.worth_in_time), ("dear", 2, 0.5));
    assert_eq!((dear.attempts_per_first, dear.instances, dear.pressed.len()), (None, None, 0));
}

#[test]
fn the_spread_is_over_instances() {
    let summary = summarize(&figures());
    let off = Spread { worst: 0.2, mean: 0.4, best: 0.6, worst_to_mean: 0.5 };
    assert!((summary[0].instances.unwrap().worst_to_mean - off.worst_to_mean).abs() < 1e-9);
    assert_eq!(
        (summary[0].instances.unwrap().worst, summary[0].instances.unwrap().best),
        (off.worst, off.best)
    );
    assert_eq!(summary[3].instances, Some(Spread::default()), "nobody got anything");
}

#[test]
fn servers_are_compared_over_the_seconds_in_which_they_were_pressed() {
    let summary = summarize(&figures());
    let told = |run: usize, server: usize| {
        let p = &summary[run].pressed[server];
        (p.server.as_str(), p.seconds, p.attempts_per_first, p.attempts_per_first_then)
    };
    assert_eq!([told(0, 0), told(0, 1)], [("s-a", 1, 1.0, 1.0), ("s-b", 0, 0.0, 0.0)]);
    // On, s-a was not pressed any more: half as much reached it in the second in which it was without.
    assert_eq!([told(3, 0), told(3, 1)], [("s-a", 0, 0.0, 0.5), ("s-b", 1, 0.5, 0.0)]);
}

#[test]
fn tables_csv_json_and_chart_carry_them() {
    let folder = tempfile::tempdir().unwrap();
    let summary = crate::lab::results::write(&figures(), folder.path()).unwrap();
    let table = table(&summary);
    for line in
        ["off s-a                    1      1.000", "on  all                 10      1.500    0.700    0.511"]
    {
        assert!(table.contains(line), "{line} in {table}");
    }
    let read = |file| std::fs::read_to_string(folder.path().join(file)).unwrap();
    let callers = read("callers.csv");
    assert!(
        callers.lines().next().unwrap().ends_with("firsts,stood,in_time,late,worth_offered,worth_in_time")
    );
    assert!(callers.lines().nth(2).unwrap().ends_with("2,1,1,0,10.0,5.0"), "{callers}");
    assert!(read("instances.csv").lines().nth(2).unwrap().ends_with(",20.0,12.0"));
    assert!(read("servers.csv").starts_with(
        "run,second,server,site,attempts,answered,sent_back,wait_ms,pressed,falls,dials\noff,0,s-a,,10,0,0,0,true"
    ));
    assert!(read("summary.json").contains("\"worst_to_mean\": 0.5"));
    assert!(read("chart.svg").contains("2.50 attempts for each first set-up"));
}
