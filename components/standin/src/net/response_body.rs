//! Response bodies that can be truncated.

use {
    bytes::Bytes,
    hyper::body::{Body, Frame, SizeHint},
    std::{
        io::{Error, ErrorKind},
        pin::Pin,
        task::{Context, Poll},
    },
};

/// A response body that is sent in one frame.
///
/// A truncated body announces its full length but fails after the first half.
#[derive(Debug, Default)]
pub(crate) struct ResponseBody {
    unsent: Option<Bytes>,
    remaining_length: u64,
    truncated: bool,
    flushed: bool,
}

impl ResponseBody {
    pub(crate) fn complete(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        let remaining_length = bytes.len() as u64;
        let unsent = Some(bytes).filter(|bytes| !bytes.is_empty());
        Self { unsent, remaining_length, truncated: false, flushed: false }
    }

    pub(crate) fn truncated(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        let remaining_length = bytes.len() as u64;
        let unsent = Some(bytes.slice(..bytes.len() / 2));
        Self { unsent, remaining_length, truncated: true, flushed: false }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        if let Some(bytes) = self.unsent.take() {
            self.remaining_length -= bytes.len() as u64;
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        if self.truncated && !self.flushed {
            // hyper flushes its write buffer while the body is pending; returning the error
            // immediately would discard the first half.
            self.flushed = true;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        if self.truncated {
            return Poll::Ready(Some(Err(Error::new(ErrorKind::UnexpectedEof, "truncated"))));
        }
        Poll::Ready(None)
    }

    fn is_end_stream(&self) -> bool {
        self.unsent.is_none() && !self.truncated
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining_length)
    }
}
