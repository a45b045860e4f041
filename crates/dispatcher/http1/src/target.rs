//! The target client: one task for each connection, from its opening to its closing.
//!
//! Carries out one command at a time and reports what came of it. Guarantees that [`Input::ConnectionClosed`] is sent once,
//! after the socket is closed: only then may another attempt of a request follow.

mod exchange;
mod exchange_error;
mod job_response;
mod outgoing;

use crate::observed_stream::ObservedStream;
use bytes::Bytes;
use dispatch_api::Outcome;
use dispatcher_state::{ConnId, Input};
use event_loop::{ConnectionCommand, LoopHandle};
use exchange::{exchange, ExchangeResult, ResponseNaming};
use exchange_error::ExchangeError;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use outgoing::Outgoing;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::time::sleep;
use tracing::debug;

/// How long a connection is not used after a response that does not name its request. Should that response come twice, the
/// second one is seen in this time and ends the connection, and is not taken for the response to the next request: a job that
/// runs would be thought rejected, and sent again.
const UNNAMED_RESPONSE_PAUSE: Duration = Duration::from_millis(100);

type Commands = mpsc::UnboundedReceiver<ConnectionCommand>;

/// Opens a connection, carries out commands, and reports once when it is closed.
pub async fn connection(
    id: ConnId,
    addr: SocketAddr,
    mut commands: Commands,
    loop_handle: Rc<LoopHandle>,
) {
    let outgoing = Rc::new(Outgoing::new(id, Rc::clone(&loop_handle)));
    tokio::select! {
        biased;
        // Nothing is commanded before the connection is up, so the end of commands is all that can come.
        _ = commands.recv() => {}
        stream = connect(addr) => match stream {
            Ok(stream) => serve(id, stream, &mut commands, &loop_handle, &outgoing).await,
            Err(e) => debug!(%addr, "can't connect: {e}"),
        }
    }
    // The socket is closed by now: the next attempt may follow.
    let unsent = outgoing.is_incomplete();
    loop_handle.send_input(Input::ConnectionClosed { conn: id, unsent });
}

async fn connect(addr: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = if addr.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    // Small writes that the system holds back are lost with the connection.
    if let Err(e) = socket.set_nodelay(true) {
        debug!("can't set TCP_NODELAY: {e}");
    }
    socket.connect(addr).await
}

/// Carries out commands until the connection ends, or no more come.
async fn serve(
    id: ConnId,
    stream: TcpStream,
    commands: &mut Commands,
    loop_handle: &LoopHandle,
    outgoing: &Rc<Outgoing>,
) {
    let io = TokioIo::new(ObservedStream::new(stream, Rc::clone(outgoing)));
    let Ok((mut sender, driver)) = http1::handshake::<_, Full<Bytes>>(io).await else {
        return;
    };
    tokio::pin!(driver);
    loop_handle.send_input(Input::ConnectionUp(id));
    loop {
        let command = tokio::select! {
            biased;
            command = commands.recv() => command,
            _ = &mut driver => None,
        };
        let Some(command) = command else { return };
        if !is_awaited(id, &command, loop_handle) {
            continue;
        }
        outgoing.begin(&command);
        let exchange = exchange(id, command, &mut sender, loop_handle);
        let naming = match drive(exchange, driver.as_mut(), commands).await {
            Some(Ok(naming)) => naming,
            Some(Err(error)) => return debug!(conn = id.0, "exchange failed: {error}"),
            None => return,
        };
        outgoing.end();
        if !is_reusable(naming, &mut sender, driver.as_mut(), commands).await {
            return;
        }
        loop_handle.send_input(Input::ConnectionFree(id));
    }
}

/// Whether a job's client still waits, looked at just before the job is written. A job for nobody ends here.
fn is_awaited(id: ConnId, command: &ConnectionCommand, loop_handle: &LoopHandle) -> bool {
    let ConnectionCommand::Job { flow, .. } = command else {
        return true;
    };
    if loop_handle.is_awaited(*flow) {
        return true;
    }
    debug!(conn = id.0, flow = flow.0, "not sent: its client has left");
    let not_sent = ExchangeResult::without_result(Outcome::NotSent, None);
    loop_handle.send_input(not_sent.into_input(id));
    loop_handle.send_input(Input::ConnectionFree(id));
    false
}

/// Runs an exchange to its end; none if the connection ended with it, or is to be closed.
async fn drive<D: Future>(
    exchange: impl Future<Output = Result<ResponseNaming, ExchangeError>>,
    mut driver: Pin<&mut D>,
    commands: &mut Commands,
) -> Option<Result<ResponseNaming, ExchangeError>> {
    tokio::pin!(exchange);
    let mut closed = false;
    let result = loop {
        tokio::select! {
            biased;
            result = &mut exchange => break result,
            // What was received is still to be read when the connection has ended.
            _ = &mut driver, if !closed => closed = true,
            // Nothing is commanded on a busy connection, so this is its closing.
            _ = commands.recv() => return None,
        }
    };
    Some(result).filter(|result| result.is_err() || !closed)
}

/// Whether the connection can carry another exchange, once that is known.
async fn is_reusable<D: Future>(
    naming: ResponseNaming,
    sender: &mut SendRequest<Full<Bytes>>,
    mut driver: Pin<&mut D>,
    commands: &mut Commands,
) -> bool {
    let ready = async {
        let ready = sender.ready().await.is_ok();
        if naming == ResponseNaming::Unnamed {
            sleep(UNNAMED_RESPONSE_PAUSE).await;
        }
        ready
    };
    tokio::select! {
        biased;
        _ = &mut driver => false,
        ready = ready => ready,
        _ = commands.recv() => false,
    }
}
