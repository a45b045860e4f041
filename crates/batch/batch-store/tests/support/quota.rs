//! Quotas over partitions: messages about reservations that are lost, duplicated and late, and what
//! must hold whatever they do.

use super::losses::Planted;
use super::{Event, World};
use batch::wire::{
    AuditRequest, AuditResponse, Message, ReserveRequest, ReserveResponse, AUDIT, AUDIT_RESPONSE,
    RESERVE, RESERVE_PROGRESS, RESERVE_RESPONSE,
};
use bytes::Bytes;
use std::collections::BTreeMap;

/// By how many thousandths the waiting tokens may pass a limit.
pub const EXCESS_PERMILLE: u32 = 100;
/// A refusal rests on audits that are half a second old at most, and the request's delay: so long
/// in calm, and where calls are answered late.
const RESTS_ON_IN_CALM: u64 = 800;
const RESTS_ON: u64 = 2_500;
/// A duplicated message comes so much later at most.
const LATE: u64 = 4_000;
/// So often a message is repeated where a fault is planted that lets a late one count.
const COPIES: u64 = 4;
/// A late request reserves tokens for no job until the next audit: the most tokens of a batch job.
const ONE_SHARE: u64 = 1_200;

/// The `MaxQueued` of a host's route (0: no limit).
pub fn limit(host: &str) -> u64 {
    match host {
        "one.example" => 1_500,
        "two.example" => 6_000,
        _ => 0,
    }
}

fn most(host: &str) -> u64 {
    limit(host) + limit(host) * u64::from(EXCESS_PERMILLE) / 1_000
}

/// Whether a frame is a message about reservations.
pub fn is_quota_message(kind: u16) -> bool {
    [
        RESERVE,
        RESERVE_PROGRESS,
        RESERVE_RESPONSE,
        AUDIT,
        AUDIT_RESPONSE,
    ]
    .contains(&kind)
}

#[derive(Default)]
pub struct Words {
    /// For the planted faults: the newest asking for a batch job, and the newest audit of a
    /// partition by a home.
    asked: BTreeMap<String, (u64, u64)>,
    audited: BTreeMap<(u16, u16), (u64, u64)>,
    /// The last grant for a batch job.
    granted: BTreeMap<String, Bytes>,
}

impl World {
    /// Carries a message as the links do, and now and then loses it or repeats it, late and
    /// out of its order.
    pub fn carry_quota_message(&mut self, from: usize, to: usize, kind: u16, body: &Bytes) {
        let faulty = self.loses_quota_messages();
        self.record_quota_message(kind, body);
        // For one second of three hardly any comes through: batch jobs are given up whose tokens
        // are reserved.
        let bad = (self.now / 1_000).is_multiple_of(3);
        // Where any grant counts, most are lost the first time: their batch jobs are asked for anew
        // once the promise has ended.
        let first_lost =
            self.planted == Some(Planted::GrantOfAnyAsking) && kind == RESERVE_RESPONSE;
        let lost = faulty
            && if bad || first_lost {
                self.below(10) < 7
            } else {
                self.below(30) == 0
            };
        let copies = self.copies(kind, faulty);
        let addr = self.processes[from].addr;
        let delay = self.way(from, to);
        self.repeat_grant(from, to, kind, body);
        if let Some(delay) = delay.filter(|_| !lost) {
            self.at(
                delay,
                Event::Message {
                    to,
                    from: addr,
                    kind,
                    body: body.clone(),
                },
            );
        }
        for _ in 0..copies {
            if let Some(delay) = delay {
                let (late, body) = (self.below(LATE), body.clone());
                self.at(
                    delay + late,
                    Event::Message {
                        to,
                        from: addr,
                        kind,
                        body,
                    },
                );
            }
        }
    }

    /// Where any grant counts, a batch job that is asked for anew hears the last one again: batch
    /// jobs wait for a grant only shortly, and a copy that comes by chance would hardly ever meet
    /// one that waits.
    fn repeat_grant(&mut self, from: usize, to: usize, kind: u16, body: &Bytes) {
        if self.planted != Some(Planted::GrantOfAnyAsking) || !self.loses_quota_messages() {
            return;
        }
        if kind == RESERVE_RESPONSE {
            let message = ReserveResponse::decode(body).expect("a grant");
            if message.granted {
                self.quota
                    .granted
                    .insert(message.attempt.batch_job.to_string(), body.clone());
            }
        } else if kind == RESERVE {
            let call = ReserveRequest::decode(body).expect("an asking");
            if let (Some(body), Some(delay)) = (
                self.quota.granted.get(call.job.batch_job.as_str()).cloned(),
                self.way(to, from),
            ) {
                let addr = self.processes[to].addr;
                self.at(
                    delay,
                    Event::Message {
                        to: from,
                        from: addr,
                        kind: RESERVE_RESPONSE,
                        body,
                    },
                );
            }
        }
    }

