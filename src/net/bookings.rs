//! Bookings over the management address: from JSON to what the control thread is asked, and back.
//!
//! The operators' server runs beside the traffic and never waits for the control thread: its questions go by a bounded
//! queue, and whoever asked is answered 503 if nothing comes back in time.

use crate::reservations::{Answer, Listing, Reason, Request, Settings, Wish};
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// The call's path.
pub const PATH: &str = "/control/bookings";
/// Questions that may wait for the control thread; one more is answered 503.
const QUEUE: usize = 32;
/// It is answered within this, or 503: later than the reservations' own time for an answer, and soon enough for the
/// operators' server to write it.
const ANSWER_WITHIN: Duration = Duration::from_millis(4300);

/// What the control thread is asked.
pub enum Question {
    Wish(Box<Wish>, oneshot::Sender<Answer>),
    /// The whole listing as JSON: it may be long, and is written where nothing waits for it.
    List(oneshot::Sender<String>),
    /// Acted on from now on.
    Reread(Box<Settings>),
}

/// The near end of the control thread's queue of questions.
#[derive(Clone, Debug)]
pub struct Desk(SyncSender<Question>);

/// Both ends of the queue.
#[must_use]
pub fn desk() -> (Desk, Receiver<Question>) {
    let (sender, questions) = sync_channel(QUEUE);
    (Desk(sender), questions)
}

/// Which booking.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Named {
    team: String,
    id: String,
}

/// An answer with its status: JSON.
pub type Told = (StatusCode, String);

fn refusal(reason: Reason, text: impl Into<String>) -> Told {
    told(&Answer::Refused { reason, text: text.into(), nearest: Vec::new() }, true)
}

/// `new`: a booking was asked for, and not one that should be there already.
fn told(answer: &Answer, new: bool) -> Told {
    let status = match answer {
        Answer::Booked(_) | Answer::Held { .. } | Answer::Cancelled { .. } => StatusCode::OK,
        Answer::Refused { reason: Reason::Malformed, .. } => StatusCode::BAD_REQUEST,
        Answer::Refused { reason: Reason::NoGrantor, .. } => StatusCode::SERVICE_UNAVAILABLE,
        Answer::Refused { reason: Reason::Unknown, .. } if !new => StatusCode::NOT_FOUND,
        Answer::Refused { .. } => StatusCode::CONFLICT,
    };
    (status, line(answer))
}

fn line(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default() + "\n"
}

/// The listing as it is sent.
#[must_use]
pub fn listed(listing: Option<&Listing>) -> String {
    line(&listing)
}

/// What a call asks for; none: the listing.
fn wish(method: &Method, body: &[u8]) -> Result<Option<Wish>, Told> {
    let malformed = |e: serde_json::Error| refusal(Reason::Malformed, e.to_string());
    let named = || serde_json::from_slice::<Named>(body).map_err(malformed);
    match *method {
        Method::GET => Ok(None),
        Method::POST => {
            let request: Request = serde_json::from_slice(body).map_err(malformed)?;
            request.check().map_err(|e| refusal(Reason::Malformed, e))?;
            Ok(Some(Wish::Book(request)))
        }
        Method::PUT => named().map(|Named { team, id }| Some(Wish::Confirm { team, id })),
        Method::DELETE => named().map(|Named { team, id }| Some(Wish::Cancel { team, id })),
        _ => Err((StatusCode::METHOD_NOT_ALLOWED, String::new())),
    }
}

/// The answer to a call; `desk` is there where the operator's file has reservations.
pub async fn answer(desk: Option<&Desk>, method: &Method, body: &[u8]) -> Told {
    let Some(desk) = desk else {
        let why = "nothing can be booked here: --fleet names no file with `reservations:`, or the control plane is off";
        return (StatusCode::NOT_FOUND, line(&json!({ "why": why })));
    };
    let wish = match wish(method, body) {
        Ok(wish) => wish,
        Err(told) => return told,
    };
    let nobody = || {
        refusal(Reason::NoGrantor, "the control plane does not answer; it may have been booked: ask again")
    };
    match wish {
        None => match asked(desk, Question::List).await {
            Some(text) => (StatusCode::OK, text),
            None => nobody(),
        },
        Some(wish) => {
            let new = matches!(wish, Wish::Book(_));
            let answer = asked(desk, |reply| Question::Wish(Box::new(wish), reply)).await;
            answer.map_or_else(nobody, |answer| told(&answer, new))
        }
    }
}

/// What came back in time.
async fn asked<A>(desk: &Desk, question: impl FnOnce(oneshot::Sender<A>) -> Question) -> Option<A> {
    let (reply, answer) = oneshot::channel();
    // A queue that is full, or whose reader is dead, is not waited for.
    desk.0.try_send(question(reply)).ok()?;
    timeout(ANSWER_WITHIN, answer).await.ok()?.ok()
}

impl Desk {
    /// Has the control thread act on these settings.
    ///
    /// # Errors
    /// It takes nothing now.
    pub fn reread(&self, settings: Settings) -> Result<(), String> {
        let question = Question::Reread(Box::new(settings));
        self.0.try_send(question).map_err(|_| "the control plane does not take it now: try again".to_owned())
    }
}
