//! Reads one frame of H.248 text into a tree of items, and names the tokens by their long forms.
//!
//! Every construct of Annex B that the fronts use has the shape `Name [= value] [{ item, item, ... }]`, or is
//! a quoted string (the text of an `Error`) or a bare word (a range in `TransactionResponseAck`). Tokens are
//! case-insensitive and have short forms (`T`, `P`, `C`, `A`...): [`Token::of`] gives both the same name.

use std::fmt;

/// A node of the tree: `name = value { children }`, each part but the name optional.
/// It borrows its texts from the frame it was read from.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Item<'a> {
    pub name: &'a str,
    pub value: Option<&'a str>,
    pub children: Vec<Item<'a>>,
    /// Braces stood after it, even if empty.
    pub braced: bool,
}

impl<'a> Item<'a> {
    pub fn token(&self) -> Token {
        Token::of(self.name)
    }

    /// The first child of that token.
    pub fn child(&self, token: Token) -> Option<&Item<'a>> {
        self.children.iter().find(|c| c.token() == token)
    }

    /// The value of the first property of that name (any case), depth first; it allocates nothing.
    pub fn property(&self, name: &str) -> Option<&'a str> {
        self.children.iter().find_map(|item| match (item.value, item.children.is_empty()) {
            (Some(value), true) if item.name.eq_ignore_ascii_case(name) => Some(value),
            _ => item.property(name),
        })
    }
}

/// The tokens that the fronts read, after Annex B.2's table; others are `Other`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Token {
    Transaction,
    Reply,
    Pending,
    ResponseAck,
    Context,
    Add,
    Modify,
    Subtract,
    Notify,
    AuditValue,
    Error,
    Other,
}

impl Token {
    /// The token a written name stands for, in either form and any case.
    pub fn of(name: &str) -> Token {
        const TABLE: [(&str, &str, Token); 11] = [
            ("Transaction", "T", Token::Transaction),
            ("Reply", "P", Token::Reply),
            ("Pending", "PN", Token::Pending),
            ("TransactionResponseAck", "K", Token::ResponseAck),
            ("Context", "C", Token::Context),
            ("Add", "A", Token::Add),
            ("Modify", "MF", Token::Modify),
            ("Subtract", "S", Token::Subtract),
            ("Notify", "N", Token::Notify),
            ("AuditValue", "AV", Token::AuditValue),
            ("Error", "ER", Token::Error),
        ];
        let found = TABLE
            .iter()
            .find(|(long, short, _)| name.eq_ignore_ascii_case(long) || name.eq_ignore_ascii_case(short));
        found.map_or(Token::Other, |(_, _, token)| *token)
    }
}

/// A frame: the header's mId, if a header stood before the item, and the item.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame<'a> {
    pub mid: Option<&'a str>,
    pub item: Item<'a>,
}

/// Why a frame can't be read, with the byte where it was seen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SyntaxError {
    pub at: usize,
    pub what: &'static str,
}

impl fmt::Display for SyntaxError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "H.248 syntax: {} at byte {}", self.what, self.at)
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Lexeme<'a> {
    Word(&'a str),
    Quoted(&'a str),
    Open,
    Close,
    Comma,
    Equal,
}

/// Deepest nesting that is read; Annex B's messages go to about ten.
const DEPTH_MAX: usize = 32;

struct Lexer<'a> {
    text: &'a str,
    at: usize,
}

impl<'a> Lexer<'a> {
    fn next(&mut self) -> Result<Option<(usize, Lexeme<'a>)>, SyntaxError> {
        let bytes = self.text.as_bytes();
        loop {
            while self.at < bytes.len() && bytes[self.at].is_ascii_whitespace() {
                self.at += 1;
            }
            if bytes.get(self.at) != Some(&b';') {
                break;
            }
            while self.at < bytes.len() && bytes[self.at] != b'\n' && bytes[self.at] != b'\r' {
                self.at += 1;
            }
        }
        let start = self.at;
        let Some(&byte) = bytes.get(start) else { return Ok(None) };
        self.at += 1;
        let lexeme = match byte {
            b'{' => Lexeme::Open,
            b'}' => Lexeme::Close,
            b',' => Lexeme::Comma,
            b'=' => Lexeme::Equal,
            b'"' => {
                let end =
                    self.text[self.at..].find('"').ok_or(SyntaxError { at: start, what: "an open quote" })?;
                self.at += end + 1;
                Lexeme::Quoted(&self.text[start + 1..start + 1 + end])
            }
            _ => {
                let stop = |b: &u8| b.is_ascii_whitespace() || b"{},=\";".contains(b);
                let end = bytes[start..].iter().position(stop).unwrap_or(bytes.len() - start);
                self.at = start + end;
                Lexeme::Word(&self.text[start..start + end])
            }
        };
        Ok(Some((start, lexeme)))
    }
}