    fn loses_quota_messages(&self) -> bool {
        let faults = &self.faults;
        let any =
            faults.kills || faults.disks || faults.cuts || faults.all_off || faults.quota_messages;
        any && !self.healing
    }

    /// How often a message is repeated.
    fn copies(&mut self, kind: u16, faulty: bool) -> u64 {
        match (self.planted, kind) {
            (Some(Planted::GrantOfAnyAsking), RESERVE_RESPONSE)
            | (Some(Planted::WordOnAnyAudit), AUDIT_RESPONSE)
                if faulty =>
            {
                COPIES
            }
            (Some(Planted::GrantOfAnyAsking | Planted::WordOnAnyAudit), _) => 0,
            _ => u64::from(faulty && self.below(4) == 0),
        }
    }

    fn record_quota_message(&mut self, kind: u16, body: &Bytes) {
        match kind {
            RESERVE => {
                let call = ReserveRequest::decode(body).expect("an asking");
                self.quota.asked.insert(
                    call.job.batch_job.to_string(),
                    (call.incarnation, call.nonce),
                );
            }
            AUDIT => {
                let call = AuditRequest::decode(body).expect("an audit");
                self.quota
                    .audited
                    .insert((call.home, call.partition), (call.incarnation, call.audit));
            }
            _ => {}
        }
    }

    /// A message as it arrives: where a fault is planted, not as it was sent.
    pub fn planted_message(&self, kind: u16, body: Bytes) -> Bytes {
        match (self.planted, kind) {
            (Some(Planted::GrantOfAnyAsking), RESERVE_RESPONSE) => {
                let mut message = ReserveResponse::decode(&body).expect("a grant");
                if let Some((incarnation, nonce)) =
                    self.quota.asked.get(message.attempt.batch_job.as_str())
                {
                    (message.attempt.incarnation, message.attempt.nonce) = (*incarnation, *nonce);
                }
                message.encode()
            }
            (Some(Planted::WordOnAnyAudit), AUDIT_RESPONSE) => {
                let mut message = AuditResponse::decode(&body).expect("a word");
                if let Some((incarnation, audit)) =
                    self.quota.audited.get(&(message.home, message.partition))
                {
                    (message.incarnation, message.audit) = (*incarnation, *audit);
                }
                message.encode()
            }
            (Some(Planted::PartitionForgotten), AUDIT_RESPONSE) => {
                let mut message = AuditResponse::decode(&body).expect("a word");
                if message.partition == 0 {
                    message.jobs.iter_mut().for_each(|left| left.tokens = 0);
                }
                message.encode()
            }
            _ => body,
        }
    }

    /// At an acknowledgement no more waits than may.
    pub fn check_quota(&self, host: &str) {
        if limit(host) == 0 {
            return;
        }
        let batch_jobs = self
            .gateways
            .batch_jobs
            .values()
            .filter(|batch_job| batch_job.host == host);
        let waiting: u64 = batch_jobs.map(|batch_job| batch_job.surely_waiting()).sum();
        assert!(
            waiting <= most(host),
            "{host}: {waiting} tokens wait at {}, {} may",
            self.now,
            most(host)
        );
    }

    /// A batch job exceeds its quota only if it did not fit a moment ago; where messages come late,
    /// one share may be reserved for no job.
    pub fn check_full(&self, name: &str, host: &str, tokens: u64) {
        let since = self.now.saturating_sub(if self.loses_quota_messages() {
            RESTS_ON
        } else {
            RESTS_ON_IN_CALM
        });
        let others = self
            .gateways
            .batch_jobs
            .iter()
            .filter(|(other, batch_job)| *other != name && batch_job.host == host);
        let waited: u64 = others
            .map(|(_, batch_job)| batch_job.perhaps_waiting(since))
            .sum();
        let share = if self.loses_quota_messages() {
            ONE_SHARE
        } else {
            0
        };
        assert!(
            waited + tokens + share > most(host),
            "{name}: refused at {}, though {tokens} beside {waited} fit into {}",
            self.now,
            most(host)
        );
    }
}
