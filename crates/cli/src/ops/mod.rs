//! Operations of the commands, without command line and output.

mod change;
mod client;
mod request;
mod section;

pub use self::{
    change::{ChangeSettings, submit_document},
    client::Client,
    request::{RequestSpec, send_request},
    section::{remove_section, set_section},
};
