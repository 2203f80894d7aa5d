//! Parser of configuration files.

use std::{collections::BTreeSet, net::SocketAddr, str::FromStr};

use comfreyway_core::{
    config::{
        Class, DataCentre, Document, Edit, Element, Model, Route, Runner, UpstreamKind,
        UpstreamSpec, Workspace,
    },
    ids::Tier,
    request::Target,
};
use ini::{Ini, ParseOption};

use super::{DurationText, IniError, YesNo, section::Section};

const NAME: &str = "a name of letters, digits and . _ - / @ :";
const DURATION: &str = "a whole number with us, ms, s, m or h, such as 1300ms";
const YES_NO: &str = "yes or no";
const TIER: &str = "a tier from 0 (shed last) to 15";
const ADDRESS: &str = "an IP address and port";
const KIND: &str = "engine or service";
const TEXT: &str = "text";
const SECTIONS: &str = "class, data-centre, model, route, upstream or workspace with a name, \
                        or runner with the names of its upstream and its own";

/// Parses a configuration file. The document's version is zero.
///
/// # Errors
///
/// Fails with the first error found. References between elements are checked by
/// [`Document::validate`], except that a runner needs its upstream.
///
/// # Examples
///
/// ```
/// use comfreyway_proto::ini::read;
///
/// let text = "[class quote]\ntier = 0\nwhole-answer = 2s\nidempotent = no\n";
/// assert_eq!(read(text).unwrap().classes.len(), 1);
/// let error = read("[class quote]\ntier = top\n").unwrap_err();
/// assert!(error.to_string().starts_with("line 1: [class quote] tier: bad value"));
/// ```
pub fn read(text: &str) -> Result<Document, IniError> {
    let ini = parse(text)?;
    let mut seen = BTreeSet::new();
    let mut elements = Vec::new();
    for (name, properties) in &ini {
        let Some(name) = name else {
            if let Some((key, _)) = properties.iter().next() {
                return Err(IniError::InvalidSection(1, key.into(), SECTIONS.into()));
            }
            continue;
        };
        let section = Section { name, line: line_of(text, name), properties };
        if !seen.insert(name.to_owned()) {
            return Err(IniError::DuplicateSection(section.line, name.into()));
        }
        elements.push((section.line, parse_element(&section)?));
    }
    build(elements)
}

fn parse(text: &str) -> Result<Ini, IniError> {
    let options =
        ParseOption { enabled_quote: false, enabled_escape: false, ..ParseOption::default() };
    Ini::load_from_str_opt(text, options)
        .map_err(|e| IniError::Syntax(e.line + 1, e.msg.into_owned()))
}

/// Returns the line of a section, counted from 1.
fn line_of(text: &str, section: &str) -> usize {
    let is_section = |line: &str| {
        let name = line.trim().strip_prefix('[').and_then(|rest| rest.split(']').next());
        name.map(str::trim) == Some(section.trim())
    };
    text.lines().position(is_section).map_or(1, |index| index + 1)
}

/// Builds the document; upstreams come before runners, which refer to them.
fn build(mut elements: Vec<(usize, Element)>) -> Result<Document, IniError> {
    elements.sort_by_key(|(_, element)| matches!(element, Element::Runner(..)));
    let mut document = Document::default();
    for (line, element) in elements {
        let name = element.key().to_string();
        document.apply(&Edit::Set(element)).map_err(|finding| {
            IniError::InvalidSection(line, name, format!("the section [{}] as well", finding.place))
        })?;
    }
    Ok(document)
}

