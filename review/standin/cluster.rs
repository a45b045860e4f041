//! A deployment on loopback addresses: the project's own programs as the deploy file starts them, each machine with
//! an address of its own in 127.0.0.0/8, with settings like those of the site file `rla-catalogo`.

use crate::net::call;
use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: usize, a: usize, b: usize, c: usize) -> i32;
}

/// The signal that a process gets when the one that started it has ended: nothing stays behind, whatever happens.
const PR_SET_PDEATHSIG: i32 = 1;

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

pub const ZONES: [&str; 3] = ["chapinero", "fontibon", "usaquen"];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Controller,
    Gateway,
    Store,
}

impl Role {
    fn program(self) -> &'static str {
        match self {
            Role::Controller => "target/release/fordrelay-controller",
            Role::Gateway => "target/release/fordrelay-gateway",
            Role::Store => "target/release/fordrelay-batch-store",
        }
    }

    fn name(self) -> &'static str {
        match self {
            Role::Controller => "controller",
            Role::Gateway => "gateway",
            Role::Store => "store",
        }
    }
}

/// One process of a machine.
pub struct Process {
    pub role: Role,
    pub machine: usize,
    pub node: String,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    pub fn start(&mut self) {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log);
        let log = log.expect("the log of a process");
        let mut command = Command::new(self.role.program());
        command
            .env_clear()
            .env("FORDRELAY_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log of a process"))
            .stderr(log);
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as usize, 0, 0, 0);
                Ok(())
            });
        }
        let child = command.spawn();
        self.child = Some(child.expect("a program of the deploy file"));
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// SIGKILL, and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether it has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        match &mut self.child {
            Some(child) => !matches!(child.try_wait(), Ok(None)),
            None => true,
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.signal(SIGCONT);
        self.kill();
    }
}

/// The addresses of a deployment.
#[derive(Clone)]
pub struct Plan {
    pub folder: PathBuf,
    net: u8,
    base_port: u16,
    edges: usize,
}

impl Plan {
    pub fn ip(&self, machine: usize) -> String {
        format!("127.{}.{}.1", self.net, machine + 1)
    }

    fn addr(&self, machine: usize, port: u16) -> SocketAddr {
        format!("{}:{}", self.ip(machine), self.base_port + port).parse().expect("an address")
    }

    pub fn http(&self, machine: usize) -> SocketAddr {
        self.addr(machine, 20)
    }

    pub fn readyz(&self, machine: usize) -> SocketAddr {
        self.addr(machine, 21)
    }

    pub fn ctl(&self, machine: usize) -> SocketAddr {
        self.addr(machine, 22)
    }
}

pub struct Cluster {
    pub plan: Plan,
    pub edges: usize,
    pub processes: Vec<Process>,
}

fn free_base_port(net: u8, machines: usize) -> u16 {
    let mut port = 20_000 + (std::process::id() % 300) as u16 * 40;
    loop {
        let free = (0..machines).all(|machine| {
            (0..24).all(|offset| {
                let addr = format!("127.{net}.{}.1:{}", machine + 1, port + offset);
                TcpListener::bind(addr).is_ok()
            })
        });
        if free {
            return port;
        }
        port += 40;
    }
}

impl Cluster {
    /// Writes the settings of `edges` machines with a controller and a gateway, and `stores` machines with a store.
    pub fn new(folder: &Path, edges: usize, stores: usize) -> Cluster {
        let net = 20 + (std::process::id() % 200) as u8;
        let base_port = free_base_port(net, edges + stores);
        let plan = Plan { folder: folder.to_owned(), net, base_port, edges };
        let mut processes = Vec::new();
        let mut add = |role: Role, machine: usize, class: &str| {
            let node = format!("{class}-{}-{machine}", ZONES[machine % 3]);
            let (settings, log) = (
                folder.join(format!("{node}-{}.toml", role.name())),
                folder.join(format!("{node}-{}.log", role.name())),
            );
            processes.push(Process { role, machine, node, settings, log, child: None });
        };
        for machine in 0..edges {
            add(Role::Controller, machine, "edge");
            add(Role::Gateway, machine, "edge");
        }
        for machine in edges..edges + stores {
            add(Role::Store, machine, "storage");
        }
        let cluster = Cluster { plan, edges, processes };
        for process in &cluster.processes {
            cluster.write_settings(process, true);
        }
        cluster
    }

