//! Answer bodies that can end early.

use {
    bytes::Bytes,
    hyper::body::{Body, Frame, SizeHint},
    std::{
        io::{Error, ErrorKind},
        pin::Pin,
        task::{Context, Poll},
    },
};

/// A body in one piece; a truncated one announces its full length and breaks off half way.
#[derive(Debug, Default)]
pub(crate) struct Payload {
    rest: Option<Bytes>,
    announced: u64,
    truncated: bool,
    flushed: bool,
}

impl Payload {
    pub(crate) fn whole(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        let announced = bytes.len() as u64;
        let rest = Some(bytes).filter(|bytes| !bytes.is_empty());
        Self { rest, announced, truncated: false, flushed: false }
    }

    pub(crate) fn truncated(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        let announced = bytes.len() as u64;
        let rest = Some(bytes.slice(..bytes.len() / 2));
        Self { rest, announced, truncated: true, flushed: false }
    }
}

impl Body for Payload {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        if let Some(bytes) = self.rest.take() {
            self.announced -= bytes.len() as u64;
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        if self.truncated && !self.flushed {
            // hyper writes its buffer out when the body is not ready; an error would discard it.
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
        self.rest.is_none() && !self.truncated
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.announced)
    }
}
