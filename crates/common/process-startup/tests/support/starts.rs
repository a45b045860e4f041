//! Starts of a program of the tier amid signals, shared by the tests of the three programs.
#![allow(dead_code, reason = "no test uses all of it")]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

/// Longest wait for anything, beside load.
const TIMEOUT: Duration = Duration::from_secs(40);
/// What a program of the tier writes once its sockets and its disk are open.
const STARTED: [&str; 2] = ["msg=starting", "msg=started"];

/// A folder of its own, removed at the end.
pub struct Directory(pub PathBuf);

impl Directory {
    pub fn new(name: &str) -> Directory {
        let path = std::env::temp_dir().join(format!("starts-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).expect("a directory");
        Directory(path)
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The first of the ports of a process: below those that the system gives to clients.
const FIRST_PORT: u16 = 20_000;

/// A loopback address that no other process of any test uses.
pub fn own_address() -> Ipv4Addr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high | 0x80, low, NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Settings of a process at an address, its ports in this order: peers, `Http`, `Readyz`, `Ctl`.
pub fn settings(directory: &Path, ip: Ipv4Addr) -> String {
    let first = FIRST_PORT;
    let (http, readyz, ctl) = (first + 3, first + 4, first + 5);
    format!(
        "Node = \"edge-1\"\nRole = \"any\"\nMachineClass = \"edge\"\nServes = [\"edge\", \"ctl\"]\n\
         Ip = \"{ip}\"\nZone = \"z\"\nRegion = \"r\"\nPortRange = [{first},{}]\n\
         Peers = [\"{ip}:{ctl}\"]\nBootstrap = true\nDataDir = \"{}\"\nHeartbeatMs = 1200\n\
         [Bind]\nHttp = \"{ip}:{http}\"\nReadyz = \"{ip}:{readyz}\"\nCtl = \"{ip}:{ctl}\"\n\
         [Limits]\nDiskMb = 60\nRamMb = 300\n[Bounds]\nGraceS = 4\n",
        first + 2,
        directory.join("data").display()
    )
}

/// A process of a program, and what it has written.
pub struct Process {
    child: Child,
    lines: std::sync::mpsc::Receiver<String>,
    seen: Vec<String>,
}

impl Process {
    pub fn start(program: &str, settings: &Path) -> Process {
        let mut child = Command::new(program)
            .env("FORDRELAY_BOOT", settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program");
        let (sender, lines) = std::sync::mpsc::channel();
        let log = BufReader::new(child.stderr.take().expect("its log"));
        std::thread::spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                let _ = sender.send(line);
            }
        });
        Process {
            child,
            lines,
            seen: Vec::new(),
        }
    }

    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status();
        assert!(
            sent.expect("kill").success(),
            "{name}: the process has ended"
        );
    }

    /// Waits for a line that contains one of these.
    pub fn wait_for_line(&mut self, any_of: &[&str]) {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let line = self.lines.recv_timeout(left);
            let line = line.unwrap_or_else(|_| panic!("none of {any_of:?} in {:#?}", self.seen));
            self.seen.push(line.clone());
            if any_of.iter().any(|text| line.contains(text)) {
                return;
            }
        }
    }

    pub fn wait_until_started(&mut self) {
        self.wait_for_line(&STARTED);
    }

