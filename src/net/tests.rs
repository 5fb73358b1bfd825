//! What the connections of all fronts share.

use super::*;

/// Looks come a moment early or late; however they come, the same number of them ends a connection.
#[tokio::test]
async fn half_a_message_lies_for_four_looks() {
    let mut halves = HalfMessages::new(Duration::from_millis(2300));
    for _ in 0..HALF_LOOKS {
        assert!(halves.look(&[0]).is_ok() && halves.any());
    }
    assert!(halves.look(&[0]).is_err());
}

#[tokio::test]
async fn a_whole_message_between_looks_begins_the_count_anew() {
    let mut halves = HalfMessages::new(Duration::from_millis(2300));
    for _ in 0..3 * HALF_LOOKS {
        assert!(halves.look(&[0]).is_ok());
        halves.got_whole();
    }
    assert!(!halves.any());
    for _ in 0..3 * HALF_LOOKS {
        assert!(halves.look(&[0]).is_ok() && halves.look(&[]).is_ok());
    }
}
