//! Integration tests with real processes.

fn main() {}
