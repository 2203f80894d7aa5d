//! Writer of configuration files.

use comfreyway_core::{
    config::{Class, Document, Element, Runner, UpstreamKind},
    request::Target,
};
use ini::{EscapePolicy, Ini, LineSeparator, WriteOption};

use super::{DurationText, YesNo};

/// Writes a document as a configuration file, without its version.
///
/// # Examples
///
/// ```
/// use comfreyway_proto::ini::{read, write};
///
/// let text = "[class quote]\ntier = 0\nwhole-answer = 2s\nidempotent = no\n";
/// let document = read(text).unwrap();
/// assert_eq!(read(&write(&document)).unwrap(), document);
/// ```
#[must_use]
pub fn write(document: &Document) -> String {
    to_text(document.elements())
}

/// Writes one element as a section.
#[must_use]
pub fn write_element(element: &Element) -> String {
    to_text([element.clone()])
}

fn to_text<I>(elements: I) -> String
where
    I: IntoIterator<Item = Element>,
{
    let mut ini = Ini::new();
    for element in elements {
        add_element(&mut ini, &element);
    }
    let options = WriteOption {
        escape_policy: EscapePolicy::Nothing,
        line_separator: LineSeparator::CR,
        kv_separator: " = ",
    };
    let mut buf = Vec::new();
    match ini.write_to_opt(&mut buf, options) {
        Ok(()) => String::from_utf8_lossy(&buf).into_owned(),
        Err(e) => unreachable!("writing to memory can't fail: {e}"),
    }
}

fn add_element(ini: &mut Ini, element: &Element) {
    let name = element.key().to_string();
    let mut section = ini.with_section(Some(name));
    match element {
        Element::Class(_, value) => add_class(&mut section, value),
        Element::DataCentre(_, value) => drop(section.set("region", value.region.as_str())),
        Element::Model(_, value) => drop(section.set("upstream", value.upstream.as_str())),
        Element::Route(_, value) => {
            section.set("upstream", value.upstream.as_str());
            if let Some(class) = &value.class {
                section.set("class", class.as_str());
            }
        }
        Element::Runner(_, _, value) => add_runner(&mut section, value),
        Element::Upstream(_, value) => {
            let kind = match value.kind {
                UpstreamKind::Engine => "engine",
                UpstreamKind::Service => "service",
            };
            section.set("kind", kind);
            section.set("checks-fencing", YesNo(value.checks_fencing).to_string());
            section.set("resumes", YesNo(value.resumes).to_string());
        }
        Element::Workspace(_, value) => drop(section.set("note", value.note.as_str())),
    }
}

fn add_class(section: &mut ini::SectionSetter<'_>, class: &Class) {
    section.set("tier", class.tier.to_string());
    match class.target {
        Target::Stream { first_token, between_tokens } => {
            section.set("first-token", DurationText(first_token).to_string());
            section.set("between-tokens", DurationText(between_tokens).to_string());
        }
        Target::Whole(limit) => drop(section.set("whole-answer", DurationText(limit).to_string())),
    }
    section.set("idempotent", YesNo(class.idempotent).to_string());
    section.set("cancellable", YesNo(class.cancellable).to_string());
}

fn add_runner(section: &mut ini::SectionSetter<'_>, runner: &Runner) {
    section.set("address", runner.address.to_string());
    section.set("data-centre", runner.data_centre.as_str());
    section.set("leaving", YesNo(runner.leaving).to_string());
}
