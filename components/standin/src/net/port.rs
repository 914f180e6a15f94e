//! A listener that can be closed and opened again on the same address.

use {
    crate::{
        StandinError,
        net::{
            conn::{Conn, ConnStream},
            reply::Outcome,
        },
    },
    http::Request,
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    std::{
        collections::HashMap,
        io::Result as IoResult,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
    tokio::{
        net::{TcpListener, TcpSocket, TcpStream},
        select, spawn,
        sync::watch::{Receiver, Sender},
    },
};

/// Length of the queue of connections that are not accepted yet.
const BACKLOG: u32 = 1024;

/// Answers the requests of one port.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Whether the new connection, one of `open`, is served; otherwise it is reset.
    fn connected(&self, open: usize) -> impl Future<Output = bool> + Send;

    /// Answers one request.
    fn handle(
        self: Arc<Self>,
        conn: Arc<Conn>,
        req: Request<Incoming>,
    ) -> impl Future<Output = Outcome> + Send;
}

/// One listening address and its connections.
#[derive(Debug)]
pub(crate) struct Port {
    address: SocketAddr,
    /// Bound but never listening: keeps the port reserved while the listener is closed.
    _reserved: TcpSocket,
    wanted: Sender<bool>,
    actual: Sender<bool>,
    /// Notified whenever a connection is closed.
    closed: Sender<()>,
    conns: Mutex<Conns>,
}

#[derive(Debug, Default)]
struct Conns {
    next: u64,
    open: HashMap<u64, Arc<Conn>>,
}

fn bind(address: SocketAddr) -> IoResult<TcpSocket> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

impl Port {
    /// Binds `address` without listening. Must run inside a runtime.
    pub(crate) fn reserve(address: SocketAddr) -> Result<Arc<Self>, StandinError> {
        let listen = |source| StandinError::Bind { address, source };
        let reserved = bind(address).map_err(listen)?;
        let address = reserved.local_addr().map_err(listen)?;
        Ok(Arc::new(Self {
            address,
            _reserved: reserved,
            wanted: Sender::new(true),
            actual: Sender::new(false),
            closed: Sender::new(()),
            conns: Mutex::default(),
        }))
    }

    /// Listens, and answers with `handler` until the runtime stops.
    pub(crate) fn serve<H: Handler>(self: &Arc<Self>, handler: Arc<H>) -> Result<(), StandinError> {
        let listener = self.listen()?;
        self.actual.send_replace(true);
        spawn(accept_while_wanted(self.clone(), handler, listener));
        Ok(())
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes or opens the listener; returns once that is done.
    pub(crate) async fn set_open(&self, open: bool) {
        self.wanted.send_replace(open);
        // Fails only if the sender is gone, which `self` owns.
        let _ = self.actual.subscribe().wait_for(|actual| *actual == open).await;
    }

    /// Resets the connections that are open now; returns once they are closed.
    pub(crate) async fn reset_all(&self) {
        let mut closed = self.closed.subscribe();
        let ids: Vec<u64> = {
            let conns = self.conns();
            conns.open.values().for_each(|conn| conn.reset());
            conns.open.keys().copied().collect()
        };
        let gone = |_: &()| ids.iter().all(|id| !self.conns().open.contains_key(id));
        // Fails only if the sender is gone, which `self` owns.
        let _ = closed.wait_for(gone).await;
    }

    pub(crate) fn silence_all(&self) {
        self.conns().open.values().for_each(|conn| conn.silence());
    }

    pub(crate) fn open_connections(&self) -> usize {
        self.conns().open.len()
    }

    fn conns(&self) -> MutexGuard<'_, Conns> {
        self.conns.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn listen(&self) -> Result<TcpListener, StandinError> {
        let listener = bind(self.address).and_then(|socket| socket.listen(BACKLOG));
        listener.map_err(|source| StandinError::Bind { address: self.address, source })
    }

    fn add(&self) -> Added {
        let conn = Arc::new(Conn::default());
        let mut conns = self.conns();
        conns.next += 1;
        let id = conns.next;
        conns.open.insert(id, conn.clone());
        Added { id, conn, open: conns.open.len() }
    }
}

struct Added {
    id: u64,
    conn: Arc<Conn>,
    open: usize,
}

async fn accept_while_wanted<H: Handler>(port: Arc<Port>, handler: Arc<H>, listener: TcpListener) {
    let mut wanted = port.wanted.subscribe();
    let mut listener = Some(listener);
    loop {
        if let Some(listener) = listener.take() {
            accept_until_closed(&port, &handler, listener, &mut wanted).await;
            port.actual.send_replace(false);
        }
        if wanted.wait_for(|open| *open).await.is_err() {
            return;
        }
        match port.listen() {
            Ok(reopened) => listener = Some(reopened),
            Err(err) => return log::error!("listener stays closed: {err}"),
        }
        port.actual.send_replace(true);
    }
}

async fn accept_until_closed<H: Handler>(
    port: &Arc<Port>,
    handler: &Arc<H>,
    listener: TcpListener,
    wanted: &mut Receiver<bool>,
) {
    loop {
        select! {
            biased;
            _ = wanted.wait_for(|open| !*open) => return,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    spawn(serve(port.clone(), handler.clone(), port.add(), stream));
                }
                Err(err) => log::warn!("accept on {}: {err}", port.address),
            },
        }
    }
}

async fn serve<H: Handler>(port: Arc<Port>, handler: Arc<H>, added: Added, stream: TcpStream) {
    let conn = added.conn;
    // Without it small answers wait for the peer's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let stream = ConnStream::new(stream, conn.clone());
    let service = {
        let (handler, conn) = (handler.clone(), conn.clone());
        service_fn(move |req| handler.clone().handle(conn.clone(), req))
    };
    let work = async {
        if !handler.connected(added.open).await {
            conn.reset();
            drop(stream);
            return;
        }
        let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        if let Err(err) = served.await {
            log::debug!("connection ended: {err}");
        }
    };
    select! {
        () = work => {}
        () = conn.ended() => {}
    }
    port.conns().open.remove(&added.id);
    port.closed.send_replace(());
}
