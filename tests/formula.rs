//! The paper's formula against values worked out by hand from Table I.

use corkreach::policy::{best_utilisation, blocking, utilisation_of_queue};

fn near(a: f64, b: f64) -> bool {
    (a - b).abs() < 5e-4
}

#[test]
fn best_utilisation_of_the_paper_s_benchmark() {
    // 1.071 − √(0.071 · 1.071) = 1.071 − 0.27576
    assert!(near(best_utilisation(0.071), 0.7952));
    // Its bounds: 1 as callers never give up, one half as they give up at once.
    assert!(near(best_utilisation(1e-12), 1.0));
    assert!(near(best_utilisation(1e6), 0.5));
}

#[test]
fn blocking_moves_utilisation_to_the_target() {
    let rho = best_utilisation(0.071);
    // The paper's example, λ = 2μ: unthrottled, u would read 2 and b = 1 − 0.795/2.
    assert!(near(blocking(rho, 0.0, 2.0), 0.6024));
    // A full processor: 1 − ρ°.
    assert!(near(blocking(rho, 0.0, 1.0), 0.2048));
    // Measured under b = 0.5 at the target: stays.
    assert!(near(blocking(rho, 0.5, rho), 0.5));
    // λ below the target: nothing is refused.
    assert_eq!(blocking(rho, 0.0, 0.5), 0.0);
    assert_eq!(blocking(rho, 0.3, 0.0), 0.0);
    // The cap.
    assert_eq!(blocking(rho, 0.95, 1.0), 0.95);
}

#[test]
fn a_queue_gives_a_utilisation() {
    assert_eq!(utilisation_of_queue(0.0), 0.0);
    assert!(near(utilisation_of_queue(4.0), 0.8));
}
