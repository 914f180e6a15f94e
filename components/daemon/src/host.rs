//! One host: its control side and its data path, started and stopped together.

use {
    crate::{
        clock,
        control::simple::{ROUND, SessionBody, SimpleControl},
        data_path::{BoundAddresses, DataPath},
        holder::leaf::Start,
        view::Views,
    },
    crossbeam::channel::{Receiver, RecvTimeoutError, Sender, bounded},
    rand::RngExt,
    std::{
        io::Result as IoResult,
        sync::Arc,
        thread::{self, JoinHandle},
        time::Duration,
    },
    wigeonramp_config::HostSettings,
    wigeonramp_store::ObjectStore,
    wigeonramp_units::{BootId, InstanceId},
};

/// Longest wait for running requests at the end of a stop.
const STOP_PATIENCE: Duration = Duration::from_secs(30);

/// A running host.
pub struct Host<S: ObjectStore> {
    control: Arc<SimpleControl<S>>,
    data: Arc<DataPath<SimpleControl<S>>>,
    rounds: JoinHandle<()>,
    stop: Sender<()>,
}

impl<S: ObjectStore> Host<S> {
    /// Binds all addresses and starts all parts.
    pub fn start(settings: &HostSettings, store: S) -> IoResult<Self> {
        let boot = new_boot();
        let views = Arc::new(Views::new());
        let session = SessionBody {
            caller_address: settings.caller_listen,
            counter: 0,
            host: settings.host.clone(),
            instance: InstanceId::new(&settings.host, &boot),
            peer_address: settings.peer_listen,
            zone: settings.zone.clone(),
        };
        let control = Arc::new(SimpleControl::new(store, session, Arc::clone(&views)));
        let data = Arc::new(DataPath::start(settings, &boot, Arc::clone(&control), views)?);
        let addresses = data.addresses();
        control.set_addresses(addresses.caller, addresses.peer);
        let (stop, stopped) = bounded(0);
        let rounds = {
            let control = Arc::clone(&control);
            let data = Arc::clone(&data);
            let name = "control".to_owned();
            thread::Builder::new()
                .name(name)
                .spawn(move || run_rounds(&control, &data, &stopped))?
        };
        Ok(Self { control, data, rounds, stop })
    }

    /// The bound addresses.
    pub fn addresses(&self) -> BoundAddresses {
        self.data.addresses()
    }

    /// This start of the host.
    pub fn instance(&self) -> &InstanceId {
        self.data.instance()
    }

    /// Stops without cutting off a request.
    pub fn stop(self) {
        let Self { control, data, rounds, stop } = self;
        drop(stop);
        let _ = rounds.join();
        control.end();
        if let Some(data) = Arc::into_inner(data)
            && !data.stop(STOP_PATIENCE)
        {
            log::warn!("requests were still running after {STOP_PATIENCE:?}");
        }
    }
}

fn run_rounds<S: ObjectStore>(
    control: &SimpleControl<S>,
    data: &DataPath<SimpleControl<S>>,
    stopped: &Receiver<()>,
) {
    loop {
        let begun = clock::now();
        match control.round() {
            Ok(view) => drop(data.adopt(view, |_| Start::Cold)),
            Err(err) => log::warn!("{err}"),
        }
        let pause = clock::until(begun + ROUND).to_duration();
        if stopped.recv_timeout(pause) != Err(RecvTimeoutError::Timeout) {
            return;
        }
    }
}

fn new_boot() -> BootId {
    let text = format!("{}-{:08x}", clock::unix_now(), rand::rng().random::<u32>());
    text.parse().expect("digits and a dash make a valid id")
}