fn parse_element(section: &Section<'_>) -> Result<Element, IniError> {
    let words: Vec<_> = section.name.split_whitespace().collect();
    match words[..] {
        ["class", name] => Ok(Element::Class(parse_name(section, name)?, parse_class(section)?)),
        ["data-centre", name] => {
            section.check_keys(&["region"])?;
            let value = DataCentre { region: section.required("region", NAME)? };
            Ok(Element::DataCentre(parse_name(section, name)?, value))
        }
        ["model", name] => {
            section.check_keys(&["upstream"])?;
            let value = Model { upstream: section.required("upstream", NAME)? };
            Ok(Element::Model(parse_name(section, name)?, value))
        }
        ["route", prefix] => Ok(Element::Route(prefix.to_owned(), parse_route(section)?)),
        ["runner", upstream, name] => Ok(Element::Runner(
            parse_name(section, upstream)?,
            parse_name(section, name)?,
            parse_runner(section)?,
        )),
        ["upstream", name] => {
            Ok(Element::Upstream(parse_name(section, name)?, parse_upstream(section)?))
        }
        ["workspace", name] => {
            section.check_keys(&["note"])?;
            let note = section.optional("note", TEXT)?.unwrap_or_default();
            Ok(Element::Workspace(parse_name(section, name)?, Workspace { note }))
        }
        _ => Err(IniError::InvalidSection(section.line, section.name.into(), SECTIONS.into())),
    }
}

fn parse_name<T>(section: &Section<'_>, name: &str) -> Result<T, IniError>
where
    T: FromStr,
{
    name.parse()
        .map_err(|_| IniError::InvalidSection(section.line, section.name.into(), NAME.into()))
}

fn parse_class(section: &Section<'_>) -> Result<Class, IniError> {
    let keys =
        ["tier", "first-token", "between-tokens", "whole-answer", "idempotent", "cancellable"];
    section.check_keys(&keys)?;
    Ok(Class {
        tier: Tier(section.required("tier", TIER)?),
        target: parse_target(section)?,
        idempotent: parse_flag(section, "idempotent", true)?,
        cancellable: parse_flag(section, "cancellable", true)?,
    })
}

fn parse_target(section: &Section<'_>) -> Result<Target, IniError> {
    let duration = |key| section.optional::<DurationText>(key, DURATION);
    let first = duration("first-token")?;
    let between = duration("between-tokens")?;
    match (duration("whole-answer")?, first, between) {
        (Some(whole), None, None) => Ok(Target::Whole(whole.0)),
        (None, Some(first), Some(between)) => {
            Ok(Target::Stream { first_token: first.0, between_tokens: between.0 })
        }
        _ => {
            Err(section
                .missing_key("target", "either whole-answer, or first-token and between-tokens"))
        }
    }
}

fn parse_route(section: &Section<'_>) -> Result<Route, IniError> {
    section.check_keys(&["upstream", "class"])?;
    let upstream = section.required("upstream", NAME)?;
    Ok(Route { upstream, class: section.optional("class", NAME)? })
}

fn parse_runner(section: &Section<'_>) -> Result<Runner, IniError> {
    section.check_keys(&["address", "data-centre", "leaving"])?;
    Ok(Runner {
        address: section.required::<SocketAddr>("address", ADDRESS)?,
        data_centre: section.required("data-centre", NAME)?,
        leaving: parse_flag(section, "leaving", false)?,
    })
}

fn parse_upstream(section: &Section<'_>) -> Result<UpstreamSpec, IniError> {
    section.check_keys(&["kind", "checks-fencing", "resumes"])?;
    let kind: String = section.required("kind", KIND)?;
    let kind = match kind.as_str() {
        "engine" => UpstreamKind::Engine,
        "service" => UpstreamKind::Service,
        _ => {
            let (name, key) = (section.name.into(), "kind".into());
            return Err(IniError::InvalidValue(section.line, name, key, kind, KIND.into()));
        }
    };
    Ok(UpstreamSpec {
        kind,
        checks_fencing: parse_flag(section, "checks-fencing", false)?,
        resumes: parse_flag(section, "resumes", false)?,
    })
}

fn parse_flag(section: &Section<'_>, key: &str, default: bool) -> Result<bool, IniError> {
    Ok(section.optional::<YesNo>(key, YES_NO)?.map_or(default, |flag| flag.0))
}
