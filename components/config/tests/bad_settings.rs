//! Guards against invalid settings that are accepted, and against error messages that do not name
//! the file, the key and what was expected.

use {
    insta::assert_snapshot,
    std::path::{Path, PathBuf},
    wigeonramp_config::{Deployment, HostSettings, SettingsFile},
};

const HOST: &str = r#"
host = "gulf-01"
zone = "gulf-a"
caller_listen = "127.0.0.1:0"
peer_listen = "127.0.0.1:0"
operator_listen = "127.0.0.1:0"
platform = "http://127.0.0.1:7000"
seeds = ["127.0.0.1:7101"]
"#;

/// Description of the invalid setting, text to replace, replacement.
type Case = (&'static str, &'static str, &'static str);

const HOST_CASES: [Case; 8] = [
    ("unknown key", "seeds =", "seed ="),
    ("missing key", "zone = \"gulf-a\"\n", ""),
    ("empty zone", "\"gulf-a\"", "\"\""),
    ("bad address", "caller_listen = \"127.0.0.1:0\"", "caller_listen = \"localhost\""),
    ("platform by name", "http://127.0.0.1:7000", "http://platform:7000"),
    (
        "listen addresses clash",
        "caller_listen = \"127.0.0.1:0\"\npeer_listen = \"127.0.0.1:0\"",
        "caller_listen = \"127.0.0.1:7001\"\npeer_listen = \"127.0.0.1:7001\"",
    ),
    ("no workers", "seeds =", "caller_workers = 0\nseeds ="),
    ("unknown log level", "seeds = [\"127.0.0.1:7101\"]", "[log]\nlevel = \"loud\""),
];

const DEPLOYMENT_CASES: [Case; 21] = [
    ("unknown key", "canary = true", "canari = true"),
    ("bad unit", "max_deadline = \"2s\"", "max_deadline = \"2 hours\""),
    ("zone without name", "[zones.gulf-a]", "[zones.\"\"]"),
    ("zone without region", "region = \"texas\"", "region = \" \""),
    ("unknown member", "member = \"brazos-machine\"", "member = \"brazos\""),
    ("bad token hash", "token_sha256 = \"", "token_sha256 = \"0"),
    ("unknown priority", "priority = \"urgent\"", "priority = \"high\""),
    ("more replicas than zones", "replicas = 2", "replicas = 4"),
    ("no replicas", "replicas = 2", "replicas = 0"),
    ("negative services", "services = 20", "services = -1"),
    ("too many services", "services = 20", "services = 5000"),
    ("services and maps missing", "services = 20\n", ""),
    ("unknown spread zone", "zones = [\"gulf-a\", ", "zones = [\"gulf-x\", "),
    ("zone listed twice", "zones = [\"gulf-a\", ", "zones = [\"gulf-b\", "),
    ("two leaves on one address", "127.0.0.1:21100", "127.0.0.1:21039"),
    ("ports run out", "127.0.0.1:21300", "127.0.0.1:65530"),
    ("cold_in_flight over slots", "cold_in_flight = 1", "cold_in_flight = 3"),
    ("cold_answers of zero", "cold_answers = 16", "cold_answers = 0"),
    (
        "soft over max deadline",
        "max_deadline = \"2s\"",
        "soft_deadline = \"3s\"\nmax_deadline = \"2s\"",
    ),
    ("share over 100", "[zones.gulf-a]", "[limits]\nhedge_budget = 101\n\n[zones.gulf-a]"),
    ("unknown leaf out", "[zones.gulf-a]", "leaves_out = [\"quote-desk/20/a\"]\n\n[zones.gulf-a]"),
];

fn errors<T>(
    name: &str,
    base: &str,
    cases: &[Case],
    parse: impl Fn(&Path, &str) -> Result<T, String>,
) -> String {
    let mut table = String::new();
    for (case, from, to) in cases {
        assert!(base.contains(from), "{case}: the replaced text is missing");
        let text = base.replacen(from, to, 1);
        let err = parse(Path::new(name), &text).err();
        table.push_str(&format!("{case}\n  {}\n", err.expect(case)));
    }
    table
}

#[test]
fn bad_host_settings() {
    HostSettings::parse(Path::new("host.toml"), HOST).unwrap();
    let parse =
        |path: &Path, text: &str| HostSettings::parse(path, text).map_err(|err| err.to_string());
    assert_snapshot!(errors("host.toml", HOST, &HOST_CASES, parse));
}

#[test]
fn bad_deployments() {
    let gulf = include_str!("../../../deployments/gulf.toml");
    let parse =
        |path: &Path, text: &str| Deployment::parse(path, text).map_err(|err| err.to_string());
    assert_snapshot!(errors("gulf.toml", gulf, &DEPLOYMENT_CASES, parse));
}

#[test]
fn unreadable_and_unknown_files() {
    let missing = SettingsFile::load(Path::new("no/such.toml")).unwrap_err();
    assert_eq!(
        missing.to_string(),
        "no/such.toml: cannot be read (No such file or directory (os error 2)); expected a \
         readable TOML file"
    );
    let manifest = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("Cargo.toml");
    let unknown = SettingsFile::load(&manifest).unwrap_err().to_string();
    assert!(unknown.contains("neither host settings nor a deployment"), "{unknown}");
}
