//! Makes the platform's clients that the settings ask for.

use std::{rc::Rc, time::Duration};

use comfreyway_platform::{
    EmbeddedKeyValue, EtcdConfig, EtcdKeyValue, HostList, HttpHostList, KeyValue,
};

use crate::settings::Platform;

/// Time limit of a read of the host list.
const HOST_LIST_TIME_LIMIT: Duration = Duration::from_millis(2_000);

/// Makes the client of the key-value service.
pub(crate) fn key_value(platform: &Platform) -> Rc<dyn KeyValue> {
    match platform {
        // A store for a whole fleet is used by `crate::fleet` alone.
        Platform::Embedded { .. } | Platform::Store(_) => Rc::new(EmbeddedKeyValue::new()),
        Platform::Etcd { endpoints, .. } => {
            Rc::new(EtcdKeyValue::new(EtcdConfig::new(endpoints.clone())))
        }
    }
}

/// Makes the client of the host list, if the settings name one.
pub(crate) fn host_list(platform: &Platform) -> Option<Rc<dyn HostList>> {
    match platform {
        Platform::Embedded { .. } | Platform::Store(_) => None,
        Platform::Etcd { host_list, .. } => {
            let addresses = vec![(*host_list)?];
            Some(Rc::new(HttpHostList::new(addresses, HOST_LIST_TIME_LIMIT)))
        }
    }
}
