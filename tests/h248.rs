//! The text codecs under arbitrary input: no panic, and a message cut anywhere reads as the whole one.

use bytes::BytesMut;
use corkreach::codec::h248::callers::CallerCodec;
use corkreach::codec::h248::servers::ServerCodec;
use proptest::prelude::*;
use tokio_util::codec::Decoder;

/// Pieces of H.248 text, so that random input comes near to what parses.
fn pieces() -> impl Strategy<Value = String> {
    let piece = prop_oneof![
        Just("T=".to_owned()),
        Just("P=".to_owned()),
        Just("PN=".to_owned()),
        Just("C=".to_owned()),
        Just("A=voice".to_owned()),
        Just("S=x".to_owned()),
        Just("{".to_owned()),
        Just("}".to_owned()),
        Just(",".to_owned()),
        Just("cork/wait=9".to_owned()),
        Just("cork/desc=\"a%22\"".to_owned()),
        Just("ER=503".to_owned()),
        Just("MEGACO/1 <x> ".to_owned()),
        Just("; c\n".to_owned()),
        "[0-9]{1,3}",
        ".{0,4}",
    ];
    prop::collection::vec(piece, 0..40).prop_map(|p| p.concat())
}

fn drain<D: Decoder<Error = std::io::Error>>(codec: &mut D, input: &[u8], cut: usize) -> (usize, bool) {
    let mut buffer = BytesMut::new();
    let mut found = 0;
    for chunk in input.chunks(cut.max(1)) {
        buffer.extend_from_slice(chunk);
        loop {
            match codec.decode(&mut buffer) {
                Ok(Some(_)) => found += 1,
                Ok(None) => break,
                Err(_) => return (found, true),
            }
        }
    }
    (found, false)
}

proptest! {
    #[test]
    fn callers_text_never_panics_and_reads_alike_however_cut(text in pieces(), cut in 1usize..50) {
        let whole = drain(&mut CallerCodec::new("<c>"), text.as_bytes(), text.len());
        let cut = drain(&mut CallerCodec::new("<c>"), text.as_bytes(), cut);
        prop_assert_eq!(whole, cut);
    }

    #[test]
    fn servers_text_never_panics_and_reads_alike_however_cut(text in pieces(), cut in 1usize..50) {
        let whole = drain(&mut ServerCodec::new("<c>"), text.as_bytes(), text.len());
        let cut = drain(&mut ServerCodec::new("<c>"), text.as_bytes(), cut);
        prop_assert_eq!(whole, cut);
    }

    #[test]
    fn raw_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..512)) {
        drain(&mut CallerCodec::new("<c>"), &bytes, 7);
        drain(&mut ServerCodec::new("<c>"), &bytes, 3);
    }
}
