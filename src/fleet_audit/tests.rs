use super::*;

fn version(config: &str) -> Version {
    Version { build: "1".into(), config: config.into(), ..Version::default() }
}

fn status(name: &str, config: &str) -> Status {
    Status {
        name: name.into(),
        version: version(config),
        list: 1,
        ready: true,
        out_of_service: false,
        in_progress: 0,
        reload_failed: None,
    }
}

/// A fleet that answers as its instances are set up; time goes on by a millisecond a round.
struct Fleet {
    now: f64,
    configs: BTreeMap<String, &'static str>,
    dead: Vec<&'static str>,
    stuck: Vec<&'static str>,
    /// Each takes so long to come up after a reload, ms.
    reload_ms: f64,
    reloaded: BTreeMap<String, f64>,
    drained: BTreeMap<String, f64>,
    asked: Vec<(f64, String, Ask)>,
    most_out: usize,
}

fn fleet(configs: &[(&str, &'static str)]) -> Fleet {
    Fleet {
        now: 0.0,
        configs: configs.iter().map(|(name, c)| ((*name).to_owned(), *c)).collect(),
        dead: Vec::new(),
        stuck: Vec::new(),
        reload_ms: 0.0,
        reloaded: BTreeMap::new(),
        drained: BTreeMap::new(),
        asked: Vec::new(),
        most_out: 0,
    }
}

impl Fleet {
    fn answer(&mut self, name: &str, ask: Ask) -> Result<Status, String> {
        if self.dead.contains(&name) {
            return Err("connection refused".into());
        }
        if ask == Ask::Reload {
            self.reloaded.entry(name.to_owned()).or_insert(self.now);
        }
        if ask == Ask::ShutOut {
            self.drained.entry(name.to_owned()).or_insert(self.now);
        }
        let mut status = status(name, self.configs[name]);
        if let Some(at) = self.reloaded.get(name) {
            if self.stuck.contains(&name) {
                status.reload_failed = Some("config.json: EOF while parsing".into());
            } else if self.now - at >= self.reload_ms {
                status.version = version("new");
            }
        }
        if let Some(at) = self.drained.get(name) {
            status.out_of_service = true;
            status.in_progress = usize::from(self.now - at < 500.0);
        }
        Ok(status)
    }

    /// Plays an audit to its end; each answer comes a millisecond after its question.
    fn play(&mut self, rules: Rules, desired: Desired) -> Report {
        let mut audit = Audit::new(rules, desired, self.configs.keys().cloned());
        let mut out: Vec<(String, Ask)> = Vec::new();
        while self.now < 100_000.0 {
            for (name, ask) in std::mem::take(&mut out) {
                let answer = self.answer(&name, ask);
                audit.heard(&name, answer, self.now);
            }
            out = audit.next(self.now);
            self.most_out = self.most_out.max(out.len());
            self.asked.extend(out.iter().map(|(name, ask)| (self.now, name.clone(), *ask)));
            if audit.done() {
                return audit.report();
            }
            self.now += 1.0;
        }
        panic!("no end: {:?}", audit.report());
    }
}

fn standing<'r>(report: &'r Report, peer: &str) -> &'r Standing {
    &report.rows.iter().find(|r| r.peer == peer).unwrap().standing
}

const FIVE: [(&str, &str); 5] = [("n0", "new"), ("n1", "new"), ("n2", "old"), ("n3", "new"), ("n4", "new")];

#[test]
fn stragglers_and_the_unreachable_are_named_against_the_most_common_version() {
    let mut f = fleet(&FIVE);
    f.dead = vec!["n4"];
    let report = f.play(Rules::default(), Desired::Common);
    assert_eq!(report.desired, Some(version("new")));
    assert_eq!(standing(&report, "n0"), &Standing::Current);
    assert_eq!(standing(&report, "n2"), &Standing::Straggler { differs: vec!["config"] });
    assert_eq!(standing(&report, "n4"), &Standing::Unreachable { why: "connection refused".into() });
    assert!(!report.clean());
    // Asked three times, with gaps that double.
    let times: Vec<f64> = f.asked.iter().filter(|a| a.1 == "n4").map(|a| a.0).collect();
    assert_eq!(times.len(), 3);
    assert!(times[1] - times[0] >= 200.0 && times[2] - times[1] >= 400.0, "{times:?}");
}

