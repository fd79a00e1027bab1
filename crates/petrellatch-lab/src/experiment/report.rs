//! Tables, JSON and plots of results.

pub mod plot;
pub mod summary;

use std::io::{self, Write};

use serde::Serialize;

use super::command::ExperimentOptions;
use super::deployment::Deployment;

use self::summary::{Estimate, Percentiles, Summary};

#[derive(Serialize)]
struct Document<'a> {
    deployment: &'static str,
    seeds: String,
    load_percent: u32,
    calm: bool,
    variants: &'a [Summary],
}

/// Prints everything as JSON.
pub fn print_json(
    deployment: &Deployment,
    options: &ExperimentOptions,
    summaries: &[Summary],
    output: &mut dyn Write,
) -> io::Result<()> {
    let document = Document {
        deployment: deployment.name,
        seeds: options.seeds.to_string(),
        load_percent: options.load,
        calm: options.calm,
        variants: summaries,
    };
    serde_json::to_writer_pretty(&mut *output, &document)?;
    writeln!(output)
}

/// Prints tables in Markdown.
pub fn print_table(
    deployment: &Deployment,
    options: &ExperimentOptions,
    summaries: &[Summary],
    output: &mut dyn Write,
) -> io::Result<()> {
    writeln!(
        output,
        "{deployment}, seeds {}, load {} %{}; ± is the 95 % confidence over seeds\n",
        options.seeds,
        options.load,
        if options.calm { ", calm" } else { "" },
    )?;
    print_flows(summaries, output)?;
    print_causes(summaries, output)?;
    print_imbalance(deployment, summaries, output)?;
    print_waits(summaries, output)?;
    print_cost(summaries, output)?;
    print_reasons(summaries, output)
}

fn print_flows(summaries: &[Summary], output: &mut dyn Write) -> io::Result<()> {
    writeln!(
        output,
        "| per million flows | flows | broken | of these avoidable | after planned changes | \
         refused as not run | opening reset | opening unanswered | gave up | shed | \
         run twice | false not-run | misrouted |"
    )?;
    writeln!(
        output,
        "|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|"
    )?;
    for it in summaries {
        writeln!(
            output,
            "| {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} |",
            it.variant,
            it.opened,
            whole(it.broken_per_million),
            whole(it.avoidable_per_million),
            whole(it.planned_per_million),
            whole(it.refused_per_million),
            whole(it.reset_openings_per_million),
            whole(it.unanswered_openings_per_million),
            whole(it.gave_up_per_million),
            whole(it.shed_per_million),
            it.duplicated,
            it.false_refusals,
            it.misrouted,
        )?;
    }
    writeln!(output)
}

fn print_causes(summaries: &[Summary], output: &mut dyn Write) -> io::Result<()> {
    writeln!(
        output,
        "Broken flows in a million, by the last event before:\n"
    )?;
    for it in summaries {
        let causes: Vec<String> = it
            .causes
            .iter()
            .map(|(cause, count)| format!("{cause} {count:.0}"))
            .collect();
        writeln!(output, "- {}: {}", it.variant, causes.join(", "))?;
    }
    writeln!(output)
}

fn print_imbalance(
    deployment: &Deployment,
    summaries: &[Summary],
    output: &mut dyn Write,
) -> io::Result<()> {
    for (index, profile) in deployment.services.iter().enumerate() {
        writeln!(
            output,
            "| busy slots, {} | max / mean (1 s) | p99 / mean (1 s) | max / mean (instant) |",
            profile.name
        )?;
        writeln!(output, "|---|--:|--:|--:|")?;
        for it in summaries {
            let imbalance = &it.imbalance[index];
            writeln!(
                output,
                "| {} | {} | {} | {} |",
                it.variant,
                fine(imbalance.max_over_mean),
                fine(imbalance.p99_over_mean),
                fine(imbalance.instant_max_over_mean),
            )?;
        }
        writeln!(output)?;
    }
    Ok(())
}

fn print_waits(summaries: &[Summary], output: &mut dyn Write) -> io::Result<()> {
    writeln!(
        output,
        "| milliseconds | queue wait p50 | p99 | p99.9 | p99 by seed | max / mean of back ends | \
         delay to start p50 | p99 | p99.9 |"
    )?;
    writeln!(output, "|---|--:|--:|--:|--:|--:|--:|--:|--:|")?;
    for it in summaries {
        writeln!(
            output,
            "| {} | {} | {} | {} | {} |",
            it.variant,
            three(it.queue_wait_ms),
            fine(it.queue_wait_p99_ms),
            fine(it.wait_max_over_mean),
            three(it.start_delay_ms),
        )?;
    }
    writeln!(output)
}

fn print_cost(summaries: &[Summary], output: &mut dyn Write) -> io::Result<()> {
    writeln!(
        output,
        "| cost | extra hops a packet | flows passed on | control bytes/s of a balancer | \
         of a back end's machine |"
    )?;
    writeln!(output, "|---|--:|--:|--:|--:|")?;
    for it in summaries {
        writeln!(
            output,
            "| {} | {} | {} | {} | {} |",
            it.variant,
            fine(it.extra_hops_per_packet),
            fine(it.hunted_share),
            whole(it.balancer_control_bytes_per_second),
            whole(it.backend_control_bytes_per_second),
        )?;
    }
    writeln!(output)
}

fn whole(estimate: Estimate) -> String {
    format!("{:.0} ± {:.0}", estimate.mean, estimate.half_width)
}

fn fine(estimate: Estimate) -> String {
    format!("{:.3} ± {:.3}", estimate.mean, estimate.half_width)
}

fn three(percentiles: Percentiles) -> String {
    let Percentiles { p50, p99, p999 } = percentiles;
    format!("{p50:.2} | {p99:.1} | {p999:.1}")
}

fn print_reasons(summaries: &[Summary], output: &mut dyn Write) -> io::Result<()> {
    writeln!(
        output,
        "Refused flows and dropped packets by reason, all seeds:\n"
    )?;
    for it in summaries {
        writeln!(
            output,
            "- {}: refused {:?}, dropped {:?}",
            it.variant, it.refused, it.drops
        )?;
    }
    writeln!(output)
}
