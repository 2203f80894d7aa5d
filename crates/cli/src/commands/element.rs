//! `list`, `set` and `remove` for every kind of element.

use bpaf::{Parser, construct, positional};
use comfreyway_core::config::{Document, Element};
use comfreyway_proto::ini::write_element;

use crate::{
    CliError, Exit,
    globals::Globals,
    ops::{remove_section, set_section},
    output::{Table, print_json},
};

use super::change::{ChangeOptions, change_options};

/// Kind of an element.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ElementKind {
    Class,
    DataCentre,
    Model,
    Route,
    Runner,
    Upstream,
    Workspace,
}

impl ElementKind {
    /// Returns the kind's name in commands and section names.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Class => "class",
            Self::DataCentre => "data-centre",
            Self::Model => "model",
            Self::Route => "route",
            Self::Runner => "runner",
            Self::Upstream => "upstream",
            Self::Workspace => "workspace",
        }
    }

    fn keys_help(self) -> &'static str {
        match self {
            Self::Class => {
                "Keys: tier, first-token and between-tokens or whole-answer, idempotent, \
                 cancellable"
            }
            Self::DataCentre => "Keys: region",
            Self::Model => "Keys: upstream",
            Self::Route => "Keys: upstream, class",
            Self::Runner => "Keys: address, data-centre, leaving. NAME is UPSTREAM/RUNNER",
            Self::Upstream => "Keys: kind (engine or service), checks-fencing, resumes",
            Self::Workspace => "Keys: note",
        }
    }

    /// Returns the name of the element's section in a configuration file.
    fn section_name(self, name: &str) -> String {
        let name = match self {
            Self::Runner => name.replacen('/', " ", 1),
            _ => name.to_owned(),
        };
        format!("{} {name}", self.as_str())
    }
}

/// An action on elements of one kind.
#[derive(Clone, Debug)]
pub(crate) enum ElementAction {
    List,
    Set { options: ChangeOptions, name: String, assignments: Vec<String> },
    Remove { options: ChangeOptions, name: String },
}

/// A command on elements of one kind.
#[derive(Clone, Debug)]
pub(crate) struct ElementCommand {
    pub(super) kind: ElementKind,
    pub(super) action: ElementAction,
}

pub(super) fn command(kind: ElementKind) -> impl Parser<ElementCommand> {
    let action = action(kind);
    let command = construct!(action).map(move |action| ElementCommand { kind, action });
    let descr = format!("List and change elements of the kind {}", kind.as_str());
    command.to_options().descr(descr.as_str()).command(kind.as_str())
}

pub(super) fn action(kind: ElementKind) -> impl Parser<ElementAction> {
    let list = bpaf::pure(ElementAction::List).to_options().descr("List all").command("list");
    let options = change_options();
    let name = name();
    let assignments =
        positional::<String>("KEY=VALUE").help(kind.keys_help()).some("expected KEY=VALUE");
    let set = construct!(ElementAction::Set { options, name, assignments })
        .to_options()
        .descr("Add one, or change the keys that are given; KEY= removes a key")
        .command("set");
    let options = change_options();
    let name = self::name();
    let remove = construct!(ElementAction::Remove { options, name })
        .to_options()
        .descr("Remove one")
        .command("remove");
    construct!([list, set, remove])
}

fn name() -> impl Parser<String> {
    positional::<String>("NAME").help("Name of the element")
}

impl ElementCommand {
    pub(super) async fn run(self, globals: &Globals) -> Result<Exit, CliError> {
        let client = globals.client()?;
        let current = client.config().await?.document;
        match self.action {
            ElementAction::List => {
                list(globals, self.kind, &current);
                Ok(Exit::Done)
            }
            ElementAction::Set { options, name, assignments } => {
                let wanted = set_section(&current, &self.kind.section_name(&name), &assignments)?;
                options.submit(globals, &client, &current, &wanted).await
            }
            ElementAction::Remove { options, name } => {
                let wanted = remove_section(&current, &self.kind.section_name(&name))?;
                options.submit(globals, &client, &current, &wanted).await
            }
        }
    }
}

fn list(globals: &Globals, kind: ElementKind, document: &Document) {
    let elements: Vec<_> = document.elements().filter(|e| kind_of(e) == kind).collect();
    if globals.json {
        print_json(&elements);
        return;
    }
    let mut table = Table::new(&["NAME", "SETTINGS"]);
    for element in &elements {
        let key = element.key().to_string();
        let name = key.split_once(' ').map_or(key.as_str(), |(_, name)| name).replace(' ', "/");
        let text = write_element(element);
        let settings: Vec<_> = text
            .lines()
            .skip(1)
            .filter(|line| !line.is_empty())
            .map(|l| l.replace(" = ", "="))
            .collect();
        table.push([name, settings.join(" ")]);
    }
    print!("{table}");
}

fn kind_of(element: &Element) -> ElementKind {
    match element {
        Element::Class(..) => ElementKind::Class,
        Element::DataCentre(..) => ElementKind::DataCentre,
        Element::Model(..) => ElementKind::Model,
        Element::Route(..) => ElementKind::Route,
        Element::Runner(..) => ElementKind::Runner,
        Element::Upstream(..) => ElementKind::Upstream,
        Element::Workspace(..) => ElementKind::Workspace,
    }
}
