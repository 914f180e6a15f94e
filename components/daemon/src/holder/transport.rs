//! One TCP connection as a `ureq` transport.
//!
//! An agent of `ureq` opens connections by itself. Here the connection is opened first and given
//! to an agent of its own, which can never open a second one: each connection to a leaf is counted
//! and paced by its holder.

use {
    parking_lot::Mutex,
    std::{
        io::{Error as IoError, ErrorKind, Read, Write},
        net::{Shutdown, SocketAddr, TcpStream},
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    ureq::{
        Error, Timeout,
        config::Config,
        http::Uri,
        unversioned::{
            resolver::{ResolvedSocketAddrs, Resolver},
            transport::{
                Buffers, ConnectionDetails, Connector, LazyBuffers, NextTimeout, Transport,
            },
        },
    },
};

/// Socket of a connection, shared between its agent and those who may close it.
#[derive(Debug)]
pub struct Socket {
    stream: TcpStream,
    sent: AtomicBool,
}

impl Socket {
    /// Wraps an open stream.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, sent: AtomicBool::new(false) }
    }

    /// Forgets the bytes of earlier requests.
    pub fn start_request(&self) {
        self.sent.store(false, Ordering::Release);
    }

    /// Whether a write was begun since `start_request`.
    pub fn sent(&self) -> bool {
        self.sent.load(Ordering::Acquire)
    }

    /// Ends reads and writes of all threads at once.
    pub fn close(&self) {
        // Fails only when the peer has closed first.
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// Hands its one connection to the agent that asks first.
#[derive(Debug)]
pub struct SingleConnector {
    socket: Mutex<Option<Arc<Socket>>>,
}

impl SingleConnector {
    /// A connector for `socket`.
    pub fn new(socket: Arc<Socket>) -> Self {
        Self { socket: Mutex::new(Some(socket)) }
    }
}

impl Connector for SingleConnector {
    type Out = SocketTransport;

    fn connect(
        &self,
        details: &ConnectionDetails<'_>,
        _chained: Option<()>,
    ) -> Result<Option<SocketTransport>, Error> {
        let Some(socket) = self.socket.lock().take() else {
            return Err(IoError::from(ErrorKind::NotConnected).into());
        };
        let config = details.config;
        let buffers = LazyBuffers::new(config.input_buffer_size(), config.output_buffer_size());
        Ok(Some(SocketTransport { buffers, read_timeout: None, socket, write_timeout: None }))
    }
}

/// Resolves every name to one address.
#[derive(Debug)]
pub struct FixedResolver(pub SocketAddr);

impl Resolver for FixedResolver {
    fn resolve(
        &self,
        _uri: &Uri,
        _config: &Config,
        _timeout: NextTimeout,
    ) -> Result<ResolvedSocketAddrs, Error> {
        let mut addrs = self.empty();
        addrs.push(self.0);
        Ok(addrs)
    }
}

/// Reads and writes the socket with the time-outs of the request.
#[derive(Debug)]
pub struct SocketTransport {
    buffers: LazyBuffers,
    read_timeout: Option<Duration>,
    socket: Arc<Socket>,
    write_timeout: Option<Duration>,
}

fn timeout_of(next: NextTimeout) -> Option<Duration> {
    next.not_zero().map(|timeout| *timeout)
}

fn io_error(err: IoError, reason: Timeout) -> Error {
    match err.kind() {
        ErrorKind::TimedOut | ErrorKind::WouldBlock => Error::Timeout(reason),
        _ => err.into(),
    }
}

impl Transport for SocketTransport {
    fn buffers(&mut self) -> &mut dyn Buffers {
        &mut self.buffers
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        let wanted = timeout_of(timeout);
        if wanted != self.write_timeout {
            self.socket.stream.set_write_timeout(wanted)?;
            self.write_timeout = wanted;
        }
        self.socket.sent.store(true, Ordering::Release);
        let output = &self.buffers.output()[..amount];
        (&self.socket.stream).write_all(output).map_err(|err| io_error(err, timeout.reason))
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        let wanted = timeout_of(timeout);
        if wanted != self.read_timeout {
            self.socket.stream.set_read_timeout(wanted)?;
            self.read_timeout = wanted;
        }
        let input = self.buffers.input_append_buf();
        let amount = loop {
            match (&self.socket.stream).read(input) {
                Err(err) if err.kind() == ErrorKind::Interrupted => (),
                read => break read.map_err(|err| io_error(err, timeout.reason))?,
            }
        };
        self.buffers.input_appended(amount);
        Ok(amount > 0)
    }

    fn is_open(&mut self) -> bool {
        let stream = &self.socket.stream;
        if stream.set_nonblocking(true).is_err() {
            return false;
        }
        // Bytes that nobody asked for, or the end of the stream, make the connection useless.
        let quiet =
            matches!(stream.peek(&mut [0]), Err(err) if err.kind() == ErrorKind::WouldBlock);
        stream.set_nonblocking(false).is_ok() && quiet
    }
}
