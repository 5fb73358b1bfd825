//! Whole scenarios of the lab, each played with the fleet limits off and on in one run: several processes, scripted
//! callers, and faults between all of them. Every set-up is held to one final answer by the callers' ledgers.

use corkreach::lab::results::{Summary, summarize, table};
use corkreach::lab::{Figures, Run, Scenario, play};
use std::path::{Path, PathBuf};
use std::sync::{Mutex, PoisonError};

/// Held while a scenario is played. Each starts up to twenty processes with their callers: two at a time would take each
/// other's cores, and what is compared between two runs of one scenario would be another fleet in each.
static PLAYING: Mutex<()> = Mutex::new(());

/// A folder that goes with the test.
struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Plays a scenario with the program under test; no set-up may be lost or answered twice in any run.
pub fn played(name: &str, scenario: &Scenario) -> Figures {
    // A scenario that failed leaves nothing behind that concerns the next.
    let _playing = PLAYING.lock().unwrap_or_else(PoisonError::into_inner);
    let folder = Folder(std::env::temp_dir().join(format!("corkreach-{name}-{}", std::process::id())));
    let figures = play(scenario, Path::new(env!("CARGO_BIN_EXE_corkreach")), &folder.0).unwrap();
    let summary = summarize(&figures);
    eprintln!("{name}\n{}", table(&summary));
    for s in &summary {
        assert!(s.offered > 0);
        assert_eq!((s.doubled, s.lost), (0, 0), "{name}: {s:?}");
    }
    figures
}

/// All classes of one run.
pub fn of(figures: &Figures, run: Run) -> Summary {
    class_of(figures, run, "all")
}

/// One class of one run.
pub fn class_of(figures: &Figures, run: Run, class: &str) -> Summary {
    summarize(figures).into_iter().find(|s| s.run == run && s.class == class).unwrap()
}

const TWO_CLASSES: &str =
    "classes: [{name: photo-fetch, worth: 1, part: 7}, {name: verdict-set, worth: 3, part: 3}]\n";

/// Servers that fail every second set-up and report that all is well, and callers that offer what was turned away
/// again at once.
fn storm(instances: usize) -> Scenario {
    let text = format!(
        "seed: 31\nseconds: 7\ninstances: {instances}\n{TWO_CLASSES}repeats: {{how: at_once, most: 3}}\n\
         load: [{{at_s: 0, per_s: {}}}]\nservers: [{{id: s-a}}, {{id: s-b}}, {{id: s-c}}]\n\
         faults: [{{at_s: 1, server: s-a, mode: flaky}}, {{at_s: 1, server: s-b, mode: flaky}}, \
         {{at_s: 1, server: s-c, mode: flaky}}]\n",
        240.0 / instances as f64
    );
    Scenario::parse(&text).unwrap()
}

/// What the fleet adds to the callers' set-ups stays at or under a tenth while a storm meets servers that fail, at
/// any size of the fleet; without the limits it is above that.
#[test]
fn in_a_retry_storm_the_fleet_adds_a_tenth_at_most_at_three_ten_and_twenty_instances() {
    for instances in [3, 10, 20] {
        let figures = played(&format!("storm-{instances}"), &storm(instances));
        let per_offered = |run| of(&figures, run).attempts_per_offered.unwrap();
        let (off, on) = (per_offered(Run::Off), per_offered(Run::On));
        assert!(on <= 1.1, "{instances} instances with limits: {on:.3} attempts per offered set-up");
        assert!(off > 1.2, "{instances} instances without limits: {off:.3}");
    }
}

/// With the budgets spent, the lowest worth is shed first: verdict-set calls are refused far less than photo-fetch
/// ones, each refusal with advice and long before the caller's time is over.
#[test]
fn what_the_limits_shed_is_of_the_lowest_worth_first() {
    let figures = played("worth", &storm(5));
    let (low, high) =
        (class_of(&figures, Run::On, "photo-fetch"), class_of(&figures, Run::On, "verdict-set"));
    assert!(
        high.refused < 0.5 * low.refused,
        "verdict-set {:.3}, photo-fetch {:.3}",
        high.refused,
        low.refused
    );
    assert!(low.refused > 0.1, "{:.3}", low.refused);
    assert_eq!(low.advised, 1.0, "every refusal tells when to come back");
    assert!(low.slowest_refusal_ms < 500, "{}", low.slowest_refusal_ms);
}

