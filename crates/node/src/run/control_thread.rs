//! Starts the control thread and everything that runs on it.

use std::rc::Rc;

use actix::Actor;
use actix_rt::Arbiter;
use comfreyway_core::ids::HostId;
use tokio::sync::{mpsc::unbounded_channel, oneshot};

use crate::{
    config::{ConfigActor, ConfigHandle, NoLinks},
    control::{Control, ControlHandle},
    settings::Platform,
};

use super::{
    RunError,
    platform::{host_list, key_value},
};

/// The other threads' ways to the control thread.
pub(crate) struct ControlThread {
    /// The decisions.
    pub(crate) control: ControlHandle,
    /// The configuration.
    pub(crate) config: ConfigHandle,
}

impl ControlThread {
    /// Starts the thread.
    pub(crate) async fn start(host: HostId, platform: Platform) -> Result<Self, RunError> {
        let (tx, queue) = unbounded_channel();
        let (started, config) = oneshot::channel();
        Arbiter::new().spawn_fn(move || {
            let key_value = key_value(&platform);
            let name = host.name.clone();
            let config = ConfigActor::start_on_control(name, key_value, Rc::new(NoLinks));
            let control = Control::new(host, config.document(), queue);
            match host_list(&platform) {
                Some(list) => control.with_host_list(list).start(),
                None => control.start(),
            };
            // A closed channel means that the start was given up.
            let _ = started.send(config);
        });
        let config = config.await.map_err(|_| RunError::ControlThread)?;
        Ok(Self { control: ControlHandle::new(tx), config })
    }
}
