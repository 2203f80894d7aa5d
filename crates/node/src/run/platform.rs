//! Creates the platform clients selected in the settings.

use std::rc::Rc;

use comfreyway_platform::{EmbeddedKeyValue, HostList, KeyValue};

use crate::{fleet::FleetPlatform, settings::Platform};

/// Creates the client of the key-value service.
pub(crate) fn key_value(settings: &Platform, platform: FleetPlatform) -> Rc<dyn KeyValue> {
    match settings {
        // A fleet store is used by `crate::fleet` only.
        Platform::Embedded { .. } | Platform::FleetStore(_) => Rc::new(EmbeddedKeyValue::new()),
        Platform::ClassStore { store } => (platform.key_value)(*store),
    }
}

/// Creates the client of the host list, if the settings name a store.
pub(crate) fn host_list(settings: &Platform, platform: FleetPlatform) -> Option<Rc<dyn HostList>> {
    match settings {
        Platform::Embedded { .. } | Platform::FleetStore(_) => None,
        Platform::ClassStore { store } => Some((platform.host_list)(*store)),
    }
}
