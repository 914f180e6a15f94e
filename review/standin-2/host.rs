//! Hosts: processes of the deploy file's command, each on a loopback address of its own.

use {
    crate::record::Record,
    std::{
        fs::{self, File},
        io::{Error, Result},
        net::{SocketAddr, TcpListener},
        path::PathBuf,
        process::{Child, Command, Stdio},
    },
};

pub const ZONES: [&str; 3] = ["gulf-hou", "gulf-bmt", "gulf-cc"];

/// Loopback addresses and ports of one run.
#[derive(Clone)]
pub struct Net {
    prefix: String,
    ports: [u16; 5],
}

impl Net {
    pub fn find() -> Result<Self> {
        let seed = std::process::id() as u16;
        for attempt in 0..200_u16 {
            let (a, b) = (60 + (seed >> 8) % 60, (seed.wrapping_add(attempt * 7)) % 250);
            let prefix = format!("127.{a}.{b}");
            let first = 7_000 + (seed.wrapping_mul(31).wrapping_add(attempt * 61)) % 2_000;
            let ports = [first, first + 1, first + 2, first + 3, first + 5];
            let free =
                |port: &u16| TcpListener::bind((format!("{prefix}.1").as_str(), *port)).is_ok();
            if ports.iter().all(free) {
                return Ok(Self { prefix, ports });
            }
        }
        Err(Error::other("no free ports"))
    }

    pub fn ip(&self, last: usize) -> String {
        format!("{}.{last}", self.prefix)
    }
}

pub struct Host {
    pub name: String,
    pub front: SocketAddr,
    pub directory: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    daemon: String,
    record: Record,
    child: Option<Child>,
}

impl Host {
    pub fn start(
        net: &Net,
        number: usize,
        store: SocketAddr,
        daemon: &str,
        folder: &str,
        record: &Record,
    ) -> Result<Self> {
        let (ip, zone) = (net.ip(number), ZONES[(number - 1) % ZONES.len()]);
        let name = format!("front-{zone}-{number}");
        let [front, readiness, control, directory, internal] = net.ports;
        let address = |port: u16| -> SocketAddr { format!("{ip}:{port}").parse().unwrap() };
        let seeds: Vec<String> = (1..=3).map(|n| format!("\"{}:{control}\"", net.ip(n))).collect();
        let seeds = seeds.join(",");
        let text = format!(
            "node_name = \"{name}\"\nrole = \"host\"\nmachine_class = \"front\"\n\
             serves = [\"front\",\"control\",\"directory\"]\nip = \"{ip}\"\nzone = \"{zone}\"\n\
             region = \"gulf\"\ninternal_port_range = [{internal},{}]\nseeds = [{seeds}]\n\
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
             [platform]\naddress = \"{store}\"\nform = \"objects\"\nwrites_per_s = 400\n\
             reads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\nmin_ttl_ms = 1000\n",
            internal + 15
        );
        let folder = PathBuf::from(folder);
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, text)?;
        let mut host = Self {
            front: address(front),
            directory: address(directory),
            readiness: address(readiness),
            log: folder.join(format!("{name}.log")),
            name,
            settings,
            daemon: daemon.to_owned(),
            record: record.clone(),
            child: None,
        };
        host.spawn()?;
        Ok(host)
    }

    fn spawn(&mut self) -> Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.daemon)
            .arg("--platform")
            .env("WIGEONRAMP_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.say(&format!("{} starts", self.name));
        self.child = Some(child);
        Ok(())
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
