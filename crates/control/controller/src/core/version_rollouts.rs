//! The roll-outs under way, as the head leads them: reports in, shares and ends out.

use super::ControllerCore;
use crate::control_state::{Command, RolloutRecord};
use crate::version_rollout::{Evidence, Observation, RolloutPlan, Step, Verdict};
use chain_replication::Millis;
use peer_transport::Peer;
use relay_tree::Stamp;
use replicated_state::{
    rollout_key, runner_hash, RolloutEntry, RolloutReport, RolloutState, FULL_SHARE,
    ROLLOUT_RENEWAL_MS, ROLLOUT_REPORT_INTERVAL_MS,
};
use runner_registry::RunnerState;
use slog::info;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A gateway silent for so long is not waited for at the end; its counts stay.
const REPORT_TIMEOUT: Millis = 5 * ROLLOUT_REPORT_INTERVAL_MS;
/// Gateways of which reports are kept at most: several times the largest deployment.
const MAX_REPORTERS: usize = 4_096;
/// Runners of the new version that take part at least, where there are as many.
const MIN_RUNNERS: usize = 2;
/// An end that was proposed and is not committed is proposed anew after so long.
const PROPOSE_AGAIN: Millis = 1_000;
/// The minor part of the stamp of a roll-out that has ended: above all renewals.
const ENDED: u64 = 1 << 62;

/// The newest report of a gateway. Another incarnation counts from 0 again, so what the one before
/// saw is kept beside it.
struct Reporter {
    incarnation: u64,
    received_at: Millis,
    report: RolloutReport,
}

/// A roll-out that this controller leads.
struct LedRollout {
    id: u64,
    plan: RolloutPlan,
    reporters: BTreeMap<SocketAddr, Reporter>,
    /// What gateways had seen before they were restarted.
    earlier: Evidence,
    published_at: Option<Millis>,
    published: Option<RolloutEntry>,
    proposed_at: Option<Millis>,
}

impl LedRollout {
    fn new(record: &RolloutRecord, canary_share: f64) -> Self {
        LedRollout {
            id: record.id,
            plan: RolloutPlan::new(record.order.over_ms, canary_share),
            reporters: BTreeMap::new(),
            earlier: Evidence::default(),
            published_at: None,
            published: None,
            proposed_at: None,
        }
    }

    fn record(&mut self, now: Millis, from: &Peer, report: RolloutReport) {
        let reporter = Reporter {
            incarnation: from.id,
            received_at: now,
            report,
        };
        let is_known = self.reporters.contains_key(&from.addr);
        if !is_known && self.reporters.len() >= MAX_REPORTERS {
            return;
        }
        if let Some(before) = self.reporters.insert(from.addr, reporter) {
            if before.incarnation != from.id {
                self.earlier.add_report(&before.report);
            }
        }
    }

    fn evidence(&self) -> Evidence {
        let mut evidence = self.earlier.clone();
        for reporter in self.reporters.values() {
            evidence.add_report(&reporter.report);
        }
        evidence
    }

    /// Whether every gateway that is there sends all to the new version and has nothing elsewhere.
    fn old_is_idle(&self, now: Millis) -> bool {
        let mut reporters = 0;
        let is_idle =
            |report: &RolloutReport| report.share == FULL_SHARE && report.old_in_flight == 0;
        for reporter in self.reporters.values() {
            if now.saturating_sub(reporter.received_at) > REPORT_TIMEOUT {
                continue;
            }
            if !is_idle(&reporter.report) {
                return false;
            }
            reporters += 1;
        }
        reporters > 0
    }
}

/// The roll-outs that this controller leads, by service.
#[derive(Default)]
pub(super) struct LedRollouts {
    by_service: BTreeMap<Vec<u8>, LedRollout>,
}

/// The runners of a service on both sides.
struct Runners {
    new_slots: u64,
    old_slots: u64,
    /// Of the new version, in the order in which they take part.
    new_hashes: Vec<u64>,
}

impl Runners {
    /// The hash up to which runners take part in a share: each gets about as much as an old one.
    fn max_hash(&self, share: f64) -> u64 {
        let wanted = (share * self.new_hashes.len() as f64).ceil() as usize;
        let index = wanted.max(MIN_RUNNERS).min(self.new_hashes.len());
        let last = index
            .checked_sub(1)
            .and_then(|last| self.new_hashes.get(last));
        last.copied().unwrap_or(0)
    }
}

impl ControllerCore {
    /// A gateway's report; ignored where this controller does not lead that roll-out.
    pub(super) fn record_rollout_report(
        &mut self,
        now: Millis,
        from: &Peer,
        report: RolloutReport,
    ) {
        let led = self
            .led_rollouts
            .by_service
            .get_mut(report.service.as_bytes());
        if let Some(led) = led.filter(|led| led.id == report.rollout) {
            led.record(now, from, report);
        }
    }

    /// No longer the head: what it led is another one's.
    pub(super) fn stop_leading_rollouts(&mut self) {
        self.led_rollouts = LedRollouts::default();
    }

    /// Goes on with all roll-outs that are committed, and publishes them.
    pub(super) fn lead_rollouts(&mut self, now: Millis) {
        let committed = self.acknowledgeable();
        let state = self.chain.state_machine();
        if state.rollouts.is_empty() || committed < self.chain.last_received() {
            return;
        }
        for record in state.rollouts.values().cloned().collect::<Vec<_>>() {
            if record.state == RolloutState::Rolling {
                self.lead_rollout(now, &record);
            } else {
                self.led_rollouts.by_service.remove(&record.order.service);
                self.publish_ended_rollout(now, &record);
            }
        }
    }

