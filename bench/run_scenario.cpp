#include "core/product_daemon_core.hpp"
#include "scenario/scenario_parser.hpp"
#include "scenario/virtual_runner.hpp"
#include "settings/program_settings.hpp"

#include <fmt/format.h>

#include <array>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <set>
#include <string>

namespace
{

using namespace samphire;

constexpr std::array definitions{
    setting_definition{
        .name_ = "file",
        .kind_ = setting_kind::text,
        .required_ = true,
        .help_ = "scenario file"},
    setting_definition{
        .name_ = "seed",
        .kind_ = setting_kind::integer,
        .default_ = "1",
        .minimum_ = 1,
        .maximum_ = 1'000'000'000,
        .help_ = "seed of the first run; each later run uses the next number"},
    setting_definition{
        .name_ = "runs",
        .kind_ = setting_kind::integer,
        .default_ = "0",
        .minimum_ = 0,
        .maximum_ = 1'000'000,
        .help_ = "number of runs; zero for the number in the scenario file"},
    setting_definition{
        .name_ = "baseline",
        .kind_ = setting_kind::toggle,
        .default_ = "false",
        .help_ =
            "run with the baseline policies instead of those of the product"},
    setting_definition{
        .name_ = "figures",
        .kind_ = setting_kind::toggle,
        .default_ = "false",
        .help_ = "print the figures of each run"}};

/// Lists the expectations that the figures do not meet; empty when all are met.
std::string list_unmet_expectations(
    scenario::scenario_plan const& plan, scenario::figure_list const& figures)
{
    std::string text;
    for (scenario::expectation const& expected : plan.expectations_)
    {
        if (meets_expectation(expected, figures))
            continue;
        auto const found = figures.find(expected.figure_);
        text += fmt::format(
            " {}={}(expected {}{})",
            expected.figure_,
            found == figures.end() ? -1.0 : found->second,
            expected.relation_,
            expected.bound_);
    }
    return text;
}

std::string fault_list(scenario::scenario_plan const& plan)
{
    std::set<std::string> verbs;
    for (scenario::fault_setup const& fault : plan.faults_)
        verbs.insert(fault.verb_);
    if (plan.datagram_loss_percent_ > 0)
        verbs.insert("loss");
    std::string text;
    for (std::string const& verb : verbs)
        text += (text.empty() ? "" : ",") + verb;
    return text.empty() ? "none" : text;
}

template <policies Policies>
int run_all(scenario::scenario_plan const& plan, setting_values const& settings)
{
    std::int64_t const requested_runs = settings.integer("runs");
    std::uint64_t const runs = requested_runs > 0
                                   ? static_cast<std::uint64_t>(requested_runs)
                                   : plan.runs_;
    auto const first_seed =
        static_cast<std::uint64_t>(settings.integer("seed"));
    unsigned failed_runs = 0;
    for (std::uint64_t seed = first_seed; seed < first_seed + runs; ++seed)
    {
        scenario::figure_list const figures =
            scenario::virtual_runner<Policies>(plan, seed).run();
        std::string const text = list_unmet_expectations(plan, figures);
        if (settings.toggle("figures"))
        {
            for (auto const& [name, value] : figures)
                fmt::print("seed={} {}={}\n", seed, name, value);
        }
        if (text.empty())
            continue;
        ++failed_runs;
        fmt::print(stderr, "scenario={} seed={}{}\n", plan.name_, seed, text);
    }
    fmt::print(
        "hold={} faults={} runs={} result={}\n",
        plan.name_,
        fault_list(plan),
        runs,
        failed_runs == 0 ? "pass" : "fail");
    return failed_runs == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    settings_parser const parser(
        "run-scenario", "runs a scenario file in virtual time", definitions);
    int exit_code = 0;
    auto const settings = read_program_settings(parser, argc, argv, exit_code);
    if (!settings)
        return exit_code;
    std::ifstream file(settings->text("file"));
    std::string const text{
        std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    scenario::scenario_result const parsed = scenario::parse_scenario(text);
    if (!parsed)
    {
        for (scenario::scenario_error const& error : parsed.error())
            fmt::print(
                stderr,
                "{}:{}: {}\n",
                settings->text("file"),
                error.line_,
                error.rule_);
        return 2;
    }
    return settings->toggle("baseline")
               ? run_all<baseline_policies>(parsed.value(), *settings)
               : run_all<product_policies>(parsed.value(), *settings);
}
