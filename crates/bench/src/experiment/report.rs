//! Prints figures: one per line for scripts, and as a table for people.

use hdrhistogram::Histogram;

use super::Run;

fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}

/// Prints every figure of a run as `name: value unit`.
pub fn print_lines(run: &Run) {
    let prefix = format!("{}.{}.{}", run.deployment, run.scenario, run.policy.name());
    let line = |name: &str, value: String, unit: &str| println!("{prefix}.{name}: {value} {unit}");
    for (name, service) in run.services.iter().zip(&run.figures.services) {
        for (label, quantile) in [("p50", 0.50), ("p99", 0.99), ("p99.9", 0.999)] {
            let value = quantile_ms(&service.answered, quantile);
            line(&format!("{name}.{label}"), format!("{value:.1}"), "ms");
            let value = quantile_ms(&service.charged, quantile);
            line(
                &format!("{name}.{label}-charged"),
                format!("{value:.1}"),
                "ms",
            );
        }
        line(
            &format!("{name}.answered"),
            service.answered.len().to_string(),
            "requests",
        );
        line(
            &format!("{name}.refused"),
            service.refused.to_string(),
            "requests",
        );
        line(
            &format!("{name}.lost"),
            service.lost.to_string(),
            "requests",
        );
    }
    let p99 = quantile_ms(&run.figures.services[0].answered, 0.99);
    let bound = run.bounds[0].as_secs_f64() * 1000.0;
    line("p99-to-bound", format!("{:.3}", p99 / bound), "ratio");
    let figures = &run.figures;
    line(
        "headroom",
        format!("{:.1}", figures.headroom * 100.0),
        "percent",
    );
    line("overfilled", figures.overfilled.to_string(), "requests");
    line("limit-excess", figures.limit_excess.to_string(), "requests");
    if run.policy.has_home_regions() {
        line("shift-excess", figures.shift_excess.to_string(), "requests");
    }
    if let Some(drain) = figures.drain {
        let seconds = |span: std::time::Duration| format!("{:.2}", span.as_secs_f64());
        line("drain-new-work", seconds(drain.new_work()), "s");
        line("drain-empty", seconds(drain.empty()), "s");
    }
}

/// Prints the runs of one scenario as a table, with the latencies and counts of the first
/// service.
pub fn print_table(runs: &[Run]) {
    let Some(first) = runs.first() else { return };
    println!(
        "\n{} / {} / {}",
        first.deployment, first.scenario, first.services[0]
    );
    println!(
        "no plan's p99 is under {:.1} ms",
        first.bounds[0].as_secs_f64() * 1000.0
    );
    println!(
        "{:<26}{:>8}{:>8}{:>9}{:>9}{:>8}{:>6}{:>7}{:>8}{:>6}{:>6}{:>7}{:>7}",
        "policy",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "p99 chg",
        "refused",
        "lost",
        "headrm",
        "overfil",
        "limit+",
        "shift+",
        "newwork",
        "empty"
    );
    for run in runs {
        print_row(run);
    }
}

fn print_row(run: &Run) {
    let service = &run.figures.services[0];
    let drain = run.figures.drain;
    let seconds = |span: Option<std::time::Duration>| match span {
        Some(span) => format!("{:.2}", span.as_secs_f64()),
        None => "-".to_owned(),
    };
    let shift = if run.policy.has_home_regions() {
        run.figures.shift_excess.to_string()
    } else {
        "-".to_owned()
    };
    println!(
        "{:<26}{:>8.1}{:>8.1}{:>9.1}{:>9.1}{:>8}{:>6}{:>6.1}%{:>8}{:>6}{:>6}{:>7}{:>7}",
        run.policy.name(),
        quantile_ms(&service.answered, 0.5),
        quantile_ms(&service.answered, 0.99),
        quantile_ms(&service.answered, 0.999),
        quantile_ms(&service.charged, 0.99),
        service.refused,
        service.lost,
        run.figures.headroom * 100.0,
        run.figures.overfilled,
        run.figures.limit_excess,
        shift,
        seconds(drain.map(|drain| drain.new_work())),
        seconds(drain.map(|drain| drain.empty())),
    );
}
