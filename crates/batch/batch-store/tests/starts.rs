//! The process survives what comes amid its start.

#[path = "../../../common/process-startup/tests/support/starts.rs"]
mod starts;

const PROGRAM: &str = env!("CARGO_BIN_EXE_fordrelay-batch-store");

/// Guards against a process that ends by itself: SIGHUP before its handler was there ended it.
#[test]
fn sighup_while_the_settings_are_read_ends_nothing() {
    starts::survives_sighup_while_settings_are_read(PROGRAM, "store");
}

/// Guards against a process that ends by itself: a port that its predecessor still held ended it.
#[test]
fn a_port_that_is_still_held_is_waited_for() {
    starts::waits_for_its_ports(PROGRAM, "store", &[2]);
}

/// Guards against a process that ends by itself amid signals and restarts that overlap.
#[test]
fn takeovers_in_a_row_amid_signals_end_nothing() {
    starts::soak(PROGRAM, "store", 2, starts::soak_seeds());
}
