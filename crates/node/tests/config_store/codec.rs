//! Decoding of stored values: no input panics, and a later schema is an error.

use comfreyway_core::config::AcceptedConfig;
use comfreyway_node::config::codec::{
    CodecError, Head, decode_head, decode_snapshot, encode_head, encode_snapshot,
};
use proptest::{
    prelude::*,
    test_runner::{TestRng, TestRunner},
};

use crate::hosts::{change, class};

fn accepted() -> AcceptedConfig {
    let change = change(0, 1, vec![class("quote", 0), class("review", 1)]);
    match AcceptedConfig::default().propose(&change, 7) {
        comfreyway_core::config::ProposalOutcome::Next { next, .. } => *next,
        other => panic!("{other:?}"),
    }
}

#[test]
fn stored_values_read_back_as_written() {
    let accepted = accepted();
    let head = Head::new(&accepted, None);
    assert_eq!(decode_head(&encode_head(&head).unwrap()).unwrap(), head);
    let buf = encode_snapshot(accepted.document()).unwrap();
    assert_eq!(&decode_snapshot(&buf).unwrap(), accepted.document());
}

#[test]
fn a_value_of_a_later_schema_is_refused() {
    let later = br#"{"schema": 2, "version": 3, "new": true}"#;
    assert_eq!(decode_head(later), Err(CodecError::Schema(2)));
    assert_eq!(decode_snapshot(later), Err(CodecError::Schema(2)));
}

#[test]
fn no_stored_value_makes_the_reader_panic() {
    let valid = encode_head(&Head::new(&accepted(), None)).unwrap();
    let damage = (any::<prop::sample::Index>(), any::<u8>(), any::<bool>());
    let damages = prop::collection::vec(damage, 1..4);
    let config = ProptestConfig { cases: 4_096, failure_persistence: None, ..Default::default() };
    let rng = TestRng::deterministic_rng(config.rng_algorithm);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&damages, |damages| {
        let mut buf = valid.clone();
        for (index, byte, cut) in damages {
            let at = index.index(buf.len());
            if cut {
                buf.truncate(at.max(1));
            } else {
                buf[at] = byte;
            }
        }
        if let Ok(head) = decode_head(&buf) {
            let changes = head.since(0).unwrap_or_default();
            let _ = AcceptedConfig::default().replay(&changes);
        }
        let _ = decode_snapshot(&buf);
        Ok(())
    });
    result.unwrap();
}
