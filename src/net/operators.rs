//! Operators: HTTP/1.1 at an address of its own, one call a connection.

use crate::engine::{BudgetFigures, Figures, OperatorAnswer, OperatorAsk, PeerFigures, ShareFigures};
use crate::recovery::{RecoveryFigures, State};
use bytes::{BufMut, BytesMut};
use futures_util::{SinkExt, StreamExt};
use std::collections::VecDeque;
use std::fmt::Write;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep, timeout};
use tokio_util::codec::{Decoder, Encoder, Framed};

/// Connections at most. One more, and the oldest is closed: it has had the longest to say what it wants, and whoever
/// holds connections without a whole call must shut nobody out.
const CONNS_MAX: usize = 12;
/// A whole call comes within this, or its connection is closed.
const CALL_WITHIN: Duration = Duration::from_secs(5);
/// A call's head and its body, which means nothing here, hold at most so much.
const HEAD_MAX: usize = 8 * 1024;
const BODY_MAX: usize = 64 * 1024;
const HEADERS_MAX: usize = 64;
/// After the answer the peer has so long to close: closed at once, what it still sends would reset the answer away.
const LINGER: Duration = Duration::from_millis(300);
/// No descriptor is free: the next connection is taken up after this.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A question to the reducer, and where its answer goes.
pub type Question = (OperatorAsk, oneshot::Sender<OperatorAnswer>);

/// What is asked, or the status that turns the call down.
type Call = Result<OperatorAsk, u16>;

struct Codec;

impl Decoder for Codec {
    type Item = Call;
    type Error = io::Error;

    fn decode(&mut self, bytes: &mut BytesMut) -> io::Result<Option<Call>> {
        let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
        let mut request = httparse::Request::new(&mut headers);
        let head = match request.parse(bytes) {
            Ok(httparse::Status::Complete(head)) if head <= HEAD_MAX => head,
            Ok(httparse::Status::Partial) if bytes.len() <= HEAD_MAX => return Ok(None),
            Ok(_) | Err(httparse::Error::TooManyHeaders) => return Ok(Some(Err(431))),
            Err(_) => return Ok(Some(Err(400))),
        };
        let length = request.headers.iter().find(|h| h.name.eq_ignore_ascii_case("content-length"));
        let length = length.map_or(Ok(0), |h| {
            std::str::from_utf8(h.value).ok().and_then(|v| v.trim().parse::<usize>().ok()).ok_or(())
        });
        let body = match length {
            Ok(body) if body <= BODY_MAX => body,
            Ok(_) => return Ok(Some(Err(413))),
            Err(()) => return Ok(Some(Err(400))),
        };
        if bytes.len() < head + body {
            return Ok(None);
        }
        let path = request.path.unwrap_or_default();
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        Ok(Some(asked(request.method.unwrap_or_default(), path)))
    }
}

fn asked(method: &str, path: &str) -> Call {
    let (wanted, ask) = match path {
        "/control/ready" => ("GET", OperatorAsk::Ready),
        "/control/counters" => ("GET", OperatorAsk::Figures),
        "/control/out-of-service" => ("POST", OperatorAsk::OutOfService),
        "/control/version" => ("GET", OperatorAsk::Status),
        "/control/reload" => ("POST", OperatorAsk::Reload),
        "/control/shut-out" => ("POST", OperatorAsk::ShutOut),
        "/control/in-service" => ("POST", OperatorAsk::InService),
        _ => return Err(404),
    };
    if method == wanted { Ok(ask) } else { Err(405) }
}

impl Encoder<(u16, String)> for Codec {
    type Error = io::Error;

    fn encode(&mut self, (status, body): (u16, String), bytes: &mut BytesMut) -> io::Result<()> {
        let reason = match status {
            200 => "OK",
            400 => "Bad Request",
            404 => "Not Found",
            409 => "Conflict",
            405 => "Method Not Allowed",
            413 => "Content Too Large",
            431 => "Request Header Fields Too Large",
            _ => "Service Unavailable",
        };
        let head = format!(
            "HTTP/1.1 {status} {reason}\r\nContent-Type: text/plain; version=0.0.4; charset=utf-8\r\n\
             Content-Length: {}\r\nConnection: close\r\n\r\n",
            body.len()
        );
        bytes.put_slice(head.as_bytes());
        bytes.put_slice(body.as_bytes());
        Ok(())
    }
}

