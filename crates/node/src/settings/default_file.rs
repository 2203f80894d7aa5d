//! Generates the annotated default settings file.

use super::{KEYS, KeySpec, PEERS_SECTION};

/// Returns a settings file with every key, its default, unit and meaning.
///
/// # Examples
///
/// ```
/// use comfreyway_node::settings::default_file;
///
/// assert!(default_file().contains("callers = 127.0.0.1:8080"));
/// ```
#[must_use]
pub fn default_file() -> String {
    let mut out = String::from("; Settings of one comfreywayd process.\n");
    let mut section = "";
    for spec in KEYS {
        if spec.section != section {
            section = spec.section;
            out.push_str(&format!("\n[{section}]\n"));
        }
        push_key(&mut out, spec);
    }
    out.push_str(&format!("\n[{PEERS_SECTION}]\n"));
    out.push_str("; Static list of peers: name = IP address and port of its peers' port.\n");
    out.push_str("; host-2 = 10.0.0.2:8081\n");
    out
}

fn push_key(out: &mut String, spec: &KeySpec) {
    for line in spec.help.lines() {
        out.push_str(&format!("; {line}\n"));
    }
    match spec.default {
        Some(default) => {
            out.push_str(&format!("; Unit: {}.\n{} = {default}\n", spec.unit, spec.key));
        }
        None => {
            out.push_str(&format!("; Unit: {}. Required.\n{} = example\n", spec.unit, spec.key))
        }
    }
}
