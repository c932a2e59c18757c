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

// Guards against double runs, false outcomes and requests cut off by a planned
// stop that occur only when several faults coincide.
TEST(mesh_invariants, random_faults_keep_every_guarantee)
{
    std::uint64_t const first = environment_number("SAMPHIRE_FIRST_SEED", 1);
    std::uint64_t const count = environment_number("SAMPHIRE_SEEDS", 10000);
    std::string failures;
    unsigned failed = 0;
    for (std::uint64_t seed = first; seed < first + count && failed < 10;
         ++seed)
    {
        invariants::random_run run(seed);
        std::vector<std::string> const& violations = run.run();
        if (violations.empty())
            continue;
        ++failed;
        for (std::string const& violation : violations)
            failures += fmt::format("seed {}: {}\n", seed, violation);
    }
    if (failed > 0)
        FAIL(failures.c_str());
}
