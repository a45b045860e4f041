//! The platform's file as it is written. Keys are those of the deploy page.

use crate::list::TargetList;
use crate::settings_object::SettingsObject;
use serde::Deserialize;
use std::net::SocketAddr;

/// The file.
#[derive(Debug, Deserialize)]
pub(super) struct File {
    pub name: Option<String>,
    pub listen: Option<SocketAddr>,
    pub discovery: Option<SocketAddr>,
    pub seed: String,
    #[serde(default)]
    pub limits: LimitsFile,
    pub admin_addr: Option<SocketAddr>,
    pub peer_listen: Option<SocketAddr>,
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    pub peers_all: Option<SocketAddr>,
    pub known: Option<TargetList>,
    pub settings: SettingsObject,
}

#[derive(Debug, Default, Deserialize)]
pub(super) struct LimitsFile {
    pub sockets: Option<usize>,
    pub memory_mb: Option<usize>,
}
