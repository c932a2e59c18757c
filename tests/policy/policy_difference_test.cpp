#include "policy/policy_codec.hpp"
#include "policy/policy_difference.hpp"
#include "policy/policy_section.hpp"

#include <CppUTest/TestHarness.h>

using namespace samphire;

TEST_GROUP(policy_difference)
{
    policy_document const old_document = read(
        R"({"format":1,"revision":1,"leaving":["d-1"],"services":
            [{"service":"a","routes":[{"route":"r"},{"route":"s"}]},
             {"service":"b"}]})");
    policy_document const reordered = read(
        R"({"leaving":["d-1"],"format":1,"revision":1,"services":
            [{"service":"b","routes":[]},
             {"routes":[{"route":"s"},{"route":"r"}],"service":"a"}]})");
    policy_document const changed = read(
        R"({"format":1,"revision":2,"services":
            [{"service":"a","routes":[{"route":"r"},
              {"route":"s","importance":"high","calls":["a/r"]}]},
             {"service":"b"}]})");

    static policy_document read(char const* json)
    {
        return parse_policy(json).value();
    }
};

// Guards against a change that is not shown to the operator before it applies.
TEST(policy_difference, changed_documents_list_every_change)
{
    std::string const text =
        format_difference(policy_difference(old_document, changed));
    STRCMP_EQUAL(
        "leaving[d-1]: listed -> (absent)\n"
        "revision: 1 -> 2\n"
        "services[a].routes[s].calls[a/r]: (absent) -> listed\n"
        "services[a].routes[s].importance: normal -> high\n",
        text.c_str());
}

// Guards against reporting a different order of lists or fields as a change.
TEST(policy_difference, reordered_document_has_no_change)
{
    CHECK(policy_difference(old_document, reordered).empty());
    CHECK(old_document == reordered);
}

// Guards against daemons that keep an outdated section, or fetch unchanged
// ones.
TEST(policy_difference, section_hash_changes_only_with_its_service)
{
    auto const before = policy_sections(old_document);
    auto const after = policy_sections(changed);
    CHECK(before == policy_sections(reordered));
    CHECK(before[0].hash_ != after[0].hash_);
    CHECK(before[1] == after[1]);
}