    /// Writes the settings file of a process, as for a first start or a later one.
    pub fn write_settings(&self, process: &Process, bootstrap: bool) {
        let plan = &self.plan;
        let machine = process.machine;
        let peers: Vec<String> = (0..plan.edges.min(3)).map(|m| format!("\"{}\"", plan.ctl(m))).collect();
        let (class, serves, bind, limits) = match process.role {
            Role::Controller => (
                "edge",
                "[\"ctl\"]",
                format!("Ctl = \"{}\"\n", plan.ctl(machine)),
                "CpuFrac = 0.41\nNcpu = 1\nRamMb = 260\nNofile = 4100\nLinkMbps = 1000.0\nDiskMb = 64\n",
            ),
            Role::Gateway => (
                "edge",
                "[\"edge\"]",
                format!("Http = \"{}\"\nReadyz = \"{}\"\n", plan.http(machine), plan.readyz(machine)),
                "CpuFrac = 0.41\nNcpu = 1\nRamMb = 260\nNofile = 4100\nLinkMbps = 1000.0\nDiskMb = 64\n",
            ),
            Role::Store => (
                "storage",
                "[\"storage\"]",
                String::new(),
                "CpuFrac = 0.5\nNcpu = 1\nRamMb = 310\nNofile = 8200\nLinkMbps = 600.0\nDiskMb = 580\n",
            ),
        };
        let data = self.data_folder(process);
        fs::create_dir_all(&data).expect("a data folder");
        let zones: String = ZONES.iter().map(|zone| format!("{zone} = \"bogota\"\n")).collect();
        let text = format!(
            "Node = \"{}\"\nRole = \"{}\"\nMachineClass = \"{class}\"\nServes = {serves}\nIp = \"{}\"\nZone = \"{}\"\n\
             Region = \"bogota\"\nPortRange = [{},{}]\nPeers = [{}]\nBootstrap = {bootstrap}\nVoting = true\n\
             DataDir = \"{}\"\nDiscovery = \"self_reg\"\nIngress = \"vip\"\nHeartbeatMs = 1200\n\
             Guarantees = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"batch\",\"stream\",\"engine\"]\n\
             [Zones]\n{zones}[Bind]\n{bind}[Limits]\n{limits}[FaultBudget]\nNodes = 1\nZones = 0\nRegions = 0\n\
             [Bounds]\nSeedLagS = 3\nReuseS = 2\nContactMs = 3000\nAckMs = 4000\nSyncS = 5.1\nDrainMs = 2000\nGraceS = 8\n\
             LossSlackMs = 200\nApplyMs = 2000\nDowngradeMs = 250\nStretchMs = 5000\nRecoveryS = 12\npass_ms = 120\n\
             again_s = 0\nCompleteS = 10\nPollS = 120\nCancelMs = 3000\nSettleMs = 1000\nQuotaExcess = 0.1\n",
            process.node,
            process.role.name(),
            plan.ip(machine),
            ZONES[machine % 3],
            plan.base_port,
            plan.base_port + 15,
            peers.join(","),
            data.display(),
        );
        fs::write(&process.settings, text).expect("a settings file");
    }

    /// Another machine with the name of one that it replaces.
    pub fn rename(&mut self, machine: usize, node: &str) {
        let at = self.processes.iter().position(|p| p.machine == machine).expect("a machine");
        self.processes[at].node = node.to_owned();
        self.write_settings(&self.processes[at], false);
    }

    /// The settings of a machine as for any start but the first.
    pub fn write_settings_again(&self, machine: usize) {
        for process in self.processes.iter().filter(|p| p.machine == machine) {
            self.write_settings(process, false);
        }
    }

    fn data_folder(&self, process: &Process) -> PathBuf {
        self.plan.folder.join(format!("data-{}-{}", process.machine, process.role.name()))
    }

    /// A machine loses its disk.
    pub fn wipe(&self, machine: usize) {
        for process in self.processes.iter().filter(|p| p.machine == machine) {
            let _ = fs::remove_dir_all(self.data_folder(process));
        }
    }

    pub fn start_all(&mut self) {
        for process in &mut self.processes {
            process.start();
        }
    }

    pub fn process(&mut self, role: Role, machine: usize) -> &mut Process {
        let found = self.processes.iter_mut().find(|p| p.role == role && p.machine == machine);
        found.expect("a process of the deployment")
    }

    pub fn gateways(&self) -> Vec<SocketAddr> {
        (0..self.edges).map(|machine| self.plan.http(machine)).collect()
    }

    pub fn controllers(&self) -> Vec<SocketAddr> {
        (0..self.edges).map(|machine| self.plan.ctl(machine)).collect()
    }

    /// Waits until all gateways call themselves ready.
    pub fn wait_ready(&self, within: Duration) -> bool {
        let until = Instant::now() + within;
        loop {
            let ready = (0..self.edges).all(|machine| {
                let asked = call(self.plan.readyz(machine), "GET", "/-/readyz", &[], b"", Duration::from_millis(500));
                asked.is_ok_and(|answer| answer.status() == 200)
            });
            if ready {
                return true;
            }
            if Instant::now() > until {
                return false;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}
