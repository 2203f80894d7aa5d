//! A TCP proxy that injects faults.
//!
//! It forwards connections between two processes. The rules for the bytes of
//! each direction and for new connections can be changed while it runs; a change
//! of the byte rules applies to open connections as well.

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

use crate::daemon::unique_address;

pub use self::rules::{AcceptRule, Direction, LinkRule};

use self::{accept::SetListening, rules::Rules};

pub(crate) struct Shared {
    rules: watch::Sender<Rules>,
    connections: AtomicU64,
    forwarded_up: AtomicU64,
    forwarded_down: AtomicU64,
}

/// A running proxy. Stops and closes its connections on drop.
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
    commands: UnboundedSender<SetListening>,
    thread: Option<JoinHandle<()>>,
}

impl FaultProxy {
    /// Starts a proxy in front of `target`, without faults.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        // No other process binds this address while the proxy refuses connections.
        let listener = TcpListener::bind(unique_address())?;
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
        self.update_rules(|rules| rules.up = rule);
    }

    /// Sets the rule for bytes from the target to callers.
    pub fn set_down(&self, rule: LinkRule) {
        self.update_rules(|rules| rules.down = rule);
    }

    /// Applies the byte rules only to connections whose latest request starts
    /// with this text, such as `POST`. Empty for all connections.
    pub fn set_request_filter(&self, prefix: &'static str) {
        self.update_rules(|rules| rules.request_filter = prefix);
    }

    /// Sets the rule for new connections. It applies once this returns.
    ///
    /// # Errors
    ///
    /// Fails if the port can't be bound again, or the proxy has ended.
    pub fn set_accept(&self, rule: AcceptRule) -> io::Result<()> {
        self.update_rules(|rules| rules.accept = rule);
        let (done, rx) = mpsc::channel();
        let listening = rule != AcceptRule::Refuse;
        let stopped = || io::Error::other("the proxy's thread has ended");
        self.commands.send(SetListening { listening, done }).map_err(|_| stopped())?;
        rx.recv().map_err(|_| stopped())?
    }

    /// Sets the target of new connections.
    pub fn set_target(&self, target: SocketAddr) {
        self.update_rules(|rules| rules.target = target);
    }

    /// Closes the target's side of each open connection and keeps the caller's
    /// side open without traffic, as after a crash of a host.
    pub fn leave_half_open(&self) {
        self.update_rules(|rules| rules.half_open = true);
    }

    /// Keeps all open connections on both sides and carries nothing on them any more, not
    /// even their end, as if a machine on the way had lost power. New connections work.
    pub fn silence(&self) {
        self.update_rules(|rules| rules.silences += 1);
    }

    /// Resets each side of the connections silenced so far once its peer has sent bytes
    /// since, or sends some, as the machine does that has power again.
    pub fn reset_silenced(&self) {
        self.update_rules(|rules| rules.resets = rules.silences);
    }

    /// Closes all open connections on both sides.
    pub fn cut_all(&self) {
        self.update_rules(|rules| rules.cuts += 1);
    }

    /// Stops all traffic without closing connections: bytes of both directions
    /// are discarded, and new connections are accepted but not forwarded.
    ///
    /// # Errors
    ///
    /// Fails if the proxy has ended.
    pub fn partition(&self) -> io::Result<()> {
        self.set_up(LinkRule::Drop);
        self.set_down(LinkRule::Drop);
        self.set_accept(AcceptRule::BlackHole)
    }

    /// Removes all faults and closes all open connections, since they may have lost
    /// bytes.
    ///
    /// # Errors
    ///
    /// Fails if the port can't be bound again, or the proxy has ended.
    pub fn heal(&self) -> io::Result<()> {
        self.update_rules(|rules| {
            rules.up = LinkRule::Pass;
            rules.down = LinkRule::Pass;
            rules.half_open = false;
            rules.cuts += 1;
        });
        self.set_accept(AcceptRule::Forward)
    }

    /// Number of connections accepted so far.
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

    fn update_rules<F>(&self, change: F)
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
        self.update_rules(|rules| rules.stopped = true);
        if let Some(thread) = self.thread.take() {
            // A panic of the proxy's thread has already been printed.
            let _ = thread.join();
        }
    }
}
