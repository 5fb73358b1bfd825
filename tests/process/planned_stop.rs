//! A planned stop that may be cut short by a kill: SIGKILL comes as early as the longest deadline, counted as 3 s at most,
//! and 0.7 s more after SIGTERM.

use crate::rig::*;
use crate::two;
use std::io::Write;
use std::time::Duration;

/// Guards against a program that ends while a caller is in the middle of a set-up on an open connection: its last byte
/// came, and no answer did.
#[test]
fn a_set_up_written_slowly_through_the_end_of_a_stop_is_answered() {
    let (_a, _b, mut program, _names, _la, _lb, mut caller) = two();
    program.terminate();
    let bytes = Caller::set_up_bytes(7, 0, 9000);
    let (first, rest) = bytes.split_at(bytes.len() / 2);
    std::thread::sleep(Duration::from_millis(600));
    caller.stream.write_all(first).unwrap();
    std::thread::sleep(Duration::from_millis(900));
    caller.stream.write_all(rest).unwrap();
    caller.expect(12, 7, Some(42));
    assert!(program.wait().success());
}
