//! Sockets of the event loop.

use {
    mio::net::{TcpListener, TcpStream, UdpSocket},
    socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type},
    std::{
        io::{ErrorKind, Read, Result, Write},
        net::SocketAddr,
        time::Duration,
    },
};

/// Connections that wait to be accepted.
const BACKLOG: i32 = 512;
/// Idle time before the first probe of an open connection, and the time between probes.
const PROBE_EVERY: Duration = Duration::from_secs(1);
/// Probes without an answer that end a connection.
const PROBES: u32 = 3;
/// Time that sent bytes may stay unacknowledged.
const UNACKNOWLEDGED: Duration = Duration::from_secs(3);
/// Bytes read at a time.
pub(crate) const READ_BYTES: usize = 32 * 1024;

/// A listener; the port may still be in use by connections of an earlier process.
pub(crate) fn listen(address: SocketAddr) -> Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(TcpListener::from_std(socket.into()))
}

/// A socket for datagrams.
pub(crate) fn datagrams(address: SocketAddr) -> Result<UdpSocket> {
    UdpSocket::bind(address)
}

/// Starts to connect.
pub(crate) fn connect(address: SocketAddr) -> Result<TcpStream> {
    let stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Whether a connection that was started is open by now; an error means that it never will be.
pub(crate) fn is_open(stream: &TcpStream) -> Result<bool> {
    if stream.peer_addr().is_ok() {
        return Ok(true);
    }
    match stream.take_error()? {
        Some(err) => Err(err),
        None => Ok(false),
    }
}

/// Makes a connection that goes silent end with an error.
pub(crate) fn detect_silence(stream: &TcpStream) -> Result<()> {
    let socket = SockRef::from(stream);
    let probes =
        TcpKeepalive::new().with_time(PROBE_EVERY).with_interval(PROBE_EVERY).with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}

/// How reading ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReadEnd {
    /// Nothing more for now.
    Drained,
    /// The other side has closed.
    Closed,
    /// The connection broke.
    Broken,
}

/// Appends what can be read now to `buf`, `limit` bytes in all at most.
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
    ReadEnd::Drained
}

/// Bytes on their way out.
#[derive(Debug, Default)]
pub(crate) struct OutBuf {
    bytes: Vec<u8>,
    at: usize,
}

impl OutBuf {
    /// Adds bytes behind those that wait.
    pub fn push(&mut self, bytes: Vec<u8>) {
        if self.is_empty() {
            self.bytes = bytes;
            self.at = 0;
        } else {
            self.bytes.extend_from_slice(&bytes);
        }
    }

    /// Whether everything is written.
    pub fn is_empty(&self) -> bool {
        self.at >= self.bytes.len()
    }

    /// Whether nothing of what waits was written.
    pub fn is_untouched(&self) -> bool {
        self.at == 0
    }

    /// Writes what fits; an error means that the connection is of no use any more.
    pub fn flush(&mut self, stream: &mut TcpStream) -> Result<()> {
        while !self.is_empty() {
            match stream.write(&self.bytes[self.at..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => self.at += n,
                Err(err) if err.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(err) if err.kind() == ErrorKind::Interrupted => {}
                Err(err) => return Err(err),
            }
        }
        *self = Self::default();
        Ok(())
    }
}

/// Takes a listener out of the event queue, before it is closed.
pub(crate) fn stop_listening(listener: &mut TcpListener, poll: &mio::Poll) -> Result<()> {
    poll.registry().deregister(listener)
}
