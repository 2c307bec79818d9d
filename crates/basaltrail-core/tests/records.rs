//! Tests that this version and the earlier versions that may run at the same time read each other's
//! records. The earlier versions are e26460f, which is in production, and 9b39f4b, which supports
//! services.

use basaltrail_core::records::*;
use basaltrail_core::*;
use serde::Deserialize;

/// A job with a value for every optional field.
const JOB: &str = r#"{"at":1764650000123,"spec":{"class":"nightly-catalogue","team":"cataloguers","priority":"n","tasks":25,"cpus":2.0,"gpus":0.0,"memory_gb":11.0,"types":["folio-box"],"zone":"valley-room","one_zone":true,"spread":false,"spot":true,"image":"img-07","image_gb":1.2,"estimate_s":50.0,"checkpoint_s":20.0,"save_s":4.0,"deadline_s":900.0}}"#;
/// A job without values for the optional fields.
const JOB_WITHOUT_OPTIONAL_FIELDS: &str = r#"{"at":1764650000123,"spec":{"class":"nightly-catalogue","team":"cataloguers","priority":"n","tasks":25,"cpus":2.0,"gpus":0.0,"memory_gb":11.0,"one_zone":true,"spread":false,"spot":true,"image":"img-07","image_gb":1.2,"estimate_s":50.0,"checkpoint_s":20.0,"save_s":4.0}}"#;
/// A service as 9b39f4b writes it. e26460f does not support services.
const SERVICE: &str = r#"{"at":1764650000123,"spec":{"kind":"s","class":"counter-lookup","team":"cataloguers","priority":"p","tasks":4,"cpus":2.0,"gpus":0.0,"memory_gb":12.8,"one_zone":false,"spread":true,"spot":false,"image":"img-07","image_gb":1.0,"estimate_s":0.0,"checkpoint_s":0.0,"save_s":0.0}}"#;
const MACHINE_REGISTRY_SEGMENT: &str =
    r#"[{"id":"m-000231","ty":"folio-box","z":"valley-room","s":true,"f":true}]"#;
/// A machine that is about to be terminated. Earlier versions ignore the mark.
const TERMINATING_MACHINE: &str =
    r#"[{"id":"m-000231","ty":"folio-box","z":"valley-room","s":true,"f":true,"t":true}]"#;
const LEDGER_VALUE: &str =
    r#"{"teams":[["cataloguers",12.5,100.0]],"leases_end":1764650010123,"sick":[412]}"#;
const LEDGER_WITHOUT_CRASH_LOOPS: &str =
    r#"{"teams":[["cataloguers",12.5,100.0]],"leases_end":1764650010123}"#;
const LEADER_VALUE: &str = r#"{"node":"stack-0","incarnation":18446744073709551615,"token":41}"#;
const TYPES_VALUE: &str = r#"[{"name":"folio-box","cpus":16.0,"gpus":0.0,"memory_gb":128.0,"cache_gb":100.0,"fetch_gb_per_s":1.0,"price":1.49,"spot_price":0.47,"boot_s":20.0,"zones":["valley-room"]}]"#;

/// Decodes a record and checks that its encoding is the same text, so that no field is lost between
/// versions.
fn round_trip<T: for<'a> Deserialize<'a> + serde::Serialize>(text: &str) -> T {
    let record: T = decode(text).unwrap_or_else(|| panic!("cannot decode {text}"));
    assert_eq!(encode(&record), text);
    record
}

