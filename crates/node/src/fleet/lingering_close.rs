//! Close of a connection whose caller may still be sending.
//!
//! The kernel resets a connection that is closed with unread bytes, and the caller then loses
//! the response. So the sending side is closed first, and what still comes is discarded for
//! a while.

use std::{
    cell::RefCell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf},
    net::TcpStream,
    time::timeout,
};

use crate::caller_memory::Caller;

/// Time for a caller to receive its response and to stop sending.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// Bytes that are discarded at once.
const DISCARD_BYTES: usize = 8 << 10;

/// A caller's socket, which outlives the HTTP connection on it. Cheap to clone.
#[derive(Clone, Debug)]
pub(super) struct CallerSocket {
    stream: Rc<RefCell<TcpStream>>,
    caller: Rc<Caller>,
}

impl CallerSocket {
    pub(super) fn new(stream: TcpStream, caller: Rc<Caller>) -> Self {
        Self { stream: Rc::new(RefCell::new(stream)), caller }
    }

    fn count_written(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = &written {
            self.caller.written(*bytes);
        }
        written
    }
}

impl AsyncRead for CallerSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_read(cx, buf)
    }
}

impl AsyncWrite for CallerSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut *self.stream.borrow_mut()).poll_write(cx, buf);
        self.count_written(written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut *self.stream.borrow_mut()).poll_write_vectored(cx, bufs);
        self.count_written(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_shutdown(cx)
    }
}

/// Discards what a caller still sends after its last response, until it closes the
/// connection, has to give way, or the time is up.
pub(super) async fn discard_input(mut socket: CallerSocket) {
    let caller = socket.caller.clone();
    if let Err(e) = socket.shutdown().await {
        log::debug!("can't close the sending side of a caller's connection: {e}");
        return;
    }
    let discarded = timeout(LINGER_TIME, async {
        let mut buf = vec![0; DISCARD_BYTES];
        while socket.read(&mut buf).await.is_ok_and(|bytes| bytes > 0) {}
    });
    // The response to a caller that gave way reaches it as well.
    if caller.is_evicted() {
        let _ = discarded.await;
        return;
    }
    tokio::select! {
        _ = discarded => {}
        () = caller.evicted() => {}
    }
}