/// Takes operators' connections for as long as the program runs. It owns the listener and all of them.
pub async fn listen(listener: TcpListener, questions: mpsc::Sender<Question>) {
    let mut tasks = JoinSet::new();
    let mut open: VecDeque<AbortHandle> = VecDeque::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                while tasks.try_join_next().is_some() {}
                open.retain(|task| !task.is_finished());
                if open.len() >= CONNS_MAX
                    && let Some(oldest) = open.pop_front()
                {
                    oldest.abort();
                }
                open.push_back(tasks.spawn_local(serve(stream, questions.clone())));
            }
            Err(e) => {
                log::warn!("accepting an operator: {e}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(stream: TcpStream, questions: mpsc::Sender<Question>) {
    let mut framed = Framed::new(stream, Codec);
    match timeout(CALL_WITHIN, framed.next()).await {
        Ok(Some(Ok(call))) => {
            if let Err(e) = framed.send(answer(call, &questions).await).await {
                return log::debug!("an operator's connection: {e}");
            }
            let mut stream = framed.into_inner();
            if stream.shutdown().await.is_ok() {
                let mut rest = [0; 512];
                let gone = async { while stream.read(&mut rest).await.is_ok_and(|n| n > 0) {} };
                let _ = timeout(LINGER, gone).await;
            }
        }
        Ok(Some(Err(e))) => log::debug!("an operator's connection: {e}"),
        Ok(None) | Err(_) => {}
    }
}

/// Status and text of the answer to a call.
async fn answer(call: Call, questions: &mpsc::Sender<Question>) -> (u16, String) {
    let ask = match call {
        Ok(ask) => ask,
        Err(status) => return (status, String::new()),
    };
    let (reply, answer) = oneshot::channel();
    if questions.send((ask, reply)).await.is_err() {
        return (503, String::new());
    }
    match answer.await {
        Ok(OperatorAnswer::Ready(true)) => (200, "ready\n".into()),
        Ok(OperatorAnswer::Ready(false)) => (503, "not ready\n".into()),
        Ok(OperatorAnswer::Figures(figures)) => (200, text(&figures)),
        Ok(OperatorAnswer::Done) => (200, "done\n".into()),
        Ok(OperatorAnswer::Status(status)) => {
            // A reload that changed nothing is no success; the status says why.
            let failed = ask == OperatorAsk::Reload && status.reload_failed.is_some();
            let text = serde_json::to_string(&status).unwrap_or_default();
            (if failed { 409 } else { 200 }, text + "\n")
        }
        Ok(OperatorAnswer::Standing(_)) => (503, String::new()),
        Err(_) => (503, String::new()),
    }
}

/// The figures in Prometheus's text format.
fn text(figures: &Figures) -> String {
    let mut text = String::from("# TYPE gw_handled counter\n");
    for (class, n) in &figures.outcomes {
        for (outcome, n) in [("passed", n.stood), ("dropped", n.refused), ("bad_gateway", n.failed)] {
            // Writing to a text does not fail.
            let _ = writeln!(text, "gw_handled{{category={class:?},outcome=\"{outcome}\"}} {n}");
        }
    }
    let gauges = [
        ("upstream_tries", "counter", figures.tries),
        ("in_progress", "gauge", figures.in_progress as u64),
        ("known_call_servers", "gauge", figures.known as u64),
        ("skipped_call_servers", "gauge", figures.skipped as u64),
    ];
    for (name, kind, n) in gauges {
        let _ = writeln!(text, "# TYPE gw_{name} {kind}\ngw_{name} {n}");
    }
    // Only where the fleet limits are on, so that a scrape of a program without them is as it was.
    if let Some(shed) = figures.limits {
        let _ = writeln!(text, "# TYPE gw_retries counter");
        for (outcome, n) in [("sent", shed.retries_sent), ("shed", shed.retries)] {
            let _ = writeln!(text, "gw_retries{{outcome=\"{outcome}\"}} {n}");
        }
        let _ = writeln!(
            text,
            "# TYPE gw_first_attempts_shed counter\ngw_first_attempts_shed {}",
            shed.firsts_shed
        );
    }
    if let Some(told) = &figures.peers {
        peers(told, &mut text);
    }
    if let Some(shared) = &figures.shares {
        shares(shared, &mut text);
    }
    if let Some(p) = figures.probes {
        let _ = writeln!(text, "# TYPE gw_probes_sent counter\ngw_probes_sent {}", p.sent);
        let _ = writeln!(text, "# TYPE gw_probes_ended counter");
        for (outcome, n) in [("answered", p.answered), ("turned_away", p.turned_away), ("failed", p.failed)] {
            let _ = writeln!(text, "gw_probes_ended{{outcome={outcome:?}}} {n}");
        }
    }
    if let Some(recovery) = &figures.recovery {
        sites(recovery, &mut text);
    }
    text
}

/// The fleet's budgets and the control plane that divides them, where it is on.
fn shares(shared: &ShareFigures, text: &mut String) {
    let mut series = |name: &str, kind: &str, value: &dyn Fn(&BudgetFigures) -> f64| {
        let _ = writeln!(text, "# TYPE {name} {kind}");
        for budget in &shared.budgets {
            let _ = writeln!(text, "{name}{{budget={:?}}} {}", budget.name, value(budget));
        }
    };
    series("gw_share_per_s", "gauge", &|b| b.per_s);
    series("gw_share_burst", "gauge", &|b| b.burst);
    series("gw_share_spent", "counter", &|b| b.spent as f64);
    series("gw_share_refused", "counter", &|b| b.refused as f64);
    let c = &shared.control;
    let (master, epoch) = c.master.map_or((-1, 0), |(member, epoch)| (i64::from(member.0), epoch.0));
    for (name, kind, value) in [
        ("gw_share_pressed_refused", "counter", shared.pressed as i64),
        ("gw_control_master", "gauge", master),
        ("gw_control_epoch", "gauge", epoch as i64),
        ("gw_control_sent", "counter", c.sent as i64),
        ("gw_control_heard", "counter", c.heard as i64),
        ("gw_control_too_long", "counter", c.too_long as i64),
    ] {
        let _ = writeln!(text, "# TYPE {name} {kind}\n{name} {value}");
    }
    let r = &c.rounds;
    let _ = writeln!(text, "# TYPE gw_control_rounds counter\ngw_control_rounds {}", r.rounds);
    for (name, value) in [("complete", r.complete), ("waited_ms", r.waited_ms), ("planned_ms", r.planned_ms)]
    {
        let _ = writeln!(text, "# TYPE gw_control_round_{name} gauge\ngw_control_round_{name} {value:.3}");
    }
    let _ = writeln!(text, "# TYPE gw_control_dropped counter");
    let dropped = &c.dropped;
    for (why, n) in [
        ("malformed", dropped.malformed),
        ("version", dropped.version),
        ("code", dropped.code),
        ("replayed", dropped.replayed),
    ] {
        let _ = writeln!(text, "gw_control_dropped{{why={why:?}}} {n}");
    }
}

/// Messages between border controllers, where they are on.
fn peers(p: &PeerFigures, text: &mut String) {
    let _ = writeln!(text, "# TYPE gw_peer_datagrams_sent counter\ngw_peer_datagrams_sent {}", p.sent);
    let _ = writeln!(text, "# TYPE gw_peer_datagrams_unsent counter\ngw_peer_datagrams_unsent {}", p.unsent);
    let _ = writeln!(text, "# TYPE gw_peer_datagrams_heard counter\ngw_peer_datagrams_heard {}", p.heard);
    let _ = writeln!(text, "# TYPE gw_peer_words_taken counter\ngw_peer_words_taken {}", p.taken);
    let _ = writeln!(text, "# TYPE gw_peer_datagrams_dropped counter");
    for (why, n) in [
        ("stranger", p.stranger),
        ("paced", p.paced),
        ("unknown", p.unknown),
        ("damaged", p.damaged),
        ("crowded", p.crowded),
        ("late", p.late),
        ("old", p.old),
        ("unlisted", p.unlisted),
        ("alone", p.alone),
    ] {
        let _ = writeln!(text, "gw_peer_datagrams_dropped{{why={why:?}}} {n}");
    }
}

/// The sites' part of the figures, where there is a plan for their loss.
fn sites(recovery: &RecoveryFigures, text: &mut String) {
    let _ = writeln!(text, "# TYPE gw_site_state gauge");
    for s in &recovery.sites {
        for state in [State::Up, State::Lost, State::Returning] {
            let (name, is) = (state.name(), u8::from(s.state == state));
            let _ = writeln!(text, "gw_site_state{{site={:?},state={name:?}}} {is}", s.site);
        }
    }
    let _ = writeln!(text, "# TYPE gw_site_share gauge");
    for s in &recovery.sites {
        let _ = writeln!(text, "gw_site_share{{site={:?}}} {:.3}", s.site, s.share);
    }
    let _ = writeln!(text, "# TYPE gw_site_calls_moved counter");
    for s in &recovery.sites {
        let _ = writeln!(text, "gw_site_calls_moved{{site={:?}}} {}", s.site, s.moved);
    }
    let _ = writeln!(text, "# TYPE gw_no_room_refused counter\ngw_no_room_refused {}", recovery.refused);
    let _ = writeln!(text, "# TYPE gw_no_room_share gauge\ngw_no_room_share {:.3}", recovery.refused_share);
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn retries_are_shown_only_where_the_fleet_limits_are_on() {
        let off = Figures::default();
        assert!(!text(&off).contains("gw_retries"));
        let shed = crate::limits::Shed { retries: 3, retries_sent: 5, firsts: 40, firsts_shed: 2 };
        let on = text(&Figures { limits: Some(shed), ..Figures::default() });
        assert!(
            on.contains("gw_retries{outcome=\"sent\"} 5\n")
                && on.contains("gw_retries{outcome=\"shed\"} 3\n")
                && on.contains("gw_first_attempts_shed 2\n")
        );
    }

    #[test]
    fn sites_are_shown_only_where_there_is_a_plan() {
        assert!(!text(&Figures::default()).contains("gw_site"));
        let site = crate::recovery::SiteFigures {
            site: "aarhus".into(),
            state: State::Returning,
            share: 0.25,
            moved: 12,
        };
        let recovery = RecoveryFigures { sites: vec![site], refused: 4, refused_share: 0.05 };
        let text = text(&Figures { recovery: Some(recovery), ..Figures::default() });
        for line in [
            "gw_site_state{site=\"aarhus\",state=\"returning\"} 1\n",
            "gw_site_state{site=\"aarhus\",state=\"up\"} 0\n",
            "gw_site_share{site=\"aarhus\"} 0.250\n",
            "gw_site_calls_moved{site=\"aarhus\"} 12\n",
            "gw_no_room_refused 4\n",
        ] {
            assert!(text.contains(line), "{line} in {text}");
        }
    }
}
