//! Parses a settings file into typed settings.

use std::{
    collections::BTreeMap,
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use comfreyway_core::{
    fleet::{QuotaTolerance, RetryBudgetLimits, RolloutLimits},
    ids::HostName,
};
use ini::{Ini, ParseOption};

use super::{
    FleetSettings, KEYS, KeySpec, Limits, ListenAddresses, PEERS_SECTION, Place, Platform, Secret,
    SettingValue, Settings, SettingsError,
    check::{check_names, check_secret},
    locate::line_of,
    value::{Count, OptionalDuration, Size},
};

/// Longest accepted secret, in bytes.
const MAX_SECRET_BYTES: usize = 4096;

/// A parsed settings file with its text, for error messages.
pub(super) struct Source<'a> {
    pub(super) ini: Ini,
    pub(super) text: &'a str,
    pub(super) file: &'a Path,
}

pub(super) fn read(text: &str, file: &Path) -> Result<Settings, SettingsError> {
    let source = Source { ini: parse(text, file)?, text, file };
    check_names(&source)?;
    let settings = Settings {
        name: source.value("host", "name")?,
        data_centre: source.value("host", "data-centre")?,
        workers: source.value::<Count>("host", "workers")?.0,
        cores: source.value("host", "processor")?,
        listen: ListenAddresses {
            callers: source.value("listen", "callers")?,
            peers: source.value("listen", "peers")?,
            operators: source.value("listen", "operators")?,
            forward: source.optional("listen", "forward")?,
        },
        secret: source.secret()?,
        platform: source.platform()?,
        peers: source.peers()?,
        limits: source.limits()?,
    };
    check_secret(&source, &settings)?;
    Ok(settings)
}

fn parse(text: &str, file: &Path) -> Result<Ini, SettingsError> {
    let options =
        ParseOption { enabled_quote: false, enabled_escape: false, ..ParseOption::default() };
    Ini::load_from_str_opt(text, options).map_err(|e| {
        let line = (e.line + 1).min(text.lines().count().max(1));
        let place = Place { file: file.to_owned(), line, key: String::new() };
        SettingsError::Syntax(place, e.msg.into_owned())
    })
}

