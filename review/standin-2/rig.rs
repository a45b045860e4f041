//! A small deployment on loopback addresses: its machines, processes and settings files, its
//! operator, and the record of what was sent, answered and run.

use crate::http::{call, Message};
use std::fs::{self, File};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What was seen, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Record {
            began: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let text = format!("{:>6} {}\n", self.now(), text.as_ref());
        let mut file = self.file.lock().expect("no panic holds it");
        let _ = file.write_all(text.as_bytes());
    }

    /// For the record and for whoever looks on.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{:>6} {}", self.now(), text.as_ref());
        self.line(text);
    }
}

/// One machine.
pub struct Machine {
    pub node: String,
    pub ip: String,
    class: &'static str,
    zone: String,
}

/// The ports, alike on all machines.
struct Ports {
    http: u16,
    readyz: u16,
    ctl: u16,
    first: u16,
}

struct Process {
    role: String,
    at: usize,
    child: Child,
}

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, third: u64, fourth: u64, fifth: u64) -> i32;
}

/// What a process asks for that is to end with its parent.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

/// The platform stops a process by this.
const SIGTERM: i32 = 15;

/// A deployment that runs.
pub struct Rig {
    pub record: Record,
    pub edges: Vec<Machine>,
    pub stores: Vec<Machine>,
    folder: PathBuf,
    net: String,
    ports: Ports,
    processes: Vec<Process>,
    next_runner: u8,
    /// Whether services are rolled out here: what is said of that in the settings files.
    has_rollouts: bool,
}

impl Drop for Rig {
    fn drop(&mut self) {
        for process in &mut self.processes {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("logs in {}", self.folder.display());
        }
    }
}

/// The `run` line of a role in the deploy file.
fn program(role: &str) -> String {
    let text = fs::read_to_string("deploy/system.toml").expect("the deploy file");
    let mut here = false;
    for line in text.lines() {
        if line.starts_with('[') {
            here = line.trim() == format!("[roles.{role}]");
        } else if let Some(run) = line.strip_prefix("run = \"").filter(|_| here) {
            return run.split('"').next().unwrap_or_default().to_owned();
        }
    }
    panic!("the deploy file has no role {role}");
}

/// A pseudo-random number that differs between runs.
pub fn draw() -> u64 {
    let nanos = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_nanos() as u64);
    let mut x = nanos ^ (u64::from(std::process::id()) << 32);
    x ^= x >> 33;
    x = x.wrapping_mul(0xff51_afd7_ed55_8ccd);
    x ^ (x >> 33)
}

impl Rig {
    /// Starts `edges` edge machines with a disk, each with a controller and a gateway, and `stores`
    /// storage machines.
    pub fn start(record: Record, edges: usize, stores: usize) -> Self {
        Rig::start_as(record, edges, stores, false)
    }

    /// The same, of a deployment with roll-outs.
    pub fn start_with_rollouts(record: Record, edges: usize) -> Self {
        Rig::start_as(record, edges, 0, true)
    }

