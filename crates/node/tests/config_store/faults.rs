//! A key-value service that fails chosen calls.

use std::{cell::Cell, time::Duration};

use comfreyway_platform::{
    CasOutcome, EmbeddedKeyValue, KeyValue, KvEvent, LeaseId, PlatformError, Revision, Versioned,
};
use futures_util::{
    future::{FutureExt, LocalBoxFuture},
    stream::{LocalBoxStream, StreamExt, pending},
};

/// What happens to a failed call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fault {
    /// The call takes effect and its reply is lost.
    LostReply,
    /// The call has no effect, and its result is reported as uncertain.
    LostCall,
    /// The call has no effect, and is reported as not done.
    Refused,
}

/// Key-value service that fails a range of its calls.
pub(crate) struct FaultyKeyValue {
    inner: EmbeddedKeyValue,
    fault: Fault,
    first: u32,
    count: u32,
    calls: Cell<u32>,
    silent_watch: bool,
}

impl FaultyKeyValue {
    /// Fails `count` calls, from call `first` on.
    pub(crate) fn new(inner: &EmbeddedKeyValue, fault: Fault, first: u32, count: u32) -> Self {
        let inner = inner.clone();
        Self { inner, fault, first, count, calls: Cell::new(0), silent_watch: false }
    }

    /// Makes watches deliver no event.
    pub(crate) fn with_silent_watch(mut self) -> Self {
        self.silent_watch = true;
        self
    }

    fn next_fault(&self) -> Option<Fault> {
        let call = self.calls.replace(self.calls.get() + 1);
        let failed = call >= self.first && call - self.first < self.count;
        failed.then_some(self.fault)
    }

    fn run<'a, T>(
        &'a self,
        call: LocalBoxFuture<'a, Result<T, PlatformError>>,
    ) -> LocalBoxFuture<'a, Result<T, PlatformError>>
    where
        T: 'a,
    {
        let fault = self.next_fault();
        async move {
            match fault {
                None => call.await,
                Some(Fault::LostReply) => {
                    let _ = call.await;
                    Err(PlatformError::Uncertain("lost reply".to_owned()))
                }
                Some(Fault::LostCall) => Err(PlatformError::Uncertain("lost call".to_owned())),
                Some(Fault::Refused) => Err(PlatformError::NotDone("refused".to_owned())),
            }
        }
        .boxed_local()
    }
}

impl KeyValue for FaultyKeyValue {
    fn get<'a>(
        &'a self,
        key: &'a str,
    ) -> LocalBoxFuture<'a, Result<Option<Versioned>, PlatformError>> {
        self.run(self.inner.get(key))
    }

    fn list<'a>(
        &'a self,
        prefix: &'a str,
    ) -> LocalBoxFuture<'a, Result<Vec<Versioned>, PlatformError>> {
        self.run(self.inner.list(prefix))
    }

    fn compare_and_swap<'a>(
        &'a self,
        key: &'a str,
        expected: Revision,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> LocalBoxFuture<'a, Result<CasOutcome, PlatformError>> {
        let call = async move { self.inner.compare_and_swap(key, expected, value, lease).await };
        self.run(call.boxed_local())
    }

    fn compare_and_delete<'a>(
        &'a self,
        key: &'a str,
        expected: Revision,
    ) -> LocalBoxFuture<'a, Result<CasOutcome, PlatformError>> {
        let call = async move { self.inner.compare_and_delete(key, expected).await };
        self.run(call.boxed_local())
    }

    fn grant_lease(&self, ttl: Duration) -> LocalBoxFuture<'_, Result<LeaseId, PlatformError>> {
        self.inner.grant_lease(ttl)
    }

    fn renew_lease(&self, lease: LeaseId) -> LocalBoxFuture<'_, Result<Duration, PlatformError>> {
        self.inner.renew_lease(lease)
    }

    fn revoke_lease(&self, lease: LeaseId) -> LocalBoxFuture<'_, Result<(), PlatformError>> {
        self.inner.revoke_lease(lease)
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
    ) -> LocalBoxStream<'a, Result<KvEvent, PlatformError>> {
        if self.silent_watch { pending().boxed_local() } else { self.inner.watch(prefix, after) }
    }
}
