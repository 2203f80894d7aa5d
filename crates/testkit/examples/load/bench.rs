//! One daemon before one source.

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

use crate::trial::Failure;

/// Engines by which the daemon knows the source. One runner is granted a few
/// requests at a time until its speed is known, so many streams need many.
const ENGINES: usize = 1_500;

/// Plain services by which the daemon knows the source.
const SERVICES: usize = 12;

/// Addresses of one subnet that are used.
const SUBNET: usize = 250;

/// One daemon before one source.
pub(crate) struct Bench {
    source: LocalServer,
    daemon: DaemonProcess,
    _dir: TempDir,
}

impl Bench {
    /// Starts a daemon with one worker thread before `source`.
    pub(crate) fn start(source: LocalServer) -> Result<Self, Failure> {
        let dir = TempDir::new()?;
        let file = dir.write("configuration.ini", &configuration(source.address().port()))?;
        let settings = DaemonSettings::with_embedded("host-1", &file)?
            .with_workers(1)
            .with_limit("connections", "20000");
        let mut daemon = DaemonProcess::start(&env::current_exe()?, &[], settings)?;
        if let Err(e) = actix_rt::System::new().block_on(daemon.ready()) {
            return Err(format!("{e}; the daemon's log:\n{}", daemon.log()).into());
        }
        Ok(Self { source, daemon, _dir: dir })
    }

    /// Address of the source.
    pub(crate) fn source(&self) -> SocketAddr {
        SocketAddr::new(Ipv4Addr::LOCALHOST.into(), self.source.address().port())
    }

    /// Address of the daemon for callers.
    pub(crate) fn callers(&self) -> SocketAddr {
        self.daemon.settings().callers
    }

    /// Number of the daemon's process.
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
    push_runners(&mut text, "dala-llm", 0..ENGINES, port);
    push_runners(&mut text, "portal", ENGINES..ENGINES + SERVICES, port);
    text
}

/// Adds runners that are all the same source, each by an address of its own.
fn push_runners(text: &mut String, upstream: &str, numbers: Range<usize>, port: u16) {
    for number in numbers {
        let ip = format!("127.0.{}.{}", number / SUBNET, number % SUBNET + 1);
        // Writing to a string can't fail.
        let _ = write!(
            text,
            "[runner {upstream} r{number}]\naddress = {ip}:{port}\ndata-centre = medeu\n"
        );
    }
}
