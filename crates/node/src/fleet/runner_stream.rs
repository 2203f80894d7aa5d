//! Socket to a runner that limits the bytes received without progress, and checks heads and
//! the end of the connection.
//!
//! The HTTP parser accepts some input without end, such as leading zeros of a chunk
//! size, and keeps its thread busy with it. The limit covers all of them.

use std::{
    cell::{Cell, RefCell},
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use crate::tcp;

use super::response_head::ResponseHead;

/// Maximum number of bytes between two parts of a response; above the size to which
/// the HTTP library's read buffer grows.
const MAX_UNPARSED_BYTES: usize = 1 << 20;

/// What was received of a response. Cheap to clone.
#[derive(Clone, Debug, Default)]
pub(super) struct ReadProgress(Rc<Received>);

#[derive(Debug, Default)]
struct Received {
    /// Bytes since the last part of the response.
    unparsed: Cell<usize>,
    head: RefCell<ResponseHead>,
}

impl ReadProgress {
    /// Records that a request is sent: a response begins.
    pub(super) fn begin(&self) {
        self.advance();
        self.0.head.take();
    }

    /// Records that a part of the response was received.
    pub(super) fn advance(&self) {
        self.0.unparsed.set(0);
    }

    fn add(&self, data: &[u8]) -> io::Result<()> {
        self.0.unparsed.set(self.0.unparsed.get() + data.len());
        if self.0.unparsed.get() > MAX_UNPARSED_BYTES {
            return Err(io::Error::other("too many bytes without a part of a response"));
        }
        self.0.head.borrow_mut().receive(data)
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

    /// Checks the end of the received bytes. A runner whose process ends closes its side, and
    /// answers the rest of the request with a reset, which is not read after that end. A
    /// response without a length would look complete.
    fn check_end(&self) -> io::Result<()> {
        let is_request_sent = match tcp::unacknowledged_bytes(&self.stream) {
            Ok(bytes) => bytes == 0,
            Err(e) => {
                log::debug!("can't tell whether a runner has received its request: {e}");
                true
            }
        };
        // A reset discards the bytes that were to be sent.
        if !is_request_sent || self.stream.take_error()?.is_some() {
            let cause = "the connection ended before the request was received";
            return Err(io::Error::new(io::ErrorKind::ConnectionReset, cause));
        }
        Ok(())
    }
}

impl AsyncRead for RunnerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let has_room = buf.remaining() > 0;
        let poll = Pin::new(&mut self.stream).poll_read(cx, buf);
        match poll {
            Poll::Ready(Ok(())) if has_room && buf.filled().len() == before => {
                Poll::Ready(self.check_end())
            }
            Poll::Ready(Ok(())) => Poll::Ready(self.progress.add(&buf.filled()[before..])),
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
