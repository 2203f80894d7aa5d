//! Starts stand-ins and daemons, sends a few requests and prints the answers
//! with their outcomes.
//!
//! The example executes itself again for each daemon: with `--config` on its
//! command line it is a daemon.

use std::{env, io, net::SocketAddr, process::ExitCode};

use awc::{Client, ClientRequest, ClientResponse};
use bytes::Bytes;
use comfreyway_proto::headers;
use comfreyway_testkit::{
    daemon::{DaemonProcess, DaemonSettings, TempDir},
    engine::{EngineSettings, EngineStandIn},
    service::ServiceStandIn,
};
use futures_util::{Stream, StreamExt};
use serde_json::{Value, json};

type Failure = Box<dyn std::error::Error>;

/// Speeds of the three engines: prefill and decode in tokens per second.
const ENGINE_RATES: [(f64, f64); 3] = [(8_000.0, 60.0), (4_000.0, 40.0), (2_000.0, 25.0)];

fn main() -> ExitCode {
    if env::args().any(|arg| arg == "--config") {
        return comfreyway_node::run::main();
    }
    match actix_rt::System::new().block_on(tour()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("quickstart: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn tour() -> Result<(), Failure> {
    let engines: Vec<_> = ENGINE_RATES
        .iter()
        .map(|&(prefill, decode)| EngineSettings::new().with_rates(prefill, decode))
        .map(EngineStandIn::start)
        .collect::<io::Result<_>>()?;
    let portal = ServiceStandIn::start()?;
    let addresses: Vec<_> = engines.iter().map(EngineStandIn::address).collect();
    let dir = TempDir::new()?;
    let file = dir.write("configuration.ini", &configuration(&addresses, portal.address()))?;

    println!("Starting a daemon before {} engines and a plain service.", engines.len());
    let settings = DaemonSettings::with_embedded("host-1", &file)?.in_data_centre("derwent-a");
    let mut daemon = DaemonProcess::start(&env::current_exe()?, &[], settings)?;
    if let Err(e) = daemon.ready().await {
        return Err(format!("{e}; the daemon's log:\n{}", daemon.log()).into());
    }
    let callers = daemon.settings().callers;
    println!("Callers' port: http://{callers}\n");

    show_stream(callers).await?;
    show_answer(callers).await?;
    show_service(callers).await?;
    show_refusal(callers).await?;

    let runs: usize = engines.iter().map(|engine| engine.log().count()).sum();
    println!("The engines ran {runs} requests, the service {}.", portal.log().count());
    Ok(())
}

/// The operators' configuration of this trial.
fn configuration(engines: &[SocketAddr], portal: SocketAddr) -> String {
    let runners: String = engines
        .iter()
        .enumerate()
        .map(|(i, address)| {
            format!("[runner rackdesk r{i}]\naddress = {address}\ndata-centre = derwent-a\n")
        })
        .collect();
    format!(
        "[class quote]\ntier = 0\nfirst-token = 1300ms\nbetween-tokens = 76ms\nidempotent = no\n\
         [class triage]\ntier = 1\nwhole-answer = 20s\n\
         [class lookup]\ntier = 2\nwhole-answer = 2s\n\
         [workspace state-library]\n\
         [data-centre derwent-a]\nregion = hobart\n\
         [model rackdesk-model]\nupstream = rackdesk\n\
         [upstream rackdesk]\nkind = engine\nresumes = yes\n{runners}\
         [upstream portal]\nkind = service\n\
         [runner portal p0]\naddress = {portal}\ndata-centre = derwent-a\n\
         [route /portal]\nupstream = portal\nclass = lookup\n"
    )
}

async fn show_stream(callers: SocketAddr) -> Result<(), Failure> {
    println!("1. A streamed quote (not idempotent, so it carries an identity):");
    let req = chat(callers, "quote").insert_header((headers::IDEMPOTENCY_KEY, "quote-17"));
    let mut res = req.send_json(&prompt("Draft a power quote for rack 12.", true)).await?;
    print_head(&res);
    let text = read(&mut res).await?;
    let events: Vec<_> = text.split_terminator("\n\n").collect();
    println!("   {} events, the last is {:?}\n", events.len(), events.last().unwrap_or(&""));
    Ok(())
}

async fn show_answer(callers: SocketAddr) -> Result<(), Failure> {
    println!("2. A triage answered in one piece:");
    let req = chat(callers, "triage");
    let mut res = req.send_json(&prompt("Rack 12 reports a failed fan.", false)).await?;
    print_head(&res);
    let answer: Value = serde_json::from_str(&read(&mut res).await?)?;
    println!("   usage: {}\n", answer["usage"]);
    Ok(())
}

async fn show_service(callers: SocketAddr) -> Result<(), Failure> {
    println!("3. A lookup at the plain service:");
    let url = format!("http://{callers}/portal/racks/12?fields=status");
    let req = Client::default().get(url).insert_header((headers::WORKSPACE, "state-library"));
    let mut res = req.send().await?;
    print_head(&res);
    println!("   {}\n", read(&mut res).await?);
    Ok(())
}

async fn show_refusal(callers: SocketAddr) -> Result<(), Failure> {
    println!("4. A quote without an identity is refused before it runs:");
    let mut res = chat(callers, "quote").send_json(&prompt("Draft a quote.", false)).await?;
    print_head(&res);
    println!("   {}\n", read(&mut res).await?);
    Ok(())
}

fn chat(callers: SocketAddr, class: &str) -> ClientRequest {
    Client::default()
        .post(format!("http://{callers}/v1/chat/completions"))
        .insert_header((headers::WORKSPACE, "state-library"))
        .insert_header((headers::CLASS, class))
}

fn prompt(text: &str, stream: bool) -> Value {
    json!({
        "model": "rackdesk-model",
        "messages": [{ "role": "user", "content": text }],
        "max_tokens": 16,
        "stream": stream,
    })
}

fn print_head<S>(res: &ClientResponse<S>) {
    let header = |name| res.headers().get(name).and_then(|v| v.to_str().ok()).unwrap_or("-");
    let (outcome, reason) = (header(headers::OUTCOME), header(headers::REASON));
    let status = res.status().as_u16();
    match outcome {
        "-" => println!("   status {status}, the outcome follows at the end of the stream"),
        _ => println!("   status {status}, outcome {outcome}, reason {reason}"),
    }
    println!("   request identity {}", header(headers::REQUEST_ID));
}

async fn read<S, E>(res: &mut S) -> Result<String, Failure>
where
    S: Stream<Item = Result<Bytes, E>> + Unpin,
    E: std::error::Error + 'static,
{
    let mut buf = Vec::new();
    while let Some(bytes) = res.next().await {
        buf.extend_from_slice(&bytes?);
    }
    Ok(String::from_utf8(buf)?)
}
