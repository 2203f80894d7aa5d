//! Test rig: one daemon in front of one upstream server.

use std::{
    env,
    fmt::Write as _,
    net::{Ipv4Addr, SocketAddr},
    ops::Range,
};

use comfreyway_testkit::{
    LocalServer,
    daemon::{DaemonProcess, DaemonSettings, TempDir},
};

use crate::steps::Failure;

/// Number of engine runners in the daemon's configuration. The daemon grants a
/// runner only a few requests until it knows its speed, so many streams need
/// many runners.
const ENGINE_RUNNERS: usize = 1_500;

/// Number of plain service runners in the daemon's configuration.
const SERVICE_RUNNERS: usize = 12;

/// Number of addresses used in one subnet.
const ADDRESSES_PER_SUBNET: usize = 250;

/// One daemon in front of one upstream server.
pub(crate) struct Rig {
    upstream: LocalServer,
    daemon: DaemonProcess,
    _dir: TempDir,
}

impl Rig {
    /// Starts a daemon with one worker thread in front of `upstream`.
    pub(crate) fn start(upstream: LocalServer) -> Result<Self, Failure> {
        let dir = TempDir::new()?;
        let file = dir.write("configuration.ini", &configuration(upstream.address().port()))?;
        let settings = DaemonSettings::with_embedded("host-1", &file)?
            .with_workers(1)
            .with_limit("connections", "20000");
        let mut daemon = DaemonProcess::start(&env::current_exe()?, &[], settings)?;
        if let Err(e) = actix_rt::System::new().block_on(daemon.ready()) {
            return Err(format!("{e}; the daemon's log:\n{}", daemon.log()).into());
        }
        Ok(Self { upstream, daemon, _dir: dir })
    }

    /// Returns the address of the upstream server.
    pub(crate) fn upstream(&self) -> SocketAddr {
        SocketAddr::new(Ipv4Addr::LOCALHOST.into(), self.upstream.address().port())
    }

    /// Returns the daemon's address for callers.
    pub(crate) fn callers(&self) -> SocketAddr {
        self.daemon.settings().callers
    }

    /// Returns the daemon's process ID.
    pub(crate) fn pid(&self) -> u32 {
        self.daemon.pid()
    }
}

fn configuration(port: u16) -> String {
    let mut text = String::from(
        "[class summary]\ntier = 0\nwhole-answer = 10m\n\
         [class lookup]\ntier = 0\nwhole-answer = 10s\n\
         [workspace workspace-0]\n\
         [data-centre medeu]\nregion = almaty\n\
         [model dala]\nupstream = dala-llm\n\
         [upstream dala-llm]\nkind = engine\n\
         [upstream portal]\nkind = service\n\
         [route /portal]\nupstream = portal\nclass = lookup\n",
    );
    push_runners(&mut text, "dala-llm", 0..ENGINE_RUNNERS, port);
    push_runners(&mut text, "portal", ENGINE_RUNNERS..ENGINE_RUNNERS + SERVICE_RUNNERS, port);
    text
}

/// Adds runners that are all the same server, each with its own address.
fn push_runners(text: &mut String, upstream: &str, numbers: Range<usize>, port: u16) {
    for number in numbers {
        let ip = format!(
            "127.0.{}.{}",
            number / ADDRESSES_PER_SUBNET,
            number % ADDRESSES_PER_SUBNET + 1
        );
        // Writing to a string can't fail.
        let _ = write!(
            text,
            "[runner {upstream} r{number}]\naddress = {ip}:{port}\ndata-centre = medeu\n"
        );
    }
}