    fn start_as(record: Record, edges: usize, stores: usize, has_rollouts: bool) -> Self {
        let net = format!("127.{}.{}", 60 + draw() % 60, 1 + draw() % 250);
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let zones = ["north", "south", "west", "east"];
        let machine = |class: &'static str, name: &str, n: usize, from: usize| Machine {
            node: format!("{name}-{}-1", zones[n % zones.len()]),
            ip: format!("{net}.{}", from + n),
            class,
            zone: zones[n % zones.len()].to_owned(),
        };
        let edges: Vec<Machine> = (0..edges).map(|n| machine("edge", "edge", n, 1)).collect();
        let stores: Vec<Machine> = (0..stores)
            .map(|n| machine("storage", "storage", n, 21))
            .collect();
        let ips: Vec<&str> = edges.iter().chain(&stores).map(|m| m.ip.as_str()).collect();
        let base = free_ports(&ips);
        let ports = Ports {
            http: base,
            readyz: base + 1,
            ctl: base + 2,
            first: base + 4,
        };
        let mut rig = Rig {
            record,
            edges,
            stores,
            folder,
            net,
            ports,
            processes: Vec::new(),
            next_runner: 101,
            has_rollouts,
        };
        for at in 0..rig.edges.len() {
            rig.spawn("controller", at);
        }
        for at in 0..rig.stores.len() {
            rig.spawn("store", at);
        }
        for at in 0..rig.edges.len() {
            rig.spawn("gateway", at);
        }
        rig
    }

    /// An address for a runner or a proxy.
    pub fn next_addr(&mut self) -> SocketAddr {
        let ip = format!("{}.{}", self.net, self.next_runner);
        self.next_runner += 1;
        let listener = TcpListener::bind(format!("{ip}:0")).expect("a loopback address");
        listener.local_addr().expect("an address")
    }

    pub fn ctls(&self) -> Vec<SocketAddr> {
        self.addrs(self.ports.ctl)
    }

    pub fn gateways(&self) -> Vec<SocketAddr> {
        self.addrs(self.ports.http)
    }

    fn addrs(&self, port: u16) -> Vec<SocketAddr> {
        let addr = |m: &Machine| format!("{}:{port}", m.ip).parse().expect("an address");
        self.edges.iter().map(addr).collect()
    }

    fn spawn(&mut self, role: &str, at: usize) {
        let machine = if role == "store" {
            &self.stores[at]
        } else {
            &self.edges[at]
        };
        let disk = self.folder.join(format!("{}-{role}", machine.node));
        let _ = fs::create_dir_all(&disk);
        let Ports {
            http,
            readyz,
            ctl,
            first,
        } = self.ports;
        let ip = &machine.ip;
        let peers = self.ctls();
        let peers: Vec<String> = peers.iter().take(3).map(|a| format!("\"{a}\"")).collect();
        let (serves, bind, limits) = match role {
            "controller" => (
                "\"ctl\"",
                format!("Ctl = \"{ip}:{ctl}\""),
                "CpuFrac = 0.45\nNcpu = 1\nRamMb = 260\nNofile = 4100\nLinkMbps = 1000.0\nDiskMb = 64",
            ),
            "gateway" => (
                "\"edge\"",
                format!("Http = \"{ip}:{http}\"\nReadyz = \"{ip}:{readyz}\""),
                "CpuFrac = 0.45\nNcpu = 1\nRamMb = 260\nNofile = 4100\nLinkMbps = 1000.0\nDiskMb = 64",
            ),
            _ => (
                "\"storage\"",
                String::new(),
                "CpuFrac = 0.5\nNcpu = 1\nRamMb = 300\nNofile = 8200\nLinkMbps = 480.0\nDiskMb = 500",
            ),
        };
        let (guarantee, bounds) = if self.has_rollouts {
            (
                "\"rollout\",",
                "CanaryShare = 0.1\nCanarySlack = 50\nRollbackMs = 5000\n",
            )
        } else {
            ("", "")
        };
        let text = format!(
            "Node = \"{node}\"\nRole = \"{role}\"\nMachineClass = \"{class}\"\nServes = [{serves}]\nIp = \"{ip}\"\n\
             Zone = \"{zone}\"\nRegion = \"bagmati\"\nPortRange = [{first},{last}]\nPeers = [{peers}]\nBootstrap = true\n\
             Voting = true\nDataDir = \"{disk}\"\nDiscovery = \"self_reg\"\nIngress = \"vip\"\nHeartbeatMs = 1200\n\
             Guarantees = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",{guarantee}\"batch\",\"stream\",\"engine\"]\n\
             [Zones]\nnorth = \"bagmati\"\nsouth = \"bagmati\"\nwest = \"bagmati\"\neast = \"bagmati\"\n\
             [Bind]\n{bind}\n[Limits]\n{limits}\n[FaultBudget]\nNodes = 1\nZones = 0\nRegions = 0\n\
             [Bounds]\nSeedLagS = 3\nReuseS = 2\nContactMs = 3000\nAckMs = 4000\nSyncS = 5\nDrainMs = 2000\nGraceS = 8\n\
             LossSlackMs = 200\nApplyMs = 2000\nDowngradeMs = 250\nStretchMs = 5000\nRecoveryS = 12\npass_ms = 120\n\
             again_s = 0\nCompleteS = 10\nPollS = 120\nCancelMs = 3000\nSettleMs = 1000\nQuotaExcess = 0.1\n{bounds}",
            node = machine.node,
            class = machine.class,
            zone = machine.zone,
            last = first + 15,
            peers = peers.join(","),
            disk = disk.display(),
        );
        let file = self.folder.join(format!("{}-{role}.toml", machine.node));
        fs::write(&file, text).expect("a settings file");
        let log = self.folder.join(format!("{}-{role}.log", machine.node));
        let log = File::create(log).expect("a log");
        let run = program(role);
        let mut words = run.split(' ');
        let mut command = Command::new(words.next().expect("a program"));
        command.args(words).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        // SAFETY: one system call between fork and exec. No process outlives the case, however it ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
                Ok(())
            });
        }
        let child = command
            .env("FORDRELAY_BOOT", &file)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("a log"))
            .stdout(log)
            .spawn()
            .expect("the program starts");
        let role = role.to_owned();
        self.processes.push(Process { role, at, child });
    }

    /// Whether each process still runs.
    pub fn all_run(&mut self) -> bool {
        self.processes
            .iter_mut()
            .all(|p| matches!(p.child.try_wait(), Ok(None)))
    }

    /// The platform stops one process; it is not started again.
    pub fn terminate(&mut self, role: &str, at: usize) {
        let process = self.processes.iter().find(|p| p.role == role && p.at == at);
        let pid = process.map(|p| p.child.id()).expect("such a process");
        self.record.say(format!("SIGTERM to {role} {at}"));
        // SAFETY: a plain system call, to a process that this one has started.
        unsafe { kill(pid as i32, SIGTERM) };
    }

    /// Waits until a process that was stopped has ended, and takes it off the list.
    pub fn wait_ended(&mut self, role: &str, at: usize, within: Duration) -> bool {
        let until = Instant::now() + within;
        let place = self
            .processes
            .iter()
            .position(|p| p.role == role && p.at == at);
        let Some(place) = place else { return true };
        loop {
            if !matches!(self.processes[place].child.try_wait(), Ok(None)) {
                self.processes.remove(place);
                return true;
            }
            if Instant::now() >= until {
                return false;
            }
            sleep(Duration::from_millis(20));
        }
    }

    /// Waits until each gateway is ready; false if one isn't in time.
    pub fn wait_ready(&self, within: Duration) -> bool {
        let until = Instant::now() + within;
        self.addrs(self.ports.readyz).into_iter().all(|addr| loop {
            let asked = call(addr, "GET", "/-/readyz", &[], b"", Duration::from_secs(1));
            if asked.is_ok_and(|answer| answer.status() == 200) {
                break true;
            }
            if Instant::now() >= until {
                break false;
            }
            sleep(Duration::from_millis(50));
        })
    }

    /// The operator sends a configuration until it is acknowledged; when that was, in milliseconds.
    pub fn put_config(&self, base: u64, body: &str, within: Duration) -> Option<u64> {
        let ctls = self.ctls();
        let until = Instant::now() + within;
        let headers = [
            ("Content-Type", "application/json".to_owned()),
            ("Fordrelay-Base-Version", base.to_string()),
        ];
        let mut pause = Duration::from_millis(100);
        for turn in 0.. {
            let to = ctls[turn % ctls.len()];
            self.record
                .line(format!("operator: replace on {base} at {to}"));
            let answer = ctl_call(to, "POST", "/-/config/replace", &headers, body.as_bytes());
            let status = answer.as_ref().map_or(0, Message::status);
            let text = answer.map(|a| a.text()).unwrap_or_default();
            self.record
                .line(format!("operator: answered {status} {text}"));
            match status {
                200 => return Some(self.record.now()),
                400 | 409 | 412 | 413 | 422 => return None,
                _ if Instant::now() >= until => return None,
                _ => sleep(pause),
            }
            pause = (pause * 2).min(Duration::from_millis(800));
        }
        None
    }
}

/// A call to `ctl`; 307 is followed twice.
pub fn ctl_call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> std::io::Result<Message> {
    let mut to = to;
    for _ in 0..2 {
        let answer = call(to, method, path, headers, body, Duration::from_secs(1))?;
        let named = answer.header("location").map(str::to_owned);
        match named.filter(|_| answer.status() == 307) {
            Some(named) => {
                let host = named.trim_start_matches("http://");
                let host = host.split('/').next().unwrap_or_default();
                match host.parse() {
                    Ok(addr) => to = addr,
                    Err(_) => return Ok(answer),
                }
            }
            None => return Ok(answer),
        }
    }
    call(to, method, path, headers, body, Duration::from_secs(1))
}

/// The first of 24 ports that are free at all of these addresses.
fn free_ports(ips: &[&str]) -> u16 {
    for turn in 0..200 {
        let base = 12_000 + ((draw().wrapping_add(turn * 7919)) % 1_500 * 24) as u16;
        let free = |ip: &&str| (base..base + 24).all(|p| TcpListener::bind((*ip, p)).is_ok());
        if ips.iter().all(|ip| free(&ip)) {
            return base;
        }
    }
    panic!("no free ports");
}