#[test]
fn records_of_earlier_versions_are_decoded_and_encoded_unchanged() {
    let job: JobRecord = round_trip(JOB);
    assert_eq!((job.spec.kind, job.spec.deadline_s), (JobKind::Array, Some(900.0)));
    round_trip::<JobRecord>(JOB_WITHOUT_OPTIONAL_FIELDS);
    let service: JobRecord = round_trip(SERVICE);
    assert!(service.spec.is_service() && service.spec.spread && !service.spec.spot);
    assert!(round_trip::<Vec<MachineRecord>>(MACHINE_REGISTRY_SEGMENT)[0].holds_no_tasks);
    assert!(round_trip::<Vec<MachineRecord>>(TERMINATING_MACHINE)[0].terminating);
    let read: Vec<version_e26460f::MachineRecord> =
        serde_json::from_str(TERMINATING_MACHINE).unwrap();
    assert_eq!(read.len(), 1);
    assert_eq!(round_trip::<LedgerRecord>(LEDGER_VALUE).crash_looping_jobs, [JobId(412)]);
    assert!(round_trip::<LedgerRecord>(LEDGER_WITHOUT_CRASH_LOOPS).crash_looping_jobs.is_empty());
    round_trip::<LeaderRecord>(LEADER_VALUE);
    assert!(round_trip::<RunStateRecord>(r#"{"r":true}"#).is_running);
    round_trip::<Vec<MachineType>>(TYPES_VALUE);
    assert_eq!(round_trip::<FencingToken>("41"), FencingToken(41));
    assert_eq!(round_trip::<Option<String>>(r#""valley-room""#).as_deref(), Some("valley-room"));
    assert_eq!(round_trip::<JobOutcome>(r#""c""#), JobOutcome::Cancelled);
    assert_eq!(round_trip::<JobOutcome>(r#""d""#), JobOutcome::Done);
    let mut completed = TaskSet::default();
    assert!(completed
        .add_segment(0, &decode::<String>(r#""00000000000000010000000000000040""#).unwrap()));
    assert!(completed.contains(0) && completed.contains(70) && completed.len() == 2);
}

/// Both earlier versions read the records at these keys.
#[test]
fn keys_are_the_same_as_in_earlier_versions() {
    let (job, large) = (JobId(412), JobId(1_234_567));
    assert_eq!([active_job_key(job), active_job_key(large)], ["j/a/000412", "j/a/1234567"]);
    assert_eq!([outcome_key(job), completions_key(job, 3)], ["j/t/000412", "d/000412/3"]);
    // Earlier versions have no run states, and ignore their keys.
    assert_eq!([run_state_key(job).as_str(), RUN_STATES_PREFIX], ["j/r/000412", "j/r/"]);
    assert_eq!([machine_registry_key(0), machine_registry_key(17)], ["r/0", "r/17"]);
    assert_eq!([LEADER_KEY, TERM_KEY, PRIMARY_ZONE_KEY], ["c/leader", "c/term", "c/home"]);
    assert_eq!([LEDGER_KEY, MACHINE_TYPES_KEY], ["l/ledger", "m/types"]);
    assert_eq!(
        [
            CONTROL_PREFIX,
            JOBS_PREFIX,
            ACTIVE_JOBS_PREFIX,
            OUTCOMES_PREFIX,
            COMPLETIONS_PREFIX,
            MACHINE_REGISTRY_PREFIX
        ],
        ["c/", "j/", "j/a/", "j/t/", "d/", "r/"]
    );
    assert_eq!(TASKS_PER_SEGMENT, 4096, "tasks whose completion is stored under one key");
}

/// The record types of e26460f, the version in production. Those of 9b39f4b differ only in the kind of
/// a job, see [`version_9b39f4b`].
mod version_e26460f {
    use super::Deserialize;

    #[derive(Deserialize)]
    pub struct JobRecord {
        pub at: i64,
        pub spec: JobSpec,
    }

    #[derive(Deserialize)]
    pub enum Priority {
        #[serde(rename = "l")]
        Low,
        #[serde(rename = "n")]
        Normal,
        #[serde(rename = "h")]
        High,
        #[serde(rename = "p")]
        Production,
    }

    #[derive(Deserialize)]
    #[allow(dead_code)]
    pub struct JobSpec {
        pub class: String,
        pub team: String,
        pub priority: Priority,
        pub tasks: u32,
        pub cpus: f64,
        #[serde(default)]
        pub gpus: f64,
        pub memory_gb: f64,
        #[serde(default)]
        pub types: Option<Vec<String>>,
        #[serde(default)]
        pub zone: Option<String>,
        #[serde(default)]
        pub one_zone: bool,
        #[serde(default)]
        pub spread: bool,
        #[serde(default)]
        pub spot: bool,
        pub image: String,
        pub image_gb: f64,
        pub estimate_s: f64,
        #[serde(default)]
        pub checkpoint_s: f64,
        #[serde(default)]
        pub save_s: f64,
        #[serde(default)]
        pub deadline_s: Option<f64>,
    }

    #[derive(Deserialize)]
    #[allow(dead_code)]
    pub struct MachineRecord {
        pub id: String,
        #[serde(rename = "ty")]
        pub machine_type: String,
        #[serde(rename = "z")]
        pub zone: String,
        #[serde(rename = "s")]
        pub spot: bool,
        #[serde(rename = "f", default)]
        pub free: bool,
    }

    #[derive(Deserialize)]
    #[allow(dead_code)]
    pub struct LedgerRecord {
        pub teams: Vec<(String, f64, f64)>,
        pub leases_end: i64,
        #[serde(rename = "sick", default)]
        pub crash_looping_jobs: Vec<u64>,
    }
}

/// The record types of 9b39f4b that differ from those of e26460f.
mod version_9b39f4b {
    use super::{version_e26460f, Deserialize};

    #[derive(Default, Deserialize, Debug, PartialEq)]
    pub enum JobKind {
        #[default]
        #[serde(rename = "a")]
        Array,
        #[serde(rename = "s")]
        Service,
    }

    #[derive(Deserialize)]
    pub struct JobSpec {
        #[serde(default)]
        pub kind: JobKind,
        #[serde(flatten)]
        pub rest: version_e26460f::JobSpec,
    }

    #[derive(Deserialize)]
    pub struct JobRecord {
        pub at: i64,
        pub spec: JobSpec,
    }
}

/// A controller of an earlier version that becomes the leader must read all records that this version
/// wrote, including services.
#[test]
fn earlier_versions_read_the_records_of_this_version() {
    let mut job: JobRecord = decode(JOB).unwrap();
    job.spec.kind = JobKind::Service;
    job.spec.priority = Priority::Production;
    let text = encode(&job);
    let old_job: version_e26460f::JobRecord = serde_json::from_str(&text).unwrap();
    assert_eq!((old_job.at, old_job.spec.tasks, old_job.spec.cpus), (job.accepted_at, 25, 2.0));
    assert!(matches!(old_job.spec.priority, version_e26460f::Priority::Production));
    let service: version_9b39f4b::JobRecord = serde_json::from_str(&text).unwrap();
    assert_eq!((service.at, service.spec.rest.tasks), (job.accepted_at, 25));
    assert_eq!(service.spec.kind, version_9b39f4b::JobKind::Service);
    let array: version_9b39f4b::JobRecord =
        serde_json::from_str(&encode(&decode::<JobRecord>(JOB))).unwrap();
    assert_eq!(array.spec.kind, version_9b39f4b::JobKind::Array);
    // This version still decodes the record as a service.
    assert!(decode::<JobRecord>(&text).unwrap().spec.is_service());
    let machine = MachineRecord {
        id: MachineId("m-000001".into()),
        machine_type: "x".into(),
        zone: "a".into(),
        spot: false,
        holds_no_tasks: false,
        terminating: false,
    };
    let old_machines: Vec<version_e26460f::MachineRecord> =
        serde_json::from_str(&encode(&vec![machine])).unwrap();
    assert!(!old_machines[0].free && old_machines[0].id == "m-000001");
    let ledger: LedgerRecord = decode(LEDGER_VALUE).unwrap();
    let old_ledger: version_e26460f::LedgerRecord = serde_json::from_str(&encode(&ledger)).unwrap();
    assert_eq!((old_ledger.teams.len(), old_ledger.crash_looping_jobs), (1, vec![412]));
}
