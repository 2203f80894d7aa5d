//! A TCP proxy that injects faults.
//!
//! It stands on one link between two processes. What it does to the bytes of
//! each direction and to new connections can be changed while it runs; a change
//! holds for open connections as well.

mod accept;
mod link;
mod pump;
mod rules;

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc,
    },
    thread::{self, JoinHandle},
};

use tokio::{
    runtime,
    sync::{mpsc::UnboundedSender, watch},
    task::LocalSet,
};

use crate::daemon::own_address;

pub use self::rules::{AcceptRule, Direction, LinkRule};

use self::{accept::Listen, rules::Rules};

pub(crate) struct Shared {
    rules: watch::Sender<Rules>,
    connections: AtomicU64,
    forwarded_up: AtomicU64,
    forwarded_down: AtomicU64,
}

/// A running proxy. Stops, and closes its connections, on drop.
///
/// # Examples
///
/// ```
/// use comfreyway_testkit::{
///     proxy::{AcceptRule, FaultProxy, LinkRule},
///     service::ServiceStandIn,
/// };
///
/// let service = ServiceStandIn::start().unwrap();
/// let proxy = FaultProxy::start(service.address()).unwrap();
/// proxy.set_down(LinkRule::Drop);
/// proxy.set_accept(AcceptRule::Refuse).unwrap();
/// ```
pub struct FaultProxy {
    address: SocketAddr,
    shared: Arc<Shared>,
    commands: UnboundedSender<Listen>,
    thread: Option<JoinHandle<()>>,
}

impl FaultProxy {
    /// Starts a proxy in front of `target`, without faults.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        // Nobody else takes the port of this address while it refuses.
        let listener = TcpListener::bind(own_address())?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            rules: watch::channel(Rules::new(target)).0,
            connections: AtomicU64::new(0),
            forwarded_up: AtomicU64::new(0),
            forwarded_down: AtomicU64::new(0),
        });
        let (commands, rx) = tokio::sync::mpsc::unbounded_channel();
        let rt = runtime::Builder::new_current_thread().enable_all().build()?;
        let served = shared.clone();
        let thread =
            thread::Builder::new().name(format!("proxy-{}", address.port())).spawn(move || {
                let served = accept::run(address, listener, rx, served);
                if let Err(e) = LocalSet::new().block_on(&rt, served) {
                    eprintln!("proxy: {e}");
                }
            })?;
        Ok(Self { address, shared, commands, thread: Some(thread) })
    }

    /// The address to connect to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the rule for bytes from callers to the target.
    pub fn set_up(&self, rule: LinkRule) {
        self.change(|rules| rules.up = rule);
    }

    /// Sets the rule for bytes from the target to callers.
    pub fn set_down(&self, rule: LinkRule) {
        self.change(|rules| rules.down = rule);
    }

    /// Holds the rules of both directions back for connections whose latest
    /// request does not start with this text, such as `POST`.
    pub fn set_request_filter(&self, request: &'static str) {
        self.change(|rules| rules.only = request);
    }

    /// Sets the rule for new connections. In force when this returns.
    ///
    /// # Errors
    ///
    /// Fails if the port can't be bound again.
    pub fn set_accept(&self, rule: AcceptRule) -> io::Result<()> {
        self.change(|rules| rules.accept = rule);
        let (done, rx) = mpsc::channel();
        let listens = rule != AcceptRule::Refuse;
        let stopped = || io::Error::other("the proxy's thread has ended");
        self.commands.send(Listen { listens, done }).map_err(|_| stopped())?;
        rx.recv().map_err(|_| stopped())?
    }

    /// Sets the target of new connections.
    pub fn set_target(&self, target: SocketAddr) {
        self.change(|rules| rules.target = target);
    }

    /// Closes the target's side of each open connection and keeps the caller's
    /// side open and silent, as after the loss of a host.
    pub fn leave_half_open(&self) {
        self.change(|rules| rules.half_open = true);
    }

    /// Closes all open connections on both sides.
    pub fn cut_all(&self) {
        self.change(|rules| rules.cuts += 1);
    }

    /// Stops all traffic without closing anything: bytes of both directions are
    /// swallowed, and so are new connections.
    ///
    /// # Errors
    ///
    /// Fails if the proxy has ended.
    pub fn partition(&self) -> io::Result<()> {
        self.set_up(LinkRule::Drop);
        self.set_down(LinkRule::Drop);
        self.set_accept(AcceptRule::BlackHole)
    }

    /// Removes all faults. Connections that lost bytes are closed.
    ///
    /// # Errors
    ///
    /// Fails if the port can't be bound again.
    pub fn heal(&self) -> io::Result<()> {
        self.change(|rules| {
            rules.up = LinkRule::Pass;
            rules.down = LinkRule::Pass;
            rules.half_open = false;
            rules.cuts += 1;
        });
        self.set_accept(AcceptRule::Forward)
    }

    /// Number of connections so far.
    #[must_use]
    pub fn connections(&self) -> u64 {
        self.shared.connections.load(Ordering::Relaxed)
    }

    /// Number of bytes forwarded so far in one direction.
    #[must_use]
    pub fn forwarded(&self, direction: Direction) -> u64 {
        let count = match direction {
            Direction::Up => &self.shared.forwarded_up,
            Direction::Down => &self.shared.forwarded_down,
        };
        count.load(Ordering::Relaxed)
    }

    fn change<F>(&self, change: F)
    where
        F: FnOnce(&mut Rules),
    {
        self.shared.rules.send_modify(|rules| {
            change(rules);
            rules.version += 1;
        });
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.change(|rules| rules.stopped = true);
        if let Some(thread) = self.thread.take() {
            // A panic of the proxy's thread has been printed already.
            let _ = thread.join();
        }
    }
}
