//! Operators: HTTP/1.1 at an address of its own, one call a connection.

use super::bookings::{self, Desk};
use super::figures;
use crate::engine::{OperatorAnswer, OperatorAsk};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep, timeout};

/// Connections at most. One more, and the oldest is closed: it has had the longest to say what it wants, and whoever
/// holds connections without a whole call must shut nobody out.
const CONNS_MAX: usize = 12;
/// A call comes whole and is answered within this, or its connection is closed.
const CALL_WITHIN: Duration = Duration::from_secs(5);
/// A call's head and its body, which means something for bookings alone, hold at most so much.
const HEAD_MAX: usize = 8 * 1024;
const BODY_MAX: usize = 64 * 1024;
const HEADERS_MAX: usize = 64;
/// After the answer the peer has so long to close: closed at once, what it still sends would reset the answer away.
const LINGER: Duration = Duration::from_millis(300);
/// No descriptor is free: the next connection is taken up after this.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A question to the reducer, and where its answer goes.
pub type Question = (OperatorAsk, oneshot::Sender<OperatorAnswer>);

/// What is asked.
enum Asked {
    Engine(OperatorAsk),
    /// Of bookings, by this method and body.
    Bookings(Method, Bytes),
}

/// What is asked, or the status that turns the call down.
type Call = Result<Asked, StatusCode>;

fn asked(method: &Method, path: &str) -> Result<OperatorAsk, StatusCode> {
    let (wanted, ask) = match path {
        "/control/ready" => (Method::GET, OperatorAsk::Ready),
        "/control/counters" => (Method::GET, OperatorAsk::Figures),
        "/control/out-of-service" => (Method::POST, OperatorAsk::OutOfService),
        "/control/version" => (Method::GET, OperatorAsk::Status),
        "/control/reload" => (Method::POST, OperatorAsk::Reload),
        "/control/shut-out" => (Method::POST, OperatorAsk::ShutOut),
        "/control/in-service" => (Method::POST, OperatorAsk::InService),
        _ => return Err(StatusCode::NOT_FOUND),
    };
    if method == wanted { Ok(ask) } else { Err(StatusCode::METHOD_NOT_ALLOWED) }
}

/// Reads the call to its end, within the bounds.
async fn read(request: Request<Incoming>) -> Call {
    let (head, body) = request.into_parts();
    // One that says beforehand that it is too long is not waited for.
    if body.size_hint().lower() > BODY_MAX as u64 {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    match Limited::new(body, BODY_MAX).collect().await {
        Ok(body) if head.uri.path() == bookings::PATH => Ok(Asked::Bookings(head.method, body.to_bytes())),
        Ok(_) => asked(&head.method, head.uri.path()).map(Asked::Engine),
        Err(e) if e.is::<LengthLimitError>() => Err(StatusCode::PAYLOAD_TOO_LARGE),
        Err(_) => Err(StatusCode::BAD_REQUEST),
    }
}

/// Takes operators' connections for as long as the program runs. It owns the listener and all of them. `desk`: where
/// bookings are asked for, if they can be.
pub async fn listen(listener: TcpListener, questions: mpsc::Sender<Question>, desk: Option<Desk>) {
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
                open.push_back(tasks.spawn_local(serve(stream, questions.clone(), desk.clone())));
            }
            Err(e) => {
                log::warn!("accepting an operator: {e}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(mut stream: TcpStream, questions: mpsc::Sender<Question>, desk: Option<Desk>) {
    let service = service_fn(async |request| {
        let ((status, text), form) = match read(request).await {
            Ok(Asked::Bookings(method, body)) => {
                (bookings::answer(desk.as_ref(), &method, &body).await, "application/json")
            }
            Ok(Asked::Engine(ask)) => (answer(ask, &questions).await, figures::CONTENT_TYPE),
            Err(status) => ((status, String::new()), figures::CONTENT_TYPE),
        };
        let mut response = Response::new(Full::new(Bytes::from(text)));
        *response.status_mut() = status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(form));
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
        Ok::<_, Infallible>(response)
    });
    let call = http1::Builder::new()
        .keep_alive(false)
        .half_close(true)
        .header_read_timeout(None)
        .max_header_size(HEAD_MAX)
        .max_headers(HEADERS_MAX)
        .max_buf_size(HEAD_MAX)
        .title_case_headers(true)
        .auto_date_header(false)
        .serve_connection(TokioIo::new(&mut stream), service);
    match timeout(CALL_WITHIN, call).await {
        Ok(Ok(())) => {}
        // What could not be read was answered as well.
        Ok(Err(e)) => log::debug!("an operator's connection: {e}"),
        Err(_) => return,
    }
    let mut rest = [0; 512];
    let gone = async { while stream.read(&mut rest).await.is_ok_and(|n| n > 0) {} };
    let _ = timeout(LINGER, gone).await;
}

/// Status and text of the answer to a call.
async fn answer(ask: OperatorAsk, questions: &mpsc::Sender<Question>) -> (StatusCode, String) {
    let (reply, answer) = oneshot::channel();
    if questions.send((ask, reply)).await.is_err() {
        return (StatusCode::SERVICE_UNAVAILABLE, String::new());
    }
    match answer.await {
        Ok(OperatorAnswer::Ready(true)) => (StatusCode::OK, "ready\n".into()),
        Ok(OperatorAnswer::Ready(false)) => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".into()),
        Ok(OperatorAnswer::Figures(figures)) => (StatusCode::OK, figures::text(*figures)),
        Ok(OperatorAnswer::Done) => (StatusCode::OK, "done\n".into()),
        Ok(OperatorAnswer::Status(status)) => {
            // A reload that changed nothing is no success; the status says why.
            let failed = ask == OperatorAsk::Reload && status.reload_failed.is_some();
            let text = serde_json::to_string(&status).unwrap_or_default();
            (if failed { StatusCode::CONFLICT } else { StatusCode::OK }, text + "\n")
        }
        Ok(OperatorAnswer::Standing(_)) => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
        Err(_) => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
    }
}

#[cfg(test)]
mod tests;
