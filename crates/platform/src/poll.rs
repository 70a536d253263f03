//! Fetches the list over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{Request, StatusCode, Uri};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use log::warn;
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::List;
use crate::list::parse;

/// Maximum length of a list; longer than any list of a few hundred VMs.
const MAX_LIST_LEN: usize = 4 * 1024 * 1024;
const TIMEOUT: Duration = Duration::from_secs(3);

/// Why the list couldn't be fetched.
#[derive(Debug)]
#[derive(Snafu)]
pub enum PollError {
    /// The URL isn't an `http` URL with an IP address and a port.
    #[snafu(display("`{url}` is not an http URL with an IP address and a port"))]
    Url {
        /// The URL.
        url: String,
    },
    /// The timeout expired.
    #[snafu(display("no answer in time"))]
    Late {
        /// The timer's error.
        source: tokio::time::error::Elapsed,
    },
    /// Connecting failed.
    #[snafu(display("connecting failed"))]
    Connect {
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The connection failed.
    #[snafu(display("the connection failed"))]
    Broken {
        /// hyper's error.
        source: hyper::Error,
    },
    /// An answer other than 200.
    #[snafu(display("status {status}"))]
    Status {
        /// Its status.
        status: StatusCode,
    },
    /// The answer is incomplete or too long.
    #[snafu(display("the list is incomplete or too long"))]
    Body {
        /// The reader's error.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The answer isn't a valid list.
    #[snafu(display("the list is malformed"))]
    Malformed {
        /// The parser's error.
        source: serde_json::Error,
    },
}

/// Fetches the list from its URL.
#[derive(Clone, Debug)]
pub struct Poller {
    addr: SocketAddr,
    uri: Uri,
}

impl Poller {
    /// Creates a poller of this URL.
    ///
    /// # Errors
    ///
    /// Fails unless the URL is `http://IP:PORT/...`; host names aren't resolved.
    pub fn new(url: &str) -> Result<Self, PollError> {
        let uri: Uri = url.parse().ok().context(UrlSnafu { url })?;
        let authority = uri.authority().context(UrlSnafu { url })?;
        let addr = authority.as_str().parse().ok().context(UrlSnafu { url })?;
        ensure!(uri.scheme_str() == Some("http"), UrlSnafu { url });
        Ok(Self { addr, uri })
    }

    /// Fetches the list once, over a new connection. That is cheap at one fetch every few
    /// seconds, and no connection is kept that a fault could leave half open.
    ///
    /// # Errors
    ///
    /// Fails if no well-formed list comes within three seconds.
    pub async fn fetch(&self) -> Result<List, PollError> {
        timeout(TIMEOUT, self.exchange()).await.context(LateSnafu)?
    }

    async fn exchange(&self) -> Result<List, PollError> {
        let stream = TcpStream::connect(self.addr).await.context(ConnectSnafu)?;
        let (mut sender, conn) = http1::handshake(TokioIo::new(stream))
            .await
            .context(BrokenSnafu)?;
        let exchange = async {
            let target = self
                .uri
                .path_and_query()
                .map_or("/", |target| target.as_str());
            let mut req = Request::new(Empty::<Bytes>::new());
            *req.uri_mut() = target.parse().unwrap_or_default();
            if let Ok(host) = self.addr.to_string().parse() {
                req.headers_mut().insert(HOST, host);
            }
            let response = sender.send_request(req).await.context(BrokenSnafu)?;
            let status = response.status();
            ensure!(status == StatusCode::OK, StatusSnafu { status });
            let body = Limited::new(response.into_body(), MAX_LIST_LEN);
            let body = body.collect().await.context(BodySnafu)?.to_bytes();
            let (list, left_out) = parse(&body).context(MalformedSnafu)?;
            if left_out > 0 {
                warn!(left_out; "skipped malformed items of the platform's list");
            }
            Ok(list)
        };
        let mut exchange = std::pin::pin!(exchange);
        tokio::select! {
            list = &mut exchange => list,
            // The connection may close just after the answer was read from it.
            ended = conn => match ended {
                Ok(()) => exchange.await,
                Err(source) => Err(PollError::Broken { source }),
            },
        }
    }
}
