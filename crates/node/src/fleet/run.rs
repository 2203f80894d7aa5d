//! Starts and stops a host that serves a fleet.

use std::{
    net::{SocketAddr, TcpListener},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use actix::Actor;
use actix_rt::Arbiter;
use comfreyway_core::{
    fleet::{Coordinator, Member, StopPhase, StopSchedule},
    ids::HostId,
};
use comfreyway_platform::{HostList, KeyValue, Store};
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    sync::{
        mpsc::{UnboundedSender, unbounded_channel},
        watch,
    },
    time::{Instant, sleep, timeout},
};

use crate::{
    control::{Clock, incarnation_now},
    events::{Event, log_event},
    metrics::{FleetMetrics, Metrics},
    run::{Listeners, RunError, local_address},
    settings::{FleetSettings, Settings},
};

use super::{
    control::{BeginStop, EventReceivers, EventSenders, FleetControl},
    counted_store::CountedStore,
    forward::{ForwardServer, ForwardSlots},
    health::Health,
    host_state::HostState,
    platform_format::PlatformFormat,
    proxy::{Proxy, ProxyLimits, RequestIds, serve},
    registration::keep_registered,
    request_handle::WorkerMessage,
    sessions::{COORDINATOR_TIMEOUT, accept},
};

/// Interval of checks for requests in progress while draining.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time without a request after which a drained host ends. A request may be on its way
/// while idle connections are closed.
const SETTLE_TIME: Duration = Duration::from_millis(60);

/// Time for the store to remove this host's entry.
const DEREGISTER_TIMEOUT: Duration = Duration::from_millis(500);

/// A platform that hosts whole fleets: its formats and the clients of its
/// store, which also serves the product's own interface.
#[derive(Clone, Copy)]
pub struct FleetPlatform {
    /// Header names, store keys and record parsers.
    pub format: PlatformFormat,
    /// Creates a client of the store at this address, on the calling thread.
    pub connect: fn(SocketAddr) -> Rc<dyn Store>,
    /// Creates a key-value client of the same store.
    pub key_value: fn(SocketAddr) -> Rc<dyn KeyValue>,
    /// Creates a client that lists the runners in the store and those that are
    /// leaving.
    pub host_list: fn(SocketAddr) -> Rc<dyn HostList>,
}

/// Runs a host until it receives a stop signal.
///
/// # Errors
///
/// Fails if the host can't start.
pub fn run(
    settings: &Settings,
    fleet: &FleetSettings,
    platform: FleetPlatform,
) -> Result<(), RunError> {
    actix_rt::System::new().block_on(run_on_system(settings, fleet, platform))
}

