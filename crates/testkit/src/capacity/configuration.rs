//! Generated configurations of a given size.

use std::{fmt::Write as _, net::SocketAddr};

/// Addresses and counts from which a configuration is generated.
#[derive(Clone, Debug)]
pub(super) struct ConfigurationSpec {
    pub(super) engines: Vec<SocketAddr>,
    pub(super) services: Vec<SocketAddr>,
    pub(super) workspaces: usize,
    pub(super) classes: usize,
}

impl ConfigurationSpec {
    /// Returns the configuration as an INI file.
    pub(super) fn to_ini(&self) -> String {
        let mut out = String::new();
        // Writing to a string can't fail.
        let _ = self.write(&mut out);
        out
    }

    fn write(&self, out: &mut String) -> std::fmt::Result {
        writeln!(out, "[class summary]\ntier = 0\nfirst-token = 60s\nbetween-tokens = 30s")?;
        writeln!(out, "[class lookup]\ntier = 1\nwhole-answer = 60s")?;
        for i in 2..self.classes {
            writeln!(out, "[class class-{i}]\ntier = 1\nwhole-answer = 60s")?;
        }
        for i in 0..self.workspaces {
            writeln!(out, "[workspace workspace-{i}]")?;
        }
        writeln!(out, "[data-centre medeu]\nregion = almaty")?;
        writeln!(out, "[model dala]\nupstream = dala-llm")?;
        writeln!(out, "[upstream dala-llm]\nkind = engine\nresumes = yes")?;
        writeln!(out, "[upstream survey-api]\nkind = service")?;
        writeln!(out, "[route /survey]\nupstream = survey-api\nclass = lookup")?;
        write_runners(out, "dala-llm", &self.engines)?;
        write_runners(out, "survey-api", &self.services)
    }
}

fn write_runners(out: &mut String, upstream: &str, runners: &[SocketAddr]) -> std::fmt::Result {
    for (i, address) in runners.iter().enumerate() {
        writeln!(out, "[runner {upstream} r{i}]\naddress = {address}\ndata-centre = medeu")?;
    }
    Ok(())
}
