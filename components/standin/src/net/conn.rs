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

/// Switches of one connection.
#[derive(Debug, Default)]
pub(crate) struct Conn {
    reset: AtomicBool,
    silent: AtomicBool,
    ended: Notify,
}

impl Conn {
    /// Ends the connection with a TCP reset.
    pub(crate) fn reset(&self) {
        self.reset.store(true, Ordering::SeqCst);
        self.ended.notify_one();
    }

    /// Makes the connection never answer again.
    pub(crate) fn silence(&self) {
        self.silent.store(true, Ordering::SeqCst);
    }

    /// Returns at once, or never if the connection is silent.
    pub(crate) async fn unless_silent(&self) {
        if self.silent.load(Ordering::SeqCst) {
            pending::<()>().await;
        }
    }

    pub(crate) async fn ended(&self) {
        self.ended.notified().await;
    }
}

/// The connection's stream; closes with a reset if that was asked for.
pub(crate) struct ConnStream {
    stream: TcpStream,
    conn: Arc<Conn>,
}

impl ConnStream {
    pub(crate) fn new(stream: TcpStream, conn: Arc<Conn>) -> Self {
        Self { stream, conn }
    }
}

impl Drop for ConnStream {
    fn drop(&mut self) {
        if self.conn.reset.load(Ordering::SeqCst) {
            // A connection that the peer already closed refuses the option; nothing to reset then.
            let _ = self.stream.set_zero_linger();
        }
    }
}

impl AsyncRead for ConnStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for ConnStream {
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
