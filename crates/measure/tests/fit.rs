//! Fits of known curves, with and without noise, compared with values computed by hand.

use measure::{Coefficient, Fit, FitError, Model, Point};

fn points(pairs: &[(f64, f64)]) -> Vec<Point> {
    pairs.iter().map(|&(size, value)| Point::new(size, value)).collect()
}

fn near(one: f64, other: f64) -> bool {
    (one - other).abs() <= 1e-9 * one.abs().max(other.abs()).max(1.0)
}

#[test]
fn linear_fit_recovers_a_line_without_noise() {
    let fit = Fit::linear(&points(&[(0.0, 3.0), (10.0, 23.0), (20.0, 43.0), (30.0, 63.0)])).unwrap();
    assert!(near(fit.intercept.value, 3.0) && near(fit.slope.value, 2.0), "{fit:?}");
    assert!(fit.slope.error < 1e-9 && fit.residual_deviation < 1e-9, "{fit:?}");
    assert!(near(fit.explained, 1.0) && near(fit.value_at(100.0), 203.0));
    assert_eq!((fit.range, fit.square), ((0.0, 30.0), None));
    assert!(fit.extrapolates(31.0) && !fit.extrapolates(30.0));
}

/// Sizes 1 to 5, values 2, 4, 5, 4, 5: slope 0.6, intercept 2.2, squared residuals 2.4 over 3 degrees of
/// freedom.
#[test]
fn linear_fit_matches_hand_computed_standard_errors() {
    let fit = Fit::linear(&points(&[(1.0, 2.0), (2.0, 4.0), (3.0, 5.0), (4.0, 4.0), (5.0, 5.0)])).unwrap();
    assert!(near(fit.slope.value, 0.6) && near(fit.intercept.value, 2.2), "{fit:?}");
    assert!(near(fit.residual_deviation, 0.8_f64.sqrt()), "{fit:?}");
    assert!(near(fit.slope.error, 0.08_f64.sqrt()) && near(fit.intercept.error, 0.88_f64.sqrt()), "{fit:?}");
    assert!(near(fit.explained, 0.6), "{fit:?}");
    let residuals = [-0.8, 0.6, 1.0, -0.6, -0.2];
    assert!(fit.residuals.iter().zip(residuals).all(|(&one, other)| near(one, other)), "{fit:?}");
}

#[test]
fn square_fit_recovers_a_square_term_at_fleet_sizes() {
    let curve = |size: f64| 500.0 + 216.0 * size + 0.25 * size * size;
    let measured: Vec<Point> = [50.0, 100.0, 200.0, 400.0, 800.0, 1300.0]
        .iter()
        .map(|&size| Point::new(size, curve(size)))
        .collect();
    let fit = Fit::square(&measured).unwrap();
    let square = fit.square.unwrap();
    assert!((square.value - 0.25).abs() < 1e-9 && (fit.slope.value - 216.0).abs() < 1e-6, "{fit:?}");
    assert!(square.differs_from_zero(2.0) && near(fit.value_at(1300.0), curve(1300.0)));
    assert_eq!(fit.model, Model::Square);
}

#[test]
fn standard_errors_are_not_finite_without_degrees_of_freedom() {
    let fit = Fit::linear(&points(&[(1.0, 1.0), (2.0, 3.0)])).unwrap();
    assert!(near(fit.slope.value, 2.0) && !fit.slope.error.is_finite(), "{fit:?}");
}

#[test]
fn points_that_do_not_determine_a_curve_are_rejected() {
    let few = Fit::linear(&points(&[(1.0, 1.0)]));
    assert_eq!(few, Err(FitError::TooFewPoints { points: 1, needed: 2 }));
    let same = Fit::linear(&points(&[(5.0, 1.0), (5.0, 2.0), (5.0, 3.0)]));
    assert_eq!(same, Err(FitError::TooFewSizes { needed: 2 }));
    let two = Fit::square(&points(&[(1.0, 1.0), (1.0, 2.0), (2.0, 3.0)]));
    assert_eq!(two, Err(FitError::TooFewSizes { needed: 3 }));
    assert_eq!(Fit::linear(&points(&[(1.0, f64::NAN), (2.0, 1.0)])), Err(FitError::NotFinite));
    assert_eq!(few.unwrap_err().to_string(), "1 points are too few for a fit of 2 coefficients");
}

#[test]
fn coefficients_agree_within_their_combined_standard_error() {
    let one = Coefficient { value: 10.0, error: 0.3 };
    let two = Coefficient { value: 10.9, error: 0.4 };
    assert!(one.agrees_with(&two, 2.0) && !one.agrees_with(&two, 1.0));
    assert!(one.differs_from_zero(30.0) && !one.differs_from_zero(40.0));
    assert_eq!(two.to_string(), "10.90 ± 0.4000");
}
