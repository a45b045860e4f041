//! The side of a host's home partition: grants tokens to batch jobs of other partitions, and audits
//! how many of them are still queued.

use super::waits::Wait;
use super::{Context, Partition, PartitionEffect};
use crate::responder::Responder;
use batch::wire::{
    AuditResponse, Message as _, ReserveProgress, ReserveRequest, ReserveResponse, AUDIT,
    RESERVE_PROGRESS, RESERVE_RESPONSE,
};
use batch::ReserveDecision;

impl<R: Responder> Partition<R> {
    /// The head of a batch job's partition asks for tokens of a host of which this is the home
    /// partition.
    pub fn handle_reserve_request(&mut self, context: Context, request: &ReserveRequest) {
        if !self.replica.is_ready() || self.is_full() {
            return;
        }
        // A grant that is on its way to the disks is answered once it is there.
        let is_same = |wait: &Wait<R>| matches!(wait, Wait::Reserve { response, .. } if request.is_attempt(&response.attempt));
        let soon = !self.is_stalled(context.now);
        if self.waiting.iter().any(|waiting| is_same(&waiting.wait)) {
            return self.report_progress(request, soon);
        }
        let Some(head) = self.head.as_mut() else {
            return;
        };
        let table = self.replica.state_machine();
        let decision = self
            .quota
            .reserve(context.now, table, &mut head.leader, request);
        match decision {
            ReserveDecision::Propose(command) => {
                self.report_progress(request, soon);
                if self.propose(context, vec![command]) {
                    let response = ReserveResponse {
                        attempt: request.attempt(),
                        granted: true,
                    };
                    let to = request.reply_to;
                    self.wait(context, Wait::Reserve { to, response });
                }
            }
            ReserveDecision::Undecided => {
                let soon = !self.quota.is_blind(context.now);
                self.report_progress(request, soon);
                self.send_audits(context);
            }
            ReserveDecision::Rejected => {
                let response = ReserveResponse {
                    attempt: request.attempt(),
                    granted: false,
                };
                self.effects.push(PartitionEffect::Send {
                    to: request.reply_to,
                    kind: RESERVE_RESPONSE,
                    body: response.encode(),
                });
            }
        }
        self.advance(context);
    }

    fn report_progress(&mut self, request: &ReserveRequest, soon: bool) {
        let progress = ReserveProgress {
            attempt: request.attempt(),
            soon,
        };
        self.effects.push(PartitionEffect::Send {
            to: request.reply_to,
            kind: RESERVE_PROGRESS,
            body: progress.encode(),
        });
    }

    /// A partition responds to an audit.
    pub fn handle_audit_response(&mut self, context: Context, response: &AuditResponse) {
        let Some(head) = self.head.as_mut() else {
            return;
        };
        let table = self.replica.state_machine();
        let command = self
            .quota
            .audit_response(context.now, table, &mut head.leader, response);
        if let Some(command) = command {
            self.propose(context, vec![command]);
        }
        self.advance(context);
    }

    /// These partitions have other heads now.
    pub fn heads_changed(&mut self, partitions: &[u16]) {
        self.quota.retry_audits(partitions);
    }

    /// Sends the audits that are due.
    pub(super) fn send_audits(&mut self, context: Context) {
        let table = self.replica.state_machine();
        if self.head.is_none() || table.reserved().is_empty() || !self.replica.is_ready() {
            return;
        }
        for request in self.quota.audits(context.now, table) {
            self.effects.push(PartitionEffect::SendToHead {
                partition: usize::from(request.partition),
                kind: AUDIT,
                body: request.encode(),
            });
        }
    }
}
