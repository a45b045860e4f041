//! The operators' listener and file, on the whole program.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]
#![expect(clippy::too_many_lines, reason = "not revised yet")]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

const PLATFORM: &str = r#"{"name":"t","listen":"127.0.0.1:0","discovery":"127.0.0.1:DISCOVERY","seed":"2a","settings":{"allowed":
{"attempts-cap":3},"classes":[{"name":"watch","effect":"pure","slo-ms":400,"hard-limit-ms":5000}],"goal":{"whole":1},
"discovery":"on_request","peers-total":1,"rules":{"cold-ms":1,"fall-ms":1,"start-capacity":1,"tip-multiple":3},"tick-ms":5}}"#;
const OPERATOR: &str =
    "log {\n  format = \"json\"\n}\nadmin {\n  listen = \"127.0.0.1:0\"\n  connections = 2\n}\nlevels {
  level \"trim\" {\n    enter {\n      wait_ms = 100\n    }\n  }\n}\n";

struct Program {
    child: Child,
    log: BufReader<std::process::ChildStderr>,
    operator: PathBuf,
    files: Vec<PathBuf>,
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.files
            .iter()
            .for_each(|f| drop(std::fs::remove_file(f)));
    }
}

impl Program {
    fn start() -> Self {
        let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
        let port = discovery.local_addr().unwrap().port();
        let file = |kind: &str| {
            std::env::temp_dir().join(format!("fordrelay-{}-{port}.{kind}", std::process::id()))
        };
        let (config, operator) = (file("json"), file("hcl"));
        std::fs::write(&config, PLATFORM.replace("DISCOVERY", &port.to_string())).unwrap();
        std::fs::write(&operator, OPERATOR).unwrap();
        let mut program = Program::with(&config, operator.clone());
        program.files = vec![config, operator];
        program
    }

    /// With files that are somebody else's.
    fn with(config: &Path, operator: PathBuf) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_fordrelay"))
            .args([
                "serve",
                "--config",
                config.to_str().unwrap(),
                "--operator",
                operator.to_str().unwrap(),
            ])
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let log = BufReader::new(child.stderr.take().unwrap());
        Program {
            child,
            log,
            operator,
            files: vec![],
        }
    }

    /// Where operators are answered, once it says so.
    fn admin(&mut self) -> String {
        let line = self.wait_for("operators are answered on ");
        assert!(
            line.starts_with('{') && line.contains("\"message\":\"operators"),
            "JSON: {line}"
        );
        line.split("answered on ")
            .nth(1)
            .unwrap()
            .split('"')
            .next()
            .unwrap()
            .to_owned()
    }

    fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .args(["-s", name, &self.child.id().to_string()])
            .status();
        assert!(sent.unwrap().success());
    }

    /// Reads the log until a line holds the text.
    fn wait_for(&mut self, text: &str) -> String {
        let mut line = String::new();
        while !line.contains(text) {
            line.clear();
            assert!(
                self.log.read_line(&mut line).unwrap() > 0,
                "the program ended before it said {text:?}"
            );
        }
        line
    }

    fn reload(&mut self, operator: &str) {
        std::fs::write(&self.operator, operator).unwrap();
        self.signal("HUP");
    }
}

fn ask(addr: &str, method: &str, path: &str) -> String {
    let mut stream = TcpStream::connect(addr).unwrap();
    write!(
        stream,
        "{method} {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
    )
    .unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    text
}