async fn run_on_system(
    settings: &Settings,
    fleet: &FleetSettings,
    platform: FleetPlatform,
) -> Result<(), RunError> {
    // Without a handler a reload signal ends the process, which may wait for its addresses.
    let hang_up = signal(SignalKind::hangup())?;
    let listeners = Listeners::bind(&settings.listen).await?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let metrics = Arc::new(Metrics::new()?);
    let limits = settings.limits.caller_memory();
    let host_state = Arc::new(HostState::new(Clock::new(), limits));
    let me = Member {
        id: HostId { name: settings.name.clone(), incarnation: incarnation_now() },
        address: settings.listen.peers,
        token: rand::random(),
        millicores: (settings.cores * 1_000.0) as u32,
        forward: settings.listen.forward,
    };
    let fleet_metrics = {
        let host_state = host_state.clone();
        metrics.fleet(move || host_state.clock.now().since(host_state.verified_at()))
    };
    let caller_memory = host_state.caller_memory.clone();
    metrics.callers(move || caller_memory.usage());
    let store = (platform.connect)(fleet.store);
    let store: Rc<dyn Store> = Rc::new(CountedStore::new(store, fleet_metrics.clone()));
    let (workers_tx, workers) = unbounded_channel();
    let (session_tx, sessions) = unbounded_channel();
    let (store_tx, store_rx) = unbounded_channel();
    let (rollout_tx, rollouts) = unbounded_channel();
    let senders =
        EventSenders { store: store_tx, sessions: session_tx.clone(), rollouts: rollout_tx };
    let receivers = EventReceivers { workers, sessions, store: store_rx, rollouts, senders };
    let control = FleetControl::new(
        me.clone(),
        platform.format,
        host_state.clone(),
        store.clone(),
        Coordinator::new(fleet.retry, fleet.quotas)
            .with_host_memory(fleet.max_staleness() + COORDINATOR_TIMEOUT)
            .with_rollouts(fleet.rollouts),
        fleet_metrics.clone(),
        receivers,
    )
    .start();

    listeners.peers.set_nonblocking(true)?;
    let peers = tokio::net::TcpListener::from_std(listeners.peers.try_clone()?)?;
    actix_rt::spawn(accept(peers, me.token, session_tx));
    listeners.operators.set_nonblocking(true)?;
    let max_staleness = fleet.max_staleness();
    let health = Health { host_state: host_state.clone(), metrics, max_staleness };
    actix_rt::spawn(health.serve(listeners.operators.try_clone()?));
    let (stop_tx, stop_rx) = watch::channel(false);
    let key = format!("{}{}", platform.format.keys.members, settings.name);
    let registration =
        actix_rt::spawn(keep_registered(store, key, me.clone(), fleet.host_lease, stop_rx));
    let process = rand::random();
    listeners.callers.set_nonblocking(true)?;
    if let Some(listener) = &listeners.forward {
        listener.set_nonblocking(true)?;
    }
    for number in 0..settings.workers {
        let worker = Worker {
            format: platform.format,
            host_state: host_state.clone(),
            limits: ProxyLimits { max_staleness },
            metrics: fleet_metrics.clone(),
            control: workers_tx.clone(),
            host: me.id.clone(),
            ids: RequestIds { process, thread: number as u16 },
            forward: listeners.forward.as_ref().map(TcpListener::try_clone).transpose()?,
            token: me.token,
        };
        worker.start(listeners.callers.try_clone()?);
    }
    log_event!(
        Event::Started,
        host = settings.name.as_str(),
        callers = local_address(&listeners.callers),
        peers = local_address(&listeners.peers),
        operators = local_address(&listeners.operators)
    );
    actix_rt::spawn(log_reload_signals(hang_up));

    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    log_event!(Event::Stopping, in_progress = host_state.in_progress());
    host_state.set_stop_phase(StopPhase::Draining);
    control.do_send(BeginStop);
    // The registration task holds the receiver until it gets this value.
    let _ = stop_tx.send(true);
    drain(&host_state, settings.limits.stop_timeout).await;
    if timeout(DEREGISTER_TIMEOUT, registration).await.is_err() {
        log::info!("timed out removing this host's entry from the store; it will expire");
    }
    log_event!(Event::Stopped, in_progress = host_state.in_progress());
    Ok(())
}

/// Parameters of one traffic thread.
struct Worker {
    format: PlatformFormat,
    host_state: Arc<HostState>,
    limits: ProxyLimits,
    metrics: FleetMetrics,
    control: UnboundedSender<WorkerMessage>,
    host: HostId,
    ids: RequestIds,
    /// Listens for requests of other hosts.
    forward: Option<TcpListener>,
    /// This host's own token.
    token: u64,
}

impl Worker {
    fn start(self, listener: TcpListener) {
        Arbiter::new().spawn_fn(move || {
            let Self { format, host_state, limits, metrics, control, host, ids, forward, token } =
                self;
            let proxy =
                Proxy::new(format, host_state.clone(), limits, metrics.clone(), control, host, ids);
            if let Some(listener) = forward {
                let (paths, slots) = (proxy.paths(), ForwardSlots::default());
                let server = ForwardServer { token, host_state, paths, slots, metrics };
                actix_rt::spawn(server.serve(listener));
            }
            actix_rt::spawn(serve(listener, proxy));
        });
    }
}

/// Goes through the phases of a planned stop until all responses have been written, or until
/// the stop limit is near.
async fn drain(host_state: &HostState, limit: Option<Duration>) {
    let started = Instant::now();
    let schedule = StopSchedule::new(limit);
    let mut idle_since = None;
    loop {
        let phase = schedule.phase(started.elapsed());
        if phase == StopPhase::Ended {
            log_event!(Event::StopAborted, in_progress = host_state.in_progress());
            return;
        }
        host_state.set_stop_phase(phase);
        let is_idle = phase >= StopPhase::Refusing && host_state.in_progress() == 0;
        idle_since = is_idle.then(|| idle_since.unwrap_or_else(Instant::now));
        if idle_since.is_some_and(|since| since.elapsed() >= SETTLE_TIME) {
            return;
        }
        sleep(DRAIN_POLL_INTERVAL).await;
    }
}

/// Logs reload signals and keeps serving: settings are read only at the start.
async fn log_reload_signals(mut hang_up: Signal) {
    while hang_up.recv().await.is_some() {
        log_event!(Event::SettingsChanged);
    }
}
