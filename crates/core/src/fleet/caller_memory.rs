//! Memory and connections that callers can make a host occupy.
//!
//! Callers decide how much they send and when, so there is one limit for the sum: buffers of
//! connections, bodies that are being read or kept, and responses that are held back. When
//! it is reached, callers that hold something and make no progress give way first. Built for
//! crowds whose requests never end; requests with small bodies still get through.

mod caller;
mod eviction;
mod limits;

use crate::time::MonoTime;

use self::caller::{Caller, Stage};

pub use self::{
    caller::{CallerId, WorkspaceKey},
    limits::CallerMemoryLimits,
};

/// Bytes of each response that may always be held back.
const MIN_RESPONSE_BYTES: usize = 64 << 10;

/// Reason for not holding more for a caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerMemoryError {
    /// Callers that can't be evicted hold all that may be held.
    Exhausted,
    /// The caller itself was evicted.
    Evicted,
}

/// The callers of a host, and what is held for them.
///
/// # Examples
///
/// ```
/// use comfreyway_core::{
///     fleet::{CallerMemory, CallerMemoryLimits, WorkspaceKey},
///     time::MonoTime,
/// };
///
/// let mut memory = CallerMemory::new(CallerMemoryLimits::of_process(160 << 20, 4_096));
/// let at = MonoTime::from_millis;
/// let mut evicted = Vec::new();
/// let stalled: Vec<_> = (0..20)
///     .map(|_| memory.connect(at(0), &mut evicted).unwrap())
///     .collect();
/// let refused = stalled.iter().filter(|caller| {
///     memory.begin_body(**caller, WorkspaceKey(1), at(0));
///     memory.hold_body(**caller, 4 << 20, at(0), &mut evicted).is_err()
/// });
/// assert!(refused.count() > 0);
///
/// // After a second without progress they give way.
/// let next = memory.connect(at(1_500), &mut evicted).unwrap();
/// memory.begin_body(next, WorkspaceKey(1), at(1_500));
/// assert!(memory.hold_body(next, 4 << 20, at(1_500), &mut evicted).is_ok());
/// assert!(!evicted.is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct CallerMemory {
    limits: CallerMemoryLimits,
    callers: Vec<Option<Caller>>,
    free: Vec<CallerId>,
    connections: usize,
    /// Bytes held for all callers, with the buffers of their connections.
    used: usize,
    /// Part of it: bodies that are not small.
    large: usize,
    /// Part of it: responses beyond what each of them may hold back.
    responses: usize,
    /// Bytes of evicted callers, which are not part of `used` but not released yet.
    evicting: usize,
}

impl CallerMemory {
    /// Creates an account without callers.
    #[must_use]
    pub fn new(limits: CallerMemoryLimits) -> Self {
        Self {
            limits,
            callers: Vec::new(),
            free: Vec::new(),
            connections: 0,
            used: 0,
            large: 0,
            responses: 0,
            evicting: 0,
        }
    }

    /// Bytes held for all callers, with the buffers of their connections.
    #[must_use]
    pub fn used_bytes(&self) -> usize {
        self.used
    }

