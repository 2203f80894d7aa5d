//! One connection through the proxy.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use tokio::{io::AsyncReadExt, net::TcpStream, sync::watch};

use super::{
    Shared,
    pump::{Pump, Stop},
    rules::{AcceptRule, Direction, Rules},
};

/// Serves one connection until it ends.
pub(super) async fn serve(mut caller: TcpStream, shared: Arc<Shared>) {
    shared.connections.fetch_add(1, Ordering::Relaxed);
    let rules = shared.rules.subscribe();
    let now = *rules.borrow();
    if now.accept == AcceptRule::BlackHole {
        return hold(caller, rules).await;
    }
    // If the target is down, the connection closes without a response.
    let Ok(mut target) = TcpStream::connect(now.target).await else { return };
    if caller.set_nodelay(true).and_then(|()| target.set_nodelay(true)).is_err() {
        return;
    }
    let stop = {
        let (from_caller, to_caller) = caller.split();
        let (from_target, to_target) = target.split();
        let rules_apply = AtomicBool::new(now.request_filter.is_empty());
        let up = Pump::new(Direction::Up, &shared, &rules_apply, now);
        let down = Pump::new(Direction::Down, &shared, &rules_apply, now);
        tokio::try_join!(up.run(from_caller, to_target), down.run(from_target, to_caller)).err()
    };
    drop(target);
    if let Some(Stop::HalfOpen) = stop {
        hold(caller, rules).await;
    }
}

/// Keeps a connection open without sending until the caller closes it, all
/// connections are cut, or the proxy stops.
async fn hold(mut caller: TcpStream, mut rules: watch::Receiver<Rules>) {
    let cuts = rules.borrow().cuts;
    let mut buf = [0; 4096];
    let cut = rules.wait_for(|rules| rules.cuts != cuts || rules.stopped);
    tokio::pin!(cut);
    loop {
        tokio::select! {
            _ = &mut cut => return,
            n = caller.read(&mut buf) => if !matches!(n, Ok(1..)) { return },
        }
    }
}
