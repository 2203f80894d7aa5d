//! Bodies of the largest legal size without a crowd.

use std::net::SocketAddr;

use actix_rt::{spawn, time::timeout};
use comfreyway_testkit::daemon::MAX_WAIT;
use futures_util::future::join_all;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::{
    crowd::{BodyPlan, connect},
    host::{CrowdedHost, MAX_BODY_BYTES},
};

const CHUNK_BYTES: usize = 256 << 10;
const STATUS_LINE: &str = "HTTP/1.1 200 ";

/// Sends a request and returns the start of the response.
async fn status_line(to: SocketAddr, plan: BodyPlan, id: String) -> String {
    let mut stream = connect(to).await.unwrap();
    stream.write_all(plan.head(&id).as_bytes()).await.unwrap();
    plan.send(&mut stream, &plan.pieces()).await;
    let mut line = [0; STATUS_LINE.len()];
    timeout(MAX_WAIT, stream.read_exact(&mut line)).await.unwrap().unwrap();
    String::from_utf8_lossy(&line).into_owned()
}

#[rstest]
#[case::one_with_a_length(1, Some(MAX_BODY_BYTES))]
#[case::one_in_chunks(1, None)]
#[case::several_with_a_length(8, Some(MAX_BODY_BYTES))]
#[case::several_in_chunks(8, None)]
#[actix_rt::test]
async fn bodies_of_the_largest_legal_size_are_served_in_calm(
    #[case] count: usize,
    #[case] announced_bytes: Option<usize>,
) {
    let host = CrowdedHost::start().await;
    let body_bytes = MAX_BODY_BYTES;
    let plan =
        BodyPlan { announced_bytes, body_bytes, piece_bytes: CHUNK_BYTES, withheld_bytes: 0 };
    let to = host.callers();
    let clients = (0..count).map(|n| spawn(status_line(to, plan, format!("calm-{n}"))));
    for line in join_all(clients).await {
        assert_eq!(line.unwrap(), STATUS_LINE);
    }
    let runs = host.runner().runs();
    assert_eq!(runs.len(), count);
    assert!(runs.iter().all(|run| run.body.len() == MAX_BODY_BYTES));
    host.assert_within_bounds();
}
