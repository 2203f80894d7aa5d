//! The actor that asks runners and the host list.

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
    answer::CacheCursor,
    client::{ReportsClient, RunnerReport},
    presence::Presence,
};

/// Time between two questions to the same runner.
const RUNNER_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two reads of the host list.
const HOST_LIST_INTERVAL: Duration = Duration::from_millis(1_000);

type RunnerKey = (PoolId, RunnerName);

/// The runners of the pools that this host owns. Replaces an earlier list.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct WatchRunners(pub Vec<WatchedRunner>);

/// One watched runner.
struct State {
    runner: WatchedRunner,
    presence: Presence,
    cursor: CacheCursor,
    asking: bool,
}

impl State {
    fn new(runner: WatchedRunner) -> Self {
        let presence = Presence::default();
        Self { runner, presence, cursor: CacheCursor::default(), asking: false }
    }
}

/// Asks runners and the host list, and passes on what they say.
pub struct ReportsActor {
    client: ReportsClient,
    host_list: Option<Rc<dyn HostList>>,
    runners: BTreeMap<RunnerKey, State>,
    owner: Recipient<RunnerEvent>,
    reading_list: bool,
}

impl ReportsActor {
    /// An actor that passes what it hears to `owner`.
    #[must_use]
    pub fn new(host_list: Option<Rc<dyn HostList>>, owner: Recipient<RunnerEvent>) -> Self {
        Self {
            client: ReportsClient::new(),
            host_list,
            runners: BTreeMap::new(),
            owner,
            reading_list: false,
        }
    }

    fn ask_runners(&mut self, cx: &mut Context<Self>) {
        for (key, state) in &mut self.runners {
            if std::mem::replace(&mut state.asking, true) {
                continue;
            }
            let (client, key, cursor) = (self.client.clone(), key.clone(), state.cursor);
            let WatchedRunner { address, engine, .. } = state.runner;
            let ask = async move { client.ask(address, engine, cursor).await };
            cx.spawn(wrap_future::<_, Self>(ask).map(move |(report, cursor), actor, _| {
                actor.hear_runner(&key, report, cursor);
            }));
        }
    }

    fn hear_runner(&mut self, key: &RunnerKey, report: RunnerReport, cursor: CacheCursor) {
        let Some(state) = self.runners.get_mut(key) else { return };
        state.asking = false;
        state.cursor = cursor;
        let before = state.presence;
        if let Some(leaving) = report.leaving {
            state.presence.answered_leaving = leaving;
        }
        let after = state.presence;
        // Before the load, which puts a runner that nobody calls leaving back
        // into use.
        self.tell_presence(key, before, after);
        let load = report.load.map(RunnerEventKind::Load);
        let cache = report.cache.into_iter().map(RunnerEventKind::Cache);
        for kind in load.into_iter().chain(cache) {
            self.tell_owner(key, kind);
        }
    }

    fn read_host_list(&mut self, cx: &mut Context<Self>) {
        let Some(list) = self.host_list.clone() else { return };
        if self.runners.is_empty() || std::mem::replace(&mut self.reading_list, true) {
            return;
        }
        let read = async move { list.hosts().await };
        cx.spawn(wrap_future::<_, Self>(read).map(|hosts, actor, _| {
            actor.reading_list = false;
            // An outage changes nothing: what was listed last stays in force.
            if let Ok(hosts) = hosts {
                let leaving = hosts.iter().filter(|host| host.state == HostState::Leaving);
                actor.hear_list(&leaving.map(|host| host.address).collect());
            }
        }));
    }

    fn hear_list(&mut self, leaving: &HashSet<SocketAddr>) {
        let mut changes = Vec::new();
        for (key, state) in &mut self.runners {
            let before = state.presence;
            state.presence.listed_leaving = leaving.contains(&state.runner.address);
            changes.push((key.clone(), before, state.presence));
        }
        for (key, before, after) in changes {
            self.tell_presence(&key, before, after);
        }
    }

    fn tell_presence(&self, key: &RunnerKey, before: Presence, after: Presence) {
        if before.is_leaving() != after.is_leaving() {
            self.tell_owner(key, RunnerEventKind::Leaving(after.is_leaving()));
        }
    }

    fn tell_owner(&self, (pool, runner): &RunnerKey, kind: RunnerEventKind) {
        self.owner.do_send(RunnerEvent { pool: pool.clone(), runner: runner.clone(), kind });
    }
}

impl Actor for ReportsActor {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Context<Self>) {
        cx.run_interval(RUNNER_INTERVAL, Self::ask_runners);
        cx.run_interval(HOST_LIST_INTERVAL, Self::read_host_list);
    }
}

impl Handler<WatchRunners> for ReportsActor {
    type Result = ();

    /// Keeps what is known of runners that stay on the list.
    fn handle(&mut self, WatchRunners(runners): WatchRunners, _: &mut Context<Self>) {
        let mut old = std::mem::take(&mut self.runners);
        for runner in runners {
            let key = (runner.pool.clone(), runner.name.clone());
            let known = old.remove(&key).filter(|state| state.runner == runner);
            self.runners.insert(key, known.unwrap_or_else(|| State::new(runner)));
        }
    }
}
