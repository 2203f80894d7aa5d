//! Socket to a runner that limits the bytes received without progress.
//!
//! The HTTP parser accepts some input without end, such as leading zeros of a chunk
//! size, and keeps its thread busy with it. The limit covers all of them.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Maximum number of bytes between two parts of a response; above the size to which
/// the HTTP library's read buffer grows.
const MAX_UNPARSED_BYTES: usize = 1 << 20;

/// Counts the bytes that were received since the last part of a response.
#[derive(Clone, Debug, Default)]
pub(super) struct ReadProgress(Rc<Cell<usize>>);

impl ReadProgress {
    /// Records that a request was sent, or a part of its response was received.
    pub(super) fn advance(&self) {
        self.0.set(0);
    }

    fn add(&self, bytes: usize) -> io::Result<()> {
        self.0.set(self.0.get() + bytes);
        if self.0.get() > MAX_UNPARSED_BYTES {
            return Err(io::Error::other("too many bytes without a part of a response"));
        }
        Ok(())
    }
}

/// A connection to a runner. Reading fails after too many bytes without progress.
#[derive(Debug)]
pub(super) struct RunnerStream {
    stream: TcpStream,
    progress: ReadProgress,
}

impl RunnerStream {
    pub(super) fn new(stream: TcpStream, progress: ReadProgress) -> Self {
        Self { stream, progress }
    }
}

impl AsyncRead for RunnerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(cx, buf);
        match poll {
            Poll::Ready(Ok(())) => Poll::Ready(self.progress.add(buf.filled().len() - before)),
            other => other,
        }
    }
}

impl AsyncWrite for RunnerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
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
}
