//! Control without agreement: every host computes the holders from the listed sessions.
//!
//! Two hosts can disagree for as long as their lists differ, so this is for a first end-to-end
//! run only; it is replaced by sessions, promises and the assignment.

use {
    crate::{
        caller::handler::{EntryAddresses, EntryChoice},
        clock,
        entry::{
            QueryRequest,
            claims::{Claim, ClaimedOutcome, RunOnce},
            request::Identity,
        },
        peer::server::PeerControl,
        view::{ClusterView, Holder, HolderRights, HostView, Views},
    },
    indexmap::IndexMap,
    parking_lot::Mutex,
    serde::{Deserialize, Serialize},
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
    },
    wigeonramp_config::Document,
    wigeonramp_proto::peer::{
        FetchDocumentReply, FetchDocumentRequest, Heartbeat, PromiseReply, PromiseRequest,
        ReleaseReply, ReleaseRequest,
    },
    wigeonramp_serving::upstream::Rights,
    wigeonramp_store::{Fetched, ObjectStore, Precondition, Put, StoreError},
    wigeonramp_units::{
        Epoch, HostId, InstanceId, Instant, LeafId, Percent, Revision, Span, ZoneId,
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// Time between two rounds.
pub const ROUND: Span = Span::millis(500);
/// Time without a changed counter after which a session counts as dead.
const SESSION_TIME: Span = Span::secs(4);
/// Time after the last round in which this host may still send.
const STALE_AFTER: Span = Span::secs(2);

/// The session object of an instance.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SessionBody {
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Grows with each renewal.
    pub counter: u64,
    /// The host's name.
    pub host: HostId,
    /// The host's instance.
    pub instance: InstanceId,
    /// Where peers connect.
    pub peer_address: SocketAddr,
    /// Where the host stands.
    pub zone: ZoneId,
}

struct Seen {
    at: Instant,
    counter: u64,
}

/// Rounds of listing, and the rights that follow from them.
pub struct SimpleControl<S> {
    contact: AtomicU64,
    me: Mutex<SessionBody>,
    revision: Mutex<Option<Revision>>,
    seen: Mutex<HashMap<InstanceId, Seen>>,
    store: S,
    views: Arc<Views>,
}

impl<S: ObjectStore> SimpleControl<S> {
    /// Control of the instance that `me` describes.
    pub fn new(store: S, me: SessionBody, views: Arc<Views>) -> Self {
        Self {
            contact: AtomicU64::new(0),
            me: Mutex::new(me),
            revision: Mutex::new(None),
            seen: Mutex::new(HashMap::new()),
            store,
            views,
        }
    }

    /// Sets the bound addresses; before the first round.
    pub fn set_addresses(&self, caller: SocketAddr, peer: SocketAddr) {
        let mut me = self.me.lock();
        me.caller_address = caller;
        me.peer_address = peer;
    }

    /// One round: renews the session, lists all sessions, reads the configuration. Returns the
    /// view that follows.
    pub fn round(&self) -> Result<ClusterView, StoreError> {
        let begun = clock::now();
        self.renew()?;
        let live = self.live_sessions(begun)?;
        let document = match self.store.get("config/current")? {
            Fetched::Found(object) => serde_json::from_str::<Document>(&object.body)
                .inspect_err(|err| log::error!("config/current: {err}"))
                .ok()
                .map(Arc::new),
            Fetched::Missing => None,
        };
        let document = document.unwrap_or_else(|| Arc::clone(&self.views.load().document));
        let holders = document
            .leaves
            .keys()
            .filter_map(|leaf| Some((leaf.clone(), holder_of(leaf, &live)?)))
            .collect::<IndexMap<LeafId, Holder>>();
        let hosts = live.iter().map(host_view).collect();
        self.contact.store(begun.0, Ordering::Release);
        Ok(ClusterView { document, holders, hosts })
    }

