//! Serves kept answers to the peers that ask for them.

use actix_web::web::Data;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::{
    http::{TrafficState, serve_result},
    peers::ResultConnection,
};

/// Serves calls until the control thread ends.
pub(crate) async fn serve_results(
    traffic: Data<TrafficState>,
    mut calls: UnboundedReceiver<ResultConnection>,
) {
    while let Some(call) = calls.recv().await {
        let traffic = traffic.clone();
        actix_rt::spawn(async move {
            let id = call.id();
            // A socket that can't be watched is closed, which tells the peer.
            if let Ok(mut socket) = call.into_socket().await {
                serve_result(&traffic, id, &mut socket).await;
            }
        });
    }
}
