//! Makes the platform's clients that the settings ask for.

use std::rc::Rc;

use comfreyway_platform::{EmbeddedKeyValue, HostList, KeyValue};

use crate::{fleet::FleetPlatform, settings::Platform};

/// Makes the client of the key-value service.
pub(crate) fn key_value(settings: &Platform, platform: FleetPlatform) -> Rc<dyn KeyValue> {
    match settings {
        // A store for a whole fleet is used by `crate::fleet` alone.
        Platform::Embedded { .. } | Platform::FleetStore(_) => Rc::new(EmbeddedKeyValue::new()),
        Platform::ClassStore { store } => (platform.key_value)(*store),
    }
}

/// Makes the client of the host list, if the settings name a store.
pub(crate) fn host_list(settings: &Platform, platform: FleetPlatform) -> Option<Rc<dyn HostList>> {
    match settings {
        Platform::Embedded { .. } | Platform::FleetStore(_) => None,
        Platform::ClassStore { store } => Some((platform.host_list)(*store)),
    }
}
