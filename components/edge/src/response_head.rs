//! Taking the heads of responses from received bytes, of leaves and of other hosts.

use wigeonramp_platform::http::{self, ResponseHead, ResponseKind};

/// Maximum length in bytes of a response head, and of all interim responses to one request together.
pub(crate) const MAX_RESPONSE_HEAD: usize = 64 * 1024;

/// What follows the bytes that were taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum HeadEnd {
    /// More bytes of the head.
    Incomplete,
    /// Another response to the same request.
    Interim,
    /// The body.
    Final,
    /// Nothing that can be used.
    Unusable,
}

/// Takes the next head of a response from the front of `buf`. `interim_bytes` counts the interim
/// responses to the request; the other arguments are those of [`http::parse_response_head`].
pub(crate) fn take_head(
    buf: &mut Vec<u8>,
    interim_bytes: &mut usize,
    keep_headers: bool,
    no_body: bool,
) -> (HeadEnd, Option<ResponseHead>) {
    let head = match http::parse_response_head(buf, keep_headers, no_body) {
        Ok(Some(head)) => head,
        Ok(None) if buf.len() <= MAX_RESPONSE_HEAD => return (HeadEnd::Incomplete, None),
        Ok(None) | Err(_) => return (HeadEnd::Unusable, None),
    };
    buf.drain(..head.length);
    let end = match head.kind() {
        ResponseKind::Invalid => HeadEnd::Unusable,
        ResponseKind::Interim => {
            *interim_bytes += head.length;
            let is_endless = *interim_bytes > MAX_RESPONSE_HEAD;
            if is_endless { HeadEnd::Unusable } else { HeadEnd::Interim }
        }
        ResponseKind::Final => HeadEnd::Final,
    };
    (end, Some(head))
}
