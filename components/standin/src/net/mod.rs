//! HTTP servers whose connections can be reset, silenced or refused at run time.

mod connection;
mod http_util;
mod listener;
mod response_body;

pub(crate) use {
    connection::Connection,
    http_util::{
        ConnectionDropped, HandlerResult, QueryParams, Rejection, bad_request, json_response,
        not_found, read_body, read_json, text_response,
    },
    listener::{Handler, Listener},
    response_body::ResponseBody,
};

use {
    crate::StandinError,
    tokio::runtime::{Builder, Runtime},
};

/// Multi-threaded tokio runtime that shuts down without waiting for its tasks when dropped.
pub(crate) struct BackgroundRuntime(Option<Runtime>);

impl BackgroundRuntime {
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

impl Drop for BackgroundRuntime {
    fn drop(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}
