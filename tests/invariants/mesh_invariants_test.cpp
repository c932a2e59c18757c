#include "random_run.hpp"

#include <CppUTest/TestHarness.h>

#include <cstdlib>

using namespace samphire;

TEST_GROUP(mesh_invariants){static std::uint64_t environment_number(
    char const* variable,
    std::uint64_t default_value){char const* const text = std::getenv(variable);
return text ? std::strtoull(text, nullptr, 10) : default_value;
}
}
;

// Guards against double runs, false outcomes and calls that a planned stop cuts
// off, in cases that occur only when several faults coincide.
TEST(mesh_invariants, random_faults_keep_every_guarantee)
{
    std::uint64_t const first_seed =
        environment_number("SAMPHIRE_FIRST_SEED", 1);
    std::uint64_t const seed_count =
        environment_number("SAMPHIRE_SEEDS", 10000);
    std::string failures;
    unsigned failed_runs = 0;
    for (std::uint64_t seed = first_seed;
         seed < first_seed + seed_count && failed_runs < 10;
         ++seed)
    {
        invariants::random_run run(seed);
        std::vector<std::string> const& violations = run.run();
        if (violations.empty())
            continue;
        ++failed_runs;
        for (std::string const& violation : violations)
            failures += fmt::format("seed {}: {}\n", seed, violation);
    }
    if (failed_runs > 0)
        FAIL(failures.c_str());
}
