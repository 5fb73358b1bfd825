//! What the fleet's budgets do to service where call servers are pressed, on the lab's virtual clock: the scenarios of
//! `deploy/lab/matrix` without and with the control plane.

use corkreach::lab::results::{Summary, summarize};
use corkreach::lab::{Run, Scenario, clocked};
use std::path::Path;

/// Off and on.
fn played(name: &str, instances: usize, seed: u64) -> [Summary; 2] {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("deploy/lab/matrix/{name}.yaml"));
    let mut scenario = Scenario::read(&path).unwrap();
    scenario.seed = seed;
    scenario.resize(instances);
    let summary = summarize(&clocked::play(&scenario).unwrap());
    let all = |run| summary.iter().find(|s| s.run == run && s.class == "all").unwrap().clone();
    [all(Run::Off), all(Run::On)]
}

fn pressed_seconds(s: &Summary) -> usize {
    s.pressed.iter().map(|p| p.seconds).sum()
}

/// Of several seeds: no worth is lost, servers are pressed in fewer seconds, and nobody's callers are left behind.
fn holds(name: &str, instances: usize, worst: f64) {
    let plays: Vec<[Summary; 2]> = (1..=3).map(|seed| played(name, instances, seed)).collect();
    let mean = |at: usize, of: fn(&Summary) -> f64| {
        plays.iter().map(|play| of(&play[at])).sum::<f64>() / plays.len() as f64
    };
    for [off, on] in &plays {
        assert!(on.worth_in_time >= off.worth_in_time - 0.01, "{name} {instances}: {off:?} {on:?}");
        assert_eq!((on.doubled, on.lost), (0, 0));
    }
    let seconds = |at: usize| plays.iter().map(|play| pressed_seconds(&play[at])).sum::<usize>();
    assert!(
        4 * seconds(1) <= 3 * seconds(0),
        "{name} {instances}: pressed for {} s and {} s",
        seconds(0),
        seconds(1)
    );
    let served = mean(1, |s| s.instances.map_or(0.0, |i| i.worst_to_mean));
    assert!(served >= worst, "{name} {instances}: the worst instance is at {served:.3} of the mean");
}

#[test]
fn pressed_servers_serve_no_less_with_budgets_in_fewer_pressed_seconds() {
    holds("pressed", 3, 0.8);
    holds("pressed", 10, 0.8);
}

#[test]
fn the_survivor_of_a_crash_serves_no_less_with_budgets_and_all_instances_alike() {
    holds("crash", 3, 0.8);
    holds("crash", 10, 0.75);
}

/// Every second set-up fails whatever is done: what is not tried is not served.
#[test]
fn servers_that_fail_every_second_set_up_and_have_room_are_tried_again() {
    let [off, on] = played("storm", 3, 1);
    assert!(on.worth_in_time >= off.worth_in_time - 0.01, "{off:?} {on:?}");
    let attempts = |s: &Summary| s.attempts_per_first.unwrap();
    assert!(attempts(&on) <= attempts(&off) + 0.01, "{off:?} {on:?}");
}

#[test]
fn the_same_play_comes_out_the_same() {
    assert_eq!(played("pressed", 3, 7), played("pressed", 3, 7));
}
