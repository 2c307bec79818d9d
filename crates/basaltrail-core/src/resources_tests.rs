use super::*;

fn amount(cpus: f64, gpus: f64, memory_gb: f64) -> Resources {
    Resources { cpus, gpus, memory_gb }
}

#[test]
fn scarcest_resource_determines_how_many_times_a_demand_fits() {
    let machine = amount(8.0, 1.0, 64.0);
    assert_eq!(machine.fitting_tasks(&amount(2.0, 0.0, 8.0)), 4);
    assert_eq!(machine.fitting_tasks(&amount(2.0, 0.0, 30.0)), 2);
    assert_eq!(machine.fitting_tasks(&amount(2.0, 1.0, 8.0)), 1);
    assert_eq!(machine.fitting_tasks(&amount(16.0, 0.0, 8.0)), 0);
}

#[test]
fn arithmetic_applies_to_each_resource() {
    let mut free = amount(8.0, 1.0, 64.0);
    free -= amount(2.0, 0.0, 8.0) * 3.0;
    assert_eq!(free, amount(2.0, 1.0, 40.0));
    free += amount(1.0, 0.0, 4.0);
    assert_eq!(free, amount(3.0, 1.0, 44.0));
    // A task of an unknown job has an infinite demand, so that nothing else fits.
    assert_eq!((free - amount(f64::INFINITY, 0.0, 0.0)).fitting_tasks(&amount(1.0, 0.0, 1.0)), 0);
}
