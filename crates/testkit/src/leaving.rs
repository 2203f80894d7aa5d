//! How an upstream announces that it is leaving.

use actix_web::HttpResponseBuilder;
use comfreyway_proto::headers;

/// How an upstream announces that it is leaving.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Leaving {
    /// The upstream is not leaving.
    #[default]
    No,
    /// The upstream still runs requests and sets the header on each response.
    Announced,
    /// The upstream refuses new requests and sets the header on each refusal.
    Refusing,
}

impl Leaving {
    /// Sets the header on a response if the upstream is leaving.
    pub(crate) fn mark(self, res: &mut HttpResponseBuilder) -> &mut HttpResponseBuilder {
        if self != Self::No {
            res.insert_header((headers::LEAVING, "true"));
        }
        res
    }
}
