//! Checking on whose behalf a request may run.

use {
    crate::{node::Node, requests::RETRY_AFTER_NO_CONFIG},
    serde_json::json,
    std::sync::Arc,
    wigeonramp_platform::{
        accounts::{IgnoredAccount, ignored_accounts},
        objects::StoredObject,
    },
    wigeonramp_routing::{
        accounts::{Access, Account, PresentedKey},
        catalog::Route,
        reply::Cause,
    },
    wigeonramp_units::Span,
};

/// Maximum number of accounts listed in a log line.
const MAX_LOGGED: usize = 12;

impl Node {
    /// Returns the account of a request of the route that presents `key`, or none if it needs none.
    /// An error is the cause of the refusal and the time after which the caller may come back.
    pub(crate) fn authorize(
        &self,
        route: &Route,
        key: PresentedKey,
    ) -> Result<Option<Arc<Account>>, (Cause, Span)> {
        let access = self.active_catalog.access(route, key);
        if access == Access::Public {
            return Ok(None);
        }
        let age = self.origin_selector.news_age(self.now);
        let is_too_old = |max: Span| age.is_none_or(|age| age > max);
        if self.settings.accounts.max_key_age.is_some_and(is_too_old) {
            return Err((Cause::KeysOutdated, RETRY_AFTER_NO_CONFIG));
        }
        match access {
            Access::Account(account) => Ok(Some(account)),
            // The key may have been added since, and callers do not repeat a request after 401.
            _ if self.origin_selector.is_outdated() => {
                Err((Cause::ConfigOutdated, RETRY_AFTER_NO_CONFIG))
            }
            _ => Err((Cause::Unauthorized, Span::ZERO)),
        }
    }

    /// Logs what was left out of the accounts of a configuration that was read from the store.
    pub(crate) fn log_ignored_accounts(&mut self, object: &StoredObject) {
        let ignored = ignored_accounts(object);
        if ignored.is_empty() {
            return;
        }
        let field =
            |entry: &IgnoredAccount| json!({ "index": entry.index, "reason": entry.reason });
        let entries: Vec<_> = ignored.iter().take(MAX_LOGGED).map(field).collect();
        let fields = json!({
            "revision": object.revision, "count": ignored.len(), "accounts": entries,
        });
        self.journal.record("accounts_ignored", fields, self.now);
    }
}
