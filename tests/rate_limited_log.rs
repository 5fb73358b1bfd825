//! The limiter of log lines about bad input: one line for each kind and span, the next one counting the rest.

use corkreach::rate_limited_log::{BadInput, LogRateLimit, SPAN_MS, line};

#[test]
fn one_line_is_written_in_a_span_and_the_next_counts_those_left_out() {
    let mut limit = LogRateLimit::default();
    assert_eq!(limit.admit(BadInput::ListUnreadable, 1000.0), Some(0));
    for n in 0..199 {
        assert_eq!(limit.admit(BadInput::ListUnreadable, 1000.0 + f64::from(n)), None);
    }
    assert_eq!(limit.admit(BadInput::ListUnreadable, 1000.0 + SPAN_MS - 0.5), None);
    assert_eq!(limit.admit(BadInput::ListUnreadable, 1000.0 + SPAN_MS), Some(200));
    assert_eq!(limit.admit(BadInput::ListUnreadable, 1000.0 + 2.0 * SPAN_MS), Some(0), "none was left out");
}

#[test]
fn kinds_do_not_hide_one_another() {
    let mut limit = LogRateLimit::default();
    assert_eq!(limit.admit(BadInput::CallerMessageHalf, 0.0), Some(0));
    assert_eq!(limit.admit(BadInput::CallerMessageOversized, 1.0), Some(0));
    assert_eq!(limit.admit(BadInput::CallerMessageHalf, 2.0), None);
    assert_eq!(limit.admit(BadInput::CallerMessageOversized, SPAN_MS), None, "its own span ends later");
    assert_eq!(limit.admit(BadInput::CallerMessageHalf, SPAN_MS), Some(1));
}

#[test]
fn a_clock_set_back_silences_nothing() {
    let mut limit = LogRateLimit::default();
    assert_eq!(limit.admit(BadInput::CallerFaults, 9_000_000.0), Some(0));
    assert_eq!(limit.admit(BadInput::CallerFaults, 9_000_001.0), None);
    assert_eq!(limit.admit(BadInput::CallerFaults, 10.0), Some(1));
    assert_eq!(limit.admit(BadInput::CallerFaults, 11.0), None);
}

#[test]
fn a_line_names_the_kind_the_details_and_the_number_left_out() {
    let kind = BadInput::CallerMessageOversized;
    let plain = "bad input: oversized message from a caller: caller 7: a message of 65535 bytes";
    assert_eq!(line(kind, 0, "caller 7: a message of 65535 bytes"), plain);
    assert_eq!(line(kind, 199, "caller 7: a message of 65535 bytes"), format!("{plain} (199 more left out)"));
}

/// A peer's own text makes neither a line of its own nor a long one.
#[test]
fn a_peers_text_stays_in_its_line() {
    let kind = BadInput::ServerMessageUnreadable;
    let text = line(kind, 0, &format!("x\r\n\u{1b}1.0 n0 ERROR{}", "y".repeat(20_000)));
    assert!(!text.contains(char::is_control), "{text:?}");
    assert!(text.chars().count() < 300, "{}", text.len());
}
