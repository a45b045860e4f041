//! Why an exchange with a target has no result, or can't be followed by another.

/// Why an exchange has no result, or can't be followed by another on its connection.
#[derive(Debug, thiserror::Error)]
pub(super) enum ExchangeError {
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("a request could not be formed: {0}")]
    Request(#[from] hyper::http::Error),
    #[error("a path that HTTP/1.1 can't carry: {0}")]
    Path(#[from] hyper::http::uri::InvalidUri),
    #[error("a header that HTTP/1.1 can't carry: {0}")]
    Header(#[from] hyper::header::InvalidHeaderValue),
    #[error("a malformed line: {0}")]
    Line(#[from] serde_json::Error),
    #[error("a line about another request")]
    Foreign,
    #[error("a response that is too long")]
    TooLong,
    #[error("a response that ends before its last line")]
    Truncated,
}

impl ExchangeError {
    /// Whether the target sent what can't be a response to the request, as against: its connection broke.
    pub(super) fn is_malformed(&self) -> bool {
        matches!(
            self,
            ExchangeError::Line(_) | ExchangeError::Foreign | ExchangeError::TooLong
        )
    }
}
