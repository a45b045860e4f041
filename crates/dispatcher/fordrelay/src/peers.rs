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

/// How often binding is retried while another process of this dispatcher holds the port.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The socket, if it is held, and who is at the other ends.
pub struct Peers {
    socket: RefCell<Option<Rc<UdpSocket>>>,
    left: Notify,
    addrs: PeerAddrs,
    /// Where a message to all others goes.
    broadcast_addrs: Vec<SocketAddr>,
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
        let broadcast_addrs = addrs
            .all
            .map_or_else(|| others().collect(), |all| vec![all]);
        Rc::new(Peers {
            socket: RefCell::new(None),
            left: Notify::new(),
            addrs,
            broadcast_addrs,
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
    pub async fn bind_when_free(&self) {
        while let Err(e) = self.bind().await {
            debug!("the port for datagrams is not free yet: {e}");
            tokio::time::sleep(BIND_RETRY_INTERVAL).await;
        }
        info!("datagrams are taken over");
    }

    /// Gives the port up.
    pub fn leave(&self) {
        *self.socket.borrow_mut() = None;
        self.left.notify_one();
    }

    /// Sends a message at once or not at all: it may be lost on the way just as well.
    pub fn broadcast(&self, message: &[u8]) {
        let socket = self.socket.borrow();
        let Some(socket) = socket
            .as_ref()
            .filter(|_| (1..=MESSAGE_BYTES).contains(&message.len()))
        else {
            return;
        };
        for to in &self.broadcast_addrs {
            if let Err(e) = socket.try_send_to(message, *to) {
                debug!(%to, "a message was not sent: {e}");
            }
        }
    }

    /// Sends a message to one of them, likewise.
    pub fn send(&self, to: u32, message: &[u8]) {
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
        let mut limiters = BTreeMap::new();
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
                Ok((bytes, from)) => {
                    self.receive(&buffer[..bytes], from, &mut limiters, &loop_handle)
                }
                // An earlier message that found nobody is reported here; the socket stays good.
                Err(e) => debug!("can't receive: {e}"),
            }
        }
    }

    fn receive(
        &self,
        datagram: &[u8],
        from: SocketAddr,
        limiters: &mut BTreeMap<Anomaly, LogRateLimiter>,
        loop_handle: &LoopHandle,
    ) {
        let number = self.addrs.numbers.iter().position(|addr| *addr == from);
        if let Some(anomaly) = anomaly(datagram, number.is_some()) {
            let now = loop_handle.clock().now();
            if let Some(kept_back) = limiters.entry(anomaly).or_default().record(now) {
                warn!(what = anomaly.as_str(), %from, len = datagram.len(), kept_back, "an odd datagram");
            }
            loop_handle.send_input(Input::AnomalySeen(anomaly, 1));
        }
        let Some(number) = number.and_then(|number| u32::try_from(number).ok()) else {
            return;
        };
        if datagram.len() <= MESSAGE_BYTES {
            let message = datagram.to_vec();
            loop_handle.send_input(Input::PeerDatagram {
                from: number,
                message,
            });
        }
    }
}

/// What is wrong with a datagram. Messages of membership are read, and counted, by the decisions.
fn anomaly(datagram: &[u8], sender_is_known: bool) -> Option<Anomaly> {
    let is_load_report = datagram.len().is_multiple_of(ENTRY_BYTES);
    if !sender_is_known {
        Some(Anomaly::UnknownSender)
    } else if datagram.len() > MESSAGE_BYTES {
        Some(Anomaly::LongDatagram)
    } else if !is_load_report && Message::decode(datagram).is_err() {
        Some(Anomaly::MalformedDatagram)
    } else {
        None
    }
}
