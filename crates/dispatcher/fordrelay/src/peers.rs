//! Datagrams between dispatchers.

use dispatch_api::load_exchange::{ENTRY_BYTES, MESSAGE_BYTES};
use dispatcher_settings::platform::PeerAddrs;
use dispatcher_state::{Anomaly, Input};
use event_loop::{LogRateLimiter, LoopHandle};
use membership::Message;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tracing::{debug, info, warn};

/// How often it is tried again to have a port that a process before this one holds.
const TRY_AGAIN: Duration = Duration::from_millis(100);

/// The socket, if it is held, and who is at the other ends.
pub struct Peers {
    socket: RefCell<Option<Rc<UdpSocket>>>,
    left: Notify,
    addrs: PeerAddrs,
    to: Vec<SocketAddr>,
}

impl Peers {
    /// Messages go to all at once where there is an address for that, or to each but `me`.
    pub fn new(addrs: PeerAddrs, me: u32) -> Rc<Self> {
        let others = || {
            (0..)
                .zip(&addrs.numbers)
                .filter(|(n, _)| *n != me)
                .map(|(_, addr)| *addr)
        };
        let to = addrs
            .all
            .map_or_else(|| others().collect(), |all| vec![all]);
        Rc::new(Peers {
            socket: RefCell::new(None),
            left: Notify::new(),
            addrs,
            to,
        })
    }

    /// Takes the port.
    ///
    /// # Errors
    /// What the system says.
    pub async fn bind(&self) -> std::io::Result<()> {
        let socket = UdpSocket::bind(self.addrs.listen).await?;
        *self.socket.borrow_mut() = Some(Rc::new(socket));
        Ok(())
    }

    /// Takes the port as soon as the process that has it gives it up.
    pub async fn succeed(&self) {
        while let Err(e) = self.bind().await {
            debug!("the port for datagrams is not free yet: {e}");
            tokio::time::sleep(TRY_AGAIN).await;
        }
        info!("datagrams are taken over");
    }

    /// Gives the port up.
    pub fn leave(&self) {
        *self.socket.borrow_mut() = None;
        self.left.notify_one();
    }

    /// Sends a message at once or not at all: it may be lost on the way just as well.
    pub fn tell(&self, message: &[u8]) {
        let socket = self.socket.borrow();
        let Some(socket) = socket
            .as_ref()
            .filter(|_| (1..=MESSAGE_BYTES).contains(&message.len()))
        else {
            return;
        };
        for to in &self.to {
            if let Err(e) = socket.try_send_to(message, *to) {
                debug!(%to, "a message was not sent: {e}");
            }
        }
    }

    /// Sends a message to one of them, likewise.
    pub fn tell_one(&self, to: u32, message: &[u8]) {
        let socket = self.socket.borrow();
        let addr = self.addrs.numbers.get(to as usize);
        let (Some(socket), Some(to)) = (socket.as_ref(), addr) else {
            return;
        };
        if let Err(e) = socket.try_send_to(message, *to) {
            debug!(%to, "a message was not sent: {e}");
        }
    }

    /// Reports what arrives from addresses that are known, until the port is given up.
    pub async fn listen(self: Rc<Self>, loop_handle: Rc<LoopHandle>) {
        let mut buffer = [0; MESSAGE_BYTES + 1];
        let mut said: BTreeMap<Anomaly, LogRateLimiter> = BTreeMap::new();
        let Some(socket) = self.socket.borrow().clone() else {
            return;
        };
        loop {
            let received = tokio::select! {
                biased;
                () = self.left.notified() => return,
                received = socket.recv_from(&mut buffer) => received,
            };
            match received {
                Ok((len, from)) => {
                    let number = self.addrs.numbers.iter().position(|addr| *addr == from);
                    let odd = match number {
                        None => Some(Anomaly::UnknownSender),
                        Some(_) if len > MESSAGE_BYTES => Some(Anomaly::LongDatagram),
                        // What members tell each other is the reducer's to read, and to count.
                        Some(_)
                            if len % ENTRY_BYTES != 0
                                && Message::decode(&buffer[..len]).is_err() =>
                        {
                            Some(Anomaly::MalformedDatagram)
                        }
                        Some(_) => None,
                    };
                    if let Some(odd) = odd {
                        let now = loop_handle.clock().now();
                        if let Some(kept_back) = said.entry(odd).or_default().record(now) {
                            warn!(what = odd.as_str(), %from, len, kept_back, "an odd datagram");
                        }
                        loop_handle.send_input(Input::AnomalySeen(odd, 1));
                    }
                    if let Some(number) = number.filter(|_| len <= MESSAGE_BYTES) {
                        let message = buffer[..len].to_vec();
                        loop_handle.send_input(Input::PeerDatagram {
                            from: number as u32,
                            message,
                        });
                    }
                }
                // An earlier message that found nobody is reported here; the socket stays good.
                Err(e) => debug!("can't receive: {e}"),
            }
        }
    }
}
