//! Reloading the settings file in the running process: what of it takes effect, checked completely
//! before anything does.
//!
//! A file that is another process's or that was truncated can still be a valid file of its own,
//! with defaults for all that is missing: it is refused by comparing it with what the process was
//! started with.

use crate::error::{Fault, SettingsError, FILE};
use crate::reader::TableReader;
use crate::{Bounds, Settings};

/// A key that a reload may change, with its table; the table is empty at the top.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ReloadableKey {
    table: &'static str,
    key: &'static str,
}

/// Which keys a file had, and how it ended: tells a complete file from a truncated one.
#[derive(Debug, Clone)]
pub(crate) struct FileOutline {
    /// The keys that were there, of those that a reload may change.
    keys: Vec<ReloadableKey>,
    ends_with_line_end: bool,
}

/// How a file was written is no part of what it says.
impl PartialEq for FileOutline {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl FileOutline {
    pub fn of(text: &str, top: &TableReader<'_>) -> Result<Self, SettingsError> {
        let bounds = top.table("Bounds")?;
        let in_bounds = |key: &&str| bounds.as_ref().is_some_and(|bounds| bounds.has(key));
        let names = Bounds::KEYS
            .iter()
            .map(|bound| bound.key)
            .chain(["QuotaExcess", "CanaryShare"]);
        let names = names.filter(in_bounds);
        let mut keys: Vec<_> = names
            .map(|key| ReloadableKey {
                table: "Bounds",
                key,
            })
            .collect();
        let at_top = ["Peers", "Bounds"].into_iter().filter(|key| top.has(key));
        keys.extend(at_top.map(|key| ReloadableKey { table: "", key }));
        Ok(FileOutline {
            keys,
            ends_with_line_end: text.ends_with('\n'),
        })
    }
}

/// What a reload changes.
#[derive(Debug, Clone, PartialEq)]
pub struct Reload {
    /// The settings from now on: those before, with `Peers` and `Bounds` of the file.
    pub settings: Settings,
    /// They differ from those before.
    pub changed: bool,
    /// Keys whose value in the file differs, and takes effect only at the next start.
    pub restart_required: Vec<&'static str>,
}

impl Settings {
    /// What the process takes of the file that was read again.
    ///
    /// # Errors
    /// The file is another process's, or was truncated; then nothing of it is to be taken.
    pub fn reload(&self, file: &Settings) -> Result<Reload, SettingsError> {
        self.check_same_process(file)?;
        self.check_complete(file)?;
        let mut settings = self.clone();
        (settings.peers, settings.bounds) = (file.peers.clone(), file.bounds);
        settings.outline = file.outline.clone();
        let changed = settings != *self;
        Ok(Reload {
            settings,
            changed,
            restart_required: self.restart_required(file),
        })
    }

    fn check_same_process(&self, file: &Settings) -> Result<(), SettingsError> {
        let same = [
            ("Node", self.node == file.node),
            ("Role", self.role == file.role),
            ("Ip", self.ip == file.ip),
            ("PortRange", self.port_range == file.port_range),
        ];
        match same.iter().find(|(_, same)| !same) {
            None => Ok(()),
            Some((key, _)) => Err(SettingsError::new(key, Fault::OtherProcess)),
        }
    }

    fn check_complete(&self, file: &Settings) -> Result<(), SettingsError> {
        if self.outline.ends_with_line_end && !file.outline.ends_with_line_end {
            return Err(SettingsError::new(FILE, Fault::NoLineEnd));
        }
        let missing = |key: &&ReloadableKey| !file.outline.keys.contains(key);
        if let Some(ReloadableKey { table, key }) = self.outline.keys.iter().find(missing) {
            let path = if table.is_empty() {
                (*key).to_owned()
            } else {
                format!("{table}.{key}")
            };
            return Err(SettingsError::new(&path, Fault::KeyRemoved));
        }
        if file.peers.is_empty() && !self.peers.is_empty() {
            return Err(SettingsError::new("Peers", Fault::NoPeersLeft));
        }
        Ok(())
    }

    /// The keys whose value differs and that are read at the start alone. `Bootstrap` is not among
    /// them: it differs after the first start, and has no effect then.
    fn restart_required(&self, file: &Settings) -> Vec<&'static str> {
        let same = [
            ("Serves", self.serves == file.serves),
            ("Zone", self.zone == file.zone),
            ("Region", self.region == file.region),
            ("Voting", self.voting == file.voting),
            ("DataDir", self.data_dir == file.data_dir),
            ("HeartbeatMs", self.heartbeat_ms == file.heartbeat_ms),
            ("Guarantees", self.guarantees == file.guarantees),
            ("Zones", self.zones == file.zones),
            (
                "Bind",
                (self.http, self.readyz, self.ctl) == (file.http, file.readyz, file.ctl),
            ),
            ("Limits", self.limits == file.limits),
            ("FaultBudget", self.fault_budget == file.fault_budget),
        ];
        same.into_iter()
            .filter(|(_, same)| !same)
            .map(|(key, _)| key)
            .collect()
    }
}
