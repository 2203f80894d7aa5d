//! `comfreyway request`.

use std::net::SocketAddr;

use bpaf::{Parser, construct, long, positional};
use comfreyway_core::ids::RequestId;
use comfreyway_proto::operator::RequestReport;

use crate::{
    CliError, Exit,
    globals::Globals,
    ops::{RequestSpec, send_request},
    output::{Table, print_json},
};

/// The callers' port of a daemon with default settings.
const DEFAULT_CALLERS_ADDRESS: &str = "127.0.0.1:8080";

/// A command on single requests.
#[derive(Clone, Debug)]
pub(crate) enum RequestCommand {
    /// Sends a trial request.
    Send { spec: RequestSpec },
    /// Shows the steps of a request.
    Show { id: RequestId },
}

pub(super) fn command() -> impl Parser<RequestCommand> {
    let spec = spec();
    let send = construct!(RequestCommand::Send { spec })
        .to_options()
        .descr("Send a trial request and print its response and outcome")
        .command("send");
    let id = id();
    let show = construct!(RequestCommand::Show { id })
        .to_options()
        .descr("Show the steps of a request")
        .command("show");
    construct!([send, show]).to_options().descr("Send and inspect requests").command("request")
}

fn id() -> impl Parser<RequestId> {
    positional::<RequestId>("ID").help("Identifier from the header comfreyway-request-id")
}

fn spec() -> impl Parser<RequestSpec> {
    let to = long("to")
        .help("Callers' port of a daemon, as IP address and port [default: 127.0.0.1:8080]")
        .argument::<SocketAddr>("ADDRESS")
        .fallback_with(|| DEFAULT_CALLERS_ADDRESS.parse());
    let class = long("class").help("Class of the request").argument::<String>("CLASS").optional();
    let workspace = long("workspace").help("Workspace").argument::<String>("WORKSPACE");
    let key = long("key")
        .help("Idempotency key; a repeat with it gets the same response")
        .argument::<String>("KEY")
        .optional();
    let path = long("path").help("Path of a plain service").argument::<String>("PATH").optional();
    let model = long("model").help("Model").argument::<String>("MODEL").optional();
    let stream = long("stream").help("Request a streamed response").switch();
    let prompt = positional::<String>("PROMPT").help("The prompt").fallback("Hello".to_owned());
    construct!(RequestSpec { to, class, workspace, key, path, model, stream, prompt })
}

impl RequestCommand {
    pub(super) async fn run(self, globals: &Globals) -> Result<Exit, CliError> {
        match self {
            Self::Send { spec } => send_request(&spec).await,
            Self::Show { id } => {
                let report = globals.client()?.request(&id.to_string()).await?;
                if globals.json {
                    print_json(&report);
                } else {
                    print_steps(&report);
                }
                Ok(Exit::Done)
            }
        }
    }
}

fn print_steps(report: &RequestReport) {
    println!("request {}: class {}, workspace {}", report.id, report.class, report.workspace);
    let mut table = Table::new(&["AFTER MS", "STEP", "DETAIL"]);
    for step in &report.steps {
        table.push([format!("{:.1}", step.after_ms), step.step.clone(), step.detail.clone()]);
    }
    print!("{table}");
}
