//! A connection that reports its end as an error.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use actix_rt::net::{ActixStream, Ready, TcpStream};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A connection that reports its end as [`io::ErrorKind::UnexpectedEof`].
///
/// The HTTP client reads no further than the end of a response, so it reaches
/// the end of the connection only if the response is truncated or the
/// connection is idle. Without the error, a chunked body truncated between two
/// chunks would look the same as a complete one.
#[derive(Debug)]
pub(super) struct StrictStream {
    inner: TcpStream,
}

impl StrictStream {
    pub(super) fn new(inner: TcpStream) -> Self {
        Self { inner }
    }
}

impl AsyncRead for StrictStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let asked = buf.remaining() > 0;
        let read = Pin::new(&mut self.inner).poll_read(cx, buf);
        match read {
            Poll::Ready(Ok(())) if asked && buf.filled().len() == before => {
                Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()))
            }
            read => read,
        }
    }
}

impl AsyncWrite for StrictStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}

impl ActixStream for StrictStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.inner, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.inner, cx)
    }
}
