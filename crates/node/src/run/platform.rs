//! Makes the platform's clients that the settings ask for.

use std::rc::Rc;

use comfreyway_platform::{EmbeddedKeyValue, EtcdConfig, EtcdKeyValue, KeyValue};

use crate::settings::Platform;

/// Makes the client of the key-value service.
pub(crate) fn key_value(platform: &Platform) -> Rc<dyn KeyValue> {
    match platform {
        Platform::Embedded { .. } => Rc::new(EmbeddedKeyValue::new()),
        Platform::Etcd { endpoints, .. } => {
            Rc::new(EtcdKeyValue::new(EtcdConfig::new(endpoints.clone())))
        }
    }
}
