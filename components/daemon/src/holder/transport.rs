//! One TCP connection as a `ureq` transport.
//!
//! A `ureq` agent normally opens connections on its own. Here each agent is given one connection
//! that is already open and can never open a second one, because the holder limits the number of
//! connections to a leaf and the rate at which they are opened.

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

/// Socket of a connection, shared between its agent and the threads that may close it.
#[derive(Debug)]
pub struct Socket {
    stream: TcpStream,
    write_started: AtomicBool,
}

impl Socket {
    /// Wraps an open stream.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, write_started: AtomicBool::new(false) }
    }

    /// Marks the start of a request: resets [`Self::write_started`].
    pub fn start_request(&self) {
        self.write_started.store(false, Ordering::Release);
    }

    /// Whether a write has started since [`Self::start_request`].
    pub fn write_started(&self) -> bool {
        self.write_started.load(Ordering::Acquire)
    }

    /// Shuts the socket down for reads and writes of all threads.
    pub fn close(&self) {
        // Fails only if the peer has already closed the connection.
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// Connector that hands out its only connection once.
#[derive(Debug)]
pub struct SingleConnector {
    socket: Mutex<Option<Arc<Socket>>>,
}

impl SingleConnector {
    /// Creates a connector for `socket`.
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

/// Transport that reads and writes the socket with the timeouts of the request.
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
        let new_timeout = timeout_of(timeout);
        if new_timeout != self.write_timeout {
            self.socket.stream.set_write_timeout(new_timeout)?;
            self.write_timeout = new_timeout;
        }
        self.socket.write_started.store(true, Ordering::Release);
        let output = &self.buffers.output()[..amount];
        (&self.socket.stream).write_all(output).map_err(|err| io_error(err, timeout.reason))
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        let new_timeout = timeout_of(timeout);
        if new_timeout != self.read_timeout {
            self.socket.stream.set_read_timeout(new_timeout)?;
            self.read_timeout = new_timeout;
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
        // Unsolicited bytes or the end of the stream make the connection unusable.
        let idle = matches!(stream.peek(&mut [0]), Err(err) if err.kind() == ErrorKind::WouldBlock);
        stream.set_nonblocking(false).is_ok() && idle
    }
}
