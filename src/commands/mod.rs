//! The commands of the program, one a module: its arguments, and what it does.

pub mod audit;
pub mod check;
pub mod fleet_audit;
pub mod lab;
pub mod plan;
pub mod serve;
pub mod version;

use corkreach::config::Source;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Names the configuration's file.
const CONFIG_VARIABLE: &str = "GW_CONFIG";
/// Names the address that callers connect to.
const LISTEN_VARIABLE: &str = "GW_LISTEN";
/// Names the address that operators connect to.
const MANAGEMENT_VARIABLE: &str = "GW_MANAGEMENT";
/// Names the instance.
const NAME_VARIABLE: &str = "GW_NAME";

/// An environment variable, unless it is empty.
fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

/// Where the configuration comes from, by the command line or else by the environment.
fn source(
    path: Option<PathBuf>,
    listen: Option<SocketAddr>,
    management: Option<SocketAddr>,
) -> Result<Source, String> {
    let path = path.or_else(|| variable(CONFIG_VARIABLE).map(PathBuf::from));
    let path = path.ok_or("no configuration: give --config or set GW_CONFIG")?;
    let listen = address(listen, LISTEN_VARIABLE)?;
    let management = address(management, MANAGEMENT_VARIABLE)?;
    Ok(Source { path, listen, management, name: variable(NAME_VARIABLE) })
}

/// An address, given on the command line or else by this variable.
fn address(given: Option<SocketAddr>, name: &str) -> Result<Option<SocketAddr>, String> {
    match (given, variable(name)) {
        (None, Some(text)) => text.parse().map(Some).map_err(|e| format!("{name} {text}: {e}")),
        (given, _) => Ok(given),
    }
}
