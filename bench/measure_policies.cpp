#include "core/baseline_policies.hpp"
#include "core/product_policies.hpp"
#include "goodput_measure.hpp"
#include "head_of_line_measure.hpp"
#include "least_wait_policies.hpp"
#include "peak_measure.hpp"
#include "recovery_measure.hpp"
#include "straggler_measure.hpp"

#include <absl/strings/numbers.h>
#include <fmt/format.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace
{

using namespace samphire;

constexpr std::uint64_t default_seed = 20261204;

constexpr std::string_view help =
    R"(measure-policies [GROUP [SEED]]: decisions under load in virtual time.
GROUP: goodput, recovery, crest, head_of_line, straggler; "" is all.
SEED: default 20261204.
Prints measure=NAME policy=NAME value=X unit=U target=X.
Policies: product, least_wait (product with the candidate selector), baseline
(first in first out, round robin, three tries at every hop).

coop: present number of upstreams with a tenth of their slots, 3 failure
  domains 1 ms apart:
  slots 6x10, bookings 4x15, photos 3x20, measures 3x4 (3.5 rounded up).
  A request to slots calls bookings, which calls measures. 600 requests/s.
trust: present number of upstreams with a tenth of their slots, 4 failure
  domains 1 ms apart:
  catalogue 5x11, runbook 4x14, sensorvault 4x14, specview 4x3 (2.5 rounded
  up). A request to catalogue calls runbook, which calls specview.
  600 requests/s.
Service times vary uniformly by half around 10 ms (the last service 20 ms).
Load: 10% critical and unrepeatable, 20% high, 60% normal, 10% background;
callers wait 1 s. Load reports are 5 s old.
)";

template <policies Policies>
void measure(
    std::string const& policy, std::string_view group, std::uint64_t seed)
{
    using namespace samphire::bench;
    auto const selected = [&](std::string_view name)
    {
        return group.empty() || group == name;
    };
    for (site const& tested_site : {cooperative_site(), trust_site()})
    {
        if (selected("goodput"))
            measure_goodput<Policies>(policy, tested_site, seed);
        if (selected("recovery"))
            measure_recovery<Policies>(policy, tested_site, seed);
        if (selected("crest"))
            measure_peak<Policies>(policy, tested_site, seed);
    }
    if (selected("head_of_line"))
        measure_head_of_line<Policies>(policy, seed);
    if (selected("straggler"))
    {
        measure_straggler<Policies>("straggler", policy, false, seed);
        measure_straggler<Policies>("straggler_cut_off", policy, true, seed);
    }
}

bool is_known_group(std::string_view group)
{
    for (std::string_view const name :
         {"", "goodput", "recovery", "crest", "head_of_line", "straggler"})
    {
        if (group == name)
            return true;
    }
    return false;
}

} // namespace

int main(int argc, char** argv)
{
    std::string_view const group = argc > 1 ? argv[1] : "";
    if (group == "--help")
    {
        fmt::print("{}", help);
        return 0;
    }
    std::uint64_t seed = default_seed;
    bool const seed_valid = argc < 3 || absl::SimpleAtoi(argv[2], &seed);
    if (argc > 3 || !is_known_group(group) || !seed_valid)
    {
        fmt::print(
            stderr,
            "measure-policies: GROUP must be one that --help lists, SEED a "
            "number\n");
        return 2;
    }
    measure<product_policies>("product", group, seed);
    measure<bench::least_wait_policies>("least_wait", group, seed);
    measure<baseline_policies>("baseline", group, seed);
    return 0;
}
