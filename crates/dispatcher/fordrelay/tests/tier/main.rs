//! `fordrelay tier` against stub servers on loopback.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

mod batch_jobs;
mod config;
mod controllers;
mod exit_codes;
mod local;
mod stub_server;

use std::path::PathBuf;
use std::process::Command;

/// The output and the exit code of the command.
struct Output {
    out: String,
    err: String,
    exit_code: i32,
}

/// Runs the command to its end.
fn tier(args: &[&str]) -> Output {
    let output = Command::new(env!("CARGO_BIN_EXE_fordrelay"))
        .arg("tier")
        .args(args)
        .output()
        .unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    Output {
        out: text(output.stdout),
        err: text(output.stderr),
        exit_code: output.status.code().unwrap(),
    }
}

/// A file that is removed with the test.
struct Temp(PathBuf);

impl Temp {
    fn new(name: &str, text: &str) -> Self {
        let path =
            std::env::temp_dir().join(format!("fordrelay-tier-{}-{name}", std::process::id()));
        std::fs::write(&path, text).unwrap();
        Temp(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

impl Drop for Temp {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}