    /// Waits until the process takes SIGHUP instead of ending with it.
    pub fn wait_until_signals_are_taken(&self) {
        const SIGHUP_BIT: u64 = 1;
        let status = format!("/proc/{}/status", self.child.id());
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let text = std::fs::read_to_string(&status).expect("the process");
            let caught = text.lines().find_map(|line| line.strip_prefix("SigCgt:"));
            let caught = u64::from_str_radix(caught.expect("signals").trim(), 16).expect("bits");
            if caught & SIGHUP_BIT != 0 {
                return;
            }
            assert!(Instant::now() < deadline, "SIGHUP is never taken");
        }
    }

    pub fn has_ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("its state")
    }

    pub fn wait(&mut self) -> ExitStatus {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            if let Some(status) = self.has_ended() {
                return status;
            }
            assert!(
                Instant::now() < deadline,
                "it does not end: {:#?}",
                self.seen
            );
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// SIGHUP comes while the settings are read, which is before sockets and disk: the process goes on.
pub fn survives_sighup_while_settings_are_read(program: &str, name: &str) {
    let directory = Directory::new(&format!("{name}-reads"));
    let path = directory.0.join("settings.toml");
    let made = Command::new("mkfifo").arg(&path).status();
    assert!(made.expect("mkfifo").success());
    let text = settings(&directory.0, own_address());
    let mut process = Process::start(program, &path);
    // Blocks until the process opens the pipe to read its settings.
    let mut pipe = std::fs::OpenOptions::new()
        .write(true)
        .open(&path)
        .expect("a reader");
    let file = directory.0.join("file.toml");
    std::fs::write(&file, &text).expect("a file");
    std::fs::rename(&file, &path).expect("for later reads");
    for _ in 0..3 {
        process.signal("-HUP");
    }
    pipe.write_all(text.as_bytes()).expect("the settings");
    drop(pipe);
    process.wait_until_started();
    process.signal("-TERM");
    let status = process.wait();
    assert_eq!(status.code(), Some(0), "{status}: {:#?}", process.seen);
}

/// A port of each kind is held by another process when this one starts: it waits, takes SIGHUP
/// meanwhile, ends on SIGTERM, and starts once the port is free.
pub fn waits_for_its_ports(program: &str, name: &str, offsets: &[u16]) {
    for offset in offsets {
        let directory = Directory::new(&format!("{name}-port-{offset}"));
        let path = directory.0.join("settings.toml");
        let ip = own_address();
        std::fs::write(&path, settings(&directory.0, ip)).expect("a file");
        let held = TcpListener::bind((ip, FIRST_PORT + offset)).expect("a port");
        let mut stopped = Process::start(program, &path);
        stopped.wait_for_line(&["address in use, waiting"]);
        stopped.signal("-TERM");
        assert_eq!(stopped.wait().code(), Some(0), "{:#?}", stopped.seen);
        let mut process = Process::start(program, &path);
        process.wait_for_line(&["address in use, waiting"]);
        process.signal("-HUP");
        drop(held);
        process.wait_until_started();
        process.signal("-TERM");
        assert_eq!(process.wait().code(), Some(0), "{:#?}", process.seen);
    }
}

/// A generator of numbers that repeats itself for one seed (splitmix64).
struct Random(u64);

impl Random {
    fn below(&mut self, most: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % most
    }
}

/// A client that uses its connection until the process is gone.
fn use_connection(address: (Ipv4Addr, u16)) {
    let Ok(mut stream) = TcpStream::connect(address) else {
        return;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    let request = b"GET /-/status HTTP/1.1\r\nHost: a\r\n\r\n";
    let mut answer = [0; 4096];
    while stream.write_all(request).is_ok() && stream.read(&mut answer).is_ok_and(|read| read > 0) {
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Processes take over from each other in a row, each started while the one before still serves,
/// with SIGHUP in series at both and clients on open connections. None ends but by SIGTERM, with
/// success.
pub fn soak(program: &str, name: &str, client_offset: u16, seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let mut random = Random(seed);
        let directory = Directory::new(&format!("{name}-soak-{seed}"));
        let path = directory.0.join("settings.toml");
        let ip = own_address();
        std::fs::write(&path, settings(&directory.0, ip)).expect("a file");
        let mut current = Process::start(program, &path);
        current.wait_until_signals_are_taken();
        for takeover in 0..3 {
            let what = format!("seed {seed}, takeover {takeover}");
            for _ in 0..random.below(4) {
                current.signal("-HUP");
                std::thread::sleep(Duration::from_millis(random.below(12)));
            }
            std::thread::spawn(move || use_connection((ip, FIRST_PORT + client_offset)));
            let mut next = Process::start(program, &path);
            next.wait_until_signals_are_taken();
            for _ in 0..random.below(4) {
                next.signal("-HUP");
                current.signal("-HUP");
                std::thread::sleep(Duration::from_millis(random.below(20)));
            }
            current.signal("-TERM");
            next.signal("-HUP");
            let status = current.wait();
            assert_eq!(
                status.code(),
                Some(0),
                "{what}: {status}: {:#?}",
                current.seen
            );
            next.signal("-HUP");
            next.wait_until_started();
            assert!(next.has_ended().is_none(), "{what}: {:#?}", next.seen);
            current = next;
        }
        current.signal("-TERM");
        let status = current.wait();
        assert_eq!(
            status.code(),
            Some(0),
            "seed {seed}: {status}: {:#?}",
            current.seen
        );
    }
}

/// The seeds of a soak: two, or those of `SOAK_SEEDS` (`FIRST..END`).
pub fn soak_seeds() -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else {
        return 0..2;
    };
    let (first, end) = text.split_once("..").expect("FIRST..END");
    first.parse().expect("a seed")..end.parse().expect("a seed")
}
