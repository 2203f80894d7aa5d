//! Test of the quickstart example, the first command in the README.

#![allow(clippy::unwrap_used)]

use std::{env, process::Command};

/// Cargo builds the examples of a package along with its tests, into a directory
/// next to that of the tests.
fn quickstart() -> Command {
    let test = env::current_exe().unwrap();
    let profile = test.parent().unwrap().parent().unwrap();
    Command::new(profile.join("examples").join("quickstart"))
}

#[test]
fn prints_responses_with_outcomes() {
    let output = quickstart().output().unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success(), "{text}\n{}", String::from_utf8_lossy(&output.stderr));
    assert_eq!(text.matches("outcome answered").count(), 3, "{text}");
    assert!(text.contains("data: [DONE]"), "{text}");
    assert!(text.contains("outcome not-run, reason missing-identity"), "{text}");
    assert!(text.contains("The engines ran 3 requests, the service 1."), "{text}");
}
