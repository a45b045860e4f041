//! Signals are kept from the installation on; an address in use is waited for, and no longer than
//! was said.

use process_startup::{listen, Signals};
use std::io;
use std::net::TcpListener;
use std::process::Command;
use std::time::{Duration, Instant};

/// Connections that may wait.
const BACKLOG: u32 = 16;
/// What is added to a grace period before an address in use is an error.
const MARGIN: Duration = Duration::from_secs(2);

fn block_on<F: std::future::Future>(future: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(future)
}

#[test]
fn signals_that_come_before_anybody_waits_are_received() {
    block_on(async {
        let mut signals = Signals::install().expect("handlers");
        for name in ["-HUP", "-TERM"] {
            let sent = Command::new("kill")
                .args([name, &std::process::id().to_string()])
                .status();
            assert!(sent.expect("kill").success());
        }
        let both = async {
            signals.hung_up().await;
            signals.terminated().await;
        };
        let received = tokio::time::timeout(Duration::from_secs(10), both).await;
        assert!(received.is_ok());
    });
}

#[test]
fn an_address_that_becomes_free_is_listened_at() {
    let held = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = held.local_addr().expect("an address");
    let release = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(300));
        drop(held);
    });
    let mut waits = Vec::new();
    let listener = block_on(listen(addr, BACKLOG, Duration::from_secs(20), |addr| {
        waits.push(addr)
    }));
    assert_eq!(
        listener.expect("a listener").local_addr().expect("one"),
        addr
    );
    assert_eq!(waits, [addr], "the wait is announced once");
    release.join().expect("released");
}

#[test]
fn an_address_that_stays_in_use_is_an_error_after_the_grace_period() {
    const GRACE: Duration = Duration::from_millis(200);
    let held = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = held.local_addr().expect("an address");
    let since = Instant::now();
    let error = block_on(listen(addr, BACKLOG, GRACE, |_| {})).expect_err("in use");
    assert_eq!(
        (error.addr, error.source.kind()),
        (addr, io::ErrorKind::AddrInUse)
    );
    assert!(since.elapsed() >= GRACE + MARGIN);
}

#[test]
fn an_address_of_no_interface_is_an_error_at_once() {
    let addr = "192.0.2.1:1".parse().expect("an address");
    let mut waits = 0;
    let error = block_on(listen(addr, BACKLOG, Duration::from_secs(60), |_| {
        waits += 1
    }))
    .expect_err("not ours");
    assert_eq!(error.source.kind(), io::ErrorKind::AddrNotAvailable);
    assert_eq!(waits, 0);
}
