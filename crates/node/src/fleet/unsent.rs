//! Responses that the process has not written to their sockets yet.
//!
//! The HTTP library takes the last bytes of a body before it writes them, and a caller may
//! read slowly. A request is in progress until its response has left the process: a stop
//! must not end before.

use std::{
    cell::RefCell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use hyper::body::{Body, Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::host_state::InProgress;

/// Requests of one connection whose response bodies have been taken and not yet written.
#[derive(Clone, Debug, Default)]
pub(super) struct Unsent(Rc<RefCell<Vec<InProgress>>>);

impl Unsent {
    /// Counts the request as in progress until its response has been written.
    pub(super) fn track<B>(&self, body: B, in_progress: InProgress) -> TrackedBody<B> {
        TrackedBody { body, in_progress: Some(in_progress), unsent: self.clone() }
    }

    /// Returns a stream that notices when everything has been written.
    pub(super) fn stream<S>(&self, stream: S) -> TrackedStream<S> {
        TrackedStream { stream, unsent: self.clone() }
    }
}

/// The body of a response to a request in progress.
#[derive(Debug)]
pub(super) struct TrackedBody<B> {
    body: B,
    in_progress: Option<InProgress>,
    unsent: Unsent,
}

impl<B> Drop for TrackedBody<B> {
    fn drop(&mut self) {
        self.unsent.0.borrow_mut().extend(self.in_progress.take());
    }
}

impl<B> Body for TrackedBody<B>
where
    B: Body + Unpin,
{
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A connection whose HTTP library flushes it only once its own buffers are empty.
#[derive(Debug)]
pub(super) struct TrackedStream<S> {
    stream: S,
    unsent: Unsent,
}

impl<S> AsyncRead for TrackedStream<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S> AsyncWrite for TrackedStream<S>
where
    S: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        if flushed.is_ready() {
            self.unsent.0.borrow_mut().clear();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