/// Reads a frame that the framer cut: an optional header, then exactly one item.
pub fn parse(text: &str) -> Result<Frame<'_>, SyntaxError> {
    let mut lexer = Lexer { text, at: 0 };
    let mut peeked = lexer.next()?;
    let mut mid = None;
    if let Some((_, Lexeme::Word(word))) = peeked
        && is_header(word)
    {
        match lexer.next()? {
            Some((_, Lexeme::Word(m))) => mid = Some(m),
            other => return Err(SyntaxError { at: other.map_or(text.len(), |(at, _)| at), what: "no mId" }),
        }
        peeked = lexer.next()?;
    }
    let (item, rest) = item(&mut lexer, peeked, 0)?;
    if let Some((at, _)) = rest {
        return Err(SyntaxError { at, what: "more after the item" });
    }
    Ok(Frame { mid, item })
}

fn is_header(word: &str) -> bool {
    let upper = word.to_ascii_uppercase();
    upper.starts_with("MEGACO/") || upper.starts_with("!/")
}

type Next<'a> = Option<(usize, Lexeme<'a>)>;

/// One item, starting at `first`; gives the lexeme after it.
fn item<'a>(
    lexer: &mut Lexer<'a>,
    first: Next<'a>,
    depth: usize,
) -> Result<(Item<'a>, Next<'a>), SyntaxError> {
    let end = lexer.text.len();
    let mut node = match first {
        Some((_, Lexeme::Word(name))) => Item { name, ..Item::default() },
        Some((_, Lexeme::Quoted(text))) => {
            return Ok((Item { value: Some(text), ..Item::default() }, lexer.next()?));
        }
        Some((at, _)) => return Err(SyntaxError { at, what: "no name where an item begins" }),
        None => return Err(SyntaxError { at: end, what: "no item" }),
    };
    let mut next = lexer.next()?;
    if let Some((at, Lexeme::Equal)) = next {
        node.value = match lexer.next()? {
            Some((_, Lexeme::Word(value) | Lexeme::Quoted(value))) => Some(value),
            _ => return Err(SyntaxError { at, what: "no value after '='" }),
        };
        next = lexer.next()?;
    }
    if let Some((at, Lexeme::Open)) = next {
        if depth >= DEPTH_MAX {
            return Err(SyntaxError { at, what: "nested too deep" });
        }
        node.braced = true;
        next = lexer.next()?;
        if !matches!(next, Some((_, Lexeme::Close))) {
            loop {
                let (child, after) = item(lexer, next, depth + 1)?;
                node.children.push(child);
                match after {
                    Some((_, Lexeme::Comma)) => next = lexer.next()?,
                    Some((_, Lexeme::Close)) => break,
                    Some((at, _)) => {
                        return Err(SyntaxError { at, what: "neither ',' nor '}' after an item" });
                    }
                    None => return Err(SyntaxError { at: end, what: "an open brace" }),
                }
            }
        }
        next = lexer.next()?;
    }
    Ok((node, next))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn long_and_short_forms_in_any_case_read_alike() {
        let long =
            parse("MEGACO/1 [127.0.0.1]:2944 Transaction = 5 { Context = 7 { Subtract = a } }").unwrap();
        let short = parse("!/1 <x> t=5{c=7{s=a}} ; a comment").unwrap();
        assert_eq!(long.mid, Some("[127.0.0.1]:2944"));
        for frame in [long, short] {
            assert_eq!(frame.item.token(), Token::Transaction);
            let context = frame.item.child(Token::Context).unwrap();
            assert_eq!((context.value, context.children[0].token()), (Some("7"), Token::Subtract));
        }
    }

    #[test]
    fn properties_and_error_texts_are_found() {
        let frame =
            parse("P=3{C=9{ER=503{\"stay_away_ms=40\"}},C=8{A=x{M{O{cork/desc=\"v=0 }\",k=1}}}}}").unwrap();
        let error = frame.item.children[0].child(Token::Error).unwrap();
        assert_eq!((error.value, error.children[0].value), (Some("503"), Some("stay_away_ms=40")));
        assert_eq!(frame.item.property("CORK/DESC"), Some("v=0 }"));
    }

    #[test]
    fn broken_frames_say_where() {
        for bad in ["T=1{C=1{", "T=1{,}", "T=", "T=1{a b}", "MEGACO/1", "T=1{} x", "\"open"] {
            assert!(parse(bad).is_err(), "{bad}");
        }
        let deep = format!("T=1{}{}", "{a".repeat(40), "}".repeat(41));
        assert_eq!(parse(&deep).map_err(|e| e.what), Err("nested too deep"));
    }
}
