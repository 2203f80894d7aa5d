//! Tests of the stand-in of a plain service.

#![allow(clippy::unwrap_used)]

use awc::{Client, http::StatusCode};
use comfreyway_proto::headers;
use comfreyway_testkit::{
    Leaving,
    service::{Echo, ServiceStandIn},
};

#[actix_rt::test]
async fn call_is_echoed_and_logged() {
    let service = ServiceStandIn::start().unwrap();
    let url = format!("http://{}/racks/7?full=1", service.address());
    let req = Client::default().put(url).insert_header((headers::IDEMPOTENCY_KEY, "k"));
    let mut res = req.send_body("hello").await.unwrap();
    let echo: Echo = res.json().await.unwrap();
    assert_eq!((echo.method.as_str(), echo.path.as_str()), ("PUT", "/racks/7?full=1"));
    assert_eq!((echo.body.as_str(), echo.headers["idempotency-key"].as_str()), ("hello", "k"));
    assert_eq!(service.log().count_of_key("k"), 1);
    assert_eq!(service.log().runs()[0].body, b"hello");
}

#[actix_rt::test]
async fn blocked_call_is_logged_before_its_response() {
    let service = ServiceStandIn::start().unwrap();
    service.gate().close();
    let url = format!("http://{}/", service.address());
    let call = actix_rt::spawn(Client::default().get(url).send());
    service.log().reached(1).await;
    service.set_status(StatusCode::CREATED);
    service.gate().open();
    assert_eq!(call.await.unwrap().unwrap().status(), StatusCode::CREATED);
}

#[actix_rt::test]
async fn refusing_service_runs_nothing() {
    let service = ServiceStandIn::start().unwrap();
    service.set_leaving(Leaving::Refusing);
    let url = format!("http://{}/", service.address());
    let res = Client::default().get(url).send().await.unwrap();
    assert_eq!(res.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(res.headers().get(headers::LEAVING).unwrap(), "true");
    assert_eq!(service.log().count(), 0);
}