impl Source<'_> {
    fn value<T>(&self, section: &str, key: &str) -> Result<T, SettingsError>
    where
        T: SettingValue,
    {
        let text = self.raw_value(section, key, T::EXPECTED)?;
        T::parse(text).ok_or_else(|| self.bad_value(section, key, text, T::EXPECTED))
    }

    /// Returns the value of a key, or `None` if it is empty.
    fn optional<T>(&self, section: &str, key: &str) -> Result<Option<T>, SettingsError>
    where
        T: SettingValue,
    {
        if self.raw_value(section, key, T::EXPECTED)?.is_empty() {
            return Ok(None);
        }
        self.value(section, key).map(Some)
    }

    fn raw_value(&self, section: &str, key: &str, expected: &str) -> Result<&str, SettingsError> {
        let given = self.ini.get_from(Some(section), key).map(str::trim);
        given.or_else(|| default_value(section, key)).ok_or_else(|| {
            SettingsError::Missing(self.place(section, Some(key)), expected.to_owned())
        })
    }

    fn secret(&self) -> Result<Option<Secret>, SettingsError> {
        let Some(path) = self.existing_file("security", "secret-file")? else { return Ok(None) };
        let bad = |expected: &str| {
            self.bad_value("security", "secret-file", &path.display().to_string(), expected)
        };
        let text = fs::read_to_string(&path).map_err(|_| bad("a readable file of UTF-8 text"))?;
        let secret = text.trim();
        let visible = secret.bytes().all(|b| b.is_ascii_graphic() || b == b' ');
        if secret.is_empty() || secret.len() > MAX_SECRET_BYTES || !visible {
            return Err(bad("a file with one line of 1 to 4096 visible ASCII characters"));
        }
        Ok(Some(Secret::new(secret)))
    }

    fn platform(&self) -> Result<Platform, SettingsError> {
        let kind = self.value::<String>("platform", "kind")?;
        let initial = self.existing_file("platform", "initial-configuration")?;
        let configuration = self.value::<String>("platform", "configuration")?;
        match kind.as_str() {
            "embedded" => Ok(Platform::Embedded { initial_configuration: initial }),
            "store" if initial.is_some() => {
                let expected = "no value, because kind is store";
                Err(self.bad_value("platform", "initial-configuration", "a file", expected))
            }
            "store" => match configuration.as_str() {
                "operators" => self.fleet().map(Platform::FleetStore),
                "own" => Ok(Platform::ClassStore { store: self.store()? }),
                other => {
                    Err(self.bad_value("platform", "configuration", other, "operators or own"))
                }
            },
            _ => Err(self.bad_value("platform", "kind", &kind, "embedded or store")),
        }
    }

    fn store(&self) -> Result<SocketAddr, SettingsError> {
        let expected = "an IP address and port, because kind is store";
        let missing = || self.bad_value("platform", "store", "", expected);
        self.optional("platform", "store")?.ok_or_else(missing)
    }

    fn fleet(&self) -> Result<FleetSettings, SettingsError> {
        let store = self.store()?;
        let window: Duration = self.value("fleet", "retry-window")?;
        let retry = RetryBudgetLimits {
            ratio: self.value("fleet", "retry-ratio")?,
            slack: self.value("fleet", "retry-slack")?,
            window_s: window.as_secs_f64(),
        };
        let quotas = QuotaTolerance {
            overage: self.value("fleet", "quota-overage")?,
            slack: self.value("fleet", "quota-slack")?,
            window_s: self.value::<Duration>("fleet", "quota-window")?.as_secs_f64(),
        };
        let region = self.value("fleet", "region")?;
        let key_revocation = self.value("fleet", "key-revocation")?;
        let host_lease = self.value("fleet", "host-lease")?;
        let exposure_slack = self.value("fleet", "rollout-slack")?;
        let share = self.optional("fleet", "rollout-share")?;
        let limits = |exposure_share| RolloutLimits { exposure_share, exposure_slack };
        let rollouts = share.map(limits);
        Ok(FleetSettings { store, region, key_revocation, host_lease, retry, quotas, rollouts })
    }

    fn peers(&self) -> Result<BTreeMap<HostName, SocketAddr>, SettingsError> {
        let mut peers = BTreeMap::new();
        let Some(section) = self.ini.section(Some(PEERS_SECTION)) else { return Ok(peers) };
        for (key, value) in section.iter() {
            let value = value.trim();
            let bad = |expected| self.bad_value(PEERS_SECTION, key, value, expected);
            let name = HostName::parse(key).ok_or_else(|| bad(HostName::EXPECTED))?;
            let address = SocketAddr::parse(value).ok_or_else(|| bad(SocketAddr::EXPECTED))?;
            peers.insert(name, address);
        }
        Ok(peers)
    }

    fn limits(&self) -> Result<Limits, SettingsError> {
        let size = |key| self.value::<Size>("limits", key).map(|size| size.0);
        Ok(Limits {
            memory_bytes: size("memory")?,
            max_descriptors: self.value::<Count>("limits", "descriptors")?.0,
            max_body_bytes: size("body-bytes")?,
            max_header_bytes: size("header-bytes")?,
            body_timeout: self.value("limits", "body-time")?,
            connect_timeout: self.value("limits", "connect-timeout")?,
            grant_timeout: self.value("limits", "grant-waiting")?,
            upstream_idle_timeout: self.value("limits", "upstream-idle")?,
            max_connections: self.value::<Count>("limits", "connections")?.0,
            max_results_bytes: size("results-bytes")?,
            result_ttl: self.value("limits", "results-time")?,
            stop_timeout: self.value::<OptionalDuration>("limits", "stop-limit")?.0,
        })
    }

    fn existing_file(&self, section: &str, key: &str) -> Result<Option<PathBuf>, SettingsError> {
        let Some(path) = self.optional::<String>(section, key)?.map(PathBuf::from) else {
            return Ok(None);
        };
        if !path.is_file() {
            let value = path.display().to_string();
            return Err(self.bad_value(section, key, &value, "the path of an existing file"));
        }
        Ok(Some(path))
    }

    pub(super) fn bad_value(
        &self,
        section: &str,
        key: &str,
        value: &str,
        expected: &str,
    ) -> SettingsError {
        let place = self.place(section, Some(key));
        SettingsError::BadValue(place, value.to_owned(), expected.to_owned())
    }

    /// Returns the location of a key, or of its section.
    pub(super) fn place(&self, section: &str, key: Option<&str>) -> Place {
        let name = key.map_or_else(|| format!("[{section}]"), |key| format!("[{section}] {key}"));
        Place { file: self.file.to_owned(), line: line_of(self.text, section, key), key: name }
    }
}

fn default_value(section: &str, key: &str) -> Option<&'static str> {
    let same = |spec: &&KeySpec| spec.section == section && spec.key == key;
    KEYS.iter().find(same).and_then(|spec| spec.default)
}
