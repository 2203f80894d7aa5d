//! Starts all parts of a daemon and stops them.

use std::sync::Arc;

use actix_web::{App, HttpServer, dev::Server, web::Data};
use comfreyway_core::ids::HostId;
use comfreyway_proto::operator::HostPhase;

use crate::{
    config::{ConfigHandle, register_version_gauge},
    control::incarnation_now,
    events::{Event, log_event},
    fleet::FleetPlatform,
    health,
    http::{self, Phase, TrafficState},
    metrics::{Metrics, probe_control},
    operator::{self, OperatorState},
    peers::PeerMetrics,
    settings::{Platform, Settings},
};

use super::{
    RunError,
    control_thread::ControlThread,
    initial::{read_initial, write_initial},
    listeners::{Listeners, local_address},
    results::serve_results,
    stop::{DrainResult, StopSignals, drain, hand_over},
};

/// Runs a daemon until it is stopped.
///
/// # Errors
///
/// Fails if the daemon can't start.
pub fn run(settings: Settings, platform: FleetPlatform) -> Result<(), RunError> {
    actix_rt::System::new().block_on(run_on_system(settings, platform))
}

async fn run_on_system(settings: Settings, platform: FleetPlatform) -> Result<(), RunError> {
    let listeners = Listeners::bind(&settings.listen).await?;
    let mut signals = StopSignals::new()?;
    let metrics = Arc::new(Metrics::new()?);
    let host = HostId { name: settings.name.clone(), incarnation: incarnation_now() };
    let peer_metrics = PeerMetrics::new(&metrics.meter());
    let peers_listener = listeners.peers.try_clone()?;
    let thread =
        ControlThread::start(host, &settings, platform, peers_listener, peer_metrics).await?;
    write_initial_config(&settings, &thread.config).await?;
    actix_rt::spawn(probe_control(thread.control.clone(), metrics.traffic().clone()));
    let document = thread.config.document();
    register_version_gauge(&metrics.meter(), document.clone());
    let traffic = Data::new(TrafficState::new(
        &settings,
        document,
        thread.control.clone(),
        metrics.traffic().clone(),
    ));
    let operator = operator_state(&settings, &thread, traffic.clone());
    actix_rt::spawn(serve_results(traffic.clone(), thread.result_connections));
    let stop = operator.stop_requests();
    log_started(&settings, &listeners);
    let caller_memory = traffic.caller_memory.clone();
    metrics.callers(move || caller_memory.usage());
    let operators = serve_operators(&listeners, traffic.clone(), metrics, operator)?;
    let callers = http::serve(&settings, traffic.clone(), listeners.callers)?;
    let (callers_handle, operators_handle) = (callers.handle(), operators.handle());
    actix_rt::spawn(callers);
    actix_rt::spawn(operators);

    tokio::select! {
        () = signals.next() => {}
        () = stop.notified() => {}
    }
    log_event!(Event::Stopping, in_progress = traffic.in_progress());
    // Sending fails only if the control thread has ended, which needs all
    // handles to be dropped.
    let _ = thread.control.stop();
    let end = drain(&traffic, &mut signals, settings.limits.stop_timeout).await;
    if end != DrainResult::Drained {
        log_event!(Event::StopAborted, in_progress = traffic.in_progress());
    }
    if end == DrainResult::Drained && !settings.peers.is_empty() {
        hand_over(&thread.control).await;
    }
    callers_handle.stop(true).await;
    operators_handle.stop(false).await;
    log_event!(Event::Stopped, in_progress = traffic.in_progress());
    thread.config.stop();
    Ok(())
}

/// Writes the initial configuration if the platform is embedded.
async fn write_initial_config(settings: &Settings, config: &ConfigHandle) -> Result<(), RunError> {
    let Platform::Embedded { initial_configuration: Some(file) } = &settings.platform else {
        return Ok(());
    };
    let edits = read_initial(file)?;
    write_initial(config, file, edits).await
}

fn operator_state(
    settings: &Settings,
    thread: &ControlThread,
    traffic: Data<TrafficState>,
) -> OperatorState {
    let ready = thread.config.ready();
    let trace = traffic.trace.clone();
    let phase = move || match traffic.phase() {
        Phase::Serving if *ready.borrow() => HostPhase::Ready,
        Phase::Serving => HostPhase::Starting,
        Phase::Draining | Phase::Aborting => HostPhase::Stopping,
    };
    let (config, control) = (thread.config.clone(), thread.control.clone());
    OperatorState::new(settings.name.clone(), config, control, Arc::new(phase))
        .with_secret(settings.secret.clone())
        .with_trace(trace)
}

fn serve_operators(
    listeners: &Listeners,
    traffic: Data<TrafficState>,
    metrics: Arc<Metrics>,
    state: OperatorState,
) -> Result<Server, RunError> {
    let listener = listeners.operators.try_clone()?;
    let health = health::configure(traffic, metrics, state.config_ready());
    let calls = operator::configure(Data::new(state));
    let server =
        HttpServer::new(move || App::new().configure(health.clone()).configure(calls.clone()))
            .workers(1)
            .disable_signals()
            .listen(listener)?;
    Ok(server.run())
}

fn log_started(settings: &Settings, listeners: &Listeners) {
    log_event!(
        Event::Started,
        host = settings.name.as_str(),
        callers = local_address(&listeners.callers),
        operators = local_address(&listeners.operators)
    );
}
