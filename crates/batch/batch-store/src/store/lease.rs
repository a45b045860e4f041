//! The store's lease from the controllers: heartbeats and the leases that answer them.

use super::{Effect, FrameError, Lifecycle, Store};
use crate::responder::Responder;
use batch::wire::{Heartbeat, LeaseGrant, Message as _, PartitionStatus, HEARTBEAT};
use batch::BatchJobTable;
use chain_replication::{Millis, Replica};
use std::net::SocketAddr;

/// A longer lease is invalid: several times what controllers grant, and short beside the harm that
/// a tail could do which was replaced.
const MAX_LEASE_MS: Millis = 3_000;
/// After so long without a lease the leading controller may be another one: the heartbeat goes to
/// all controllers then.
const GRANT_TIMEOUT_MS: Millis = 900;

/// The state of the lease.
#[derive(Debug, Default)]
pub(super) struct ControllerLease {
    /// The lease ends at this time.
    until: Millis,
    /// When the last lease was granted.
    granted_at: Millis,
    /// When the newest heartbeat was sent that was answered.
    answered_ms: Millis,
    heartbeat_at: Option<Millis>,
}

impl ControllerLease {
    pub fn is_held(&self, now: Millis) -> bool {
        now < self.until
    }

    pub fn is_heartbeat_due(&self, now: Millis, interval_ms: u64) -> bool {
        self.heartbeat_at
            .is_none_or(|at| now.saturating_sub(at) >= interval_ms)
    }

    /// Sends the next heartbeat with the next tick.
    pub fn send_heartbeat_soon(&mut self) {
        self.heartbeat_at = None;
    }
}

impl<R: Responder> Store<R> {
    /// A controller grants a lease.
    pub(super) fn handle_grant(
        &mut self,
        now: Millis,
        from: SocketAddr,
        grant: &LeaseGrant,
    ) -> Result<(), FrameError> {
        if !self.controllers.contains(&from) || grant.lease_ms > MAX_LEASE_MS {
            return Err(FrameError::InvalidLease(grant.lease_ms));
        }
        self.lease.granted_at = now;
        if grant.sent_ms > now {
            return Ok(());
        }
        self.lease.answered_ms = self.lease.answered_ms.max(grant.sent_ms);
        // A newer map may have other tails: its lease is none for the views known here.
        if self.map.as_ref().is_some_and(|map| map.number >= grant.map) {
            let until = grant.sent_ms.saturating_add(grant.lease_ms);
            self.lease.until = self.lease.until.max(until);
        }
        Ok(())
    }

    pub(super) fn send_heartbeat(&mut self, now: Millis) {
        self.lease.heartbeat_at = Some(now);
        let status = |(number, replica): (u16, &Replica<BatchJobTable>)| PartitionStatus {
            partition: number,
            status: replica.status(),
            batch_jobs: u32::try_from(replica.state_machine().len()).unwrap_or(u32::MAX),
            bytes: replica.state_machine().expected_bytes() as u64,
        };
        let heartbeat = Heartbeat {
            addr: self.config.addr,
            id: self.config.id,
            node: self.config.node.clone(),
            zone: self.config.zone.clone(),
            sent_ms: now,
            map: self.map.as_ref().map_or(0, |map| map.number),
            statuses: self.replicas().map(status).collect(),
            disk_used: self.disk.used,
            disk_size: self.disk.size,
            leaving: self.lifecycle != Lifecycle::Running,
            capacity: self.capacity(),
            stalled: self.is_stalled(now) || !self.health.is_writable(),
            answered_ms: self.lease.answered_ms,
        };
        let body = heartbeat.encode();
        let is_late = now.saturating_sub(self.lease.granted_at) >= GRANT_TIMEOUT_MS;
        let receivers = if is_late { self.controllers.len() } else { 1 };
        for controller in self.controllers.iter().take(receivers) {
            self.effects.push(Effect::Send {
                to: *controller,
                kind: HEARTBEAT,
                body: body.clone(),
            });
        }
    }
}
