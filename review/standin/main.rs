//! Stand-ins and scenarios of the review. `standin CASE DIR` plays one case and writes
//! `DIR/record.txt`. The environment variable TROUBLE=0 leaves out its disruption. Exits
//! with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod declared_length;
mod drill;
mod fleet;
mod http;
mod json;
mod reborn;
mod shorter_limit;
mod slow_reader;
mod store;
mod waiting;

use std::{env, fs, io, path::Path, process, sync::Arc};

use fleet::Record;

/// What a case needs to run.
pub struct Case {
    pub record: Arc<Record>,
    /// False if the disruption is left out.
    pub trouble: bool,
    /// Temporary folder for settings and logs.
    pub dir: String,
}

/// Whether the rule held.
pub enum Verdict {
    Held,
    Broken,
}

fn run(name: &str, out: &str) -> io::Result<Verdict> {
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let dir = env::temp_dir().join(format!("review-{name}-{}", process::id()));
    fs::create_dir_all(&dir)?;
    let record = Record::create(&Path::new(out).join("record.txt").to_string_lossy())?;
    let case = Case { record: Arc::new(record), trouble, dir: dir.to_string_lossy().into_owned() };
    case.record.line(&format!("case {name}, disruption: {}", if trouble { "yes" } else { "no" }));
    let result = match name {
        "declared-length" => declared_length::play(&case),
        "drill-killed" => drill::play(&case, drill::Story::Killed),
        "drill-rewritten" => drill::play(&case, drill::Story::Rewritten),
        "reborn" => reborn::play(&case),
        "shorter-limit" => shorter_limit::play(&case),
        "slow-reader" => slow_reader::play(&case),
        "waiting" => waiting::play(&case),
        _ => Err(io::Error::other("no such case")),
    };
    case.record.line(match &result {
        Ok(Verdict::Held) => "the rule held",
        Ok(Verdict::Broken) => "the rule is broken",
        Err(_) => "the case could not run",
    });
    if env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(&dir);
    }
    result
}

fn main() {
    let args: Vec<String> = env::args().collect();
    let [_, name, out] = &args[..] else {
        eprintln!("usage: standin CASE DIR");
        process::exit(2);
    };
    match run(name, out) {
        Ok(Verdict::Held) => process::exit(0),
        Ok(Verdict::Broken) => process::exit(1),
        Err(e) => {
            eprintln!("the case could not run: {e}");
            process::exit(2);
        }
    }
}
