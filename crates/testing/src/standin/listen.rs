//! Accepts and serves connections of a stand-in.

use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::serve::{RawSlot, handle};
use super::state::{Life, State, lock};
use crate::cut::RawAnswer;

pub(super) async fn accept(listener: std::net::TcpListener, state: Arc<State>) {
    let listener = TcpListener::from_std(listener).expect("the listener can be registered");
    let mut life = state.life();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = life.wait_for(|life| *life == Life::Ended) => return,
        };
        if let Ok((stream, _)) = accepted {
            tokio::spawn(connection(stream, Arc::clone(&state)));
        }
    }
}

/// Serves a connection until it ends; resets it once the stand-in is down.
async fn connection(stream: TcpStream, state: Arc<State>) {
    let mut life = state.life();
    let _ = stream.set_nodelay(true);
    // A second handle on the socket, used to reset it while hyper serves the first.
    let Ok(socket) = SockRef::from(&stream).try_clone() else {
        return;
    };
    state.recorder.connections.increment();
    let raw = RawSlot::default();
    let service = service_fn(|req| handle(req, Arc::clone(&state), Arc::clone(&raw)));
    let mut connection = http1::Builder::new()
        .pipeline_flush(true)
        .serve_connection(TokioIo::new(stream), service);
    let serving = async {
        // A handler returns an error to reset the connection, or to answer without hyper.
        if (&mut connection).await.is_ok() {
            return;
        }
        let reply = lock(&raw).take();
        if let Some(reply) = reply {
            let mut stream = connection.into_parts().io.into_inner();
            match reply.answer {
                RawAnswer::Endless(answer) => {
                    answer.send(&mut stream).await;
                }
                RawAnswer::Cut(answer) => return answer.send(stream).await,
            }
        }
        reset(&socket);
    };
    tokio::select! {
        () = serving => {}
        () = down(&mut life) => reset(&socket),
    }
    state.recorder.connections.decrement();
}

async fn down(life: &mut watch::Receiver<Life>) {
    // An error means that the stand-in's state was dropped, which counts as down as well.
    let _ = life.wait_for(|life| *life != Life::Up).await;
}

fn reset(socket: &socket2::Socket) {
    // Fails only for a connection that has already ended.
    let _ = socket.set_linger(Some(Duration::ZERO));
}
