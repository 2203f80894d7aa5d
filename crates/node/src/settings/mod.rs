//! Settings of one process, read from an INI file and checked as a whole.
//!
//! Settings hold what differs from host to host: addresses, the data centre,
//! the way to the platform, limits. What the operators change for the whole
//! system (classes, targets, upstreams) is the configuration, which lives in
//! the platform's key-value service.
//!
//! Every key stands in one table ([`KEYS`]) with its default, unit and meaning.
//! The reader, the default file and the check for unknown keys all use this
//! table, so that they can't disagree.

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
