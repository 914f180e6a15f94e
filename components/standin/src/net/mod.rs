//! HTTP listeners whose connections can be reset, silenced or refused at run time.

mod conn;
mod payload;
mod port;
mod reply;

pub(crate) use {
    conn::Conn,
    payload::Payload,
    port::{Handler, Port},
    reply::{
        Dropped, Outcome, Query, Refused, bad_request, body_within, json, not_found, read_json,
        status,
    },
};

use {
    crate::StandinError,
    tokio::runtime::{Builder, Runtime},
};

/// A runtime that stops without waiting for its tasks when it is dropped.
pub(crate) struct Threads(Option<Runtime>);

impl Threads {
    pub(crate) fn start(name: &str, workers: usize) -> Result<Self, StandinError> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(workers.max(1))
            .thread_name(name)
            .enable_all()
            .build()
            .map_err(StandinError::Runtime)?;
        Ok(Self(Some(runtime)))
    }

    pub(crate) fn block_on<F: Future>(&self, future: F) -> F::Output {
        match &self.0 {
            Some(runtime) => runtime.block_on(future),
            None => unreachable!("the runtime is taken only by drop"),
        }
    }
}

impl Drop for Threads {
    fn drop(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}
