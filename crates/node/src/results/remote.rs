//! Reads recordings that other hosts hold.

use std::{net::SocketAddr, time::Duration};

use actix_web::http::{
    StatusCode,
    header::{HeaderName, HeaderValue},
};
use bytes::Bytes;
use comfreyway_core::{ids::RequestId, outcome::UnknownReason};
use comfreyway_proto::{
    headers,
    result::{RESULTS_PATH_PREFIX, ResultEnd, ResultFrame, ResultHead},
};
use futures_util::StreamExt;
use tokio::{net::TcpStream, time::timeout};
use tokio_tungstenite::{
    WebSocketStream, client_async,
    tungstenite::{Message, client::IntoClientRequest},
};

use crate::{settings::Secret, tcp};

use super::{RecordedHead, RecordedItem};

/// The end of a recording whose holder is unreachable or sends invalid frames.
const HOLDER_GONE: ResultEnd = ResultEnd::Unknown(UnknownReason::HolderGone);

/// Reads a recording that another host holds, while it is written there.
#[derive(Debug)]
pub(crate) struct RemoteReader {
    socket: WebSocketStream<TcpStream>,
}

impl RemoteReader {
    /// Connects to the holder. Returns none if that fails or takes longer than
    /// `limit`.
    pub(crate) async fn connect(
        holder: SocketAddr,
        secret: Option<&Secret>,
        id: RequestId,
        limit: Duration,
    ) -> Option<Self> {
        timeout(limit, open(holder, secret, id)).await.ok().flatten()
    }

    /// Waits for the head.
    ///
    /// # Errors
    ///
    /// Fails with the end if the recording ended without a head.
    pub(crate) async fn head(&mut self) -> Result<RecordedHead, ResultEnd> {
        match self.next_frame().await {
            Some(ResultFrame::Head(head)) => recorded_head(&head).ok_or(HOLDER_GONE),
            Some(ResultFrame::End(end)) => Err(end),
            Some(ResultFrame::Chunk(_)) | None => Err(HOLDER_GONE),
        }
    }

    /// Waits for the next chunk of the body or the end.
    pub(crate) async fn next(&mut self) -> RecordedItem {
        match self.next_frame().await {
            Some(ResultFrame::Chunk(chunk)) => RecordedItem::Chunk(Bytes::from(chunk.0)),
            Some(ResultFrame::End(end)) => RecordedItem::End(end),
            Some(ResultFrame::Head(_)) | None => RecordedItem::End(HOLDER_GONE),
        }
    }

    async fn next_frame(&mut self) -> Option<ResultFrame> {
        while let Some(Ok(message)) = self.socket.next().await {
            match message {
                Message::Binary(buf) => return ResultFrame::decode(&buf).ok(),
                Message::Ping(_) | Message::Pong(_) => {}
                Message::Text(_) | Message::Close(_) | Message::Frame(_) => return None,
            }
        }
        None
    }
}

async fn open(holder: SocketAddr, secret: Option<&Secret>, id: RequestId) -> Option<RemoteReader> {
    let url = format!("ws://{holder}{RESULTS_PATH_PREFIX}{id}");
    let mut req = url.into_client_request().ok()?;
    if let Some(secret) = secret {
        let value = secret.expose().parse().ok()?;
        req.headers_mut().insert(headers::SECRET, value);
    }
    let stream = tcp::connect(holder).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (socket, _) = client_async(req, stream).await.ok()?;
    Some(RemoteReader { socket })
}

fn recorded_head(head: &ResultHead) -> Option<RecordedHead> {
    let headers = head.headers.iter().map(|header| {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        Some((name, HeaderValue::from_bytes(&header.value.0).ok()?))
    });
    let headers = headers.collect::<Option<Vec<_>>>()?;
    Some(RecordedHead { status: StatusCode::from_u16(head.status).ok()?, headers })
}
