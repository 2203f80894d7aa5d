//! The status page.

use actix_web::{HttpResponse, http::header::ContentType};

/// The page: a single file without a build step.
const PAGE: &str = include_str!("page.html");

pub(super) async fn page() -> HttpResponse {
    HttpResponse::Ok()
        .insert_header(ContentType::html())
        .insert_header(("cache-control", "no-store"))
        .insert_header((
            "content-security-policy",
            "default-src 'none'; style-src 'unsafe-inline'; script-src 'unsafe-inline'; \
             connect-src 'self'",
        ))
        .body(PAGE)
}
