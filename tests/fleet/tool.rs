//! Guards against a first deployment that the tool cannot put in force on an empty platform.

use {
    crate::support::{HostProcess, get, get_text, wait_for},
    std::{env, fs, process, process::Command},
    wigeonramp_config::api::{METRICS_PATH, STATUS_PATH, StatusResponse},
    wigeonramp_standin::platform::{self, PlatformOptions},
};

fn run_tool(args: &[&str]) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_wigeonramp"))
        .args(args)
        .env_remove("WIGEONRAMP_HOST")
        .output()
        .expect("the tool runs");
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8(text).expect("the output is text"))
}

#[test]
fn the_tool_declares_a_deployment_on_an_empty_platform() {
    let platform = platform::start(&PlatformOptions::default()).expect("the platform starts");
    let hosts: Vec<_> = (0..3).map(|n| HostProcess::start(n, platform.address(), &[])).collect();
    wait_for("every host knows all hosts", || {
        hosts.iter().all(|host| host.status().hosts.len() == hosts.len())
    });
    let host = format!("--host={}", hosts[0].ready.operator);
    let gulf = concat!(env!("CARGO_MANIFEST_DIR"), "/deployments/gulf.toml");
    let plan = env::temp_dir().join(format!("wigeonramp-plan-{}.json", process::id()));
    let file = plan.to_str().expect("the path is text");
    let (code, text) = run_tool(&["plan", &host, &format!("--out={file}"), gulf]);
    assert_eq!(code, Some(0), "{text}");
    let (code, text) = run_tool(&["confirm", &host, file]);
    let _ = fs::remove_file(&plan);
    assert_eq!(code, Some(0), "{text}");
    assert!(text.contains("version 1 is in force on 3 hosts"), "{text}");
    for host in &hosts {
        let status: StatusResponse = get(host.ready.operator, STATUS_PATH);
        assert_eq!(status.config_version.map(|version| version.get()), Some(1));
    }
    let (code, text) = run_tool(&["timeline", &host, "--kind=config_adopted"]);
    assert_eq!(code, Some(0), "{text}");
    assert_eq!(text.matches("config_adopted").count(), 3, "{text}");
    let metrics = get_text(hosts[1].ready.operator, METRICS_PATH);
    assert!(metrics.contains("wigeonramp_config_version 1\n"), "{metrics}");
    let (code, text) = run_tool(&["zone", "out", &host, &format!("--out={file}"), "gulf-a"]);
    let _ = fs::remove_file(&plan);
    assert_eq!(code, Some(0), "{text}");
}
