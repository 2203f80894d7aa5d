//! A daemon with the embedded platform under a crowd.

use std::net::SocketAddr;

use comfreyway_testkit::{
    daemon::{DaemonSettings, TempDir},
    measure::FootprintSampler,
    service::ServiceStandIn,
};

use crate::{
    crowd::{BodyPlan, send_bodies_after},
    host::{MAX_BODY_BYTES, MEMORY_BOUND_BYTES, settled, wait_for_other_tests},
    support::{Caller, Daemon, Fixture},
};

/// Bytes at the end that most clients never send.
const WITHHELD_BYTES: usize = 64 << 10;

fn head(plan: &BodyPlan, _: usize) -> String {
    let framing = plan.framing();
    format!(
        "POST /survey HTTP/1.1\r\nhost: h\r\ncomfreyway-workspace: ayaq\r\n\
         comfreyway-class: lookup\r\n{framing}\r\n\r\n"
    )
}

#[actix_rt::test]
async fn bodies_that_stop_short_exceed_no_memory_of_an_embedded_platform() {
    let running = wait_for_other_tests().await;
    let service = ServiceStandIn::start().unwrap();
    let dir = TempDir::new().unwrap();
    let text = Fixture::new().with_service(service.address()).text();
    let file = dir.write("configuration.ini", &text).unwrap();
    let settings = DaemonSettings::with_embedded("host-1", &file).unwrap();
    let settings = settings
        .with_limit("memory", &MEMORY_BOUND_BYTES.to_string())
        .with_limit("body-time", "10m");
    let mut daemon = Daemon::start_ready(settings).await;
    let SocketAddr::V4(callers) = daemon.settings().callers else {
        panic!("the callers' address is not of IPv4")
    };
    let sampler = FootprintSampler::start(daemon.pid(), callers);
    let plan = BodyPlan {
        announced_bytes: Some(MAX_BODY_BYTES),
        body_bytes: MAX_BODY_BYTES,
        piece_bytes: MAX_BODY_BYTES,
        withheld_bytes: WITHHELD_BYTES,
    };
    let connections = send_bodies_after(callers.into(), plan, head).await;
    settled(callers).await;
    let caller = Caller::new(callers.into()).with_class("lookup");
    let response = caller.call("/survey", "question").await;
    assert!(!daemon.has_exited());
    let peak = sampler.stop().unwrap();
    eprintln!("{peak:?}");
    assert!(peak.memory_bytes <= MEMORY_BOUND_BYTES, "too much memory: {peak:?}");
    assert_eq!(response.status.map(|status| status.as_u16()), Some(200));
    drop((connections, running));
}
