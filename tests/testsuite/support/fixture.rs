//! A configuration with the stand-ins of a test as runners.

use std::{fmt::Write as _, net::SocketAddr};

/// A configuration with one upstream of engines and one of plain services.
///
/// Workspace `ayaq`; classes `summary` (streamed), `urgent` (streamed, short
/// targets), `cancellable` (streamed, cancelled when its caller disconnects),
/// `count` (not idempotent) and `lookup`; model `dala`; route `/survey`.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fixture {
    engines: Vec<SocketAddr>,
    services: Vec<SocketAddr>,
    leaving: Vec<SocketAddr>,
    no_resume: bool,
}

impl Fixture {
    /// A configuration without runners.
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// Adds an engine.
    pub(crate) fn with_engine(mut self, address: SocketAddr) -> Self {
        self.engines.push(address);
        self
    }

    /// Adds a plain service.
    pub(crate) fn with_service(mut self, address: SocketAddr) -> Self {
        self.services.push(address);
        self
    }

    /// Marks a runner as leaving in the configuration.
    pub(crate) fn with_leaving(mut self, address: SocketAddr) -> Self {
        self.leaving.push(address);
        self
    }

    /// Declares that the engines can't resume a response.
    pub(crate) fn without_resume(mut self) -> Self {
        self.no_resume = true;
        self
    }

    /// Returns the configuration as the text of an INI file.
    pub(crate) fn text(&self) -> String {
        let mut out = String::from(
            "[class summary]\ntier = 0\nfirst-token = 60s\nbetween-tokens = 30s\n\
             [class cancellable]\ntier = 1\nfirst-token = 60s\nbetween-tokens = 30s\n\
             cancellable = yes\n\
             [class urgent]\ntier = 0\nfirst-token = 2s\nbetween-tokens = 1s\n\
             [class count]\ntier = 1\nwhole-answer = 60s\nidempotent = no\n\
             [class lookup]\ntier = 2\nwhole-answer = 60s\n\
             [workspace ayaq]\n\
             [data-centre medeu]\nregion = almaty\n\
             [model dala]\nupstream = dala-llm\n\
             [upstream survey-api]\nkind = service\n\
             [route /survey]\nupstream = survey-api\nclass = lookup\n",
        );
        let resumes = if self.no_resume { "no" } else { "yes" };
        let upstream = format!("[upstream dala-llm]\nkind = engine\nresumes = {resumes}\n");
        out.push_str(&upstream);
        self.write_runners(&mut out, "dala-llm", &self.engines);
        self.write_runners(&mut out, "survey-api", &self.services);
        out
    }

    fn write_runners(&self, out: &mut String, upstream: &str, runners: &[SocketAddr]) {
        for (i, address) in runners.iter().enumerate() {
            let leaving = if self.leaving.contains(address) { "yes" } else { "no" };
            let section = format!("[runner {upstream} {upstream}-{i}]");
            writeln!(out, "{section}\naddress = {address}\ndata-centre = medeu").unwrap();
            writeln!(out, "leaving = {leaving}").unwrap();
        }
    }
}
