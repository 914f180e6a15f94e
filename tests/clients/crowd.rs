//! Crowds of connections that send much, read nothing and stay open.

use {
    crate::support::HOST,
    socket2::{Domain, Protocol, Socket, Type},
    std::{
        io::{ErrorKind, Write},
        net::{SocketAddr, TcpStream},
        rc::Rc,
        thread,
        time::{Duration, Instant},
    },
};

/// Largest body of legal size.
const BODY_BYTES: usize = 256 * 1024;
/// Decoded size of a body in one-byte chunks, of which each takes six bytes on the wire.
const SMALL_CHUNKS: usize = 64 * 1024;
/// Size of a large chunk.
const CHUNK_BYTES: usize = 16 * 1024;
/// One body in this number is sent to its end; the others stop just short of it.
const COMPLETE_EVERY: usize = 10;
/// Time without progress on any connection after which a crowd has sent what it can.
const STALLED: Duration = Duration::from_secs(2);
/// Longest time for which a crowd sends.
const SEND_TIME: Duration = Duration::from_secs(25);
/// Size of the receive buffers of the crowd, which reads nothing.
const RECEIVE_BYTES: usize = 4 * 1024;
/// Timeout of connecting: a host at its limit may leave connections waiting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// A connection with the bytes that it sends.
struct Sender {
    sock: TcpStream,
    bytes: Rc<[u8]>,
    sent: usize,
    /// Largest number of bytes that are sent at once.
    piece: usize,
}

/// Connections that stay open until this is dropped.
#[derive(Default)]
pub struct Crowd {
    senders: Vec<Sender>,
}

/// Opens a connection with a small receive buffer; none if the host does not take it.
pub fn connect(address: SocketAddr) -> Option<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP)).ok()?;
    socket.set_recv_buffer_size(RECEIVE_BYTES).ok()?;
    socket.connect_timeout(&address.into(), CONNECT_TIMEOUT).ok()?;
    socket.set_nonblocking(true).ok()?;
    Some(socket.into())
}

impl Crowd {
    fn add(&mut self, address: SocketAddr, count: usize, piece: usize, bytes: Vec<u8>) {
        let short = Rc::from(&bytes[..bytes.len() - 1]);
        let whole = Rc::from(bytes);
        for n in 0..count {
            let bytes = if n % COMPLETE_EVERY == 0 { &whole } else { &short };
            if let Some(sock) = connect(address) {
                self.senders.push(Sender { sock, bytes: Rc::clone(bytes), sent: 0, piece });
            }
        }
    }

    /// Adds connections that send `requests` requests with large responses ahead and read nothing.
    /// The kernel takes up to 4 MB of responses for each connection.
    pub fn add_pipelined(&mut self, address: SocketAddr, count: usize, requests: usize) {
        let request = |n: usize| {
            format!("GET /big/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: ahead-{n}\r\n\r\n")
        };
        let bytes: String = (0..requests).map(request).collect();
        self.add(address, count, usize::MAX, bytes.into_bytes());
    }

    /// Adds connections that send bodies with a length, in pieces of `piece` bytes.
    pub fn add_bodies(&mut self, address: SocketAddr, count: usize, piece: usize) {
        let head = format!(
            "POST /write/x HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
        );
        let bytes = [head.as_bytes(), &vec![b'x'; BODY_BYTES]].concat();
        self.add(address, count, piece, bytes);
    }

    /// Adds connections that send bodies in large chunks or in chunks of one byte.
    pub fn add_chunked(&mut self, address: SocketAddr, count: usize, one_byte: bool) {
        let mut bytes =
            format!("POST /write/x HTTP/1.1\r\nHost: {HOST}\r\nTransfer-Encoding: chunked\r\n\r\n")
                .into_bytes();
        let chunk = if one_byte { 1 } else { CHUNK_BYTES };
        let chunks = if one_byte { SMALL_CHUNKS } else { BODY_BYTES / CHUNK_BYTES };
        for _ in 0..chunks {
            bytes.extend_from_slice(format!("{chunk:x}\r\n").as_bytes());
            bytes.resize(bytes.len() + chunk, b'x');
            bytes.extend_from_slice(b"\r\n");
        }
        bytes.extend_from_slice(b"0\r\n\r\n");
        self.add(address, count, usize::MAX, bytes);
    }

    /// Adds connections that send `bytes` without their last one.
    pub fn add_bytes(&mut self, address: SocketAddr, count: usize, bytes: Vec<u8>) {
        self.add(address, count, usize::MAX, bytes);
    }

    /// Sends until everything is sent, nothing more is taken, or `SEND_TIME` is over.
    pub fn send(&mut self) {
        let end = Instant::now() + SEND_TIME;
        let mut progress = Instant::now();
        while Instant::now() < end && progress.elapsed() < STALLED {
            let mut is_done = true;
            for sender in &mut self.senders {
                if sender.send_piece() {
                    progress = Instant::now();
                }
                is_done &= sender.sent == sender.bytes.len();
            }
            if is_done {
                // The host still has to read what the kernel holds.
                return thread::sleep(STALLED);
            }
            thread::sleep(Duration::from_millis(1));
        }
    }
}

impl Sender {
    /// Sends the next piece; returns whether anything was sent.
    fn send_piece(&mut self) -> bool {
        let rest = &self.bytes[self.sent..];
        let piece = &rest[..rest.len().min(self.piece)];
        match self.sock.write(piece) {
            Ok(sent) => self.sent += sent,
            Err(err) if err.kind() == ErrorKind::WouldBlock => return false,
            // The host has closed the connection.
            Err(_) => {
                self.sent = self.bytes.len();
                return false;
            }
        }
        !piece.is_empty()
    }
}
