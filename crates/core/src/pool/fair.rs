//! Order within one tier: least slack first, with fair queueing between
//! workspaces.
//!
//! Each workspace has a virtual time that advances by the work granted to it.
//! A workspace is within its share while its virtual time is at most the share
//! window above the lowest virtual time of the waiting workspaces. Among the
//! workspaces within their share, the request with the earliest latest start
//! goes first. A workspace that floods the queue exceeds its share and waits
//! until the others have caught up or have no waiting requests.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    ids::{RequestId, WorkspaceName},
    time::MonoTime,
};

/// Maximum number of idle workspaces whose virtual time is kept.
const MAX_IDLE: usize = 2_048;

/// Waiting requests of one workspace.
#[derive(Debug, Default)]
struct Space {
    virtual_time: u64,
    work: u64,
    requests: BTreeSet<(MonoTime, RequestId)>,
}

/// Waiting requests of one tier and length class.
#[derive(Debug)]
pub(super) struct FairQueue {
    /// Work by which a workspace may exceed the lowest virtual time.
    window: u64,
    spaces: BTreeMap<WorkspaceName, Space>,
    /// Workspaces with waiting requests, by virtual time.
    active: BTreeSet<(u64, WorkspaceName)>,
    /// Workspaces within their share, by the latest start of their first
    /// request.
    eligible: BTreeSet<(MonoTime, WorkspaceName)>,
    /// Waiting workspaces over their share, by virtual time.
    ahead: BTreeSet<(u64, WorkspaceName)>,
    /// Workspaces without waiting requests, by virtual time.
    idle: BTreeSet<(u64, WorkspaceName)>,
    /// Lowest virtual time of the waiting workspaces. Never decreases.
    floor: u64,
    work: u64,
    len: usize,
}

impl FairQueue {
    pub(super) fn new(window: u64) -> Self {
        Self {
            window,
            spaces: BTreeMap::new(),
            active: BTreeSet::new(),
            eligible: BTreeSet::new(),
            ahead: BTreeSet::new(),
            idle: BTreeSet::new(),
            floor: 0,
            work: 0,
            len: 0,
        }
    }

    /// Returns the next request.
    pub(super) fn first(&self) -> Option<(MonoTime, RequestId)> {
        let (_, name) = self.eligible.first()?;
        self.spaces.get(name)?.requests.first().copied()
    }

    pub(super) fn insert(
        &mut self,
        workspace: &WorkspaceName,
        rank: (MonoTime, RequestId),
        work: u64,
    ) {
        self.detach(workspace);
        let space = self.spaces.entry(workspace.clone()).or_default();
        if space.requests.is_empty() {
            space.virtual_time = space.virtual_time.max(self.floor);
        }
        space.requests.insert(rank);
        space.work += work;
        self.work += work;
        self.len += 1;
        self.attach(workspace);
    }

    /// Removes a request. If `charge` is set, its work counts towards the
    /// workspace's share.
    pub(super) fn remove(
        &mut self,
        workspace: &WorkspaceName,
        rank: (MonoTime, RequestId),
        work: u64,
        charge: bool,
    ) {
        self.detach(workspace);
        if let Some(space) = self.spaces.get_mut(workspace)
            && space.requests.remove(&rank)
        {
            space.work -= work;
            self.work -= work;
            self.len -= 1;
            if charge {
                space.virtual_time += work;
            }
        }
        self.attach(workspace);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.len == 0
    }

    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Estimates the work that is granted before a new request of `workspace`
    /// if every waiting workspace gets its share.
    pub(super) fn work_ahead(&self, workspace: &WorkspaceName) -> u64 {
        let own = self.spaces.get(workspace).map_or(0, |space| space.work);
        let shares = self.active.len().max(1) as u64;
        self.work.min(own.saturating_mul(shares).saturating_add(self.window))
    }

    /// Returns whether the workspace has used more than its share.
    pub(super) fn is_over_share(&self, workspace: &WorkspaceName) -> bool {
        let over = |space: &Space| space.virtual_time > self.floor + self.window;
        self.spaces.get(workspace).is_some_and(over)
    }

    /// Returns the number of tracked workspaces, including idle ones.
    pub(super) fn spaces(&self) -> usize {
        self.spaces.len()
    }

    fn detach(&mut self, workspace: &WorkspaceName) {
        let Some(space) = self.spaces.get(workspace) else { return };
        let key = (space.virtual_time, workspace.clone());
        let Some(&(first, _)) = space.requests.first() else {
            self.idle.remove(&key);
            return;
        };
        self.active.remove(&key);
        self.ahead.remove(&key);
        self.eligible.remove(&(first, key.1));
    }

    fn attach(&mut self, workspace: &WorkspaceName) {
        let Some(space) = self.spaces.get(workspace) else { return };
        let key = (space.virtual_time, workspace.clone());
        let first = space.requests.first().map(|&(first, _)| first);
        let Some(first) = first else {
            self.idle.insert(key);
            self.raise_floor();
            self.forget_idle();
            return;
        };
        if space.virtual_time <= self.floor + self.window {
            self.eligible.insert((first, workspace.clone()));
        } else {
            self.ahead.insert(key.clone());
        }
        self.active.insert(key);
        self.raise_floor();
    }

    /// Advances the lowest virtual time and makes the workspaces eligible that
    /// are within their share again.
    fn raise_floor(&mut self) {
        let Some(&(lowest, _)) = self.active.first() else { return };
        if lowest <= self.floor {
            return;
        }
        self.floor = lowest;
        while let Some((virtual_time, _)) = self.ahead.first() {
            if *virtual_time > self.floor + self.window {
                return;
            }
            let Some((_, name)) = self.ahead.pop_first() else { return };
            let first = self.spaces.get(&name).and_then(|space| space.requests.first());
            if let Some(&(first, _)) = first {
                self.eligible.insert((first, name));
            }
        }
    }

    fn forget_idle(&mut self) {
        while let Some((virtual_time, _)) = self.idle.first() {
            if *virtual_time > self.floor && self.idle.len() <= MAX_IDLE {
                return;
            }
            if let Some((_, name)) = self.idle.pop_first() {
                self.spaces.remove(&name);
            }
        }
    }
}
