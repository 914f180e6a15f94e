//! A TCP listener that can be closed and reopened on the same address, and its HTTP connections.

use {
    crate::{
        StandinError,
        net::{
            connection::{Connection, ConnectionStream},
            http_util::HandlerResult,
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

/// Maximum number of connections that wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1024;

/// Handles the connections and requests of one listener.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Returns whether to serve a new connection; otherwise it is reset. `open` is the number of
    /// open connections, including the new one.
    fn on_connect(&self, open: usize) -> impl Future<Output = bool> + Send;

    /// Handles one request.
    fn handle(
        self: Arc<Self>,
        conn: Arc<Connection>,
        req: Request<Incoming>,
    ) -> impl Future<Output = HandlerResult> + Send;
}

/// A bound address with its listener, open or closed, and its connections.
#[derive(Debug)]
pub(crate) struct Listener {
    address: SocketAddr,
    /// Bound but never listening, to keep the port reserved while the listener is closed.
    _reserved: TcpSocket,
    /// Whether the listener is to be open.
    target_open: Sender<bool>,
    /// Whether the listener is open.
    is_open: Sender<bool>,
    /// Notified whenever a connection is closed.
    connection_closed: Sender<()>,
    connections: Mutex<Connections>,
}

#[derive(Debug, Default)]
struct Connections {
    last_id: u64,
    open: HashMap<u64, Arc<Connection>>,
}

fn bind_socket(address: SocketAddr) -> IoResult<TcpSocket> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

impl Listener {
    /// Binds `address` without listening. Must be called within a tokio runtime.
    pub(crate) fn bind(address: SocketAddr) -> Result<Arc<Self>, StandinError> {
        let bind_error = |source| StandinError::Bind { address, source };
        let reserved = bind_socket(address).map_err(bind_error)?;
        let address = reserved.local_addr().map_err(bind_error)?;
        Ok(Arc::new(Self {
            address,
            _reserved: reserved,
            target_open: Sender::new(true),
            is_open: Sender::new(false),
            connection_closed: Sender::new(()),
            connections: Mutex::default(),
        }))
    }

    /// Opens the listener and serves its connections with `handler` until the runtime stops.
    pub(crate) fn serve<H: Handler>(self: &Arc<Self>, handler: Arc<H>) -> Result<(), StandinError> {
        let listener = self.listen()?;
        self.is_open.send_replace(true);
        spawn(run_accept_loop(self.clone(), handler, listener));
        Ok(())
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Opens or closes the listener; returns once it is done.
    pub(crate) async fn set_open(&self, open: bool) {
        self.target_open.send_replace(open);
        // Cannot fail: `self` owns the sender.
        let _ = self.is_open.subscribe().wait_for(|is_open| *is_open == open).await;
    }

    /// Resets all open connections; returns once they are closed.
    pub(crate) async fn reset_connections(&self) {
        let mut closed = self.connection_closed.subscribe();
        let ids: Vec<u64> = {
            let connections = self.connections();
            connections.open.values().for_each(|conn| conn.reset());
            connections.open.keys().copied().collect()
        };
        let all_closed = |_: &()| ids.iter().all(|id| !self.connections().open.contains_key(id));
        // Cannot fail: `self` owns the sender.
        let _ = closed.wait_for(all_closed).await;
    }

    /// Silences all open connections; new ones are served.
    pub(crate) fn silence_connections(&self) {
        self.connections().open.values().for_each(|conn| conn.silence());
    }

    pub(crate) fn open_connections(&self) -> usize {
        self.connections().open.len()
    }

    fn connections(&self) -> MutexGuard<'_, Connections> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn listen(&self) -> Result<TcpListener, StandinError> {
        let listener = bind_socket(self.address).and_then(|socket| socket.listen(ACCEPT_BACKLOG));
        listener.map_err(|source| StandinError::Bind { address: self.address, source })
    }

    fn register_connection(&self) -> RegisteredConnection {
        let conn = Arc::new(Connection::default());
        let mut connections = self.connections();
        connections.last_id += 1;
        let id = connections.last_id;
        connections.open.insert(id, conn.clone());
        RegisteredConnection { id, conn, open: connections.open.len() }
    }
}

struct RegisteredConnection {
    id: u64,
    conn: Arc<Connection>,
    open: usize,
}

async fn run_accept_loop<H: Handler>(
    listener: Arc<Listener>,
    handler: Arc<H>,
    socket: TcpListener,
) {
    let mut target_open = listener.target_open.subscribe();
    let mut socket = Some(socket);
    loop {
        if let Some(socket) = socket.take() {
            accept_until_closed(&listener, &handler, socket, &mut target_open).await;
            listener.is_open.send_replace(false);
        }
        if target_open.wait_for(|open| *open).await.is_err() {
            return;
        }
        match listener.listen() {
            Ok(reopened) => socket = Some(reopened),
            Err(err) => return log::error!("cannot reopen the listener: {err}"),
        }
        listener.is_open.send_replace(true);
    }
}

async fn accept_until_closed<H: Handler>(
    listener: &Arc<Listener>,
    handler: &Arc<H>,
    socket: TcpListener,
    target_open: &mut Receiver<bool>,
) {
    loop {
        select! {
            biased;
            _ = target_open.wait_for(|open| !*open) => return,
            accepted = socket.accept() => match accepted {
                Ok((stream, _)) => {
                    let registered = listener.register_connection();
                    spawn(serve_connection(listener.clone(), handler.clone(), registered, stream));
                }
                Err(err) => log::warn!("cannot accept a connection on {}: {err}", listener.address),
            },
        }
    }
}

async fn serve_connection<H: Handler>(
    listener: Arc<Listener>,
    handler: Arc<H>,
    registered: RegisteredConnection,
    stream: TcpStream,
) {
    let conn = registered.conn;
    // Nagle's algorithm would hold small responses back until the peer's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let stream = ConnectionStream::new(stream, conn.clone());
    let service = {
        let (handler, conn) = (handler.clone(), conn.clone());
        service_fn(move |req| handler.clone().handle(conn.clone(), req))
    };
    let serve = async {
        if !handler.on_connect(registered.open).await {
            conn.reset();
            drop(stream);
            return;
        }
        let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        if let Err(err) = served.await {
            log::debug!("connection closed: {err}");
        }
    };
    select! {
        () = serve => {}
        () = conn.closing() => {}
    }
    listener.connections().open.remove(&registered.id);
    listener.connection_closed.send_replace(());
}
