//! TCP proxy on loopback in front of one address, with faults on the link.

use std::{
    io::{Read, Result, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Size of the forwarding buffer in bytes.
const BUFFER_SIZE: usize = 16 * 1024;
/// Interval at which a connection that holds back bytes checks the link mode again.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Behavior of the link between the proxy's clients and its target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkMode {
    /// Bytes are forwarded at once.
    #[default]
    Open,
    /// Bytes are forwarded after a delay.
    Slow(Duration),
    /// New and open connections forward nothing in either direction.
    Silent,
    /// Only bytes towards the target are forwarded.
    OneWay,
    /// New connections are closed; open ones stay.
    Closed,
}

#[derive(Debug, Default)]
struct Shared {
    mode: Mutex<LinkMode>,
    stopped: AtomicBool,
    socks: Mutex<Vec<TcpStream>>,
}

/// A running proxy; clones share its state.
#[derive(Clone, Debug)]
pub struct Proxy {
    shared: Arc<Shared>,
    /// Address on which the proxy listens.
    pub address: SocketAddr,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Proxy {
    /// Starts a proxy to `target` on a free port of `ip`.
    pub fn start(ip: &str, target: SocketAddr) -> Result<Self> {
        Self::serve_on(TcpListener::bind((ip, 0))?, target)
    }

    /// Starts a proxy to `target` on an address that an earlier one used.
    pub fn start_at(address: SocketAddr, target: SocketAddr) -> Result<Self> {
        Self::serve_on(TcpListener::bind(address)?, target)
    }

    fn serve_on(listener: TcpListener, target: SocketAddr) -> Result<Self> {
        let proxy = Self { shared: Arc::default(), address: listener.local_addr()? };
        let serving = proxy.clone();
        thread::spawn(move || {
            for sock in listener.incoming().flatten() {
                if serving.shared.stopped.load(Ordering::SeqCst) {
                    return;
                }
                let proxy = serving.clone();
                // An error ends only this connection.
                thread::spawn(move || proxy.serve(sock, target).ok());
            }
        });
        Ok(proxy)
    }

    /// Changes the behavior of the link for new and open connections.
    pub fn set_mode(&self, mode: LinkMode) {
        *lock(&self.shared.mode) = mode;
    }

    /// Breaks all open connections.
    pub fn reset_connections(&self) {
        for sock in lock(&self.shared.socks).drain(..) {
            // The peer may have closed the connection already.
            let _ = sock.shutdown(Shutdown::Both);
        }
    }

    /// Breaks all connections and stops listening.
    pub fn stop(&self) {
        self.stop_listening();
        self.reset_connections();
    }

    /// Stops listening, so that new connections are refused; open ones stay.
    pub fn stop_listening(&self) {
        self.shared.stopped.store(true, Ordering::SeqCst);
        // Wakes the accepting thread, which then ends and closes the listener.
        let _ = TcpStream::connect(self.address);
    }

    fn serve(&self, client: TcpStream, target: SocketAddr) -> Result<()> {
        if *lock(&self.shared.mode) == LinkMode::Closed {
            return Ok(());
        }
        let server = TcpStream::connect(target)?;
        client.set_nodelay(true)?;
        server.set_nodelay(true)?;
        lock(&self.shared.socks).extend([client.try_clone()?, server.try_clone()?]);
        let proxy = self.clone();
        let (from, to) = (server.try_clone()?, client.try_clone()?);
        thread::spawn(move || proxy.forward(from, to, true));
        self.forward(client, server, false);
        Ok(())
    }

    fn forward(&self, mut from: TcpStream, mut to: TcpStream, to_client: bool) {
        let mut buf = vec![0; BUFFER_SIZE];
        while let Ok(n) = from.read(&mut buf) {
            if n == 0 {
                break;
            }
            loop {
                // Copies the mode, so that the lock is not held while sleeping.
                let mode = *lock(&self.shared.mode);
                match mode {
                    LinkMode::Silent => thread::sleep(POLL_INTERVAL),
                    LinkMode::OneWay if to_client => thread::sleep(POLL_INTERVAL),
                    LinkMode::Slow(delay) => {
                        thread::sleep(delay);
                        break;
                    }
                    LinkMode::Open | LinkMode::OneWay | LinkMode::Closed => break,
                }
            }
            if to.write_all(&buf[..n]).is_err() {
                break;
            }
        }
        // The peers may have closed their connections already.
        let _ = to.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
    }
}
