//! How an upstream says that it is leaving.

use actix_web::HttpResponseBuilder;
use comfreyway_proto::headers;

/// How an upstream says that it is leaving.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Leaving {
    /// It stays.
    #[default]
    No,
    /// It still runs what comes, and marks each answer.
    Announced,
    /// It runs nothing new, and marks each refusal.
    Refusing,
}

impl Leaving {
    /// Marks an answer.
    pub(crate) fn mark(self, res: &mut HttpResponseBuilder) -> &mut HttpResponseBuilder {
        if self != Self::No {
            res.insert_header((headers::LEAVING, "true"));
        }
        res
    }
}
