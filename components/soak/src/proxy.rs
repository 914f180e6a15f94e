//! A loopback proxy before one address, with faults on the link.

use std::{
    io::{Read, Result, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

/// Bytes passed on at a time.
const CHUNK: usize = 16 * 1024;
/// Time between looks at a silenced link.
const SILENCE_STEP: Duration = Duration::from_millis(20);

/// What the link does.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkMode {
    /// It passes everything.
    #[default]
    Open,
    /// It passes everything later.
    Slow(Duration),
    /// New and open connections pass nothing, either way.
    Silent,
    /// Nothing comes back.
    OneWay,
    /// New connections are closed.
    Closed,
}

#[derive(Debug, Default)]
struct Shared {
    mode: Mutex<LinkMode>,
    /// Connections of earlier generations are broken.
    generation: AtomicU64,
    socks: Mutex<Vec<TcpStream>>,
}

/// A proxy; clones share it.
#[derive(Clone, Debug)]
pub struct Proxy {
    shared: Arc<Shared>,
    /// Where it listens.
    pub address: SocketAddr,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Proxy {
    /// A proxy on a free port of this address.
    pub fn start(ip: &str, target: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let proxy = Self { shared: Arc::default(), address: listener.local_addr()? };
        let serving = proxy.clone();
        thread::spawn(move || {
            for sock in listener.incoming().flatten() {
                let proxy = serving.clone();
                // A connection that breaks ends both of its halves only.
                thread::spawn(move || proxy.join(sock, target).ok());
            }
        });
        Ok(proxy)
    }

    /// Changes what the link does.
    pub fn set_mode(&self, mode: LinkMode) {
        *lock(&self.shared.mode) = mode;
    }

    /// Breaks all open connections.
    pub fn reset_connections(&self) {
        self.shared.generation.fetch_add(1, Ordering::SeqCst);
        for sock in lock(&self.shared.socks).drain(..) {
            // The other side may have closed already.
            let _ = sock.shutdown(Shutdown::Both);
        }
    }

    fn join(&self, near: TcpStream, target: SocketAddr) -> Result<()> {
        if *lock(&self.shared.mode) == LinkMode::Closed {
            return Ok(());
        }
        let far = TcpStream::connect(target)?;
        near.set_nodelay(true)?;
        far.set_nodelay(true)?;
        lock(&self.shared.socks).extend([near.try_clone()?, far.try_clone()?]);
        let back = self.clone();
        let (from, to) = (far.try_clone()?, near.try_clone()?);
        thread::spawn(move || back.pass(from, to, true));
        self.pass(near, far, false);
        Ok(())
    }

    fn pass(&self, mut from: TcpStream, mut to: TcpStream, backwards: bool) {
        let mut buf = vec![0; CHUNK];
        while let Ok(n) = from.read(&mut buf) {
            if n == 0 {
                break;
            }
            loop {
                // The lock is not held while the link sleeps.
                let mode = *lock(&self.shared.mode);
                match mode {
                    LinkMode::Silent => thread::sleep(SILENCE_STEP),
                    LinkMode::OneWay if backwards => thread::sleep(SILENCE_STEP),
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
        // The other side may have closed already.
        let _ = to.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
    }
}
