//! `check`: reads a settings file and reports its content or its first problem.

use {
    crate::outcome::{Failure, Outcome, Status},
    serde_json::json,
    std::path::Path,
    wigeonramp_config::{Deployment, HostSettings, SettingsFile},
    wigeonramp_platform::settings::NodeSettings,
};

/// Checks `file`; contacts no host.
pub fn run(file: &Path) -> Result<Outcome, Failure> {
    if NodeSettings::is_meant(file) {
        let settings = NodeSettings::load(file).map_err(|err| Failure::Usage(err.to_string()))?;
        return Ok(on_platform(file, &settings));
    }
    match SettingsFile::load(file).map_err(|err| Failure::Usage(err.to_string()))? {
        SettingsFile::Host(settings) => Ok(host(file, &settings)),
        SettingsFile::Deployment(deployment) => Ok(deployed(file, &deployment)),
    }
}

fn on_platform(file: &Path, settings: &NodeSettings) -> Outcome {
    let NodeSettings { host, zone, .. } = settings;
    let text = format!("{}: platform settings of host {host} in zone {zone}", file.display());
    let json = json!({ "file": file, "kind": "platform", "host": host, "zone": zone });
    Outcome::new(Status::Done, text, &json)
}

fn host(file: &Path, settings: &HostSettings) -> Outcome {
    let HostSettings { host, zone, .. } = settings;
    let text = format!("{}: settings of host {host} in zone {zone}", file.display());
    let json = json!({ "file": file, "kind": "host", "host": host, "zone": zone });
    Outcome::new(Status::Done, text, &json)
}

fn deployed(file: &Path, deployment: &Deployment) -> Outcome {
    let document = deployment.expand();
    let (zones, leaves) = (document.zones.len(), document.leaves.len());
    let (collections, callers) = (document.collections.len(), document.callers.len());
    let slots = document.capacity();
    let digest = document.digest();
    let text = format!(
        "{}: deployment with {zones} zones, {collections} collections, {leaves} upstreams with \
         {slots} slots taking work, {callers} callers; digest {digest}",
        file.display()
    );
    let json = json!({
        "file": file,
        "kind": "deployment",
        "zones": zones,
        "collections": collections,
        "leaves": leaves,
        "slots": slots,
        "callers": callers,
        "digest": digest,
    });
    Outcome::new(Status::Done, text, &json)
}