    /// Deletes the session.
    pub fn end(&self) {
        let key = format!("session/{}", self.me.lock().instance);
        let Some(revision) = *self.revision.lock() else { return };
        if let Err(err) = self.store.delete(&key, revision) {
            log::warn!("{err}");
        }
    }

    fn renew(&self) -> Result<(), StoreError> {
        let me = {
            let mut me = self.me.lock();
            me.counter += 1;
            me.clone()
        };
        let key = format!("session/{}", me.instance);
        let body = serde_json::to_string(&me).expect("a session has only texts and numbers");
        let known = *self.revision.lock();
        let precondition = known.map_or(Precondition::Create, Precondition::Revision);
        let revision = match self.store.put(&key, &body, precondition)? {
            Put::Written(revision) => Some(revision),
            Put::Conflict(found) => found.map(|object| object.revision),
        };
        *self.revision.lock() = revision;
        Ok(())
    }

    fn live_sessions(&self, now: Instant) -> Result<Vec<SessionBody>, StoreError> {
        let objects = self.store.list("session/")?;
        let mut seen = self.seen.lock();
        let mut live = Vec::with_capacity(objects.len());
        for object in objects {
            let Ok(session) = serde_json::from_str::<SessionBody>(&object.body) else {
                log::warn!("{} cannot be read", object.key);
                continue;
            };
            let counter = session.counter;
            let known = seen.entry(session.instance.clone()).or_insert(Seen { at: now, counter });
            if known.counter != counter {
                *known = Seen { at: now, counter };
            }
            if now.since(known.at) < SESSION_TIME {
                live.push(session);
            }
        }
        Ok(live)
    }
}

fn host_view(session: &SessionBody) -> HostView {
    HostView {
        caller_address: session.caller_address,
        host: session.host.clone(),
        instance: session.instance.clone(),
        leaving: false,
        load: Percent(0),
        peer_address: session.peer_address,
        zone: session.zone.clone(),
    }
}

/// Highest random weight over the live instances.
fn holder_of(leaf: &LeafId, live: &[SessionBody]) -> Option<Holder> {
    let weight = |session: &&SessionBody| xxh3_64(format!("{leaf} {}", session.host).as_bytes());
    let session = live.iter().max_by_key(weight)?;
    Some(Holder {
        address: session.peer_address,
        epoch: Epoch(1),
        instance: session.instance.clone(),
        releasing: None,
    })
}

impl<S: ObjectStore> EntryAddresses for SimpleControl<S> {
    fn entry_addresses(&self, _caller: &Identity) -> EntryChoice {
        let view = self.views.load();
        let addresses = view.hosts.iter().map(|host| host.caller_address).collect();
        EntryChoice { addresses, lifetime: view.document.limits.entry_lifetime }
    }
}

impl<S: ObjectStore> RunOnce for SimpleControl<S> {
    fn claim(&self, _query: &QueryRequest) -> Claim {
        Claim::NotRun("claims are not available".to_owned())
    }

    fn record(&self, _query: &QueryRequest, _outcome: &ClaimedOutcome) {}
}

impl<S: ObjectStore> HolderRights for SimpleControl<S> {
    fn rights(&self, _leaf: &LeafId, now: Instant) -> Rights {
        let contact = Instant(self.contact.load(Ordering::Acquire));
        if now.since(contact) < STALE_AFTER { Rights::Full } else { Rights::None }
    }

    fn deadline_cap(&self, _now: Instant) -> Instant {
        Instant(self.contact.load(Ordering::Acquire)) + SESSION_TIME
    }
}

impl<S: ObjectStore> PeerControl for SimpleControl<S> {
    fn heartbeat(&self, _from: Heartbeat) -> Heartbeat {
        Heartbeat::default()
    }

    fn fetch(&self, _request: FetchDocumentRequest) -> FetchDocumentReply {
        FetchDocumentReply::default()
    }

    fn release(&self, _request: ReleaseRequest) -> ReleaseReply {
        ReleaseReply::default()
    }

    fn promise(&self, _request: PromiseRequest) -> PromiseReply {
        PromiseReply::default()
    }
}
