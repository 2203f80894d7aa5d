//! The actor that polls runners and the host list.

use std::{
    collections::{BTreeMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use actix::{
    Actor, ActorFutureExt, AsyncContext, Context, Handler, Message, Recipient, fut::wrap_future,
};
use comfreyway_core::ids::{PoolId, RunnerName};
use comfreyway_platform::{HostList, HostState};

use super::{
    RunnerEvent, RunnerEventKind, WatchedRunner,
    client::{PollResult, ReportsClient},
    leaving::LeavingSources,
    response::CacheCursor,
};

/// Time between two polls of a runner.
const RUNNER_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two reads of the host list.
const HOST_LIST_POLL_INTERVAL: Duration = Duration::from_millis(1_000);

type RunnerKey = (PoolId, RunnerName);

/// Sets the runners to poll: those of the pools that this host owns. Replaces an
/// earlier list.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct WatchRunners(pub Vec<WatchedRunner>);

/// State of one watched runner.
struct WatchedState {
    runner: WatchedRunner,
    leaving: LeavingSources,
    cursor: CacheCursor,
    poll_pending: bool,
}

impl WatchedState {
    fn new(runner: WatchedRunner) -> Self {
        let leaving = LeavingSources::default();
        Self { runner, leaving, cursor: CacheCursor::default(), poll_pending: false }
    }
}

/// Polls runners and the host list, and sends the results to the owner of the pools.
pub struct ReportsActor {
    client: ReportsClient,
    host_list: Option<Rc<dyn HostList>>,
    runners: BTreeMap<RunnerKey, WatchedState>,
    owner: Recipient<RunnerEvent>,
    list_read_pending: bool,
}

impl ReportsActor {
    /// Creates an actor that sends events to `owner`.
    #[must_use]
    pub fn new(host_list: Option<Rc<dyn HostList>>, owner: Recipient<RunnerEvent>) -> Self {
        Self {
            client: ReportsClient::new(),
            host_list,
            runners: BTreeMap::new(),
            owner,
            list_read_pending: false,
        }
    }

    fn poll_runners(&mut self, cx: &mut Context<Self>) {
        for (key, state) in &mut self.runners {
            if std::mem::replace(&mut state.poll_pending, true) {
                continue;
            }
            let (client, key, cursor) = (self.client.clone(), key.clone(), state.cursor);
            let WatchedRunner { address, engine, .. } = state.runner;
            let poll = async move { client.poll(address, engine, cursor).await };
            cx.spawn(wrap_future::<_, Self>(poll).map(move |(result, cursor), actor, _| {
                actor.handle_poll_result(&key, result, cursor);
            }));
        }
    }

    fn handle_poll_result(&mut self, key: &RunnerKey, result: PollResult, cursor: CacheCursor) {
        let Some(state) = self.runners.get_mut(key) else { return };
        state.poll_pending = false;
        state.cursor = cursor;
        let before = state.leaving;
        if let Some(leaving) = result.leaving {
            state.leaving.runner_response = leaving;
        }
        let after = state.leaving;
        // Sent before the load report, which puts a runner back into use if no
        // source says that it is leaving.
        self.send_leaving_change(key, before, after);
        let load = result.load.map(RunnerEventKind::Load);
        let cache = result.cache.into_iter().map(RunnerEventKind::Cache);
        for kind in load.into_iter().chain(cache) {
            self.send_event(key, kind);
        }
    }

    fn read_host_list(&mut self, cx: &mut Context<Self>) {
        let Some(list) = self.host_list.clone() else { return };
        if self.runners.is_empty() || std::mem::replace(&mut self.list_read_pending, true) {
            return;
        }
        let read = async move { list.hosts().await };
        cx.spawn(wrap_future::<_, Self>(read).map(|hosts, actor, _| {
            actor.list_read_pending = false;
            // If the read failed, the last list stays in force.
            if let Ok(hosts) = hosts {
                let leaving = hosts.iter().filter(|host| host.state == HostState::Leaving);
                actor.handle_host_list(&leaving.map(|host| host.address).collect());
            }
        }));
    }

    fn handle_host_list(&mut self, leaving: &HashSet<SocketAddr>) {
        let mut changes = Vec::new();
        for (key, state) in &mut self.runners {
            let before = state.leaving;
            state.leaving.host_list = leaving.contains(&state.runner.address);
            changes.push((key.clone(), before, state.leaving));
        }
        for (key, before, after) in changes {
            self.send_leaving_change(&key, before, after);
        }
    }

    fn send_leaving_change(&self, key: &RunnerKey, before: LeavingSources, after: LeavingSources) {
        if before.is_leaving() != after.is_leaving() {
            self.send_event(key, RunnerEventKind::Leaving(after.is_leaving()));
        }
    }

    fn send_event(&self, (pool, runner): &RunnerKey, kind: RunnerEventKind) {
        self.owner.do_send(RunnerEvent { pool: pool.clone(), runner: runner.clone(), kind });
    }
}

impl Actor for ReportsActor {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Context<Self>) {
        cx.run_interval(RUNNER_POLL_INTERVAL, Self::poll_runners);
        cx.run_interval(HOST_LIST_POLL_INTERVAL, Self::read_host_list);
    }
}

impl Handler<WatchRunners> for ReportsActor {
    type Result = ();

    /// Keeps the state of runners that stay on the list unchanged.
    fn handle(&mut self, WatchRunners(runners): WatchRunners, _: &mut Context<Self>) {
        let mut old = std::mem::take(&mut self.runners);
        for runner in runners {
            let key = (runner.pool.clone(), runner.name.clone());
            let known = old.remove(&key).filter(|state| state.runner == runner);
            self.runners.insert(key, known.unwrap_or_else(|| WatchedState::new(runner)));
        }
    }
}
