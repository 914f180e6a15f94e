//! The endpoints of the host itself: readiness and the directory.

use {
    crate::node::Node,
    wigeonramp_platform::{
        endpoints::{self, EndpointRequest},
        http::{self, RequestHead},
    },
    wigeonramp_routing::entry::{ADDRESS_TTL_S, EntryQuery, select_entry_hosts},
};

impl Node {
    pub(super) fn answer_endpoint(&mut self, key: usize, head: &RequestHead) {
        let close = !head.keep_alive;
        let bytes = match endpoints::parse_request(&head.target) {
            Some(EndpointRequest::Readiness) => {
                let status = if self.is_ready() { 200 } else { 503 };
                http::host_response(status, None, b"", close)
            }
            Some(EndpointRequest::Resolve { name, region, zone }) => {
                self.resolve(&name, &region, &zone, close)
            }
            None => http::host_response(404, None, b"", close),
        };
        self.send_caller(key, bytes, close);
    }

    fn resolve(&mut self, name: &str, region: &str, zone: &str, close: bool) -> Vec<u8> {
        let catalog = self.active_catalog.current();
        // Without a configuration the homes of the routes are unknown: hosts of the caller's region
        // may take its requests in any case.
        let homes = self.active_catalog.home_regions(name);
        let mut regions = homes.or_else(|| catalog.is_none().then(Vec::new));
        if let (Some(regions), Ok(region)) = (&mut regions, region.parse()) {
            regions.push(region);
        }
        let query = EntryQuery { zone, regions: regions.as_deref().unwrap_or_default() };
        let catalog = catalog.map(AsRef::as_ref);
        let hosts =
            select_entry_hosts(&self.members, catalog, &self.routing.leaves, query, self.now);
        if hosts.is_empty() {
            return http::host_response(503, None, b"", close);
        }
        let body =
            endpoints::resolve_body(&hosts, self.settings.caller_address.port(), ADDRESS_TTL_S);
        http::host_response(200, Some("application/json"), &body, close)
    }
}
