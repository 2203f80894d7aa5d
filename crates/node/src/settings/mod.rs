//! Settings of one process, read from an INI file and validated as a whole.
//!
//! Settings hold what differs between hosts: addresses, the data centre, the
//! connection to the platform, limits. What operators change for the whole
//! system (classes, targets, upstreams) is the configuration, which is stored
//! in the platform's key-value service.
//!
//! The table [`KEYS`] holds every key with its default, unit and meaning. The
//! reader, the default settings file and the check for unknown keys all use
//! this table, so that they always agree.

mod check;
mod default_file;
mod error;
mod keys;
mod limits;
mod locate;
mod platform;
mod process;
mod reader;
mod secret;
mod value;

pub use self::{
    default_file::default_file,
    error::{Place, SettingsError},
    keys::{KEYS, KeySpec, PEERS_SECTION},
    limits::Limits,
    platform::{FleetSettings, Platform},
    process::{ListenAddresses, Settings},
    secret::Secret,
    value::SettingValue,
};
