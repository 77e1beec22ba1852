//! Plots as SVG.

use crate::compare::Summary;
use crate::report::Report;
use plotters::prelude::*;

type Points = Vec<(f64, f64)>;

fn chart(
    title: &str,
    axes: (&str, &str),
    range: (f64, f64),
    top: f64,
    lines: &[(&str, Points)],
) -> Result<String, String> {
    let mut text = String::new();
    {
        let told = |e: String| e;
        let area = SVGBackend::with_string(&mut text, (900, 420)).into_drawing_area();
        area.fill(&WHITE).map_err(|e| told(e.to_string()))?;
        // Rectangles and lines only need no font at run time; axes' texts are written as SVG text.
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(52)
            .build_cartesian_2d(range.0..range.1, 0.0..top)
            .map_err(|e| told(e.to_string()))?;
        chart.configure_mesh().x_desc(axes.0).y_desc(axes.1).draw().map_err(|e| told(e.to_string()))?;
        for (i, (name, points)) in lines.iter().enumerate() {
            let colour = Palette99::pick(i).to_rgba();
            chart
                .draw_series(LineSeries::new(points.iter().copied(), colour.stroke_width(2)))
                .map_err(|e| told(e.to_string()))?
                .label(*name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
        }
        let legend = &mut chart.configure_series_labels();
        legend
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()
            .map_err(|e| told(e.to_string()))?;
        area.present().map_err(|e| told(e.to_string()))?;
    }
    Ok(text)
}

/// A run by seconds: the share served of what was asked inside quotas, and the parts refused for want of room and otherwise.
pub fn run(report: &Report, title: &str) -> Result<String, String> {
    let of = |part: fn(&crate::report::Second) -> f64| -> Points {
        report.seconds.iter().map(|s| (s.at, part(s))).collect()
    };
    let attempts = report.seconds.iter().map(|s| s.attempts).max().unwrap_or(1).max(1) as f64;
    let lines = [
        ("served of what was asked", of(|s| if s.asked > 0.0 { (s.served / s.asked).min(1.2) } else { 1.0 })),
        (
            "attempts, of the most a second",
            report.seconds.iter().map(|s| (s.at, s.attempts as f64 / attempts)).collect(),
        ),
        ("attempts that timed out", of(|s| s.timed_out as f64 / s.attempts.max(1) as f64)),
    ];
    let end = report.seconds.len().max(2) as f64 - 1.0;
    chart(title, ("seconds", "share"), (0.0, end), 1.2, &lines)
}

/// A sweep: the mean, the least and the worst window by value, in the order of the values.
pub fn sweep(all: &[Summary], title: &str, name: &str) -> Result<String, String> {
    let at = |i: usize, value: &str| value.parse().unwrap_or(i as f64);
    let of = |part: fn(&Summary) -> f64| -> Points {
        all.iter().enumerate().map(|(i, s)| (at(i, &s.value), part(s).max(0.0))).collect()
    };
    let lines = [
        ("mean", of(|s| s.mean)),
        ("least of all seeds", of(|s| s.least)),
        ("worst 10 s, mean", of(|s| s.worst)),
    ];
    let xs: Vec<f64> = all.iter().enumerate().map(|(i, s)| at(i, &s.value)).collect();
    let (least, most) =
        xs.iter().fold((f64::INFINITY, f64::NEG_INFINITY), |(a, b), x| (a.min(*x), b.max(*x)));
    let most = if most > least { most } else { least + 1.0 };
    chart(title, (name, "service"), (least, most), 1.05, &lines)
}
