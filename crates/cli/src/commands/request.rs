//! `comfreyway request`.

use std::net::SocketAddr;

use bpaf::{Parser, construct, long, positional};

use crate::{
    CliError, Exit,
    ops::{RequestSpec, send_request},
};

/// The callers' port of a daemon with default settings.
const DEFAULT_CALLERS: &str = "127.0.0.1:8080";

/// Sends a trial request.
#[derive(Clone, Debug)]
pub(crate) struct RequestCommand {
    spec: RequestSpec,
}

pub(super) fn command() -> impl Parser<RequestCommand> {
    let spec = spec();
    let send = construct!(RequestCommand { spec })
        .to_options()
        .descr("Send a trial request and print its answer and outcome")
        .command("send");
    send.to_options().descr("Try requests").command("request")
}

fn spec() -> impl Parser<RequestSpec> {
    let to = long("to")
        .help("Callers' port of a daemon, as IP number and port [default: 127.0.0.1:8080]")
        .argument::<SocketAddr>("ADDRESS")
        .fallback_with(|| DEFAULT_CALLERS.parse());
    let class = long("class").help("Class of the request").argument::<String>("CLASS").optional();
    let workspace = long("workspace").help("Workspace").argument::<String>("WORKSPACE");
    let key = long("key")
        .help("Identity, so that a repeat gets the same answer")
        .argument::<String>("KEY")
        .optional();
    let path = long("path").help("Path of a plain service").argument::<String>("PATH").optional();
    let model = long("model").help("Model").argument::<String>("MODEL").optional();
    let stream = long("stream").help("Ask for a streamed answer").switch();
    let prompt = positional::<String>("PROMPT").help("The prompt").fallback("Hello".to_owned());
    construct!(RequestSpec { to, class, workspace, key, path, model, stream, prompt })
}

impl RequestCommand {
    pub(super) async fn run(self) -> Result<Exit, CliError> {
        send_request(&self.spec).await
    }
}
