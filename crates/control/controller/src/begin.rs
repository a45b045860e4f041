//! How a controller begins: who it is, who founded the tier, and what its disk gives back.

use bytes::Bytes;
use chain_replication::Member;
use replicated_state::{decode_addresses, encode_addresses};
use std::net::SocketAddr;
use tier_settings::Settings;

/// What a record on a controller's disk is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Of the agreement.
    View = 1,
    /// Of the chain.
    Chain = 2,
    /// Who is to found the tier: the first record of all on a founder's disk.
    Founding = 3,
    /// Of the agreement on the first view.
    FirstView = 4,
}

/// A record on disk that this version can't read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct Unreadable(String);

/// What was on disk.
#[derive(Debug, Clone, Default)]
pub struct Found {
    /// The founders, if this disk was there then.
    pub founders: Vec<SocketAddr>,
    first_view: Vec<Bytes>,
    views: Vec<Bytes>,
    writes: Vec<Bytes>,
}

impl Found {
    /// The next record; those of other kinds are passed over.
    pub fn take(&mut self, kind: u8, body: Bytes) {
        match kind {
            k if k == Kind::View as u8 => self.views.push(body),
            k if k == Kind::Chain as u8 => self.writes.push(body),
            k if k == Kind::FirstView as u8 => self.first_view.push(body),
            k if k == Kind::Founding as u8 => {
                self.founders = decode_addresses(&body).unwrap_or_default()
            }
            _ => {}
        }
    }

    /// What it holds of a founding.
    pub(crate) fn founding(&self) -> Result<view_agreement::RecoveredAcceptor, Unreadable> {
        let mut first = view_agreement::RecoveredAcceptor::default();
        for record in &self.first_view {
            first.read(record).map_err(|e| Unreadable(e.to_string()))?;
        }
        Ok(first)
    }

    /// Whether this is the disk of a founder of a version in which all founders had the identity 0.
    fn is_of_old_founder(&self, addr: SocketAddr) -> bool {
        let chosen = |record: &Bytes| match view_agreement::Record::decode(record) {
            Ok(view_agreement::Record::Chosen { value }) => Some(value),
            _ => None,
        };
        let zero = |value: view_agreement::ControllerView| {
            value.acceptors.iter().any(|m| m.id == 0 && m.addr == addr)
        };
        self.founders.contains(&addr) && self.views.iter().filter_map(chosen).any(zero)
    }

    pub(crate) fn recovered(
        &self,
    ) -> Result<
        (
            view_agreement::RecoveredAcceptor,
            chain_replication::RecoveredLog,
        ),
        Unreadable,
    > {
        let (mut views, mut writes) = (
            view_agreement::RecoveredAcceptor::default(),
            chain_replication::RecoveredLog::default(),
        );
        for record in &self.views {
            views.read(record).map_err(|e| Unreadable(e.to_string()))?;
        }
        for record in &self.writes {
            writes.replay(
                chain_replication::LogRecord::decode(record)
                    .map_err(|e| Unreadable(e.to_string()))?,
            );
        }
        Ok((views, writes))
    }
}

/// Who a controller is.
#[derive(Debug, Clone)]
pub struct Begin {
    /// Its address, and the identity of its disk.
    pub me: Member,
    /// Drawn at this start.
    pub incarnation: u64,
    /// Those with whom it founds the tier, if it is one of them and knows no view yet.
    pub founders: Vec<SocketAddr>,
}

impl Begin {
    /// Who this one is. `fresh`: the disk was empty, and `identity` was drawn for it. With it the record, if any, that
    /// has to be on disk before the controller says anything.
    pub fn new(
        settings: &Settings,
        addr: SocketAddr,
        incarnation: u64,
        (fresh, identity): (bool, u64),
        found: &Found,
    ) -> (Self, Option<Bytes>) {
        let founders = founders(settings, addr, fresh, found);
        let me = Member {
            id: if found.is_of_old_founder(addr) {
                0
            } else {
                identity
            },
            addr,
            since: 0,
        };
        let record = (fresh && !founders.is_empty()).then(|| encode_addresses(&founders));
        let founds = founders.contains(&addr) && found.views.is_empty();
        (
            Begin {
                me,
                incarnation,
                founders: if founds { founders } else { Vec::new() },
            },
            record,
        )
    }
}

/// The founders that this process knows of: those on its disk, or its peers when the whole tier starts for the first time.
fn founders(settings: &Settings, addr: SocketAddr, fresh: bool, found: &Found) -> Vec<SocketAddr> {
    if !found.founders.is_empty() {
        return found.founders.clone();
    }
    if !(fresh && settings.bootstrap) {
        return Vec::new();
    }
    let peers = settings.controller_peers();
    if peers.is_empty() {
        vec![addr]
    } else {
        peers
    }
}
