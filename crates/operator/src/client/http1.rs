//! A single HTTP/1.1 request over a new connection.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use filberthead_types::ResultCode;
use http::header::{AUTHORIZATION, CONTENT_TYPE, HOST, HeaderValue};
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{self, Instant};

use super::plan::Attempt;
use super::{ClientError, Config, Reply};
use crate::{OPERATOR_HEADER, RESULT_HEADER};

/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 32 * 1024 * 1024;

pub(super) fn request(
    cfg: &Config,
    method: &Method,
    path: &str,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, ClientError> {
    let mut builder = Request::builder().method(method).uri(path);
    if let Some(token) = &cfg.token {
        let value = format!("Bearer {token}");
        let mut value = HeaderValue::try_from(value).map_err(|_| ClientError::Header)?;
        value.set_sensitive(true);
        builder = builder.header(AUTHORIZATION, value);
    }
    if let Some(name) = &cfg.operator {
        let value = HeaderValue::from_bytes(name.as_bytes()).map_err(|_| ClientError::Header)?;
        builder = builder.header(OPERATOR_HEADER, value);
    }
    if *method != Method::GET {
        builder = builder.header(CONTENT_TYPE, "application/json");
    }
    builder
        .body(Full::new(body))
        .map_err(|_| ClientError::Header)
}

/// Sends a request. A failure is [`Attempt::NotSent`] before the connection is set up and
/// [`Attempt::Lost`] afterwards, when the request may have arrived.
pub(super) async fn attempt(
    addr: SocketAddr,
    mut req: Request<Full<Bytes>>,
    timeout: Duration,
) -> Attempt {
    let deadline = Instant::now() + timeout;
    let stream = match time::timeout_at(deadline, TcpStream::connect(addr)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return Attempt::NotSent(format!("{addr}: {e}")),
        Err(_) => return Attempt::NotSent(format!("{addr}: connecting timed out")),
    };
    let (mut sender, connection) = match http1::handshake(TokioIo::new(stream)).await {
        Ok(pair) => pair,
        Err(e) => return Attempt::NotSent(format!("{addr}: {e}")),
    };
    if let Ok(host) = HeaderValue::try_from(addr.to_string()) {
        req.headers_mut().insert(HOST, host);
    }
    let exchange = async {
        let response = sender.send_request(req).await.map_err(|e| e.to_string())?;
        read(addr, response).await
    };
    // The connection is polled here and not in a task of its own, so that it is closed
    // when the attempt ends and a late answer is dropped.
    let driven = async {
        tokio::pin!(exchange, connection);
        tokio::select! {
            result = &mut exchange => result,
            ended = &mut connection => match ended {
                Ok(()) => exchange.await,
                Err(e) => Err(e.to_string()),
            },
        }
    };
    match time::timeout_at(deadline, driven).await {
        Ok(Ok(reply)) => Attempt::Answered(reply),
        Ok(Err(reason)) => Attempt::Lost(format!("{addr}: {reason}")),
        Err(_) => Attempt::Lost(format!("{addr}: no answer before the timeout")),
    }
}

async fn read(addr: SocketAddr, response: Response<Incoming>) -> Result<Reply, String> {
    let code = response
        .headers()
        .get(RESULT_HEADER)
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .and_then(ResultCode::from_number)
        .ok_or_else(|| format!("status {} without a result code", response.status()))?;
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
        .collect()
        .await
        .map_err(|e| e.to_string())?;
    Ok(Reply {
        code,
        body: body.to_bytes(),
        addr,
    })
}
