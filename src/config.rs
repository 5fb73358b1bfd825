//! The configuration: what the platform tells a border controller at its start.

use crate::engine::Listing;
use crate::interface::{Listed, Settings};
use crate::settings::{self, Column, HostSettings};
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Everything the program is told.
#[derive(Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    /// Where operators connect.
    pub management: Option<SocketAddr>,
    pub seed: u64,
    pub names: SocketAddr,
    /// The last event of the name service at the start, and the list as it was then.
    pub serial: u32,
    pub known: Vec<Listing>,
    pub settings: Settings,
    pub host: HostSettings,
    pub columns: Vec<Column>,
    /// The other border controllers, where messages to them are allowed and their addresses known.
    pub peering: Option<Peering>,
    /// Digests of the configuration and of its settings (`crate::version`).
    pub digests: (String, String),
}

/// How the border controllers of a tier reach each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peering {
    /// Where datagrams come in.
    pub listen: SocketAddr,
    /// The border controllers' addresses by their places; what one sends comes from its address.
    pub peers: Vec<Option<SocketAddr>>,
    /// The address at which one datagram reaches all of them.
    pub all: Option<SocketAddr>,
    /// This border controller's own place.
    pub own: usize,
}

#[derive(Deserialize)]
struct File {
    #[serde(default)]
    name: String,
    listen: Option<SocketAddr>,
    #[serde(default)]
    management: Option<SocketAddr>,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: Limits,
    dns: SocketAddr,
    known: Known,
    #[serde(default)]
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<Option<SocketAddr>>,
    #[serde(default)]
    peers_all: Option<SocketAddr>,
    settings: Value,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1024 }
    }
}

#[derive(Deserialize)]
struct Known {
    seq: u32,
    #[serde(default)]
    results: Vec<News>,
}

#[derive(Deserialize)]
struct News {
    fleet: Option<Fleet>,
}

#[derive(Deserialize)]
struct Fleet {
    #[serde(default)]
    full: bool,
    #[serde(default)]
    servers: Vec<Server>,
}

#[derive(Deserialize)]
struct Server {
    id: String,
    addr: SocketAddr,
    #[serde(default)]
    cell: u32,
    #[serde(default)]
    zone: Option<String>,
    state: String,
    #[serde(default)]
    started_ms: f64,
}

/// Where the configuration comes from; `listen`, `management` and `name` stand in for what the file says.
#[derive(Clone, Debug)]
pub struct Source {
    pub path: PathBuf,
    pub listen: Option<SocketAddr>,
    pub management: Option<SocketAddr>,
    pub name: Option<String>,
}

impl Source {
    /// Reads the file, whole or not at all.
    pub fn read(&self) -> Result<Config, String> {
        let told = |e: String| format!("{}: {e}", self.path.display());
        let text = std::fs::read(&self.path).map_err(|e| told(e.to_string()))?;
        parse(&text, self).map_err(told)
    }
}

fn parse(text: &[u8], source: &Source) -> Result<Config, String> {
    let file: File = serde_json::from_slice(text).map_err(|e| e.to_string())?;
    let inner = file.settings.to_string();
    let (mut settings, columns) = settings::parse_among(inner.as_bytes(), file.peers.len())?;
    let host = settings::parse_host(inner.as_bytes())?;
    let own = usize::from(host.index);
    let peering = file.peer_listen.filter(|_| settings.may_tell && !file.peers.is_empty());
    let peering = peering.map(|listen| Peering { listen, peers: file.peers, all: file.peers_all, own });
    // Allowed, but with nobody to tell, the module is to tell nothing.
    settings.may_tell = peering.is_some();
    Ok(Config {
        name: source.name.clone().unwrap_or(file.name),
        management: source.management.or(file.management),
        listen: source.listen.or(file.listen).ok_or("no address to listen on")?,
        seed: seed(&file.seed),
        names: file.dns,
        serial: file.known.seq,
        known: list(file.known)?,
        settings,
        host: HostSettings { callers_max: callers_max(file.limits.sockets), ..host },
        columns,
        peering,
        digests: crate::version::digests(text)?,
    })
}

/// Descriptors kept from callers at least, where they can be: for the program itself, its listeners and files, the name
/// service, operators, and connections to a few call servers.
const KEPT: usize = 40;

/// Callers' connections take three quarters of the descriptors, less where the rest would be under [`KEPT`], but never
/// under the third that callers may hold: clients that say nothing must not shut them out, nor anybody else.
fn callers_max(sockets: usize) -> usize {
    (sockets / 4 * 3).min(sockets.saturating_sub(KEPT)).max(sockets / 3).max(1)
}

/// The seed is hexadecimal; any other text still makes one.
fn seed(text: &str) -> u64 {
    u64::from_str_radix(text, 16)
        .unwrap_or_else(|_| text.bytes().fold(7, |sum: u64, b| sum.wrapping_mul(31) ^ u64::from(b)))
}

/// The list that the known events make, the first whole and each later one a change.
fn list(known: Known) -> Result<Vec<Listing>, String> {
    let mut servers = BTreeMap::new();
    for fleet in known.results.into_iter().filter_map(|news| news.fleet) {
        if fleet.full {
            servers.clear();
        }
        for s in fleet.servers {
            let state = match s.state.as_str() {
                "Ready" => Listed::Ready,
                "Terminating" => Listed::Draining,
                "Gone" => Listed::Gone,
                other => return Err(format!("call server {}: unknown state {other}", s.id)),
            };
            let started_at = Some(s.started_ms).filter(|&ms| ms > 0.0);
            let listing =
                Listing { name: s.id.clone(), zone: s.zone, addr: s.addr, place: s.cell, state, started_at };
            servers.insert(s.id, listing);
        }
    }
    Ok(servers.into_values().filter(|s| s.state != Listed::Gone).collect())
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    fn read(may_tell: bool, listen: bool) -> Config {
        let mut file = json!({"listen": "127.0.0.1:1", "dns": "127.0.0.1:2", "known": {"seq": 1},
            "peers": ["127.0.0.1:3", null, "127.0.0.1:4"], "peers_all": "127.0.0.1:5",
            "settings": {"siblings": 3, "index": 1, "services": [], "rules": {"cold_from": 0.3, "cold_ms": 1.0,
                "fall_multiple": 2.0, "fall_ms": 1.0}, "specifics": {"guard_ms": 1.0},
                "ceilings": {"attempts_cap": 5, "may_tell": may_tell}}});
        if listen {
            file["peer_listen"] = json!("127.0.0.1:6");
        }
        let source = Source { path: PathBuf::new(), listen: None, management: None, name: None };
        parse(file.to_string().as_bytes(), &source).unwrap()
    }

    #[test]
    fn peers_are_read_only_where_messages_are_allowed_and_there_is_where_to_hear_them() {
        let on = read(true, true);
        let peering = on.peering.unwrap();
        assert!(on.settings.may_tell && peering.own == 1 && peering.peers.len() == 3);
        for off in [read(false, true), read(true, false)] {
            assert!(off.peering.is_none() && !off.settings.may_tell);
        }
    }
}
