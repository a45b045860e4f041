//! How a keeper begins: who it is, who founded the tier, and what its disk gives back.

use bytes::Bytes;
use chain::Member;
use std::net::SocketAddr;
use tier_facts::{decode_addresses, encode_addresses};
use tier_settings::Settings;
use view::KeeperView;

/// What a record on a keeper's disk is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Of the agreement.
    View = 1,
    /// Of the chain.
    Chain = 2,
    /// Who founded the tier: the first record of all on a founder's disk.
    Founding = 3,
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
    views: Vec<Bytes>,
    writes: Vec<Bytes>,
}

impl Found {
    /// The next record; those of other kinds are passed over.
    pub fn take(&mut self, kind: u8, body: Bytes) {
        match kind {
            k if k == Kind::View as u8 => self.views.push(body),
            k if k == Kind::Chain as u8 => self.writes.push(body),
            k if k == Kind::Founding as u8 => self.founders = decode_addresses(&body),
            _ => {}
        }
    }

    pub(crate) fn recovered(&self) -> Result<(view::Recovered, chain::Recovered), Unreadable> {
        let (mut views, mut writes) = (view::Recovered::default(), chain::Recovered::default());
        for record in &self.views {
            views.read(record).map_err(|e| Unreadable(e.to_string()))?;
        }
        for record in &self.writes {
            writes.replay(chain::Write::decode(record).map_err(|e| Unreadable(e.to_string()))?);
        }
        Ok((views, writes))
    }
}

/// Who a keeper is.
#[derive(Debug, Clone)]
pub struct Begin {
    /// Its address, and the identity of its disk.
    pub me: Member,
    /// Drawn at this start.
    pub life: u64,
    /// The founding view, if this disk was there at the founding.
    pub founding: Option<KeeperView>,
}

impl Begin {
    /// Who this one is. `fresh`: the disk was empty, and `identity` was drawn for it. With it the record, if any, that
    /// has to be on disk before the keeper says anything.
    pub fn new(
        settings: &Settings,
        addr: SocketAddr,
        life: u64,
        (fresh, identity): (bool, u64),
        found: &Found,
    ) -> (Self, Option<Bytes>) {
        let founders = founders(settings, addr, fresh, found);
        let founder = founders.contains(&addr) && (fresh || !found.founders.is_empty());
        let me = Member { id: if founder { 0 } else { identity }, addr, since: 0 };
        let record = (fresh && !founders.is_empty()).then(|| encode_addresses(&founders));
        let founding = (!founders.is_empty()).then(|| founding(&founders));
        (Begin { me, life, founding }, record)
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
    let peers = settings.keeper_peers();
    if peers.is_empty() {
        vec![addr]
    } else {
        peers
    }
}

fn founding(founders: &[SocketAddr]) -> KeeperView {
    let members: Vec<Member> = founders.iter().map(|addr| Member { id: 0, addr: *addr, since: 1 }).collect();
    KeeperView {
        view: chain::View { number: 1, members: members.clone(), joining: Vec::new() },
        acceptors: members,
    }
}
