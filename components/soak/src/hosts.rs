//! Hosts as daemon processes: their settings, ports and signals.

use {
    crate::proxy::Proxy,
    rustix::process::{Pid, Signal, kill_process},
    std::{
        fs::{self, File},
        io::Result,
        net::{SocketAddr, TcpListener},
        path::PathBuf,
        process::{Child, Command},
    },
};

/// Ports of a host; all hosts of a run use the same ports on different addresses.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    /// Port for callers.
    pub callers: u16,
    /// Port for the platform's readiness probe.
    pub readiness: u16,
    /// Port on which callers look up host addresses.
    pub directory: u16,
    /// Port in the seed addresses, of which hosts use only the IP address.
    pub control: u16,
    /// Port for connections of other hosts.
    pub peers: u16,
}

impl Ports {
    /// Finds ports that are free on `ip` at the moment.
    pub fn find_free(ip: &str) -> Result<Self> {
        let listeners = [(); 5].map(|()| TcpListener::bind((ip, 0)));
        let mut ports = Vec::new();
        for listener in &listeners {
            match listener {
                Ok(listener) => ports.push(listener.local_addr()?.port()),
                Err(err) => return Err(std::io::Error::new(err.kind(), err.to_string())),
            }
        }
        let [callers, readiness, directory, control, peers] = ports[..] else {
            return Err(std::io::Error::other("expected five free ports"));
        };
        Ok(Self { callers, readiness, directory, control, peers })
    }
}

/// A host process, killed when dropped.
#[derive(Debug)]
pub struct HostProcess {
    /// Name of the host.
    pub name: String,
    /// IP address of the host.
    pub ip: String,
    /// Ports of the host.
    pub ports: Ports,
    /// Proxy between the host and the store.
    pub store_proxy: Proxy,
    /// Whether the process is paused by SIGSTOP.
    pub is_paused: bool,
    /// Whether the process was told to stop by SIGTERM.
    pub is_stopping: bool,
    daemon: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Name, addresses and zone of a host.
pub struct HostSpec<'a> {
    /// Name of the host.
    pub name: String,
    /// IP address of the host.
    pub ip: String,
    /// Zone of the host.
    pub zone: &'a str,
    /// Ports of the host.
    pub ports: Ports,
    /// IP addresses of the hosts that are listed as seeds.
    pub seeds: &'a [String],
    /// Further lines of the table `bounds` in the settings.
    pub bounds: &'a str,
}

impl HostProcess {
    /// Writes the settings file and starts the process.
    pub fn start(
        spec: HostSpec<'_>,
        store_proxy: Proxy,
        daemon: &std::path::Path,
        directory: &std::path::Path,
    ) -> Result<Self> {
        let settings = directory.join(format!("{}.toml", spec.name));
        fs::write(&settings, settings_text(&spec, store_proxy.address))?;
        let mut host = Self {
            log: directory.join(format!("{}.log", spec.name)),
            name: spec.name,
            ip: spec.ip,
            ports: spec.ports,
            store_proxy,
            is_paused: false,
            is_stopping: false,
            daemon: daemon.to_owned(),
            settings,
            child: None,
        };
        host.spawn()?;
        Ok(host)
    }

    /// Starts the process with the settings written before.
    pub fn spawn(&mut self) -> Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(&self.daemon);
        command.arg("--platform").env("WIGEONRAMP_CONFIG", &self.settings);
        self.child = Some(command.stdout(log.try_clone()?).stderr(log).spawn()?);
        self.is_paused = false;
        self.is_stopping = false;
        Ok(())
    }

    /// Sends `signal` to the process if it is running.
    pub fn signal(&mut self, signal: Signal) {
        let Some(child) = &mut self.child else { return };
        if !matches!(child.try_wait(), Ok(None)) {
            return;
        }
        if let Some(pid) = i32::try_from(child.id()).ok().and_then(Pid::from_raw) {
            // The process may end after the check above, but its id stays valid: only this value
            // reaps it.
            let _ = kill_process(pid, signal);
        }
    }

    /// Returns whether the process has ended for any reason.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Kills the process and waits until it has ended.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The process may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the id of the process; none if it was killed.
    pub fn process_id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Adds lines to the table `[limits]` of the settings, which later starts read.
    pub fn add_limits(&self, lines: &str) -> Result<()> {
        let text = fs::read_to_string(&self.settings)?;
        fs::write(&self.settings, text.replace("[limits]\n", &format!("[limits]\n{lines}\n")))
    }

    /// Returns what the process has logged.
    pub fn log_text(&self) -> Result<String> {
        fs::read_to_string(&self.log)
    }

    /// Returns the address at which callers look up host addresses.
    pub fn directory_address(&self) -> Option<SocketAddr> {
        Some(SocketAddr::new(self.ip.parse().ok()?, self.ports.directory))
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

fn settings_text(spec: &HostSpec<'_>, store: SocketAddr) -> String {
    let HostSpec { name, ip, zone, ports, seeds, bounds } = spec;
    let Ports { callers, readiness, directory, control, peers } = ports;
    let seeds: Vec<String> = seeds.iter().map(|ip| format!("\"{ip}:{control}\"")).collect();
    format!(
        "node_name = \"{name}\"\nip = \"{ip}\"\nzone = \"{zone}\"\n\
         internal_port_range = [{peers}, {peers}]\nseeds = [{}]\n\
         [listen]\nfrontend = \"{ip}:{callers}\"\nreadiness = \"{ip}:{readiness}\"\n\
         directory = \"{ip}:{directory}\"\n[limits]\ncpu_share = 0.5\n\
         [bounds]\ngrace_s = 3\nretry_budget_ratio = 0.2\nbudget_window_s = 10\n\
         retry_budget_slack = 100\n{bounds}[platform]\naddress = \"{store}\"\n",
        seeds.join(", ")
    )
}
