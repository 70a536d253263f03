//! One attempt over a connection of its own.

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

/// Largest answer that is read, in bytes.
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

/// Sends a request. A timeout counts as lost once the request may have left.
pub(super) async fn attempt(
    addr: SocketAddr,
    mut req: Request<Full<Bytes>>,
    timeout: Duration,
) -> Attempt {
    let deadline = Instant::now() + timeout;
    let stream = match time::timeout_at(deadline, TcpStream::connect(addr)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return Attempt::NotSent(format!("{addr}: {e}")),
        Err(_) => return Attempt::NotSent(format!("{addr} takes no connection in time")),
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
    // The connection is driven here and not by a task of its own: with the attempt it
    // ends, and a late answer goes nowhere.
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
        Err(_) => Attempt::Lost(format!("{addr} gives no answer in time")),
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
