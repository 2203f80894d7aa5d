//! Serves recordings to peers.

use actix_web::web::Data;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::{
    http::{TrafficState, serve_result},
    peers::ResultConnection,
};

/// Serves connections until the control thread ends.
pub(crate) async fn serve_results(
    traffic: Data<TrafficState>,
    mut connections: UnboundedReceiver<ResultConnection>,
) {
    while let Some(connection) = connections.recv().await {
        let traffic = traffic.clone();
        actix_rt::spawn(async move {
            let id = connection.id();
            // A socket that can't be registered with this thread's runtime is
            // closed, which the peer notices.
            if let Ok(mut socket) = connection.into_socket().await {
                serve_result(&traffic, id, &mut socket).await;
            }
        });
    }
}
