//! What is said, cut to datagrams. What fits one goes in one and may be lost: whoever said it says it again. What is
//! longer is a letter, sent page by page with a few of them under way, each answered, and lost ones sent again.

use super::message::{Body, Message};
use crate::terms::Member;
use std::collections::BTreeMap;

/// Bytes of a letter in a page; the rest of [`Message::BYTES_MOST`] is for its numbers.
const PAGE: usize = 180;
/// Pages under way to one instance.
const AHEAD: u16 = 16;
/// Without an answer for so long, they are sent again, ms,
const AGAIN_MS: f64 = 150.0;
/// and given up after this.
const GIVE_UP_MS: f64 = 2000.0;

#[derive(Debug)]
struct Letter {
    number: u32,
    bytes: Vec<u8>,
    pages: u16,
    /// Pages answered, and sent.
    had: u16,
    sent: u16,
    moved_at: f64,
    sent_at: f64,
}

#[derive(Debug)]
struct Arriving {
    number: u32,
    pages: u16,
    next: u16,
    bytes: Vec<u8>,
}

/// The letters to and from everybody: one each way at a time.
#[derive(Debug)]
pub struct Pages {
    leaving: BTreeMap<Member, Letter>,
    arriving: BTreeMap<Member, Arriving>,
    next_number: u32,
}

/// Messages and whom they go to.
pub type Mail = Vec<(Member, Message)>;

impl Pages {
    /// Letters are numbered from `first` on: other than before a restart.
    #[must_use]
    pub fn new(first: u32) -> Self {
        Pages { leaving: BTreeMap::new(), arriving: BTreeMap::new(), next_number: first }
    }

    /// Says something to somebody. While a letter is on its way there, a further one is dropped.
    pub fn send(&mut self, now: f64, to: Member, body: Body, mail: &mut Mail) {
        let Ok(bytes) = postcard::to_allocvec(&body) else { return };
        // The kind of message takes one byte.
        if bytes.len() < Message::BYTES_MOST {
            mail.push((to, Message::Whole(body)));
            return;
        }
        let Ok(pages) = u16::try_from(bytes.len().div_ceil(PAGE)) else { return };
        if self.leaving.contains_key(&to) {
            return;
        }
        self.next_number = self.next_number.wrapping_add(1);
        let number = self.next_number;
        self.leaving
            .insert(to, Letter { number, bytes, pages, had: 0, sent: 0, moved_at: now, sent_at: now });
        self.go_on(now, to, mail);
    }

    fn go_on(&mut self, now: f64, to: Member, mail: &mut Mail) {
        let Some(letter) = self.leaving.get_mut(&to) else { return };
        while letter.sent < letter.pages && letter.sent < letter.had.saturating_add(AHEAD) {
            let from = usize::from(letter.sent) * PAGE;
            let bytes = letter.bytes[from..letter.bytes.len().min(from + PAGE)].to_vec();
            mail.push((
                to,
                Message::Page { letter: letter.number, page: letter.sent, pages: letter.pages, bytes },
            ));
            letter.sent += 1;
            letter.sent_at = now;
        }
    }

    /// Takes a message; what was said, once all of it is there.
    pub fn receive(&mut self, now: f64, from: Member, message: Message, mail: &mut Mail) -> Option<Body> {
        match message {
            Message::Whole(body) => Some(body),
            Message::Paged { letter: number, next } => {
                let letter = self.leaving.get_mut(&from).filter(|l| l.number == number)?;
                if next >= letter.pages {
                    self.leaving.remove(&from);
                } else if next > letter.had {
                    (letter.had, letter.sent, letter.moved_at) = (next, letter.sent.max(next), now);
                    self.go_on(now, from, mail);
                }
                None
            }
            Message::Page { letter, page, pages, bytes } => {
                self.page(from, letter, page, pages, &bytes, mail)
            }
        }
    }

    fn page(
        &mut self,
        from: Member,
        letter: u32,
        page: u16,
        pages: u16,
        bytes: &[u8],
        mail: &mut Mail,
    ) -> Option<Body> {
        let new = || Arriving { number: letter, pages, next: 0, bytes: Vec::new() };
        let arriving = self.arriving.entry(from).or_insert_with(new);
        if arriving.number != letter {
            // A page of an older letter that comes late begins nothing.
            if page != 0 {
                return None;
            }
            *arriving = new();
        }
        let whole = arriving.next == arriving.pages;
        if page == arriving.next && page < arriving.pages {
            arriving.bytes.extend_from_slice(bytes);
            arriving.next += 1;
        }
        mail.push((from, Message::Paged { letter, next: arriving.next }));
        if arriving.next < arriving.pages || whole {
            return None;
        }
        postcard::from_bytes(&std::mem::take(&mut arriving.bytes)).ok()
    }

    /// Sends again what was not answered.
    pub fn tick(&mut self, now: f64, mail: &mut Mail) {
        self.leaving.retain(|_, letter| now - letter.moved_at < GIVE_UP_MS);
        let late: Vec<Member> =
            self.leaving.iter().filter(|(_, l)| now - l.sent_at >= AGAIN_MS).map(|(&to, _)| to).collect();
        for to in late {
            if let Some(letter) = self.leaving.get_mut(&to) {
                letter.sent = letter.had;
                self.go_on(now, to, mail);
            }
        }
    }

    /// Whether something waits to be sent again.
    #[must_use]
    pub fn waits(&self) -> bool {
        !self.leaving.is_empty()
    }
}
