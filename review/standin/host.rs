//! Hosts: processes of the deploy file's command with settings of a small deployment.

use {
    crate::record::Record,
    std::{
        fs::{self, File, OpenOptions},
        io::{Error, Result, Write},
        net::{SocketAddr, TcpListener},
        process::{Child, Command},
    },
};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;

/// Port of the metrics of the deploy file.
const METRICS_PORT: u16 = 9464;
pub const ZONES: [&str; 3] = ["gulf-hou", "gulf-bmt", "gulf-cc"];

/// Ports of all hosts, and the first three bytes of their addresses.
#[derive(Clone)]
pub struct Net {
    pub prefix: String,
    ports: Vec<u16>,
}

impl Net {
    /// Finds an unused range of loopback addresses and free ports.
    pub fn find() -> Result<Self> {
        let pid = std::process::id();
        for attempt in 0..50 {
            let prefix = format!("127.{}.{}", 20 + pid % 200, 1 + (pid / 200 + attempt * 7) % 250);
            let first = format!("{prefix}.1");
            if TcpListener::bind((first.as_str(), METRICS_PORT)).is_err() {
                continue;
            }
            let listeners: Vec<TcpListener> =
                (0..5).map(|_| TcpListener::bind((first.as_str(), 0))).collect::<Result<_>>()?;
            let port = |listener: &TcpListener| Ok(listener.local_addr()?.port());
            let ports = listeners.iter().map(port).collect::<Result<_>>()?;
            return Ok(Self { prefix, ports });
        }
        Err(Error::other("no free loopback addresses"))
    }

    pub fn ip(&self, number: usize) -> String {
        format!("{}.{number}", self.prefix)
    }
}

pub struct Host {
    pub name: String,
    pub front: SocketAddr,
    pub readiness: SocketAddr,
    pub directory: SocketAddr,
    daemon: String,
    work: String,
    child: Option<Child>,
    record: Record,
}

impl Host {
    /// Starts host `number` of `count`; hosts are dealt to the zones in turn.
    pub fn start(
        net: &Net,
        number: usize,
        count: usize,
        store: SocketAddr,
        daemon: &str,
        work: &str,
        record: &Record,
    ) -> Result<Self> {
        let ip = net.ip(number);
        let zone = ZONES[(number - 1) % ZONES.len()];
        let name = format!("front-{zone}-{number}");
        let [front, readiness, control, directory, inner] = net.ports[..] else {
            return Err(Error::other("five ports expected"));
        };
        let seeds: Vec<String> = (1..=count.min(3))
            .map(|seed| format!("\"{}:{control}\"", net.ip(seed)))
            .collect();
        let settings = format!(
            "node_name = \"{name}\"\nrole = \"host\"\nmachine_class = \"front\"\n\
             serves = [\"front\",\"control\",\"directory\"]\nip = \"{ip}\"\nzone = \"{zone}\"\n\
             region = \"gulf\"\ninternal_port_range = [{inner},{inner}]\nseeds = [{}]\n\
             bootstrap = true\nfault_counted = false\ndiscovery = \"platform\"\n\
             entry = \"directory\"\nheartbeat_interval_ms = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"scatter\",\
             \"places\",\"platform\"]\n\
             [zones]\ngulf-hou = \"gulf\"\ngulf-bmt = \"gulf\"\ngulf-cc = \"gulf\"\n\
             [listen]\nfrontend = \"{ip}:{front}\"\nreadiness = \"{ip}:{readiness}\"\n\
             control = \"{ip}:{control}\"\ndirectory = \"{ip}:{directory}\"\n\
             [limits]\ncpu_share = 0.17\ncores = 1\nmemory_mb = 182\nfd_limit = 2870\n\
             link_mbps = 700.0\ndisk_mb = 0\n\
             [fault_tolerance]\nmachines = 2\nzones = 1\nregions = 0\n\
             [bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 4000\n\
             ack_timeout_ms = 5000\ncatch_up_s = 4\ndrain_ms = 3000\ngrace_s = 6\n\
             loss_slack_ms = 200\nconfig_apply_ms = 3000\nrollback_slack_ms = 250\n\
             outer_bound_ms = 12000\nretry_budget_ratio = 0.2\nbudget_window_s = 10\n\
             retry_budget_slack = 126\nwarmup_overshoot = 1.5\nwarmup_slack = 5\n\
             evacuation_delay_ms = 5000\nrecovery_s = 12\nttl_max_s = 5\n\
             [platform]\naddress = \"{}\"\nform = \"objects\"\nwrites_per_s = 400\n\
             reads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\nmin_ttl_ms = 1000\n",
            seeds.join(","),
            store
        );
        fs::write(format!("{work}/{name}.toml"), settings)?;
        let address = |port: u16| format!("{ip}:{port}").parse().map_err(Error::other);
        let mut host = Self {
            front: address(front)?,
            readiness: address(readiness)?,
            directory: address(directory)?,
            name,
            daemon: daemon.to_owned(),
            work: work.to_owned(),
            child: None,
            record: record.clone(),
        };
        host.spawn()?;
        Ok(host)
    }

    /// Starts the process, as the platform does after its end.
    pub fn spawn(&mut self) -> Result<()> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(format!("{}/{}.log", self.work, self.name))?;
        let mut command = Command::new(&self.daemon);
        command.arg("--platform").env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        command.env("WIGEONRAMP_CONFIG", format!("{}/{}.toml", self.work, self.name));
        let child = command.stdout(log.try_clone()?).stderr(log).spawn()?;
        let pids = OpenOptions::new().create(true).append(true).open(format!("{}/pids", self.work));
        writeln!(pids?, "{}", child.id())?;
        self.record.say(&format!("{} starts", self.name));
        self.child = Some(child);
        Ok(())
    }

    pub fn signal(&mut self, signal: i32) {
        let Some(child) = &mut self.child else { return };
        if !matches!(child.try_wait(), Ok(None)) {
            return;
        }
        self.record.say(&format!("{} gets signal {signal}", self.name));
        // SAFETY: the call has no memory operands; the child was not reaped, so its id is valid.
        unsafe { kill(child.id() as i32, signal) };
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Kills the process by SIGKILL and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            self.record.say(&format!("{} is killed", self.name));
            // The process may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}
