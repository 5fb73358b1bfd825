//! What the codecs of all fronts share: bounds of a message, fields that read alike everywhere, causes.

use crate::engine::{Ending, Fault, SetUp};
use crate::interface::LoadReport;
use crate::settings;

/// A message holds at most so many bytes, on every connection.
pub const MESSAGE_MAX: usize = 16 * 1024;
/// A description is refused if its JSON is longer: the line to a call server holds the other fields as well.
const DESCRIPTION_JSON_MAX: usize = MESSAGE_MAX - 1024;
/// So are other fields that go on.
const FIELD_MAX: usize = 128;

/// Causes of Q.850, as call servers use them.
pub const NORMAL: u64 = 16;
const FULL: u64 = 34;
pub const RESET: u64 = 41;
const NOT_SENT: u64 = 102;

/// Whether a set-up's texts fit what a call server takes, from any front: a description within its JSON bound,
/// class and number of at most 128 bytes, the number hexadecimal.
pub fn bounded(set_up: &SetUp) -> Result<(), Fault> {
    let number = set_up.number.as_deref().unwrap_or("0");
    if json_len(&set_up.description) > DESCRIPTION_JSON_MAX
        || number.len().max(set_up.class.len()) > FIELD_MAX
        || u64::from_str_radix(number, 16).is_err()
    {
        return Err(Fault::Invalid);
    }
    Ok(())
}

/// Bytes that a text takes in JSON.
fn json_len(text: &str) -> usize {
    serde_json::to_string(text).map_or(usize::MAX, |json| json.len())
}

/// The call server of first choice, if any, and the lines wanted, out of `dest:2;width:1;via:-1`; none if a
/// field is no figure, or one of these two no count.
pub fn extras(text: &str) -> Option<(Option<u32>, u32)> {
    let (mut dest, mut width) = (None, 1);
    for field in text.split(';').map(str::trim).filter(|f| !f.is_empty()) {
        let (name, figure) = field.split_once(':')?;
        let figure: f64 = figure.parse().ok()?;
        let count =
            (figure.fract() == 0.0 && (0.0..=f64::from(u16::MAX)).contains(&figure)).then_some(figure as u32);
        match name {
            "dest" => dest = Some(count?),
            "width" => width = count?,
            _ if figure.is_finite() => {}
            _ => return None,
        }
    }
    Some((dest, width))
}

/// How a call ended, by its Q.850 cause; of a full server: whether it said that it lacked a line (note `nc`), and
/// the wait that it told, ms.
pub fn ending(cause: u64, lines: bool, waited_ms: Option<f64>) -> Ending {
    match cause {
        NORMAL => Ending::Normal,
        FULL => Ending::Full { lines, waited_ms: waited_ms.filter(|ms| *ms >= 0.0).map(|ms| ms as u32) },
        RESET => Ending::Reset,
        NOT_SENT => Ending::NotSent,
        _ => Ending::Error,
    }
}

/// A report's fields, as in `x0:12;x1:40;queue:3`; those unknown are passed over.
pub fn load(text: &str) -> LoadReport {
    let mut report = LoadReport::default();
    for (name, value) in text.split(';').filter_map(|field| field.split_once(':')) {
        if let Ok(value) = value.trim().parse() {
            settings::column(name.trim()).fill(&mut report, value);
        }
    }
    report
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn figures_of_a_set_up_are_read_and_those_unknown_passed_over() {
        assert_eq!(extras("dest:2;width:1;via:-1"), Some((Some(2), 1)));
        assert_eq!(extras("dest:1;width:2;via:0;again:1"), Some((Some(1), 2)), "cut, and comes again");
        for wrong in ["dest:-1", "width:0.5", "again:x", "dest"] {
            assert_eq!(extras(wrong), None, "{wrong}");
        }
    }

    #[test]
    fn causes_say_how_a_call_ended() {
        let full = |lines, waited_ms| Ending::Full { lines, waited_ms };
        assert_eq!(ending(34, true, None), full(true, None));
        assert_eq!(ending(34, false, Some(850.7)), full(false, Some(850)));
        assert_eq!(ending(34, false, Some(-1.0)), full(false, None));
        let ends = [16, 41, 102, 17, 47].map(|cause| ending(cause, false, None));
        let wanted = [Ending::Normal, Ending::Reset, Ending::NotSent, Ending::Error, Ending::Error];
        assert_eq!(ends, wanted);
    }
}
