//! Who gives way to others.

use std::time::Duration;

use crate::time::MonoTime;

use super::{
    CallerId, CallerMemory, CallerMemoryError, WorkspaceKey, caller::Caller, shared_bytes,
};

/// Time without progress after which a body that is being read, or a response that is being
/// written, counts as stalled.
const STALL_TIME: Duration = Duration::from_millis(1_000);

impl CallerMemory {
    fn present(&self) -> impl Iterator<Item = (CallerId, &Caller)> {
        let callers = self.callers.iter().enumerate();
        callers
            .filter_map(|(index, caller)| Some((CallerId(index), caller.as_ref()?)))
            .filter(|(_, caller)| !caller.is_evicted)
    }

    /// Returns the caller with the lowest key.
    pub(super) fn first_by<F, K>(&self, key: F) -> Option<CallerId>
    where
        F: Fn(&Caller) -> Option<K>,
        K: Ord,
    {
        let keyed = self.present().filter_map(|(id, caller)| Some((key(caller)?, id)));
        keyed.min().map(|(_, id)| id)
    }

    pub(super) fn large_of(&self, workspace: WorkspaceKey) -> usize {
        let same = self.present().filter(|(_, caller)| caller.workspace == workspace);
        same.map(|(_, caller)| self.limits.large(caller.body)).sum()
    }

    /// Evicts callers whose large bodies have stalled until as many bytes of these are free.
    pub(super) fn evict_stalled(
        &mut self,
        bytes: usize,
        (asking, of): (CallerId, Option<WorkspaceKey>),
        now: MonoTime,
        evicted: &mut Vec<CallerId>,
    ) -> Result<(), CallerMemoryError> {
        let mut freed = 0;
        while freed < bytes {
            let victim = self
                .present()
                .filter(|(id, caller)| {
                    *id != asking && of.is_none_or(|workspace| caller.workspace == workspace)
                })
                .filter(|(_, caller)| self.limits.large(caller.body) > 0)
                .filter_map(|(id, caller)| Some((caller.progress_at()?, id, caller.body)))
                .filter(|(at, ..)| now.since(*at) >= STALL_TIME)
                .min();
            let (_, id, body) = victim.ok_or(CallerMemoryError::Exhausted)?;
            self.evict(id, evicted)?;
            freed += self.limits.large(body);
        }
        Ok(())
    }

    /// Makes room for more bytes: callers with large bodies that are being read give way, those
    /// with the longest time since their last progress first, then stalled ones.
    pub(super) fn make_room(
        &mut self,
        bytes: usize,
        asking: Option<CallerId>,
        now: MonoTime,
        evicted: &mut Vec<CallerId>,
    ) -> Result<(), CallerMemoryError> {
        while self.used + bytes > self.limits.total_bytes {
            let victim = self
                .present()
                .filter(|(id, caller)| Some(*id) != asking && caller.body > 0)
                .filter_map(|(id, caller)| {
                    let at = caller.progress_at()?;
                    let is_large = self.limits.large(caller.body) > 0;
                    let is_stalled = now.since(at) >= STALL_TIME;
                    (is_large || is_stalled).then_some((!is_large, at, id))
                })
                .min();
            let (.., id) = victim.ok_or(CallerMemoryError::Exhausted)?;
            self.evict(id, evicted)?;
        }
        Ok(())
    }

    pub(super) fn evict(
        &mut self,
        id: CallerId,
        evicted: &mut Vec<CallerId>,
    ) -> Result<(), CallerMemoryError> {
        let Some(caller) = self.caller(id).cloned() else { return Ok(()) };
        if self.evicting + caller.bytes() > self.limits.max_evicting() {
            return Err(CallerMemoryError::Exhausted);
        }
        self.release(&caller);
        self.evicting += caller.bytes();
        if let Some(caller) = self.caller(id) {
            caller.is_evicted = true;
        }
        evicted.push(id);
        Ok(())
    }

    /// Evicts the caller that has not read its response for longest, if it has stalled.
    pub(super) fn evict_stalled_delivery(
        &mut self,
        asking: CallerId,
        now: MonoTime,
        evicted: &mut Vec<CallerId>,
    ) -> Result<(), CallerMemoryError> {
        let victim = self
            .present()
            .filter(|(id, caller)| *id != asking && shared_bytes(caller.response) > 0)
            .filter_map(|(id, caller)| Some((caller.delivery_at()?, id)))
            .filter(|(at, _)| now.since(*at) >= STALL_TIME)
            .min();
        let (_, id) = victim.ok_or(CallerMemoryError::Exhausted)?;
        self.evict(id, evicted)
    }
}
