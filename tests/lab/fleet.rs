//! Fleets for the tests that speak to the instances themselves: the lab's own processes, with callers of the rig.

use crate::rig::Caller;
use corkreach::lab::caller::Class;
use corkreach::lab::fleet::{Instance, Orders};
use corkreach::lab::names::Listed;
use std::net::SocketAddr;
use std::path::Path;

/// The seed from which every instance's own is drawn.
const SEED: u64 = 0x8c1f_30d2_7a5b_e964;

/// Instances, each with a name service of its own: each may dial its call servers at addresses of its own.
pub struct Fleet {
    pub instances: Vec<Instance>,
    _folder: tempfile::TempDir,
}

impl Fleet {
    /// A caller at each instance, once it passes tests.
    pub fn ready_callers(&self) -> Vec<Caller> {
        self.instances.iter().map(|i| Caller::ready_at(i.addr)).collect()
    }

    /// Every instance's name service tells that call server `id` was started again at `started_ms`, from its next
    /// query on; it returns at once.
    pub fn restarted(&self, id: &str, started_ms: u64) {
        for instance in &self.instances {
            instance.names.change(id, |listed| listed.started_ms = started_ms);
        }
    }
}

/// Starts `n` instances that know these call servers (id and the address they dial); with `limits`, each reads
/// that YAML as its fleet limits.
pub fn start(n: usize, servers: &[(&'static str, SocketAddr)], limits: Option<&str>) -> Fleet {
    start_each(n, |_| servers.to_vec(), limits)
}

/// The same with a list for each instance.
pub fn start_each(
    n: usize,
    servers: impl Fn(usize) -> Vec<(&'static str, SocketAddr)>,
    limits: Option<&str>,
) -> Fleet {
    let folder = tempfile::tempdir().unwrap();
    let classes = [Class { name: "voice".into(), worth: 1.0, part: 1.0 }];
    let orders = Orders {
        program: Path::new(env!("CARGO_BIN_EXE_corkreach")),
        siblings: n,
        seed: SEED,
        classes: &classes,
        places: 2,
        limits,
        sites: None,
        control: None,
        log: None,
        management: false,
        audit: false,
        links: None,
        probing: false,
    };
    let listed = |(place, (id, addr)): (usize, (&str, SocketAddr))| Listed {
        id: id.into(),
        addr,
        place: place as u32,
        started_ms: 0,
        zone: "aarhus".into(),
        draining: false,
    };
    let instance = |i: usize| {
        let list = servers(i).into_iter().enumerate().map(listed).collect();
        corkreach::lab::fleet::start(&orders, &folder.path().join(format!("n{i}")), i, list).unwrap()
    };
    Fleet { instances: (0..n).map(instance).collect(), _folder: folder }
}
