//! The program: its exit status and the code of its last line for each way to fail, and an orderly
//! end after SIGTERM.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use write_ahead_log::{open_for, owner_id, Options, Record};

struct Directory(PathBuf);

impl Directory {
    fn new(name: &str) -> Directory {
        let path =
            std::env::temp_dir().join(format!("controller-program-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).expect("a directory");
        Directory(path)
    }

    fn data(&self) -> PathBuf {
        self.0.join("data")
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address").port()
}

fn settings(node: &str, data: &Path, peers: u16, ctl: u16) -> String {
    format!(
        "Node = \"{node}\"\nRole = \"controller\"\nMachineClass = \"edge\"\nServes = [\"ctl\"]\nIp = \"127.0.0.1\"\n\
         Zone = \"z\"\nRegion = \"r\"\nPortRange = [{peers},{peers}]\nPeers = [\"127.0.0.1:{ctl}\"]\nBootstrap = true\n\
         DataDir = \"{}\"\nHeartbeatMs = 1200\n[Bind]\nCtl = \"127.0.0.1:{ctl}\"\n[Limits]\nDiskMb = 40\n",
        data.display()
    )
}

fn start(directory: &Directory, settings: &str) -> Child {
    let path = directory.0.join("settings.toml");
    std::fs::write(&path, settings).expect("a file");
    Command::new(env!("CARGO_BIN_EXE_fordrelay-controller"))
        .env("FORDRELAY_BOOT", path)
        .stdin(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program")
}

/// Exit status, level and code of the last line.
fn end(child: Child) -> String {
    let output = child.wait_with_output().expect("an end");
    let text = String::from_utf8(output.stderr).expect("text");
    let last = text.lines().last().unwrap_or_default();
    let of = |key: &str| {
        last.split(' ')
            .find(|word| word.starts_with(key))
            .unwrap_or("-")
            .to_owned()
    };
    format!("{:?} {} {}", output.status.code(), of("lvl="), of("code="))
}

#[test]
fn settings_that_cannot_be_read_end_it_with_1410() {
    let directory = Directory::new("settings");
    let sound = settings("edge-1", &directory.data(), free_port(), free_port());
    for settings in [
        "",
        "Node = ",
        &sound.replace("DiskMb = 40\n", ""),
        &sound.replace("Ctl =", "Other ="),
    ] {
        assert_eq!(
            end(start(&directory, settings)),
            "Some(1) lvl=crit code=1410",
            "{settings}"
        );
    }
}

#[test]
fn a_port_that_is_taken_ends_it_with_1411() {
    let directory = Directory::new("port");
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
    let port = taken.local_addr().expect("an address").port();
    let settings = settings("edge-1", &directory.data(), free_port(), port);
    assert_eq!(
        end(start(&directory, &settings)),
        "Some(1) lvl=crit code=1411"
    );
}

#[test]
fn a_disk_that_cannot_be_opened_ends_it_with_1412() {
    let directory = Directory::new("disk");
    std::fs::write(directory.data(), "no directory").expect("a file");
    let settings = settings("edge-1", &directory.data(), free_port(), free_port());
    assert_eq!(
        end(start(&directory, &settings)),
        "Some(1) lvl=crit code=1412"
    );
}

const OPTIONS: Options = Options {
    segment_bytes: 8 << 20,
    max_segments: 4,
};

/// Makes the disk of a controller, with this record on it.
fn with_record(directory: &Directory, node: &str, record: Record) {
    let opened = open_for(
        &directory.data(),
        OPTIONS,
        write_ahead_log::OpenAs {
            new_identity: 77,
            owner: owner_id(node, "controller"),
        },
    )
    .expect("an empty disk");
    let ticket = opened.log.append(record).expect("room");
    let synced = opened.log.synced_lsn();
    while *synced.borrow() < ticket {
        std::thread::sleep(Duration::from_millis(1));
    }
}

#[test]
fn the_disk_of_another_machine_ends_it_with_1413() {
    let directory = Directory::new("foreign");
    let record = Record {
        kind: 9,
        group: 0,
        number: 0,
        body: "unknown kinds are left alone".into(),
    };
    with_record(&directory, "edge-2", record);
    let settings = settings("edge-1", &directory.data(), free_port(), free_port());
    assert_eq!(
        end(start(&directory, &settings)),
        "Some(1) lvl=crit code=1413"
    );
}

#[test]
fn a_record_that_cannot_be_read_ends_it_with_1414() {
    for kind in [1, 2] {
        let directory = Directory::new(&format!("record-{kind}"));
        let record = Record {
            kind,
            group: 0,
            number: 0,
            body: "none of these".into(),
        };
        with_record(&directory, "edge-1", record);
        let settings = settings("edge-1", &directory.data(), free_port(), free_port());
        assert_eq!(
            end(start(&directory, &settings)),
            "Some(1) lvl=crit code=1414"
        );
    }
}

#[test]
fn after_sigterm_it_ends_with_success() {
    let directory = Directory::new("stop");
    let (peers, ctl) = (free_port(), free_port());
    let mut child = start(
        &directory,
        &settings("edge-1", &directory.data(), peers, ctl),
    );
    let mut lines = BufReader::new(child.stderr.take().expect("its log")).lines();
    let until = Instant::now() + Duration::from_secs(20);
    while std::net::TcpStream::connect(("127.0.0.1", ctl)).is_err() {
        assert!(Instant::now() < until, "it does not listen");
        std::thread::sleep(Duration::from_millis(10));
    }
    // Its handlers are there once it says that it starts.
    while !lines
        .next()
        .expect("a line")
        .expect("text")
        .contains("addr=127.0.0.1")
    {}
    std::thread::sleep(Duration::from_millis(300));
    let killed = Command::new("kill")
        .args(["-TERM", &child.id().to_string()])
        .status()
        .expect("kill");
    assert!(killed.success());
    let rest: Vec<String> = lines.map_while(Result::ok).collect();
    assert_eq!(child.wait().expect("an end").code(), Some(0), "{rest:?}");
}

/// Guards against SHORT: the order of a roll-out was answered 404, so that it was never acknowledged.
#[test]
fn the_order_of_a_rollout_is_a_call_that_exists() {
    let directory = Directory::new("rollout");
    let (peers, ctl) = (free_port(), free_port());
    let settings = settings("edge-1", &directory.data(), peers, ctl);
    let mut child = start(&directory, &settings);
    let until = Instant::now() + Duration::from_secs(20);
    let mut stream = loop {
        if let Ok(stream) = std::net::TcpStream::connect(("127.0.0.1", ctl)) {
            break stream;
        }
        assert!(Instant::now() < until, "it does not listen");
        std::thread::sleep(Duration::from_millis(10));
    };
    let body = r#"{"Svc":"s","Target":"v2","OverS":12}"#;
    let request = format!(
        "POST /-/rollouts/begin HTTP/1.1\r\nHost: c\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).expect("a request");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    child.kill().expect("its end");
    child.wait().expect("its end");
    // Without a configuration nothing can be ordered yet, and the caller is to come again.
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
}
