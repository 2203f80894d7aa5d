//! Starts and stops a host that serves a fleet.

use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use actix::Actor;
use actix_rt::Arbiter;
use comfreyway_core::{
    fleet::{Coordinator, Member},
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
    control::{BeginStop, FleetControl, Inlets, Outlets},
    counted_store::CountedStore,
    front::{Front, FrontLimits, RequestIds, serve},
    health::Health,
    knowledge::Knowledge,
    platform_format::PlatformFormat,
    registration::keep_registered,
    sessions::accept,
    ticket::WorkerMessage,
};

/// Time between the signal to stop and the closing of unused connections. The
/// balancer asks once a second and needs two refusals.
const BALANCER_TIME: Duration = Duration::from_millis(2_400);

/// Time before the stop limit at which the process ends in any case.
const STOP_MARGIN: Duration = Duration::from_millis(400);

/// Time between two looks at the requests in progress.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Time for the last answers to leave the process's buffers.
const FLUSH_TIME: Duration = Duration::from_millis(60);

/// Time for the store to take this host's entry out.
const DEREGISTER_TIME: Duration = Duration::from_millis(500);

/// A platform that hosts whole fleets. Its store also serves the product's own
/// interface.
#[derive(Clone, Copy)]
pub struct FleetPlatform {
    /// Its names and formats.
    pub format: PlatformFormat,
    /// Makes a client of its store at this address, on the calling thread.
    pub connect: fn(SocketAddr) -> Rc<dyn Store>,
    /// The same as a key-value service.
    pub key_value: fn(SocketAddr) -> Rc<dyn KeyValue>,
    /// The runners in the store, as a list that tells which are leaving.
    pub host_list: fn(SocketAddr) -> Rc<dyn HostList>,
}

/// Runs a host until it is told to stop.
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
    let listeners = Listeners::bind(&settings.listen)?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let hang_up = signal(SignalKind::hangup())?;
    let metrics = Arc::new(Metrics::new()?);
    let knowledge = Arc::new(Knowledge::new(Clock::new()));
    let me = Member {
        id: HostId { name: settings.name.clone(), incarnation: incarnation_now() },
        address: settings.listen.peers,
        token: rand::random(),
        millicores: (settings.cores * 1_000.0) as u32,
    };
    let fleet_metrics = {
        let knowledge = knowledge.clone();
        metrics.fleet(move || knowledge.clock.now().since(knowledge.proven()))
    };
    let store = (platform.connect)(fleet.store);
    let store: Rc<dyn Store> = Rc::new(CountedStore::new(store, fleet_metrics.clone()));
    let (workers_tx, workers) = unbounded_channel();
    let (session_tx, sessions) = unbounded_channel();
    let (store_tx, store_news) = unbounded_channel();
    let outlets = Outlets { store: store_tx, sessions: session_tx.clone() };
    let inlets = Inlets { workers, sessions, store: store_news, outlets };
    let control = FleetControl::new(
        me.clone(),
        platform.format,
        knowledge.clone(),
        store.clone(),
        Coordinator::new(fleet.retry, fleet.quotas),
        fleet_metrics.clone(),
        inlets,
    )
    .start();

    listeners.peers.set_nonblocking(true)?;
    let peers = tokio::net::TcpListener::from_std(listeners.peers.try_clone()?)?;
    actix_rt::spawn(accept(peers, me.token, session_tx));
    listeners.operators.set_nonblocking(true)?;
    let proof_age = fleet.max_staleness();
    let health = Health { knowledge: knowledge.clone(), metrics, proof_age };
    actix_rt::spawn(health.serve(listeners.operators.try_clone()?));
    let (stop_tx, stop_rx) = watch::channel(false);
    let key = format!("{}{}", platform.format.keys.members, settings.name);
    let registration = actix_rt::spawn(keep_registered(store, key, me.clone(), stop_rx));
    let process = rand::random();
    let (closing_tx, closing) = watch::channel(false);
    listeners.callers.set_nonblocking(true)?;
    for number in 0..settings.workers {
        let worker = Worker {
            format: platform.format,
            knowledge: knowledge.clone(),
            limits: FrontLimits { proof_age },
            metrics: fleet_metrics.clone(),
            control: workers_tx.clone(),
            host: me.id.clone(),
            ids: RequestIds { process, thread: number as u16 },
        };
        worker.start(listeners.callers.try_clone()?, closing.clone());
    }
    log_event!(
        Event::Started,
        host = settings.name.as_str(),
        callers = local_address(&listeners.callers),
        peers = local_address(&listeners.peers),
        operators = local_address(&listeners.operators)
    );
    actix_rt::spawn(note_reloads(hang_up));

    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    log_event!(Event::Stopping, in_progress = knowledge.in_progress());
    knowledge.stop();
    control.do_send(BeginStop);
    // Both receivers live as long as this function.
    let _ = stop_tx.send(true);
    drain(&knowledge, &closing_tx, settings.limits.stop_timeout).await;
    if timeout(DEREGISTER_TIME, registration).await.is_err() {
        log::info!("this host's entry in the store is left to lapse");
    }
    log_event!(Event::Stopped, in_progress = knowledge.in_progress());
    Ok(())
}

/// One traffic thread.
struct Worker {
    format: PlatformFormat,
    knowledge: Arc<Knowledge>,
    limits: FrontLimits,
    metrics: FleetMetrics,
    control: UnboundedSender<WorkerMessage>,
    host: HostId,
    ids: RequestIds,
}

impl Worker {
    fn start(self, listener: std::net::TcpListener, closing: watch::Receiver<bool>) {
        Arbiter::new().spawn_fn(move || {
            let Self { format, knowledge, limits, metrics, control, host, ids } = self;
            let front = Front::new(format, knowledge, limits, metrics, control, host, ids);
            actix_rt::spawn(serve(listener, front, closing));
        });
    }
}

/// Answers everything. Once the balancer sends no new callers, closes unused
/// connections and refuses what still comes.
async fn drain(knowledge: &Knowledge, closing: &watch::Sender<bool>, limit: Option<Duration>) {
    let started = Instant::now();
    let limit = limit.map(|limit| limit.saturating_sub(STOP_MARGIN));
    loop {
        let elapsed = started.elapsed();
        if elapsed >= BALANCER_TIME {
            if !knowledge.is_refusing() {
                knowledge.refuse();
                closing.send_replace(true);
            }
            if knowledge.in_progress() == 0 {
                break;
            }
        }
        if limit.is_some_and(|limit| elapsed >= limit) {
            log_event!(Event::StopAborted, in_progress = knowledge.in_progress());
            break;
        }
        sleep(DRAIN_POLL).await;
    }
    sleep(FLUSH_TIME).await;
}

/// Settings are read at the start only; a signal that they changed cuts nothing.
async fn note_reloads(mut hang_up: Signal) {
    while hang_up.recv().await.is_some() {
        log_event!(Event::SettingsChanged);
    }
}