/// The listener answers operators, has a level in force for them, and a faulty file leaves all as it was.
#[test]
fn operators_see_and_force_levels_and_a_faulty_file_changes_nothing() {
    let mut program = Program::start();
    let addr = program.admin();
    program.wait_for("serving on");
    let seen = ask(&addr, "GET", "/levels");
    assert!(
        seen.starts_with("HTTP/1.1 200") && seen.contains("\"level\":\"full\",\"rank\":0"),
        "{seen}"
    );
    assert!(ask(&addr, "GET", "/metrics").contains("fordrelay_level 0"));
    // Nobody is watched here: the command says so, and what it is missing.
    let command = |args: &[&str]| {
        let mut said = Command::new(env!("CARGO_BIN_EXE_fordrelay"));
        let output = said
            .arg("maintenance")
            .args(args)
            .args(["--admin", &addr])
            .output()
            .unwrap();
        (
            output.status.success(),
            String::from_utf8(output.stderr).unwrap(),
        )
    };
    assert_eq!(
        command(&[]),
        (false, "fordrelay: no plan is known\n".into())
    );
    let (followed, said) = command(&["submit", "--targets", "s-0"]);
    assert!(
        !followed && said.contains("needs the blocks membership and handover"),
        "{said}"
    );
    assert!(ask(&addr, "GET", "/").starts_with("HTTP/1.1 404"));
    assert!(ask(&addr, "GET", "/levels/force").starts_with("HTTP/1.1 405"));
    let refused = ask(&addr, "POST", "/levels/force?level=nope");
    assert!(
        refused.starts_with("HTTP/1.1 400") && refused.contains("none of full, trim, auto"),
        "{refused}"
    );
    let forced = ask(&addr, "POST", "/levels/force?level=trim&for_ms=60000");
    assert!(forced.contains("\"level\":\"trim\",\"rank\":1"), "{forced}");
    let line = program.wait_for("service level changed");
    assert!(
        line.contains("\"from\":\"full\",\"to\":\"trim\",\"cause\":\"forced\""),
        "{line}"
    );
    program.reload(&OPERATOR.replace("wait_ms = 100", "wait_ms = -1"));
    let line = program.wait_for("stays as it was");
    assert!(
        line.contains(".hcl:11: levels.level.trim.enter.wait_ms: must be over 0"),
        "{line}"
    );
    assert!(
        ask(&addr, "GET", "/levels").contains("\"level\":\"trim\""),
        "still forced"
    );
    program.reload(&OPERATOR.replace("\"trim\"", "\"other\""));
    program.wait_for("\"cause\":\"replaced\"");
    assert!(ask(&addr, "GET", "/levels").contains("\"levels\":[\"full\",\"other\"]"));
    // Callers that say nothing keep nobody out: the one that has waited longest makes room.
    let mut idle: Vec<_> = (0..2).map(|_| TcpStream::connect(&addr).unwrap()).collect();
    idle.push(TcpStream::connect(&addr).unwrap());
    assert!(ask(&addr, "GET", "/-/ready").starts_with("HTTP/1.1 200"));
    assert_eq!(idle[0].read(&mut [0; 1]).unwrap_or(0), 0, "closed");
    drop(idle);
}

/// Without an inherited socket, in the operators' folder: a word on a target outlives a process that was told to stop
/// and one that was killed, and a newcomer waits for the port of one that is still there.
#[test]
fn in_the_operators_folder_a_word_on_a_target_outlives_the_process() {
    let folder = std::env::temp_dir().join(format!("fordrelay-kept-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let (config, operator) = (folder.join("config.json"), folder.join("operator.hcl"));
    let port = || {
        TcpListener::bind("127.0.0.1:0")
            .unwrap()
            .local_addr()
            .unwrap()
            .port()
    };
    let known = r#""known":{"version":1,"full":true,"servers":[{"id":"s-0","addr":"127.0.0.1:9","zone":"a","kind":"k",
        "cell":0,"state":"ready","started_ms":0}]},"settings":{"zones":["a"],"models":["k"],"#;
    let text = PLATFORM
        .replace("DISCOVERY", &port().to_string())
        .replace("\"settings\":{", known);
    std::fs::write(
        &config,
        text.replace("127.0.0.1:0", &format!("127.0.0.1:{}", port())),
    )
    .unwrap();
    let kept = format!(
        "{OPERATOR}handover {{\n  folder = {:?}\n}}\n",
        folder.display().to_string()
    );
    std::fs::write(&operator, kept).unwrap();
    let start = || Program::with(&config, operator.clone());
    let out = |addr: &str| ask(addr, "GET", "/-/metrics").contains("\nsvc_pool_ejected 1\n");
    // It says that it serves a moment before its loop has begun, and shows nothing until then.
    let soon_out = |addr: &str| (0..200).any(|_| out(addr));

    let mut first = start();
    let admin = first.admin();
    first.wait_for("serving on");
    assert!(!out(&admin));
    assert!(ask(&admin, "PUT", "/-/runners/s-0/disable").starts_with("HTTP/1.1 200"));
    let mut second = start();
    let admin = second.admin();
    assert!(
        ask(&admin, "GET", "/-/ready").starts_with("HTTP/1.1 503"),
        "the first has the port"
    );
    first.signal("TERM");
    second.wait_for("serving on");
    assert!(first.child.wait().unwrap().success());
    assert!(soon_out(&admin), "it was told of the word");
    drop(second);
    let mut third = start();
    let admin = third.admin();
    third.wait_for("serving on");
    assert!(soon_out(&admin), "also by one that was killed");
    drop(third);
    std::fs::remove_dir_all(folder).unwrap();
}
