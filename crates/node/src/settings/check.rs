//! Checks that involve more than one value.

use std::{collections::BTreeSet, net::SocketAddr};

use super::{KEYS, PEERS_SECTION, Platform, Settings, SettingsError, reader::Source};

/// Checks that every section and key is known and occurs once.
pub(super) fn check_names(source: &Source<'_>) -> Result<(), SettingsError> {
    let mut sections = BTreeSet::new();
    for (section, properties) in &source.ini {
        let name = section.unwrap_or_default();
        check_section(source, name, properties.is_empty())?;
        if !sections.insert(name) {
            return Err(SettingsError::Duplicate(source.place(name, None)));
        }
        let mut seen = BTreeSet::new();
        for (key, _) in properties.iter() {
            check_key(source, name, key)?;
            if !seen.insert(key) {
                return Err(SettingsError::Duplicate(source.place(name, Some(key))));
            }
        }
    }
    Ok(())
}

fn check_section(source: &Source<'_>, name: &str, empty: bool) -> Result<(), SettingsError> {
    let known = name == PEERS_SECTION || KEYS.iter().any(|spec| spec.section == name);
    if known || (name.is_empty() && empty) {
        return Ok(());
    }
    let mut sections: Vec<_> = KEYS.iter().map(|spec| spec.section).collect();
    sections.push(PEERS_SECTION);
    sections.dedup();
    let expected = format!("one of the sections {}", sections.join(", "));
    Err(SettingsError::UnknownKey(source.place(name, None), expected))
}

fn check_key(source: &Source<'_>, section: &str, key: &str) -> Result<(), SettingsError> {
    if section == PEERS_SECTION {
        return Ok(());
    }
    let known = KEYS.iter().filter(|spec| spec.section == section).map(|spec| spec.key);
    if known.clone().any(|known| known == key) {
        return Ok(());
    }
    let expected = format!("one of {}", known.collect::<Vec<_>>().join(", "));
    Err(SettingsError::UnknownKey(source.place(section, Some(key)), expected))
}

/// Checks that a secret is set if a peer or operator may be on another machine.
pub(super) fn check_secret(source: &Source<'_>, settings: &Settings) -> Result<(), SettingsError> {
    let own = [settings.listen.peers, settings.listen.operators];
    let remote = |address: &SocketAddr| !address.ip().is_loopback();
    if matches!(settings.platform, Platform::FleetStore(_)) {
        // Peers authenticate with the tokens in their store entries, and the
        // operators' port exposes no data of requests.
        return Ok(());
    }
    let exposed = own.iter().chain(settings.peers.values()).any(remote);
    if settings.secret.is_some() || !exposed {
        return Ok(());
    }
    let expected = "a file, because a peers' or operators' address is not loopback";
    Err(source.bad_value("security", "secret-file", "", expected))
}
