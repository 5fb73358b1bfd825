//! The example configurations of `deploy/examples/` are read whole by the program itself, and allow what they say.

use corkreach::Listed;
use corkreach::config::{Config, Source};
use std::path::PathBuf;
use std::process::Command;

fn path(name: &str) -> PathBuf {
    PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/examples")).join(name)
}

fn read(name: &str) -> Config {
    Source { path: path(name), listen: None, management: None, name: None }.read().unwrap()
}

#[test]
fn check_takes_every_example() {
    let files: Vec<_> = std::fs::read_dir(path("")).unwrap().map(|file| file.unwrap().path()).collect();
    assert_eq!(files.len(), 2);
    for file in files {
        let mut check = Command::new(env!("CARGO_BIN_EXE_corkreach"));
        let output = check.arg("check").arg("--config").arg(&file).output().unwrap();
        assert!(output.status.success(), "{}: {}", file.display(), String::from_utf8_lossy(&output.stderr));
    }
}

#[test]
fn one_example_shares_nothing_and_may_not_probe() {
    let config = read("alone.json");
    let settings = &config.settings;
    assert_eq!((settings.may_tell, settings.may_probe, settings.max_attempts), (false, false, 4));
    assert_eq!(
        config.host.classes.iter().map(|c| c.name.as_str()).collect::<Vec<_>>(),
        ["lookup", "order", "nightly"]
    );
    // The third class may go to one of the two call servers only.
    assert_eq!([0, 1].map(|place| config.host.classes[2].takes(place)), [false, true]);
    assert_eq!(config.known.len(), 2);
}

#[test]
fn one_example_may_tell_its_peers_and_probe() {
    let config = read("peers.json");
    let settings = &config.settings;
    assert_eq!((settings.may_tell, settings.may_probe, settings.max_attempts), (true, true, 5));
    assert_eq!((settings.guard_ms, settings.resend_ms), (300.0, 500.0));
    // The list of the start is the first event and what changed since.
    let states: Vec<_> = config.known.iter().map(|s| (s.name.as_str(), s.state)).collect();
    assert_eq!(
        states,
        [("cs-harbour", Listed::Ready), ("cs-hill", Listed::Ready), ("cs-plain", Listed::Draining)]
    );
}
