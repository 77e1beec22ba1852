//! Plots of runs and sweeps as SVG.

use crate::compare::Summary;
use crate::report::{Report, Second};
use plotters::prelude::*;

type Points = Vec<(f64, f64)>;

fn chart(
    title: &str,
    x_label: &str,
    y_label: &str,
    x_range: (f64, f64),
    y_max: f64,
    lines: &[(&str, Points)],
) -> Result<String, String> {
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, (900, 420)).into_drawing_area();
        area.fill(&WHITE).map_err(|e| e.to_string())?;
        // Needs no font at run time: texts are written as SVG text.
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(52)
            .build_cartesian_2d(x_range.0..x_range.1, 0.0..y_max)
            .map_err(|e| e.to_string())?;
        chart.configure_mesh().x_desc(x_label).y_desc(y_label).draw().map_err(|e| e.to_string())?;
        for (i, (name, points)) in lines.iter().enumerate() {
            let colour = Palette99::pick(i).to_rgba();
            chart
                .draw_series(LineSeries::new(points.iter().copied(), colour.stroke_width(2)))
                .map_err(|e| e.to_string())?
                .label(*name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
        }
        let legend = &mut chart.configure_series_labels();
        legend.background_style(WHITE.mix(0.8)).border_style(BLACK).draw().map_err(|e| e.to_string())?;
        area.present().map_err(|e| e.to_string())?;
    }
    Ok(text)
}

/// Plots a run by second: the share, the attempts relative to the busiest second, and the fraction of
/// attempts that timed out.
///
/// # Errors
/// Returns the error of the plotting library.
pub fn plot_run(report: &Report, title: &str) -> Result<String, String> {
    let by_second =
        |figure: fn(&Second) -> f64| -> Points { report.seconds.iter().map(|s| (s.at, figure(s))).collect() };
    let most_attempts = report.seconds.iter().map(|s| s.attempts).max().unwrap_or(1).max(1) as f64;
    let lines = [
        (
            "share served in time",
            by_second(|s| if s.asked > 0.0 { (s.served / s.asked).min(1.2) } else { 1.0 }),
        ),
        (
            "attempts, relative to the busiest second",
            report.seconds.iter().map(|s| (s.at, s.attempts as f64 / most_attempts)).collect(),
        ),
        ("attempts that timed out", by_second(|s| s.timed_out as f64 / s.attempts.max(1) as f64)),
    ];
    let end = report.seconds.len().max(2) as f64 - 1.0;
    chart(title, "seconds", "share", (0.0, end), 1.2, &lines)
}

/// Plots a sweep by value: mean and lowest service score and the mean share of the worst window. A value that
/// is not a number is placed at its index.
///
/// # Errors
/// Returns the error of the plotting library.
pub fn plot_sweep(summaries: &[Summary], title: &str, value_name: &str) -> Result<String, String> {
    let x_of = |i: usize, value: &str| value.parse().unwrap_or(i as f64);
    let by_value = |figure: fn(&Summary) -> f64| -> Points {
        summaries.iter().enumerate().map(|(i, s)| (x_of(i, &s.value), figure(s).max(0.0))).collect()
    };
    let lines = [
        ("mean", by_value(|s| s.mean)),
        ("lowest of all seeds", by_value(|s| s.least)),
        ("worst 10 s, mean", by_value(|s| s.worst)),
    ];
    let xs: Vec<f64> = summaries.iter().enumerate().map(|(i, s)| x_of(i, &s.value)).collect();
    let (least, most) =
        xs.iter().fold((f64::INFINITY, f64::NEG_INFINITY), |(a, b), x| (a.min(*x), b.max(*x)));
    let most = if most > least { most } else { least + 1.0 };
    chart(title, value_name, "service", (least, most), 1.05, &lines)
}
