//! One dispatcher of the rig: its processes, files and addresses.

use super::{ASK, READY, STOP};
use dispatch_api::Micros;
use hyper::Method;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::Instant;
use tokio::process::{Child, Command};

/// One dispatcher of the rig: its files and addresses stay, its processes come and go.
pub(super) struct Seat {
    pub(super) child: Option<Child>,
    /// It is stopped since then, and answers nobody.
    pub(super) paused: Option<Micros>,
    pub(super) listen: SocketAddr,
    pub(super) admin: SocketAddr,
    pub(super) config: PathBuf,
    pub(super) operator: PathBuf,
    pub(super) log: PathBuf,
    /// One that was told to stop, and may still answer.
    pub(super) leaving: Option<Child>,
    /// When each of its processes started and ended, Unix time in microseconds; 0 while it runs.
    pub(super) lives: Vec<(Micros, Micros)>,
}

pub(super) fn unix() -> Micros {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |d| d.as_micros() as Micros)
}

impl Seat {
    pub(super) fn start(&mut self) -> std::io::Result<()> {
        let log = self.log_of(self.lives.len());
        self.lives.push((unix(), 0));
        let child = Command::new(std::env::current_exe()?)
            .args(["dispatcher", "--config"])
            .arg(&self.config)
            .arg("--operator")
            .arg(&self.operator)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(std::fs::File::create(log)?)
            .kill_on_drop(true)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    pub(super) fn log_of(&self, life: usize) -> PathBuf {
        self.log.with_extension(format!("{}.log", life + 1))
    }

    pub(super) fn ended(&mut self) {
        self.lives
            .last_mut()
            .into_iter()
            .for_each(|life| life.1 = unix());
    }

    /// It is told to stop; whoever starts it again waits for its end.
    pub(super) async fn leave(&mut self) -> std::io::Result<()> {
        self.signal("TERM").await?;
        self.leaving = self.child.take();
        Ok(())
    }

    /// The process that was told to stop has ended, if there is one. Whether it ended well.
    pub(super) async fn gone(&mut self) -> bool {
        let Some(mut child) = self.leaving.take() else {
            return true;
        };
        let ended = tokio::time::timeout(STOP, child.wait()).await;
        self.ended();
        matches!(ended, Ok(Ok(status)) if status.success())
    }

    pub(super) async fn ready(&self) -> std::io::Result<()> {
        let began = Instant::now();
        while admin::request_text(self.admin, Method::GET, "/-/ready")
            .await
            .is_err()
        {
            if began.elapsed() > READY {
                return Err(std::io::Error::other(format!(
                    "no process is ready at {}",
                    self.log.display()
                )));
            }
            tokio::time::sleep(ASK).await;
        }
        Ok(())
    }

    pub(super) async fn signal(&self, name: &str) -> std::io::Result<()> {
        if let Some(id) = self.child.as_ref().and_then(Child::id) {
            Command::new("kill")
                .args(["-s", name, &id.to_string()])
                .status()
                .await?;
        }
        Ok(())
    }

    /// Whether its process ended without being told to.
    pub(super) fn crashed(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }
}
