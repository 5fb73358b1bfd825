//! Asking one instance's management address.

use super::Ask;
use crate::version::Status;
use std::time::Duration;

/// No answer is longer, bytes.
const ANSWER_MAX: u64 = 64 * 1024;

/// Asks the instance at this address (`host:port`) and waits for its answer no longer than `timeout`.
///
/// # Errors
/// It can't be reached, did not answer in time, or answered something else; in one line.
pub fn ask(address: &str, ask: Ask, timeout: Duration) -> Result<Status, String> {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .timeout_global(Some(timeout))
        .http_status_as_error(false)
        .proxy(None)
        .build()
        .into();
    let url = |path: &str| format!("http://{address}/control/{path}");
    let answer = match ask {
        Ask::Status => agent.get(url("version")).call(),
        Ask::Reload => agent.post(url("reload")).send_empty(),
        Ask::ShutOut => agent.post(url("shut-out")).send_empty(),
    };
    let mut answer = answer.map_err(|e| e.to_string())?;
    let status = answer.status().as_u16();
    let body = answer.body_mut().with_config().limit(ANSWER_MAX).read_to_string();
    let body = body.map_err(|e| e.to_string())?;
    // 409: the reload changed nothing; the status says why.
    if status != 200 && status != 409 {
        return Err(format!("answered {status}"));
    }
    serde_json::from_str(&body).map_err(|e| format!("no status in its answer: {e}"))
}