#[test]
fn no_more_than_the_share_reloads_at_once_and_all_come_up() {
    let names: Vec<String> = (0..10).map(|i| format!("n{i}")).collect();
    let configs: Vec<(&str, &'static str)> = names.iter().map(|n| (n.as_str(), "old")).collect();
    let mut f = fleet(&configs);
    f.reload_ms = 700.0;
    let rules = Rules { remedy: Remedy::BringUp, share: 0.3, ..Rules::default() };
    let report = f.play(rules, Desired::Version(version("new")));
    assert!(report.clean(), "{}", report.table());
    assert!(report.rows.iter().all(|r| r.standing == Standing::BroughtUp));
    assert_eq!(report.most_reloading, 3);
    assert_eq!(f.asked.iter().filter(|a| a.2 == Ask::Reload).count(), 10, "each is told once");
    assert!(f.now > 3.0 * 700.0, "four rounds of three at most: {}", f.now);
}

#[test]
fn one_whose_reload_fails_is_reported_with_its_reason_and_holds_no_one_up() {
    let mut f = fleet(&[("n0", "old"), ("n1", "old"), ("n2", "new"), ("n3", "new"), ("n4", "new")]);
    f.stuck = vec!["n0"];
    let report = f.play(Rules { remedy: Remedy::BringUp, ..Rules::default() }, Desired::Common);
    assert_eq!(standing(&report, "n0").name(), "stuck");
    assert!(standing(&report, "n0").why().contains("EOF"));
    assert_eq!(standing(&report, "n1"), &Standing::BroughtUp);
    assert_eq!(report.most_reloading, 1);
}

#[test]
fn another_build_is_not_brought_up_by_a_reload() {
    let mut f = fleet(&FIVE);
    let desired = Version { build: "2".into(), ..version("new") };
    let report = f.play(Rules { remedy: Remedy::BringUp, ..Rules::default() }, Desired::Version(desired));
    assert!(report.rows.iter().all(|r| r.standing.name() == "straggler"));
    assert!(f.asked.iter().all(|a| a.2 == Ask::Status));
}

#[test]
fn stragglers_are_shut_out_once_their_calls_are_over() {
    let mut f = fleet(&FIVE);
    let report = f.play(Rules { remedy: Remedy::ShutOut, ..Rules::default() }, Desired::Common);
    assert_eq!(standing(&report, "n2"), &Standing::ShutOut);
    assert!(f.now >= 500.0, "its call was waited for");
    assert_eq!(f.asked.iter().filter(|a| a.2 == Ask::ShutOut).count(), 1);
    assert!(report.clean());
}

#[test]
fn within_its_grace_time_a_straggler_is_left_alone_and_may_come_up_by_itself() {
    let mut f = fleet(&FIVE);
    f.reloaded.insert("n2".into(), 0.0);
    f.reload_ms = 1000.0;
    let rules = Rules { remedy: Remedy::ShutOut, grace_ms: 3000.0, ..Rules::default() };
    let report = f.play(rules, Desired::Common);
    assert_eq!(standing(&report, "n2"), &Standing::Current);
    assert!(f.asked.iter().all(|a| a.2 == Ask::Status));
}

#[test]
fn with_two_versions_equally_common_nothing_is_done() {
    let mut f = fleet(&[("n0", "new"), ("n1", "old")]);
    let report = f.play(Rules { remedy: Remedy::ShutOut, ..Rules::default() }, Desired::Common);
    assert_eq!(report.desired, None);
    assert!(report.table().contains("--desired") && !report.clean());
    assert!(f.asked.iter().all(|a| a.2 == Ask::Status));
}

#[test]
fn no_more_than_so_many_questions_are_out() {
    let names: Vec<String> = (0..40).map(|i| format!("n{i:02}")).collect();
    let configs: Vec<(&str, &'static str)> = names.iter().map(|n| (n.as_str(), "new")).collect();
    let mut f = fleet(&configs);
    let report = f.play(Rules { at_once: 5, ..Rules::default() }, Desired::Common);
    assert!(report.clean());
    assert_eq!(f.most_out, 5);
}

#[test]
fn a_fleet_is_held_to_a_version_by_its_id_or_by_a_configuration() {
    let mut f = fleet(&[("n0", "new"), ("n1", "old"), ("n2", "old")]);
    let report = f.play(Rules::default(), Desired::Id(version("new").id()));
    assert_eq!(standing(&report, "n1").name(), "straggler");
    assert_eq!(standing(&report, "n0"), &Standing::Current);
    let report = fleet(&FIVE).play(Rules::default(), Desired::Id("0123".into()));
    assert_eq!(report.desired, None);
    let wanted = Desired::Config { config: "new".into(), settings: String::new() };
    let mut f = fleet(&[("n0", "old"), ("n1", "old"), ("n2", "older")]);
    let report = f.play(Rules { remedy: Remedy::BringUp, ..Rules::default() }, wanted);
    assert!(report.clean(), "{}", report.table());
}
