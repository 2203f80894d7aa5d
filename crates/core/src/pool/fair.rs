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
const MAX_IDLE_WORKSPACES: usize = 2_048;

/// Waiting requests of one workspace.
#[derive(Debug, Default)]
struct WorkspaceQueue {
    virtual_time: u64,
    work: u64,
    requests: BTreeSet<(MonoTime, RequestId)>,
}

/// Waiting requests of one tier and length class.
#[derive(Debug)]
pub(super) struct FairQueue {
    /// Work by which a workspace may exceed the lowest virtual time.
    window: u64,
    workspaces: BTreeMap<WorkspaceName, WorkspaceQueue>,
    /// Workspaces with waiting requests, by virtual time.
    active: BTreeSet<(u64, WorkspaceName)>,
    /// Workspaces within their share, by the latest start of their first
    /// request.
    eligible: BTreeSet<(MonoTime, WorkspaceName)>,
    /// Waiting workspaces over their share, by virtual time.
    over_share: BTreeSet<(u64, WorkspaceName)>,
    /// Workspaces without waiting requests, by virtual time.
    idle: BTreeSet<(u64, WorkspaceName)>,
    /// Lowest virtual time of the waiting workspaces. Never decreases.
    min_virtual_time: u64,
    work: u64,
    len: usize,
}

impl FairQueue {
    pub(super) fn new(window: u64) -> Self {
        Self {
            window,
            workspaces: BTreeMap::new(),
            active: BTreeSet::new(),
            eligible: BTreeSet::new(),
            over_share: BTreeSet::new(),
            idle: BTreeSet::new(),
            min_virtual_time: 0,
            work: 0,
            len: 0,
        }
    }

    /// Returns the next request.
    pub(super) fn first(&self) -> Option<(MonoTime, RequestId)> {
        let (_, name) = self.eligible.first()?;
        self.workspaces.get(name)?.requests.first().copied()
    }

    pub(super) fn insert(
        &mut self,
        workspace: &WorkspaceName,
        rank: (MonoTime, RequestId),
        work: u64,
    ) {
        self.remove_from_index(workspace);
        let queue = self.workspaces.entry(workspace.clone()).or_default();
        if queue.requests.is_empty() {
            queue.virtual_time = queue.virtual_time.max(self.min_virtual_time);
        }
        queue.requests.insert(rank);
        queue.work += work;
        self.work += work;
        self.len += 1;
        self.add_to_index(workspace);
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
        self.remove_from_index(workspace);
        if let Some(queue) = self.workspaces.get_mut(workspace)
            && queue.requests.remove(&rank)
        {
            queue.work -= work;
            self.work -= work;
            self.len -= 1;
            if charge {
                queue.virtual_time += work;
            }
        }
        self.add_to_index(workspace);
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
        let own = self.workspaces.get(workspace).map_or(0, |queue| queue.work);
        let shares = self.active.len().max(1) as u64;
        self.work.min(own.saturating_mul(shares).saturating_add(self.window))
    }

    /// Returns whether the workspace has used more than its share.
    pub(super) fn is_over_share(&self, workspace: &WorkspaceName) -> bool {
        let over =
            |queue: &WorkspaceQueue| queue.virtual_time > self.min_virtual_time + self.window;
        self.workspaces.get(workspace).is_some_and(over)
    }

    /// Returns the number of tracked workspaces, including idle ones.
    pub(super) fn workspace_count(&self) -> usize {
        self.workspaces.len()
    }

    fn remove_from_index(&mut self, workspace: &WorkspaceName) {
        let Some(queue) = self.workspaces.get(workspace) else { return };
        let key = (queue.virtual_time, workspace.clone());
        let Some(&(first, _)) = queue.requests.first() else {
            self.idle.remove(&key);
            return;
        };
        self.active.remove(&key);
        self.over_share.remove(&key);
        self.eligible.remove(&(first, key.1));
    }

    fn add_to_index(&mut self, workspace: &WorkspaceName) {
        let Some(queue) = self.workspaces.get(workspace) else { return };
        let key = (queue.virtual_time, workspace.clone());
        let first = queue.requests.first().map(|&(first, _)| first);
        let Some(first) = first else {
            self.idle.insert(key);
            self.advance_min_virtual_time();
            self.evict_idle();
            return;
        };
        if queue.virtual_time <= self.min_virtual_time + self.window {
            self.eligible.insert((first, workspace.clone()));
        } else {
            self.over_share.insert(key.clone());
        }
        self.active.insert(key);
        self.advance_min_virtual_time();
    }

    /// Advances the lowest virtual time and makes the workspaces eligible that
    /// are within their share again.
    fn advance_min_virtual_time(&mut self) {
        let Some(&(lowest, _)) = self.active.first() else { return };
        if lowest <= self.min_virtual_time {
            return;
        }
        self.min_virtual_time = lowest;
        while let Some((virtual_time, _)) = self.over_share.first() {
            if *virtual_time > self.min_virtual_time + self.window {
                return;
            }
            let Some((_, name)) = self.over_share.pop_first() else { return };
            let first = self.workspaces.get(&name).and_then(|queue| queue.requests.first());
            if let Some(&(first, _)) = first {
                self.eligible.insert((first, name));
            }
        }
    }

    fn evict_idle(&mut self) {
        while let Some((virtual_time, _)) = self.idle.first() {
            if *virtual_time > self.min_virtual_time && self.idle.len() <= MAX_IDLE_WORKSPACES {
                return;
            }
            if let Some((_, name)) = self.idle.pop_first() {
                self.workspaces.remove(&name);
            }
        }
    }
}
