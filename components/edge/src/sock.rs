//! Non-blocking sockets and write buffers.

use {
    mio::net::{TcpListener, TcpStream, UdpSocket},
    socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type},
    std::{
        io::{ErrorKind, Read, Result, Write},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
};

/// Maximum number of connections waiting to be accepted.
const BACKLOG: i32 = 512;
/// Idle time before the first keepalive probe, and the interval between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered probes after which a connection fails.
const PROBES: u32 = 3;
/// Time after which a connection with unacknowledged bytes fails.
const USER_TIMEOUT: Duration = Duration::from_secs(3);
/// Size of the kernel's buffers of a connection for which they are limited.
const KERNEL_BYTES: usize = 16 * 1024;
/// Size of the read buffer in bytes.
pub(crate) const READ_BYTES: usize = 32 * 1024;

/// Opens a listener. Its port may still be in use by connections of an earlier process, hence
/// SO_REUSEADDR.
pub(crate) fn listen(address: SocketAddr) -> Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(TcpListener::from_std(socket.into()))
}

/// Opens a datagram socket.
pub(crate) fn bind_datagram(address: SocketAddr) -> Result<UdpSocket> {
    UdpSocket::bind(address)
}

/// Starts opening a connection.
pub(crate) fn connect(address: SocketAddr) -> Result<TcpStream> {
    let stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Whether a connection that was started is established; an error means that it failed.
pub(crate) fn is_connected(stream: &TcpStream) -> Result<bool> {
    if stream.peer_addr().is_ok() {
        return Ok(true);
    }
    match stream.take_error()? {
        Some(err) => Err(err),
        None => Ok(false),
    }
}

/// Whether the peer has neither closed nor reset an established connection, as far as this host has
/// been told.
pub(crate) fn is_open(stream: &TcpStream) -> bool {
    match stream.peek(&mut [0]) {
        Ok(received) => received > 0,
        Err(err) => matches!(err.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
    }
}

/// Enables TCP keepalive and the TCP user timeout, so that a connection to an unresponsive peer
/// fails.
pub(crate) fn enable_keepalive(stream: &TcpStream) -> Result<()> {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}

/// Reason why reading stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReadEnd {
    /// No more bytes are available.
    Drained,
    /// The buffer has reached its limit; more bytes may be available.
    Full,
    /// The peer closed the connection.
    Closed,
    /// The connection failed.
    Broken,
}

/// Appends the available bytes to `buf` until it holds `limit` bytes or more.
pub(crate) fn read(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
    scratch: &mut [u8],
    limit: usize,
) -> ReadEnd {
    while buf.len() < limit {
        match stream.read(scratch) {
            Ok(0) => return ReadEnd::Closed,
            Ok(n) => {
                buf.extend_from_slice(&scratch[..n]);
            }
            Err(err) if err.kind() == ErrorKind::WouldBlock => return ReadEnd::Drained,
            Err(err) if err.kind() == ErrorKind::Interrupted => {}
            Err(_) => return ReadEnd::Broken,
        }
    }
    ReadEnd::Full
}

/// Result of one read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReadStep {
    /// This number of bytes arrived.
    Bytes(usize),
    /// No bytes are available.
    Empty,
    /// The peer closed the connection, or it failed.
    Ended,
}

/// Reads once.
pub(crate) fn read_step(stream: &mut TcpStream, buf: &mut [u8]) -> ReadStep {
    loop {
        match stream.read(buf) {
            Ok(0) => return ReadStep::Ended,
            Ok(n) => return ReadStep::Bytes(n),
            Err(err) if err.kind() == ErrorKind::WouldBlock => return ReadStep::Empty,
            Err(err) if err.kind() == ErrorKind::Interrupted => {}
            Err(_) => return ReadStep::Ended,
        }
    }
}

/// Limits what the kernel holds for a connection. Large bodies from far away become slower.
pub(crate) fn limit_kernel_buffers(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    // Without the options the kernel holds more, but the connection works.
    let _ = socket.set_recv_buffer_size(KERNEL_BYTES);
    let _ = socket.set_send_buffer_size(KERNEL_BYTES);
}

/// Write buffer of a connection.
#[derive(Debug, Default)]
pub(crate) struct OutBuf {
    bytes: Vec<u8>,
    /// Bytes after `bytes` that other connections send as well.
    shared: Option<Arc<Vec<u8>>>,
    /// Number of bytes written, of both parts together.
    written: usize,
}

impl OutBuf {
    /// Appends bytes.
    pub fn push(&mut self, bytes: Vec<u8>) {
        if self.is_empty() {
            *self = Self { bytes, ..Self::default() };
            return;
        }
        if let Some(shared) = self.shared.take() {
            self.bytes.extend_from_slice(&shared);
        }
        self.bytes.extend_from_slice(&bytes);
    }

    /// Appends bytes, and then those that other connections send as well and that are not copied.
    pub fn push_shared(&mut self, bytes: Vec<u8>, shared: Arc<Vec<u8>>) {
        self.push(bytes);
        self.shared = Some(shared);
    }

    /// Whether everything is written.
    pub fn is_empty(&self) -> bool {
        self.written >= self.bytes.len() + self.shared.as_ref().map_or(0, |shared| shared.len())
    }

    /// Returns the number of bytes that the buffer takes by itself.
    pub fn held_bytes(&self) -> usize {
        self.bytes.capacity()
    }

    /// Returns the number of bytes that are not written.
    pub fn unwritten(&self) -> usize {
        self.bytes.len() + self.shared.as_ref().map_or(0, |shared| shared.len()) - self.written
    }

    /// Whether none of the buffered bytes were written.
    pub fn is_untouched(&self) -> bool {
        self.written == 0
    }

    /// Drops all bytes.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns the next bytes to write.
    fn next(&self) -> &[u8] {
        match self.written.checked_sub(self.bytes.len()) {
            None => &self.bytes[self.written..],
            Some(at) => self.shared.as_ref().map_or(&[], |shared| &shared[at..]),
        }
    }

    /// Writes as much as the socket accepts; after an error the connection cannot be used.
    pub fn flush(&mut self, stream: &mut TcpStream) -> Result<()> {
        while !self.is_empty() {
            match stream.write(self.next()) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => self.written += n,
                Err(err) if err.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(err) if err.kind() == ErrorKind::Interrupted => {}
                Err(err) => return Err(err),
            }
        }
        *self = Self::default();
        Ok(())
    }
}

/// Removes a listener from the event queue before it is closed.
pub(crate) fn deregister_listener(listener: &mut TcpListener, poll: &mio::Poll) -> Result<()> {
    poll.registry().deregister(listener)
}
