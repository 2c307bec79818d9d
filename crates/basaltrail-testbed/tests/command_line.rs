//! What is wrong on the command line gives one line and exit status 2.

use std::process::Command;

#[test]
fn bad_arguments_give_one_line_and_status_2() {
    let here = std::env::temp_dir();
    let none = here.join("no-controller-here");
    for arguments in [
        vec!["soak"],
        vec!["soak", "--seeds", "a..3", "--minutes", "1"],
        vec!["soak", "--seeds", "3..3", "--minutes", "1"],
        vec!["soak", "--seeds", "1", "--minutes", "0"],
        vec!["soak", "--seeds", "1", "--minutes", "soon"],
        vec!["soak", "--seeds", "1", "--minutes", "1", "--fault", "earthquake"],
        vec!["soak", "--seeds", "1", "--minutes", "1", "--machines", "100000"],
        vec!["soak", "--seeds", "1", "--minutes", "1", "--nodes", "0"],
        vec!["soak", "--seeds", "1", "--minutes", "1", "--controller", none.to_str().unwrap()],
        vec!["sock"],
    ] {
        let program = env!("CARGO_BIN_EXE_basaltrail-testbed");
        let answer = Command::new(program).args(&arguments).current_dir(&here).output().unwrap();
        let told = String::from_utf8(answer.stderr).unwrap();
        assert_eq!(answer.status.code(), Some(2), "{arguments:?}: {told}");
        assert_eq!(told.lines().count(), 1, "{arguments:?}: {told}");
    }
    let help = Command::new(env!("CARGO_BIN_EXE_basaltrail-testbed"))
        .args(["soak", "--help"])
        .output()
        .unwrap();
    let text = String::from_utf8(help.stdout).unwrap();
    assert!(help.status.success() && text.contains("short-leaderships"), "{text}");
}
