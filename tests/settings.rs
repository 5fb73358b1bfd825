//! What the program makes of settings that leave something out.

use corkreach::Settings;
use corkreach::config::Source;
use serde_json::{Value, json};

/// The settings that the program acts on with this `siblings` in the file, if any, and so many peers listed there.
fn read(siblings: Option<Value>, peers: usize) -> Result<Settings, String> {
    let peers: Vec<Option<String>> = (0..peers).map(|n| (n > 0).then(|| format!("127.0.0.1:{n}"))).collect();
    let mut file = json!({"listen": "127.0.0.1:0", "dns": "127.0.0.1:9", "known": {"seq": 1}, "peers": peers,
        "settings": {"services": [], "ceilings": {"attempts_cap": 5}, "specifics": {"guard_ms": 1.0},
            "rules": {"cold_from": 0.3, "cold_ms": 1.0, "fall_multiple": 2.0, "fall_ms": 1.0}}});
    if let Some(siblings) = siblings {
        file["settings"]["siblings"] = siblings;
    }
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    std::fs::write(&path, file.to_string()).unwrap();
    Source { path, listen: None, management: None, name: None }.read().map(|config| config.settings)
}

#[test]
fn a_number_of_senders_that_is_not_told_is_that_of_the_peers_listed_or_one() {
    let senders = |siblings: Option<Value>, peers| read(siblings, peers).unwrap().siblings;
    assert_eq!(senders(Some(json!(300)), 20), 300, "told");
    for not_told in [None, Some(json!(0)), Some(Value::Null)] {
        assert_eq!(senders(not_told.clone(), 20), 20, "{not_told:?}, peers listed");
        assert_eq!(senders(not_told.clone(), 0), 1, "{not_told:?}, nobody listed");
    }
}

#[test]
fn a_number_of_senders_that_is_none_is_an_error() {
    for wrong in [json!(-1), json!("many"), json!(2.5)] {
        assert!(read(Some(wrong.clone()), 0).is_err(), "{wrong}");
    }
}
