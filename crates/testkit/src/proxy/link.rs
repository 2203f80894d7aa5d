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
    match stop {
        Some(Stop::HalfOpen) => {
            drop(target);
            hold(caller, rules).await;
        }
        Some(Stop::Silent) => {
            let silence = now.silences + 1;
            tokio::join!(
                hold_silent(caller, rules.clone(), silence),
                hold_silent(target, rules, silence)
            );
        }
        _ => {}
    }
}

/// Keeps one side of a connection open without reading or sending. Once the connections of
/// its silence are to be reset, bytes that have come or come later reset it.
async fn hold_silent(stream: TcpStream, mut rules: watch::Receiver<Rules>, silence: u64) {
    let cuts = rules.borrow().cuts;
    let mut resets = rules.clone();
    let used = async {
        // Fails only if the proxy has ended.
        let _ = resets.wait_for(|rules| rules.resets >= silence).await;
        let _ = stream.peek(&mut [0]).await;
    };
    // The kernel resets a connection that is closed with unread bytes.
    tokio::select! {
        () = used => {}
        _ = rules.wait_for(|rules| rules.cuts != cuts || rules.stopped) => {}
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
