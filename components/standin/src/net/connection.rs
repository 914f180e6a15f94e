//! One accepted connection.

use {
    std::{
        future::pending,
        io::{Error, Result},
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        task::{Context, Poll},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
        sync::Notify,
    },
};

/// Fault state of one connection.
#[derive(Debug, Default)]
pub(crate) struct Connection {
    reset: AtomicBool,
    silent: AtomicBool,
    closing: Notify,
}

impl Connection {
    /// Closes the connection with a TCP reset.
    pub(crate) fn reset(&self) {
        self.reset.store(true, Ordering::SeqCst);
        self.closing.notify_one();
    }

    /// Keeps the connection open but stops all further responses.
    pub(crate) fn silence(&self) {
        self.silent.store(true, Ordering::SeqCst);
    }

    /// Returns immediately, or never if the connection is silent.
    pub(crate) async fn block_if_silent(&self) {
        if self.silent.load(Ordering::SeqCst) {
            pending::<()>().await;
        }
    }

    /// Waits until the connection is to be closed with a reset.
    pub(crate) async fn closing(&self) {
        self.closing.notified().await;
    }
}

/// TCP stream that closes with a reset if its connection was reset.
pub(crate) struct ConnectionStream {
    stream: TcpStream,
    connection: Arc<Connection>,
}

impl ConnectionStream {
    pub(crate) fn new(stream: TcpStream, connection: Arc<Connection>) -> Self {
        Self { stream, connection }
    }
}

impl Drop for ConnectionStream {
    fn drop(&mut self) {
        if self.connection.reset.load(Ordering::SeqCst) {
            // Setting the option fails if the peer has already closed the connection; there is
            // nothing to reset then.
            let _ = self.stream.set_zero_linger();
        }
    }
}

impl AsyncRead for ConnectionStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for ConnectionStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::result::Result<usize, Error>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