/// One of two servers dies under 150% of what the other takes, at every size of the fleet: attempts per offered
/// set-up stay at or under 1.1 and, after the first second of the crash, dials at the dead one under the ceiling.
#[test]
fn a_crash_under_load_stays_within_the_budget_and_the_ceiling_at_three_ten_and_twenty_instances() {
    for instances in [3, 10, 20] {
        let text = format!(
            "seed: 23\nseconds: 8\ninstances: {instances}\n{TWO_CLASSES}load: [{{at_s: 0, per_s: {}}}]\n\
             servers: [{{id: s-a, capacity_per_s: 100}}, {{id: s-b, capacity_per_s: 100}}]\n\
             faults: [{{at_s: 2, server: s-a, fault: reset}}]\n",
            150.0 / instances as f64
        );
        let figures = played(&format!("crash-{instances}"), &Scenario::parse(&text).unwrap());
        let dials = |run| {
            let at_dead =
                |s: &&corkreach::lab::ServerSecond| s.run == run && s.server == "s-a" && s.second >= 4;
            figures.servers.iter().filter(at_dead).map(|s| s.dials).sum::<u64>()
        };
        eprintln!("dials at the dead server, four seconds: {} off, {} on", dials(Run::Off), dials(Run::On));
        let on = of(&figures, Run::On).attempts_per_offered.unwrap();
        assert!(on <= 1.1, "{instances} instances: {on:.3} attempts per offered set-up");
        // Four seconds at the ceiling of two a second, and one more for each process's phase.
        let most = 8 + instances as u64;
        assert!(dials(Run::On) <= most, "{instances} instances: {} dials", dials(Run::On));
        assert!(dials(Run::Off) > dials(Run::On), "without limits: {}", dials(Run::Off));
    }
}

/// Every process is killed and started again beside a dead server. What was open is cut with its process, and all
/// else keeps one final answer; once all are up again they dial the dead server under the ceiling.
#[test]
fn a_fleet_killed_and_started_again_at_once_serves_again_and_keeps_the_ceiling() {
    let text = "seed: 47\nseconds: 10\ninstances: 10\nload: [{at_s: 0, per_s: 10}]\n\
                servers: [{id: s-a, capacity_per_s: 150}, {id: s-b, capacity_per_s: 150}]\n\
                faults: [{at_s: 1, server: s-a, fault: reset}, {at_s: 3, crash: all}, {at_s: 4, start: all}]\n";
    let figures = played("restart", &Scenario::parse(text).unwrap());
    for run in [Run::Off, Run::On] {
        let late = corkreach::lab::results::within(&figures, 7..10);
        let answered = of(&late, run).answered;
        assert!(answered > 0.9, "{run:?}: {answered:.3} answered once all are up");
    }
    let dials = |run| {
        let late = |s: &&corkreach::lab::ServerSecond| s.run == run && s.server == "s-a" && s.second >= 6;
        figures.servers.iter().filter(late).map(|s| s.dials).sum::<u64>()
    };
    assert!(dials(Run::On) <= 8 + 10, "{}", dials(Run::On));
    assert!(dials(Run::Off) > 30, "{}", dials(Run::Off));
}

/// The links from two of five instances to a server slow down to near the callers' wait: every call keeps its one
/// final answer, and the instances whose links are sound are none the worse.
#[test]
fn links_slowed_to_near_the_callers_wait_leave_every_call_one_final_answer() {
    let text = "seed: 61\nseconds: 8\ninstances: 5\nload: [{at_s: 0, per_s: 20}]\n\
                servers: [{id: s-a}, {id: s-b}]\n\
                faults: [{at_s: 2, server: s-a, instances: [0, 1], fault: delay, delay_ms: 1800}]\n";
    let figures = played("slow", &Scenario::parse(text).unwrap());
    for i in figures.instances.iter().filter(|i| i.run == Run::On) {
        let share = i.tally.answered as f64 / i.tally.offered as f64;
        assert!(share > if i.instance < 2 { 0.4 } else { 0.85 }, "instance {}: {share:.3}", i.instance);
    }
}
