//! Response body of a plain service.

use std::collections::BTreeMap;

use actix_web::HttpRequest;
use serde::{Deserialize, Serialize};

/// A request as it arrived at a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Echo {
    /// Method of the request.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers whose values are text, by lower-case name.
    pub headers: BTreeMap<String, String>,
    /// The body as text.
    pub body: String,
}

impl Echo {
    pub(super) fn new(req: &HttpRequest, body: &[u8]) -> Self {
        let text = |(name, value): (&actix_web::http::header::HeaderName, _)| {
            let value: &actix_web::http::header::HeaderValue = value;
            let value = value.to_str().ok()?;
            Some((name.as_str().to_owned(), value.to_owned()))
        };
        Self {
            method: req.method().to_string(),
            path: req.uri().to_string(),
            headers: req.headers().iter().filter_map(text).collect(),
            body: String::from_utf8_lossy(body).into_owned(),
        }
    }
}
