//! Invalid command lines print one error line and exit with status 2.

use std::process::Command;

#[test]
fn invalid_arguments_print_one_line_and_exit_with_status_2() {
    let directory = std::env::temp_dir();
    let missing_program = directory.join("no-controller-here");
    for arguments in [
        vec!["soak"],
        vec!["soak", "--seeds", "a..3", "--minutes", "1"],
        vec!["soak", "--seeds", "3..3", "--minutes", "1"],
        vec!["soak", "--seeds", "1", "--minutes", "0"],
        vec!["soak", "--seeds", "1", "--minutes", "soon"],
        vec!["soak", "--seeds", "1", "--minutes", "1", "--fault", "earthquake"],
        vec!["soak", "--seeds", "1", "--minutes", "1", "--machines", "100000"],
        vec!["soak", "--seeds", "1", "--minutes", "1", "--nodes", "0"],
        vec![
            "soak",
            "--seeds",
            "1",
            "--minutes",
            "1",
            "--controller",
            missing_program.to_str().unwrap(),
        ],
        vec!["sock"],
    ] {
        let program = env!("CARGO_BIN_EXE_basaltrail-testbed");
        let output =
            Command::new(program).args(&arguments).current_dir(&directory).output().unwrap();
        let stderr = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(2), "{arguments:?}: {stderr}");
        assert_eq!(stderr.lines().count(), 1, "{arguments:?}: {stderr}");
    }
    let help = Command::new(env!("CARGO_BIN_EXE_basaltrail-testbed"))
        .args(["soak", "--help"])
        .output()
        .unwrap();
    let text = String::from_utf8(help.stdout).unwrap();
    assert!(help.status.success() && text.contains("short-leaderships"), "{text}");
}
