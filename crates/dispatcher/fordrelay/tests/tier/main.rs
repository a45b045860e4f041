//! `fordrelay tier` against stand-ins on loopback.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]
#![expect(clippy::too_many_lines, reason = "not revised yet")]

mod batch;
mod config;
mod forms;
mod offline;
mod standin;
mod state;

use std::path::PathBuf;
use std::process::Command;

/// What the command said, and how it ended.
struct Said {
    out: String,
    err: String,
    end: i32,
}

/// Runs the command to its end.
fn tier(args: &[&str]) -> Said {
    let output = Command::new(env!("CARGO_BIN_EXE_fordrelay"))
        .arg("tier")
        .args(args)
        .output()
        .unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    Said {
        out: text(output.stdout),
        err: text(output.stderr),
        end: output.status.code().unwrap(),
    }
}

/// A file that is gone when the test is.
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
