//! The command that the README names first.

#![allow(clippy::unwrap_used)]

use std::{env, process::Command};

/// The tests of a package are built together with its examples, which stand in
/// a directory beside the tests' own.
fn quickstart() -> Command {
    let test = env::current_exe().unwrap();
    let profile = test.parent().unwrap().parent().unwrap();
    Command::new(profile.join("examples").join("quickstart"))
}

#[test]
fn prints_answers_with_their_outcomes() {
    let output = quickstart().output().unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success(), "{text}\n{}", String::from_utf8_lossy(&output.stderr));
    assert_eq!(text.matches("outcome answered").count(), 3, "{text}");
    assert!(text.contains("data: [DONE]"), "{text}");
    assert!(text.contains("outcome not-run, reason missing-identity"), "{text}");
    assert!(text.contains("The engines ran 3 requests, the service 1."), "{text}");
}