    fn lead_rollout(&mut self, now: Millis, record: &RolloutRecord) {
        let service = String::from_utf8_lossy(&record.order.service).into_owned();
        let target = String::from_utf8_lossy(&record.order.target).into_owned();
        let canary_share = self.settings.bounds.canary_share;
        let led = self.led_rollouts.by_service.remove(&record.order.service);
        let led = led.filter(|led| led.id == record.id);
        let mut led = led.unwrap_or_else(|| {
            let mut led = LedRollout::new(record, canary_share);
            led.plan = led
                .plan
                .resume(now, self.published_share(&service, record.id));
            led
        });
        let runners = self.runners_of(&service, &target);
        let evidence = led.evidence();
        let (step, verdict) = (led.plan.step(), led.plan.verdict());
        led.plan.advance(
            now,
            &Observation {
                elapsed_ms: self.unix_ms.saturating_sub(record.order.begun_unix_ms),
                new_slots: runners.new_slots,
                old_slots: runners.old_slots,
                evidence: &evidence,
                old_is_idle: led.old_is_idle(now),
            },
        );
        if (step, verdict) != (led.plan.step(), led.plan.verdict()) {
            self.log_rollout_step(&service, &target, &led, &evidence);
        }
        self.end_rollout(now, &mut led);
        self.publish_rollout(now, &service, target, &mut led, &runners);
        self.led_rollouts
            .by_service
            .insert(record.order.service.clone(), led);
    }

    /// The share that was published last for this roll-out, by whoever led it then.
    fn published_share(&self, service: &str, id: u64) -> f64 {
        let entry = self.state_table.get(&rollout_key(service));
        let entry = entry.filter(|entry| entry.stamp.0 == id);
        let value = entry.and_then(|entry| entry.value.as_ref());
        let published = value.and_then(|value| RolloutEntry::decode(value).ok());
        published.map_or(0.0, |entry| f64::from(entry.share) / f64::from(FULL_SHARE))
    }

    fn log_rollout_step(&self, service: &str, target: &str, led: &LedRollout, evidence: &Evidence) {
        let step = match (led.plan.verdict(), led.plan.step()) {
            (Verdict::Reverted, _) => "reverted",
            (Verdict::Complete, _) => "complete",
            (_, Step::Canary) => "canary",
            (_, Step::Partial(_)) => "partial",
            (_, Step::Full) => "full",
        };
        let total = evidence.total();
        info!(self.log, "rollout step"; "svc" => service, "target" => target, "step" => step,
            "share" => led.plan.share(), "new" => total.new_answers, "new_bad" => total.new_bad,
            "old" => total.old_answers, "old_bad" => total.old_bad);
    }

    fn runners_of(&self, service: &str, target: &str) -> Runners {
        let mut runners = Runners {
            new_slots: 0,
            old_slots: 0,
            new_hashes: Vec::new(),
        };
        let up = self
            .registry
            .runners()
            .filter(|runner| runner.service == service && runner.state == RunnerState::Up);
        for runner in up {
            if runner.software_version == target {
                runners.new_slots += u64::from(runner.slots);
                runners.new_hashes.push(runner_hash(&runner.id));
            } else {
                runners.old_slots += u64::from(runner.slots);
            }
        }
        runners.new_hashes.sort_unstable();
        runners
    }

    /// Proposes the end that the plan has come to.
    fn end_rollout(&mut self, now: Millis, led: &mut LedRollout) {
        let state = match led.plan.verdict() {
            Verdict::Undecided => return,
            Verdict::Complete => RolloutState::Complete,
            Verdict::Reverted => RolloutState::Reverted,
        };
        if led.proposed_at.is_some_and(|at| now < at + PROPOSE_AGAIN) {
            return;
        }
        led.proposed_at = Some(now);
        let command = Command::EndRollout { id: led.id, state };
        self.chain.propose(command.encode());
    }

    /// Publishes the share: at once where it changes, else often enough that it stays in force.
    fn publish_rollout(
        &mut self,
        now: Millis,
        service: &str,
        target: String,
        led: &mut LedRollout,
        runners: &Runners,
    ) {
        let share = led.plan.share();
        let entry = RolloutEntry {
            target: target.into(),
            state: RolloutState::Rolling,
            share: (share * f64::from(FULL_SHARE)) as u32,
            max_runner_hash: runners.max_hash(share),
            report_to: self.me.addr,
        };
        let is_due = led
            .published_at
            .is_none_or(|at| now >= at + ROLLOUT_RENEWAL_MS);
        if !is_due && led.published.as_ref() == Some(&entry) {
            return;
        }
        let key = rollout_key(service);
        let newest = self.state_table.get(&key).map(|entry| entry.stamp);
        let newest = newest.filter(|stamp| stamp.0 == led.id);
        let stamp = Stamp(led.id, newest.map_or(0, |stamp| stamp.1) + 1);
        self.state_table.set(now, &key, stamp, Some(entry.encode()));
        led.published_at = Some(now);
        led.published = Some(entry);
    }

    fn publish_ended_rollout(&mut self, now: Millis, record: &RolloutRecord) {
        let key = rollout_key(&String::from_utf8_lossy(&record.order.service));
        let stamp = Stamp(record.id, ENDED);
        if self
            .state_table
            .get(&key)
            .is_some_and(|entry| entry.stamp >= stamp)
        {
            return;
        }
        let target = String::from_utf8_lossy(&record.order.target);
        let is_complete = record.state == RolloutState::Complete;
        let entry = RolloutEntry {
            target: target.as_ref().into(),
            state: record.state,
            share: if is_complete { FULL_SHARE } else { 0 },
            max_runner_hash: u64::MAX,
            report_to: self.me.addr,
        };
        self.state_table.set(now, &key, stamp, Some(entry.encode()));
        info!(self.log, "rollout ended"; "svc" => %key, "target" => %target,
            "complete" => is_complete);
    }
}
