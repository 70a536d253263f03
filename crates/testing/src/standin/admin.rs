//! Requests that control a stand-in running as a separate process.

use std::io;

use http::{Method, Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::serve::{Answer, json, status};
use super::state::State;

pub(super) const PREFIX: &str = "/_standin/";

/// `GET /_standin/record` returns the record, `GET /_standin/script` the script, and
/// `PUT /_standin/script` replaces the script.
pub(super) async fn handle(req: Request<Incoming>, state: &State) -> io::Result<Answer> {
    let path = &req.uri().path()[PREFIX.len()..];
    match (req.method(), path) {
        (&Method::GET, "record") => to_json(&state.recorder.record()),
        (&Method::GET, "script") => to_json(&state.read(Clone::clone)),
        (&Method::PUT, "script") => {
            let body = req.into_body().collect().await.map_err(io::Error::other)?;
            let new = serde_json::from_slice(&body.to_bytes())?;
            state.script(|script| *script = new);
            Ok(status(StatusCode::NO_CONTENT))
        }
        _ => Ok(status(StatusCode::NOT_FOUND)),
    }
}

fn to_json(value: &impl serde::Serialize) -> io::Result<Answer> {
    Ok(json(serde_json::to_string(value)?))
}
