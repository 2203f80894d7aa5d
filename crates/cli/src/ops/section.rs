//! Changes of one element, written as keys of the configuration file.

use comfreyway_core::config::Document;
use comfreyway_proto::ini::{read, write};
use ini::{EscapePolicy, Ini, LineSeparator, ParseOption, WriteOption};

use crate::CliError;

/// A class has either this key or both keys of [`STREAM`].
const WHOLE_ANSWER_KEY: &str = "whole-answer";
const STREAM_KEYS: [&str; 2] = ["first-token", "between-tokens"];

/// Sets keys of the element `section`, which is added if it does not exist. An
/// assignment without a value removes the key.
///
/// # Errors
///
/// Fails if an assignment is not `key=value`, or if the element would be
/// invalid by itself.
pub fn set_section(
    document: &Document,
    section: &str,
    assignments: &[String],
) -> Result<Document, CliError> {
    let mut ini = to_ini(document)?;
    let mut setter = ini.with_section(Some(section));
    for assignment in assignments {
        let Some((key, value)) = assignment.split_once('=') else {
            let text = format!("{assignment}: write it as key=value, such as tier=0");
            return Err(CliError::Argument(text));
        };
        if value.is_empty() {
            setter.delete(&key);
        } else {
            setter.set(key, value);
        }
        if key == WHOLE_ANSWER_KEY && !value.is_empty() {
            for key in STREAM_KEYS {
                setter.delete(&key);
            }
        } else if STREAM_KEYS.contains(&key) && !value.is_empty() {
            setter.delete(&WHOLE_ANSWER_KEY);
        }
    }
    if ini.section(Some(section)).is_none() {
        ini.entry(Some(section.to_owned())).or_insert(Default::default());
    }
    to_document(document, &ini)
}

/// Removes the element `section`. Removing an upstream removes its runners.
///
/// # Errors
///
/// Fails if the element does not exist.
pub fn remove_section(document: &Document, section: &str) -> Result<Document, CliError> {
    let mut ini = to_ini(document)?;
    if ini.delete(Some(section)).is_none() {
        let text = format!("{section} is not configured; check the name with: config export");
        return Err(CliError::Argument(text));
    }
    if let Some(upstream) = section.strip_prefix("upstream ") {
        let prefix = format!("runner {upstream} ");
        let runners: Vec<_> = ini
            .sections()
            .flatten()
            .filter(|name| name.starts_with(&prefix))
            .map(str::to_owned)
            .collect();
        runners.into_iter().for_each(|runner| drop(ini.delete(Some(runner))));
    }
    to_document(document, &ini)
}

fn to_ini(document: &Document) -> Result<Ini, CliError> {
    let options =
        ParseOption { enabled_quote: false, enabled_escape: false, ..ParseOption::default() };
    Ini::load_from_str_opt(&write(document), options).map_err(|e| CliError::Argument(e.to_string()))
}

fn to_document(document: &Document, ini: &Ini) -> Result<Document, CliError> {
    let options = WriteOption {
        escape_policy: EscapePolicy::Nothing,
        line_separator: LineSeparator::CR,
        kv_separator: " = ",
    };
    let mut buf = Vec::new();
    ini.write_to_opt(&mut buf, options).map_err(|e| CliError::Argument(e.to_string()))?;
    let edited = read(&String::from_utf8_lossy(&buf)).map_err(|e| {
        let text = e.to_string();
        let message = text.split_once(": ").map_or(text.as_str(), |(_, message)| message);
        CliError::Argument(message.to_owned())
    })?;
    Ok(Document { version: document.version, ..edited })
}
