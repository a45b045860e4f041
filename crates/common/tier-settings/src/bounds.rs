//! The table `Bounds`: each key with its unit, default and range.

use crate::error::SettingsError;
use crate::reader::{NumberKey, TableReader};

/// Longest time that a bound may have, in seconds: a day. Wide on purpose, since a bound out of
/// range keeps the process from starting.
const MAX_S: f64 = 86_400.0;

/// A key of a time.
#[derive(Debug, Clone, Copy)]
pub struct BoundKey {
    /// The key.
    pub key: &'static str,
    /// How many milliseconds it counts in.
    pub unit_ms: u64,
    /// Its default, in its unit.
    pub default: f64,
}

macro_rules! bounds {
    ($($(#[$doc:meta])* $field:ident = $key:literal, $unit:literal, $default:literal;)*) => {
        /// The times and shares that the rules promise, times in milliseconds.
        #[derive(Debug, Clone, Copy, PartialEq)]
        pub struct Bounds {
            $($(#[$doc])* pub $field: u64,)*
            /// Share by which the reserved tokens may exceed a quota.
            pub quota_excess: f64,
            /// Share of a service's requests that a bad version may get.
            pub canary_share: f64,
        }

        impl Bounds {
            /// The keys of the times, in the order of the file.
            pub const KEYS: &'static [BoundKey] =
                &[$(BoundKey { key: $key, unit_ms: $unit, default: $default },)*];

            /// Each key with its value, in the unit of the key.
            pub fn entries(&self) -> impl Iterator<Item = (&'static str, f64)> {
                let times = [$(($key, self.$field as f64 / f64::from($unit as u32)),)*];
                times.into_iter().chain([
                    ("QuotaExcess", self.quota_excess),
                    ("CanaryShare", self.canary_share),
                ])
            }

            pub(crate) fn read(table: Option<&TableReader<'_>>) -> Result<Self, SettingsError> {
                $(
                    let unit_ms = f64::from($unit as u32);
                    let max = MAX_S * 1_000.0 / unit_ms;
                    let number = NumberKey { key: $key, default: $default, min: 0.0, max };
                    let $field = number.read_ms(table, unit_ms)?;
                )*
                let quota_excess =
                    NumberKey { key: "QuotaExcess", default: 0.1, min: 0.0, max: 1_000.0 };
                let canary_share =
                    NumberKey { key: "CanaryShare", default: 0.1, min: 0.0, max: 1.0 };
                Ok(Bounds {
                    $($field,)*
                    quota_excess: quota_excess.read(table)?,
                    canary_share: canary_share.read(table)?,
                })
            }
        }
    };
}

bounds! {
    /// How far the list lags from which runners and the operator pick whom to call.
    seed_lag_ms = "SeedLagS", 1_000, 3.0;
    /// After this the address of a runner that has ended may be another's.
    reuse_ms = "ReuseS", 1_000, 2.0;
    /// A machine has contact when nothing has troubled it for this long; the operator asks on for
    /// as long when a day ends.
    contact_ms = "ContactMs", 1, 3_000.0;
    /// Within this an operation of the operator is acknowledged.
    ack_ms = "AckMs", 1, 4_000.0;
    /// How long a machine that returns still counts as lost.
    sync_ms = "SyncS", 1_000, 5.0;
    /// How long a runner serves on after its `draining` was acknowledged.
    drain_ms = "DrainMs", 1, 2_000.0;
    /// From SIGTERM to SIGKILL.
    grace_ms = "GraceS", 1_000, 8.0;
    /// How long after its last byte a request whose connection ends may count as not received.
    loss_slack_ms = "LossSlackMs", 1, 200.0;
    /// From its acknowledgement on, a configuration is applied everywhere within this.
    apply_ms = "ApplyMs", 1, 2_000.0;
    /// After the first effect of a configuration the one before it may still be seen for this long.
    downgrade_ms = "DowngradeMs", 1, 250.0;
    /// How much longer a configuration may take while the controllers have faults.
    stretch_ms = "StretchMs", 1, 5_000.0;
    /// Within this, requests are served again once the machines are back from a loss.
    recovery_ms = "RecoveryS", 1_000, 12.0;
    /// How long an event of a stream may take on its way through.
    pass_ms = "pass_ms", 1, 120.0;
    /// No rule names it; 0 in the known deployments.
    again_ms = "again_s", 1_000, 0.0;
    /// How long batch jobs have when traffic has ended.
    complete_ms = "CompleteS", 1_000, 10.0;
    /// How long results stay as they are, from when the batch job was submitted.
    poll_ms = "PollS", 1_000, 120.0;
    /// How long after the acknowledgement of its cancellation items of a batch job may still reach
    /// a runner.
    cancel_ms = "CancelMs", 1, 3_000.0;
    /// After this, every machine knows of a batch job that was accepted and of a cursor that was
    /// read.
    settle_ms = "SettleMs", 1, 1_000.0;
}