    /// Number of connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections
    }

    /// Adds a connection. Callers that give way to it are added to `evicted`.
    ///
    /// # Errors
    ///
    /// Fails if all connections are in use for complete requests.
    pub fn connect(
        &mut self,
        now: MonoTime,
        evicted: &mut Vec<CallerId>,
    ) -> Result<CallerId, CallerMemoryError> {
        if self.connections >= self.limits.max_connections {
            let waiting = |caller: &Caller| caller.waits_since();
            let victim = self.first_by(waiting).ok_or(CallerMemoryError::Exhausted)?;
            self.evict(victim, evicted)?;
        }
        let bytes = self.limits.connection_bytes;
        self.make_room(bytes, None, now, evicted)?;
        self.connections += 1;
        Ok(self.add(Caller::connection(now), bytes))
    }

    /// Adds a request whose connection is not in the account, such as one that another host
    /// forwards.
    pub fn add_request(&mut self, now: MonoTime) -> CallerId {
        self.add(Caller::request(now), 0)
    }

    fn add(&mut self, caller: Caller, bytes: usize) -> CallerId {
        self.used += bytes;
        let caller = Some(caller.with_base(bytes));
        match self.free.pop() {
            Some(id) => {
                self.callers[id.0] = caller;
                id
            }
            None => {
                self.callers.push(caller);
                CallerId(self.callers.len() - 1)
            }
        }
    }

    /// Removes a caller whose connection has ended.
    pub fn remove(&mut self, id: CallerId) {
        let Some(caller) = self.callers.get_mut(id.0).and_then(Option::take) else { return };
        self.free.push(id);
        match caller.is_evicted {
            true => self.evicting -= caller.bytes(),
            false => self.release(&caller),
        }
    }

    fn release(&mut self, caller: &Caller) {
        self.connections -= usize::from(caller.is_connection());
        self.used -= caller.bytes();
        self.large -= self.limits.large(caller.body);
        self.responses -= shared_bytes(caller.response);
    }

    /// Records that the body of a request is being read.
    pub fn begin_body(&mut self, id: CallerId, workspace: WorkspaceKey, now: MonoTime) {
        if let Some(caller) = self.caller(id) {
            caller.workspace = workspace;
            caller.stage = Stage::Reading { progress_at: now };
        }
    }

    /// Records that more of a body was received, enough not to count as stalled.
    pub fn body_advanced(&mut self, id: CallerId, now: MonoTime) {
        if let Some(caller) = self.caller(id)
            && let Stage::Reading { progress_at } = &mut caller.stage
        {
            *progress_at = now;
        }
    }

    /// Records that a request was read completely. It can't be evicted any more: the host
    /// owes it a response.
    ///
    /// # Errors
    ///
    /// Fails if the caller was evicted.
    pub fn end_body(&mut self, id: CallerId) -> Result<(), CallerMemoryError> {
        let caller = self.caller(id).ok_or(CallerMemoryError::Evicted)?;
        caller.stage = Stage::Busy;
        Ok(())
    }

    /// Records that the response is complete and is being written.
    pub fn begin_delivery(&mut self, id: CallerId, now: MonoTime) {
        if let Some(caller) = self.caller(id) {
            caller.stage = Stage::Delivering { progress_at: now };
        }
    }

    /// Records that more of the response was written, enough not to count as stalled.
    pub fn delivery_advanced(&mut self, id: CallerId, now: MonoTime) {
        if let Some(caller) = self.caller(id)
            && let Stage::Delivering { progress_at } = &mut caller.stage
        {
            *progress_at = now;
        }
    }

    /// Records the end of a request, whose body and response are no longer held. The
    /// connection waits for the next one.
    pub fn end_request(&mut self, id: CallerId, now: MonoTime) {
        let Some(caller) = self.callers.get_mut(id.0).and_then(Option::as_mut) else { return };
        let (body, response) = (caller.body, caller.response);
        (caller.body, caller.response) = (0, 0);
        caller.stage = Stage::Idle { since: now };
        if caller.is_evicted {
            self.evicting -= body + response;
            return;
        }
        self.used -= body + response;
        self.large -= self.limits.large(body);
        self.responses -= shared_bytes(response);
    }

    /// Sets the bytes that are held of a request's body.
    ///
    /// # Errors
    ///
    /// Fails if the caller was evicted, or nobody gives way to it. A smaller number never
    /// fails for want of memory.
    pub fn hold_body(
        &mut self,
        id: CallerId,
        bytes: usize,
        now: MonoTime,
        evicted: &mut Vec<CallerId>,
    ) -> Result<(), CallerMemoryError> {
        let caller = self.caller(id).ok_or(CallerMemoryError::Evicted)?;
        let (before, workspace) = (caller.body, caller.workspace);
        let large = self.limits.large(bytes).saturating_sub(self.limits.large(before));
        if large > 0 {
            let of_workspace = self.large_of(workspace) + large;
            if of_workspace > self.limits.max_large_of_workspace() {
                let excess = of_workspace - self.limits.max_large_of_workspace();
                self.evict_stalled(excess, (id, Some(workspace)), now, evicted)?;
            }
            let excess = (self.large + large).saturating_sub(self.limits.max_large());
            self.evict_stalled(excess, (id, None), now, evicted)?;
        }
        self.make_room(bytes.saturating_sub(before), Some(id), now, evicted)?;
        if let Some(caller) = self.caller(id) {
            caller.body = bytes;
        }
        self.used = self.used - before + bytes;
        self.large = self.large - self.limits.large(before) + self.limits.large(bytes);
        Ok(())
    }

    /// Sets the bytes that are held back of the response to a request.
    ///
    /// # Errors
    ///
    /// Fails if the caller was evicted, or responses and complete requests hold all that may
    /// be held.
    pub fn hold_response(
        &mut self,
        id: CallerId,
        bytes: usize,
        now: MonoTime,
        evicted: &mut Vec<CallerId>,
    ) -> Result<(), CallerMemoryError> {
        let before = self.caller(id).ok_or(CallerMemoryError::Evicted)?.response;
        if shared_bytes(bytes) > shared_bytes(before) {
            let more = shared_bytes(bytes) - shared_bytes(before);
            while self.responses + more > self.limits.max_responses() {
                self.evict_stalled_delivery(id, now, evicted)?;
            }
            self.make_room(bytes.saturating_sub(before), Some(id), now, evicted)?;
        }
        if let Some(caller) = self.caller(id) {
            caller.response = bytes;
        }
        self.used = self.used - before + bytes;
        self.responses = self.responses - shared_bytes(before) + shared_bytes(bytes);
        Ok(())
    }

    /// Returns a caller that was not evicted.
    fn caller(&mut self, id: CallerId) -> Option<&mut Caller> {
        self.callers.get_mut(id.0)?.as_mut().filter(|caller| !caller.is_evicted)
    }
}

/// Returns the bytes of a response beyond those that may always be held back.
fn shared_bytes(response: usize) -> usize {
    response.saturating_sub(MIN_RESPONSE_BYTES)
}
